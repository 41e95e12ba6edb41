"""Compatibility of the operator file: forms and keywords of earlier versions are accepted and read alike."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from hoistplank.degradation.sections import build_settings
from hoistplank.operator_configuration.errors import ConfigurationError
from hoistplank.operator_configuration.schema import FormSchema, Section
from hoistplank.operator_configuration.syntax import Atom
from hoistplank.program.sections import FILE, parse_file
from tests.fixture_files import FIXTURES, as_json, fixture_json

EVERY_FORM = (FIXTURES / "operator" / "every-form.sexp").read_bytes()
GRAMMAR: dict[str, dict[str, Any]] = fixture_json("operator/grammar.json")
SEMANTICS = {"page": "idempotent", "guide-video": "idempotent"}  # of the traffic classes in the file
SIGNALS = (
    *("lag", "open", "refused", "memory", "descriptors", "link", "goal", "goal:page"),
    *("fills", "fills:p", "archive", "purge-fills"),
)


def plain_values(value: Any) -> Any:
    """Returns the values of a section by their names in the file, as JSON has them."""
    if isinstance(value, Section):
        return {
            "title": plain_values(value.title),
            "values": {name: plain_values(each) for name, each in value.values.items()},
        }
    if isinstance(value, Atom):
        return value.text
    if isinstance(value, list | tuple | range):
        return [plain_values(each) for each in value]
    return value


def values_in_order(value: Any) -> Any:
    """Returns the values of a record in their order, without their names."""
    if hasattr(value, "__dataclass_fields__"):
        return [values_in_order(getattr(value, name)) for name in value.__dataclass_fields__]
    if isinstance(value, msgspec.Struct):
        return [values_in_order(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, list | tuple):
        return [values_in_order(each) for each in value]
    return value


def grammar_of(schema: FormSchema, path: str = "") -> dict[str, dict[str, Any]]:
    """Returns each form below a schema by its path, without descriptions."""
    forms: dict[str, dict[str, Any]] = {}
    if schema.title is not None:
        forms[f"{path} NAME"] = {"limits": schema.title.expected}
    for row in schema.fields:
        at = f"{path} {row.name}".strip()
        forms[at] = {
            "needed": row.required,
            "many": row.repeated,
            "each": row.list_per_form,
            "default": plain_values(row.default),
        }
        if isinstance(row.type, FormSchema):
            forms |= grammar_of(row.type, at)
        else:
            forms[at]["limits"] = row.type.expected
    return forms


def test_file_with_every_form_is_read_as_before() -> None:
    assert as_json(plain_values(parse_file(EVERY_FORM, "op"))) == as_json(
        fixture_json("operator/every-form.json")["read"]
    )


def test_degradation_settings_are_built_as_before() -> None:
    expected = fixture_json("operator/every-form.json")
    settings = build_settings(parse_file(EVERY_FORM, "op")["levels"], SEMANTICS)
    assert as_json(values_in_order(settings.levels)) == as_json(expected["levels"])
    assert as_json(settings.half_lives_us) == as_json(expected["ages"])


def test_schema_has_the_same_forms_as_before() -> None:
    assert sorted(grammar_of(FILE)) == sorted(GRAMMAR)


@pytest.mark.parametrize("path", GRAMMAR)
def test_form_has_the_same_limits_and_default_as_before(path: str) -> None:
    actual, expected = grammar_of(FILE)[path], GRAMMAR[path]
    if not expected.get("limits"):
        # The expected value is described in prose, which may change; the other properties may not.
        actual, expected = ({k: v for k, v in row.items() if k != "limits"} for row in (actual, expected))
    assert as_json(actual) == as_json(expected)


KEYWORDS = [
    (path, word)
    for path, row in GRAMMAR.items()
    if row.get("limits", "").startswith("one of ")
    for word in row["limits"].removeprefix("one of ").replace("'", "").split(", ")
]
FILE_AROUND_KEYWORD = {
    "log": "(log {})",
    "callers": "(callers (tenant anyone (rights read)) {})",
    "callers tls": '(callers (tls (listen a:1) (certificate "c") (key "k") (client-ca "a") {}))',
    "callers tenant": "(callers (tenant a {}))",
}


@pytest.mark.parametrize("path, word", KEYWORDS)
def test_every_keyword_of_a_choice_is_accepted(path: str, word: str) -> None:
    parent, _, name = path.rpartition(" ")
    section = parse_file(FILE_AROUND_KEYWORD[parent].format(f"({name} {word})").encode(), "op")
    for step in parent.split(" "):
        section = section[step][0] if isinstance(section[step], list) else section[step]
    assert plain_values(section[name]) in (word, [word])


@pytest.mark.parametrize("signal", SIGNALS)
def test_every_signal_is_accepted_in_a_degradation_level(signal: str) -> None:
    text = f"(levels (age {signal} 1s) (level a (enter {signal} above 0.9) (leave {signal} below 0.5)))"
    section = parse_file(text.encode(), "op")["levels"]
    (level,) = build_settings(section, SEMANTICS).levels
    assert values_in_order(level)[1:3] == [[[signal, True, 0.9, 0]], [[signal, False, 0.5, 0]]]


@pytest.mark.parametrize(
    "word", ["attempts", "reject", "classes", "open-requests", "target", "authorization"]
)
def test_internal_names_are_not_keywords_of_the_file(word: str) -> None:
    level = f"(level a (enter goal above 0.9) (leave goal below 0.5) ({word} 2))"
    with pytest.raises(ConfigurationError, match=f"the unknown form '{word}'"):
        parse_file(f"(levels {level})".encode(), "op")
