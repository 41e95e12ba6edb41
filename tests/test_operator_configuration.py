"""The operator's file: each broken one has one clear message, the layout stands still, nothing else is
raised."""

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

BROKEN = sorted((FIXTURES / "operator" / "refused").glob("*.sexp"))


@pytest.mark.parametrize("file", BROKEN, ids=lambda file: file.stem)
def test_a_broken_file_has_one_message_with_its_place(file: Path) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_file(file.read_bytes(), "op")
    assert len(caught.value.diagnostics) == 1, str(caught.value)
    assert str(caught.value).startswith("op:" + file.with_suffix(".told").read_text().strip())


def fields(schema: FormSchema) -> Iterator[str]:
    """The names of all fields of a form, and of the forms inside it."""
    for field in schema.fields:
        yield field.name
        if isinstance(field.type, FormSchema):
            yield from fields(field.type)


def test_the_page_names_every_form() -> None:
    page = (Path(__file__).parents[1] / "docs" / "configuration.md").read_text()
    table = page[page.index("# The operator's file") :]
    assert [name for name in fields(FILE) if f"`{name}" not in table and f"({name} " not in table] == []


def test_all_faults_are_told_in_the_file_s_order() -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_file(b"(callers (tenant A (rights reed)) (tokens (skew 9)))", "op")
    assert [fault.location.column for fault in caught.value.diagnostics] == [18, 28, 49]


def test_bytes_that_are_no_text_are_told_by_their_place() -> None:
    with pytest.raises(ConfigurationError, match="op:2:3: the byte 0xff, expected UTF-8"):
        parse_file(b"(a)\n  \xff", "op")


def flat(form: Form | Atom) -> object:
    return (form.text, form.quoted) if isinstance(form, Atom) else [flat(item) for item in form.items]


WORDS = st.sampled_from(["a", "250ms", "0-31", "uri:x", '"a b"', '"q\\"\\\\"', '"\\n"'])
TREES = st.recursive(
    WORDS, lambda inner: st.lists(inner, max_size=5).map(lambda row: "(" + " ".join(row) + ")"), max_leaves=25
)
GAPS = st.sampled_from([" ", "\n", "\n\n\n", " ; said\n", "\n; alone\n  "])


@given(
    st.lists(TREES.filter(lambda tree: tree.startswith("(")), max_size=4),
    st.lists(GAPS, min_size=40, max_size=40),
)
def test_the_layout_changes_nothing_twice_and_no_meaning(trees: list[str], gaps: list[str]) -> None:
    text = "\n".join(trees)
    pieces: list[str] = []
    inside = escaped = False
    for char in text:  # gaps with comments wherever a blank may stand
        if char == '"' and not escaped:
            inside = not inside
        escaped = char == "\\" and not escaped
        pieces.append(gaps[len(pieces) % len(gaps)] if char == " " and not inside else char)
    source = "".join(pieces)
    once = format_document(parse(source.encode(), "op"))
    assert format_document(parse(once.encode(), "op")) == once
    before, after = parse(source.encode(), "op"), parse(once.encode(), "op")
    assert [flat(form) for form in before.forms] == [flat(form) for form in after.forms]
    assert [comment.text for comment in before.comments] == [comment.text for comment in after.comments]


@given(st.one_of(st.binary(max_size=200), st.text(alphabet='(")\\; a1\n', max_size=80).map(str.encode)))
def test_any_bytes_are_read_or_named(data: bytes) -> None:
    try:
        format_document(parse(data, "op"))
        parse_file(data, "op")
    except ConfigurationError as wrong:
        assert str(wrong).startswith("op:")
