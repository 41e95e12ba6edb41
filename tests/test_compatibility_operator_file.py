"""The operator's file: every form and word that an earlier text accepted is accepted, and read alike."""

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
SEMANTICS = {"page": "idempotent", "guide-video": "idempotent"}  # of the traffic classes that the file names
SIGNALS = (
    *("lag", "open", "refused", "memory", "descriptors", "link", "goal", "goal:page"),
    *("fills", "fills:p", "archive", "purge-fills"),
)


def plain(value: Any) -> Any:
    """A section's values by the operator's words, as JSON has them."""
    if isinstance(value, Section):
        return {
            "title": plain(value.title),
            "values": {name: plain(each) for name, each in value.values.items()},
        }
    if isinstance(value, Atom):
        return value.text
    if isinstance(value, list | tuple | range):
        return [plain(each) for each in value]
    return value


def in_order(value: Any) -> Any:
    """A record's values in their order, whatever their names."""
    if hasattr(value, "__dataclass_fields__"):
        return [in_order(getattr(value, name)) for name in value.__dataclass_fields__]
    if isinstance(value, msgspec.Struct):
        return [in_order(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, list | tuple):
        return [in_order(each) for each in value]
    return value


def grammar(schema: FormSchema, path: str = "") -> dict[str, dict[str, Any]]:
    """Each form below a schema by its path, without the words that only describe it."""
    found: dict[str, dict[str, Any]] = {}
    if schema.title is not None:
        found[f"{path} NAME"] = {"limits": schema.title.expected}
    for row in schema.fields:
        at = f"{path} {row.name}".strip()
        found[at] = {
            "needed": row.required,
            "many": row.repeated,
            "each": row.list_per_form,
            "default": plain(row.default),
        }
        if isinstance(row.type, FormSchema):
            found |= grammar(row.type, at)
        else:
            found[at]["limits"] = row.type.expected
    return found


def test_every_form_is_read_as_it_was() -> None:
    assert as_json(plain(parse_file(EVERY_FORM, "op"))) == as_json(
        fixture_json("operator/every-form.json")["read"]
    )


def test_levels_and_ages_are_made_as_they_were() -> None:
    wanted = fixture_json("operator/every-form.json")
    settings = build_settings(parse_file(EVERY_FORM, "op")["levels"], SEMANTICS)
    assert as_json(in_order(settings.levels)) == as_json(wanted["levels"])
    assert as_json(settings.half_lives_us) == as_json(wanted["ages"])


def test_the_file_has_the_forms_that_it_had_and_no_others() -> None:
    assert sorted(grammar(FILE)) == sorted(GRAMMAR)


@pytest.mark.parametrize("path", GRAMMAR)
def test_a_form_has_the_limits_and_the_default_that_it_had(path: str) -> None:
    found, wanted = grammar(FILE)[path], GRAMMAR[path]
    if not wanted.get("limits"):
        # What it wants is described in words that may change; the form itself may not.
        found, wanted = ({k: v for k, v in row.items() if k != "limits"} for row in (found, wanted))
    assert as_json(found) == as_json(wanted)


WORDS = [
    (path, word)
    for path, row in GRAMMAR.items()
    if row.get("limits", "").startswith("one of ")
    for word in row["limits"].removeprefix("one of ").replace("'", "").split(", ")
]
AROUND = {
    "log": "(log {})",
    "callers": "(callers (tenant anyone (rights read)) {})",
    "callers tls": '(callers (tls (listen a:1) (certificate "c") (key "k") (client-ca "a") {}))',
    "callers tenant": "(callers (tenant a {}))",
}


@pytest.mark.parametrize("path, word", WORDS)
def test_every_word_of_a_choice_is_accepted(path: str, word: str) -> None:
    parent, _, name = path.rpartition(" ")
    section = parse_file(AROUND[parent].format(f"({name} {word})").encode(), "op")
    for step in parent.split(" "):
        section = section[step][0] if isinstance(section[step], list) else section[step]
    assert plain(section[name]) in (word, [word])


@pytest.mark.parametrize("signal", SIGNALS)
def test_every_signal_is_accepted_in_a_level(signal: str) -> None:
    text = f"(levels (age {signal} 1s) (level a (enter {signal} above 0.9) (leave {signal} below 0.5)))"
    section = parse_file(text.encode(), "op")["levels"]
    (level,) = build_settings(section, SEMANTICS).levels
    assert in_order(level)[1:3] == [[[signal, True, 0.9, 0]], [[signal, False, 0.5, 0]]]


@pytest.mark.parametrize(
    "word", ["attempts", "reject", "classes", "open-requests", "target", "authorization"]
)
def test_a_word_of_the_code_is_no_word_of_the_file(word: str) -> None:
    level = f"(level a (enter goal above 0.9) (leave goal below 0.5) ({word} 2))"
    with pytest.raises(ConfigurationError, match=f"the unknown form '{word}'"):
        parse_file(f"(levels {level})".encode(), "op")
