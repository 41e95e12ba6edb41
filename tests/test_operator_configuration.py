"""The operator file: invalid files raise ConfigurationError with locations, and the formatter is stable."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.operator_configuration.errors import ConfigurationError
from hoistplank.operator_configuration.formatter import format_document
from hoistplank.operator_configuration.parser import parse
from hoistplank.operator_configuration.schema import FormSchema
from hoistplank.operator_configuration.syntax import Atom, Form
from hoistplank.program.sections import FILE, parse_file
from tests.fixture_files import FIXTURES

INVALID_FILES = sorted((FIXTURES / "operator" / "refused").glob("*.sexp"))


@pytest.mark.parametrize("file", INVALID_FILES, ids=lambda file: file.stem)
def test_invalid_file_has_one_diagnostic_with_its_location(file: Path) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_file(file.read_bytes(), "op")
    assert len(caught.value.diagnostics) == 1, str(caught.value)
    assert str(caught.value).startswith("op:" + file.with_suffix(".told").read_text().strip())


def field_names(schema: FormSchema) -> Iterator[str]:
    """The names of all fields of a form, and of the forms inside it."""
    for field in schema.fields:
        yield field.name
        if isinstance(field.type, FormSchema):
            yield from field_names(field.type)


def test_documentation_names_every_form() -> None:
    page = (Path(__file__).parents[1] / "docs" / "configuration.md").read_text()
    table = page[page.index("# The operator's file") :]
    assert [name for name in field_names(FILE) if f"`{name}" not in table and f"({name} " not in table] == []


def test_all_diagnostics_are_reported_in_file_order() -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_file(b"(callers (tenant A (rights reed)) (tokens (skew 9)))", "op")
    assert [diagnostic.location.column for diagnostic in caught.value.diagnostics] == [18, 28, 49]


def test_invalid_utf8_is_reported_with_its_location() -> None:
    with pytest.raises(ConfigurationError, match="op:2:3: the byte 0xff, expected UTF-8"):
        parse_file(b"(a)\n  \xff", "op")


def without_locations(form: Form | Atom) -> object:
    """Returns a form as nested lists of its atoms."""
    return (
        (form.text, form.quoted)
        if isinstance(form, Atom)
        else [without_locations(item) for item in form.items]
    )


WORDS = st.sampled_from(["a", "250ms", "0-31", "uri:x", '"a b"', '"q\\"\\\\"', '"\\n"'])
TREES = st.recursive(
    WORDS, lambda inner: st.lists(inner, max_size=5).map(lambda row: "(" + " ".join(row) + ")"), max_leaves=25
)
GAPS = st.sampled_from([" ", "\n", "\n\n\n", " ; said\n", "\n; alone\n  "])


@given(
    st.lists(TREES.filter(lambda tree: tree.startswith("(")), max_size=4),
    st.lists(GAPS, min_size=40, max_size=40),
)
def test_formatting_is_idempotent_and_keeps_forms_and_comments(trees: list[str], gaps: list[str]) -> None:
    text = "\n".join(trees)
    pieces: list[str] = []
    inside = escaped = False
    for char in text:  # replaces blanks outside strings by gaps, some with comments
        if char == '"' and not escaped:
            inside = not inside
        escaped = char == "\\" and not escaped
        pieces.append(gaps[len(pieces) % len(gaps)] if char == " " and not inside else char)
    source = "".join(pieces)
    formatted = format_document(parse(source.encode(), "op"))
    assert format_document(parse(formatted.encode(), "op")) == formatted
    before, after = parse(source.encode(), "op"), parse(formatted.encode(), "op")
    assert [without_locations(form) for form in before.forms] == [
        without_locations(form) for form in after.forms
    ]
    assert [comment.text for comment in before.comments] == [comment.text for comment in after.comments]


@given(st.one_of(st.binary(max_size=200), st.text(alphabet='(")\\; a1\n', max_size=80).map(str.encode)))
def test_arbitrary_bytes_are_parsed_or_raise_configuration_error(data: bytes) -> None:
    try:
        format_document(parse(data, "op"))
        parse_file(data, "op")
    except ConfigurationError as error:
        assert str(error).startswith("op:")
