"""S-expressions as text: bytes to forms that know their places, comments kept beside them.

Atoms are words (`250ms`, `127.0.0.1:7443`) or strings in double quotes with the escapes \\" \\\\ \\n \\t. A
comment
runs from `;` to the end of its line. Nothing here knows what a form means.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cache
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken, VisitError

from hoistplank.operator_configuration.faults import Fault, Place

MOST_BYTES = 1_048_576
# Danger: each level of nesting is a level of recursion in all that walks the forms.
MOST_DEPTH = 16

GRAMMAR = r"""
file: form*
form: OPEN item* CLOSE
?item: form | WORD | STRING
OPEN: "("
CLOSE: ")"
WORD: /[^\s()";]+/
STRING: /"(?:[^"\\\n]|\\["\\nt])*"/
COMMENT: /;[^\n]*/
%ignore COMMENT
%ignore /\s+/
"""

ESCAPES = {'"': '"', "\\": "\\", "n": "\n", "t": "\t"}


@dataclass(frozen=True, slots=True)
class Atom:
    """A word or a string; `text` is its value, without quotes and escapes."""

    text: str
    quoted: bool
    place: Place

    def __str__(self) -> str:
        return quote(self.text) if self.quoted else f"'{self.text[:60]}'"


@dataclass(frozen=True, slots=True)
class Form:
    """A list in parentheses; `place` is its opening one, `end_line` the line of the closing one."""

    items: tuple[Atom | Form, ...]
    place: Place
    end_line: int
    depth: int

    @property
    def name(self) -> str:
        head = self.items[0] if self.items else None
        return head.text if isinstance(head, Atom) and not head.quoted else ""

    def __str__(self) -> str:
        return f"a form '({self.name[:40]} …)'" if self.name else "a form without a name"


@dataclass(frozen=True, slots=True)
class Comment:
    """One comment with its `;`; `alone` where nothing else stands on its line."""

    text: str
    line: int
    alone: bool


@dataclass(frozen=True, slots=True)
class Text:
    """A file that was read: its forms and its comments, each in their order."""

    file: str
    forms: tuple[Form, ...]
    comments: tuple[Comment, ...] = field(default=())


def quote(text: str) -> str:
    inner = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t")
    return f'"{inner}"'


def _unquote(text: str) -> str:
    out, at = [], 1
    while at < len(text) - 1:
        if text[at] == "\\":
            at += 1
            out.append(ESCAPES[text[at]])
        else:
            out.append(text[at])
        at += 1
    return "".join(out)


class _Build(Transformer[Token, Any]):
    """Makes the forms while the parser goes: nothing recurses over the depth of what was sent."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.of = name

    def _place(self, token: Token) -> Place:
        return Place(self.of, token.line or 1, token.column or 1)

    def WORD(self, token: Token) -> Atom:
        return Atom(str(token), False, self._place(token))

    def STRING(self, token: Token) -> Atom:
        return Atom(_unquote(str(token)), True, self._place(token))

    @v_args(inline=True)
    def form(self, opening: Token, *rest: Any) -> Form:
        *items, closing = rest
        depth = 1 + max((item.depth for item in items if isinstance(item, Form)), default=0)
        place = self._place(opening)
        if depth > MOST_DEPTH:
            raise Fault(place, f"forms {depth} deep", f"at most {MOST_DEPTH}")
        return Form(tuple(items), place, closing.line or 1, depth)

    @v_args(inline=True)
    def file(self, *forms: Form) -> tuple[Form, ...]:
        return forms


@cache
def _lexer() -> Lark:
    return Lark(GRAMMAR, start="file", parser="lalr", lexer="basic")


def parse(data: bytes, file: str) -> Text:
    """The forms of a file; raises Fault at the first place that can't be read."""
    if len(data) > MOST_BYTES:
        raise Fault(Place(file, 1, 1), f"{len(data)} bytes", f"at most {MOST_BYTES}")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as wrong:
        line = data.count(b"\n", 0, wrong.start) + 1
        column = wrong.start - data.rfind(b"\n", 0, wrong.start)
        raise Fault(Place(file, line, column), f"the byte 0x{data[wrong.start]:02x}", "UTF-8 text") from None
    remarks: list[Token] = []

    def note(token: Token) -> Token:
        remarks.append(token)
        return token

    reader = Lark(
        GRAMMAR,
        start="file",
        parser="lalr",
        lexer="basic",
        lexer_callbacks={"COMMENT": note},
        transformer=_Build(file),
    )
    try:
        forms = reader.parse(text)
    except VisitError as wrong:
        if isinstance(wrong.orig_exc, Fault):
            raise wrong.orig_exc from None
        raise
    except UnexpectedInput as wrong:
        raise _fault(text, file, wrong) from None
    lines = text.split("\n")
    comments = tuple(
        Comment(
            str(token).rstrip(),
            token.line or 1,
            not lines[(token.line or 1) - 1][: (token.column or 1) - 1].strip(),
        )
        for token in remarks
    )
    assert isinstance(forms, tuple)
    return Text(file, forms, comments)


def _fault(text: str, file: str, wrong: UnexpectedInput) -> Fault:
    place = Place(file, max(1, wrong.line), max(1, wrong.column))
    if isinstance(wrong, UnexpectedCharacters):
        at = wrong.pos_in_stream or 0
        if text[at] == '"':
            return Fault(
                place,
                "a string that does not end on its line or has an unknown escape",
                "a closing '\"' and only the escapes \\\" \\\\ \\n \\t",
            )
        return Fault(place, f"the character {text[at]!r}", "'(' or ')' or a word or a string")
    if isinstance(wrong, UnexpectedToken):
        if wrong.token.type == "$END":
            # The end of the file says nothing: what is missing belongs to the form that was left open.
            opened: list[Token] = []
            for token in _lexer().lex(text):
                if token.type == "OPEN":
                    opened.append(token)
                elif token.type == "CLOSE" and opened:
                    opened.pop()
            if opened:
                token = opened[-1]
                return Fault(
                    Place(file, token.line or 1, token.column or 1), "a form that is never closed", "')'"
                )
        if wrong.token.type == "CLOSE":
            return Fault(place, "')' that closes nothing", "'(' or the end of the file")
        return Fault(place, f"'{str(wrong.token)[:40]}' outside any form", "'('")
    return Fault(place, "text that can't be read", "a form")
