"""The formatter of operator's files: one layout, indented by depth, with the comments where they were."""

from __future__ import annotations

from hoistplank.operator_configuration.syntax import Atom, Comment, Document, Form, quote

MAX_WIDTH = 100  # characters of a line that holds a whole form
INDENT = 2
MAX_FLAT_DEPTH = 2  # a deeper form is easier to change with a line for each of its forms


def format_document(document: Document) -> str:
    """The file in its one layout; parsing that again and formatting it gives the same bytes."""
    return _Formatter(document).format()


def _flat(item: Atom | Form) -> str:
    if isinstance(item, Atom):
        return quote(item.text) if item.quoted else item.text
    return "(" + " ".join(_flat(inner) for inner in item.items) + ")"


class _Formatter:
    """Formats one document; `comments` are those that are not written yet, in their order."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.comments: list[Comment] = list(document.comments)
        self.lines: list[str] = []

    def format(self) -> str:
        last_line = 0
        for form in self.document.forms:
            first_line = form.location.line
            if self.comments:
                first_line = min(first_line, self.comments[0].line)
            if self.lines and first_line > last_line + 1:
                self.lines.append("")
            self._write_form(form, 0)
            last_line = form.end_line
        if self.comments and self.lines and self.comments[0].line > last_line + 1:
            self.lines.append("")
        while self.comments:
            self.lines.append(self.comments.pop(0).text)
        return "\n".join(self.lines) + "\n" if self.lines else ""

    def _comment_before(self, line: int) -> bool:
        return bool(self.comments) and self.comments[0].line < line

    def _write_comments_before(self, line: int, indent: int) -> None:
        """Comments that stand above that line, each on a line of its own."""
        while self._comment_before(line):
            self.lines.append(" " * indent + self.comments.pop(0).text)

    def _write_comment_beside(self, line: int) -> None:
        """A comment at the end of that line stays at the end of what stands there."""
        if self.comments and self.comments[0].line == line and not self.comments[0].alone:
            self.lines[-1] += "  " + self.comments.pop(0).text

    def _write_form(self, form: Form, indent: int) -> None:
        self._write_comments_before(form.location.line, indent)
        flat = _flat(form)
        fits = form.depth <= MAX_FLAT_DEPTH and indent + len(flat) <= MAX_WIDTH
        if fits and not self._comment_before(form.end_line):
            self.lines.append(" " * indent + flat)
        else:
            self._write_items(form, indent)
            self._close_form(form, indent)
        self._write_comment_beside(form.end_line)

    def _write_items(self, form: Form, indent: int) -> None:
        """The leading atoms on the opening line, each other item on a line of its own."""
        head: list[str] = []
        rest = list(form.items)
        while rest and isinstance(rest[0], Atom) and not self._comment_before(rest[0].location.line):
            head.append(_flat(rest.pop(0)))
        self.lines.append(" " * indent + "(" + " ".join(head))
        self._write_comment_beside(form.location.line)
        for item in rest:
            if isinstance(item, Form):
                self._write_form(item, indent + INDENT)
            else:
                self._write_comments_before(item.location.line, indent + INDENT)
                self.lines.append(" " * (indent + INDENT) + _flat(item))
                self._write_comment_beside(item.location.line)

    def _close_form(self, form: Form, indent: int) -> None:
        commented = self._comment_before(form.end_line)
        self._write_comments_before(form.end_line, indent + INDENT)
        if commented or self.lines[-1].lstrip().startswith(";") or "  ;" in self.lines[-1]:
            # A parenthesis behind a comment would belong to the comment.
            self.lines.append(" " * indent + ")")
        else:
            self.lines[-1] += ")"
