"""The syntax tree of an operator file: atoms, forms and comments, with their source locations."""

from __future__ import annotations

from dataclasses import dataclass, field

from hoistplank.operator_configuration.errors import SourceLocation

MAX_SHOWN_ATOM = 60  # characters of an atom in a message
MAX_SHOWN_NAME = 40  # characters of a form's name in a message


@dataclass(frozen=True, slots=True)
class Atom:
    """A word or a string; `text` is its value, without quotes and escapes."""

    text: str
    quoted: bool
    location: SourceLocation

    def __str__(self) -> str:
        return quote(self.text) if self.quoted else f"'{self.text[:MAX_SHOWN_ATOM]}'"


@dataclass(frozen=True, slots=True)
class Form:
    """A list in parentheses. `location` is that of the opening parenthesis, `end_line` the line of the
    closing one, and `depth` the number of nested levels, 1 for a form of atoms."""

    items: tuple[Atom | Form, ...]
    location: SourceLocation
    end_line: int
    depth: int

    @property
    def name(self) -> str:
        """The leading unquoted word, or an empty string."""
        head = self.items[0] if self.items else None
        return head.text if isinstance(head, Atom) and not head.quoted else ""

    def __str__(self) -> str:
        return f"a form '({self.name[:MAX_SHOWN_NAME]} …)'" if self.name else "a form without a name"


@dataclass(frozen=True, slots=True)
class Comment:
    """A comment with its `;`; `is_on_own_line` is True if its line holds nothing else."""

    text: str
    line: int
    is_on_own_line: bool


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed file: its forms and its comments, each in the order of the file."""

    file: str
    forms: tuple[Form, ...]
    comments: tuple[Comment, ...] = field(default=())


def quote(text: str) -> str:
    """Returns a string literal in double quotes, with escapes."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t")
    return f'"{escaped}"'
