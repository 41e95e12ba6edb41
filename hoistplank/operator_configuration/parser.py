r"""The parser of S-expressions: turns bytes into forms with source locations, and keeps the comments.

Atoms are words (`250ms`, `127.0.0.1:7443`) or strings in double quotes with the escapes \" \\ \n \t. A
comment extends from `;` to the end of its line. The meaning of the forms is defined by `schema`.
"""

from __future__ import annotations

from functools import cache
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken, VisitError

from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation
from hoistplank.operator_configuration.syntax import Atom, Comment, Document, Form

MAX_FILE_BYTES = 1_048_576
# All code that walks the forms recurses once for each level: without a limit, a file could exhaust the stack.
MAX_DEPTH = 16
MAX_SHOWN_TOKEN = 40  # characters of a token in a message

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


def _unquote(literal: str) -> str:
    characters = []
    index = 1
    while index < len(literal) - 1:
        if literal[index] == "\\":
            index += 1
            characters.append(ESCAPES[literal[index]])
        else:
            characters.append(literal[index])
        index += 1
    return "".join(characters)


class _TreeBuilder(Transformer[Token, Any]):
    """Builds the forms while the parser runs, so that no code recurses over the depth of unchecked input."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file_name = file

    def _location(self, token: Token) -> SourceLocation:
        return SourceLocation(self.file_name, token.line or 1, token.column or 1)

    def WORD(self, token: Token) -> Atom:  # noqa: N802 (Lark finds a terminal's method by its name)
        return Atom(str(token), quoted=False, location=self._location(token))

    def STRING(self, token: Token) -> Atom:  # noqa: N802 (Lark finds a terminal's method by its name)
        return Atom(_unquote(str(token)), quoted=True, location=self._location(token))

    @v_args(inline=True)
    def form(self, opening: Token, *rest: Any) -> Form:
        *items, closing = rest
        depth = 1 + max((item.depth for item in items if isinstance(item, Form)), default=0)
        location = self._location(opening)
        if depth > MAX_DEPTH:
            raise ConfigurationError([Diagnostic(location, f"forms {depth} deep", f"at most {MAX_DEPTH}")])
        return Form(tuple(items), location, closing.line or 1, depth)

    @v_args(inline=True)
    def file(self, *forms: Form) -> tuple[Form, ...]:
        return forms


@cache
def _lexer() -> Lark:
    return Lark(GRAMMAR, start="file", parser="lalr", lexer="basic")


def parse(data: bytes, file: str) -> Document:
    """Returns the forms and comments of a file; raises ConfigurationError with the first syntax error."""
    text = _decode(data, file)
    comment_tokens: list[Token] = []

    def keep_comment(token: Token) -> Token:
        comment_tokens.append(token)
        return token

    parser = Lark(
        GRAMMAR,
        start="file",
        parser="lalr",
        lexer="basic",
        lexer_callbacks={"COMMENT": keep_comment},
        transformer=_TreeBuilder(file),
    )
    try:
        forms = parser.parse(text)
    except VisitError as error:
        if isinstance(error.orig_exc, ConfigurationError):
            raise error.orig_exc from None
        raise
    except UnexpectedInput as error:
        raise ConfigurationError([_syntax_diagnostic(text, file, error)]) from None
    assert isinstance(forms, tuple)
    return Document(file, forms, _comments(text, comment_tokens))


def _decode(data: bytes, file: str) -> str:
    if len(data) > MAX_FILE_BYTES:
        location = SourceLocation(file, 1, 1)
        raise ConfigurationError([Diagnostic(location, f"{len(data)} bytes", f"at most {MAX_FILE_BYTES}")])
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - data.rfind(b"\n", 0, error.start)
        location = SourceLocation(file, line, column)
        found = f"the byte 0x{data[error.start]:02x}"
        raise ConfigurationError([Diagnostic(location, found, "UTF-8 text")]) from None


def _comments(text: str, tokens: list[Token]) -> tuple[Comment, ...]:
    lines = text.split("\n")
    comments = []
    for token in tokens:
        line, column = token.line or 1, token.column or 1
        before = lines[line - 1][: column - 1]
        comments.append(Comment(str(token).rstrip(), line, is_on_own_line=not before.strip()))
    return tuple(comments)


def _syntax_diagnostic(text: str, file: str, error: UnexpectedInput) -> Diagnostic:
    location = SourceLocation(file, max(1, error.line), max(1, error.column))
    if isinstance(error, UnexpectedCharacters):
        return _unexpected_character(location, text[error.pos_in_stream or 0])
    if not isinstance(error, UnexpectedToken):
        return Diagnostic(location, "invalid syntax", "a form")
    if error.token.type == "$END":
        # Reports the form that was left open instead of the end of the file, which does not help to find it.
        unclosed = _last_unclosed(text)
        if unclosed is not None:
            opened_at = SourceLocation(file, unclosed.line or 1, unclosed.column or 1)
            return Diagnostic(opened_at, "a form that is never closed", "')'")
    if error.token.type == "CLOSE":
        return Diagnostic(location, "')' that closes nothing", "'(' or the end of the file")
    return Diagnostic(location, f"'{str(error.token)[:MAX_SHOWN_TOKEN]}' outside any form", "'('")


def _unexpected_character(location: SourceLocation, character: str) -> Diagnostic:
    if character == '"':
        return Diagnostic(
            location,
            "a string that does not end on its line or has an unknown escape",
            "a closing '\"' and only the escapes \\\" \\\\ \\n \\t",
        )
    return Diagnostic(location, f"the character {character!r}", "'(' or ')' or a word or a string")


def _last_unclosed(text: str) -> Token | None:
    """Returns the innermost parenthesis that is not closed at the end of the text."""
    opened: list[Token] = []
    for token in _lexer().lex(text):
        if token.type == "OPEN":
            opened.append(token)
        elif token.type == "CLOSE" and opened:
            opened.pop()
    return opened[-1] if opened else None
