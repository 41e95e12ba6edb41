"""The formatter of operator files: a canonical layout, indented by depth, which keeps comments in place."""

from __future__ import annotations

from hoistplank.operator_configuration.syntax import Atom, Comment, Document, Form, quote

MAX_LINE_WIDTH = 100  # characters of a line that holds a complete form
INDENT = 2  # spaces for each level
MAX_FLAT_DEPTH = 2  # a deeper form has a line for each of its forms, which is easier to edit


def format_document(document: Document) -> str:
    """Returns the file in the canonical layout; formatting that again does not change it."""
    return _Formatter(document).format()


def _format_flat(item: Atom | Form) -> str:
    if isinstance(item, Atom):
        return quote(item.text) if item.quoted else item.text
    return "(" + " ".join(_format_flat(inner) for inner in item.items) + ")"


class _Formatter:
    """Formats one document; `comments` are those not written yet, in the order of the file."""

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

    def _has_comment_before(self, line: int) -> bool:
        return bool(self.comments) and self.comments[0].line < line

    def _write_comments_before(self, line: int, indent: int) -> None:
        """Writes the comments above a line of the source, each on a line of its own."""
        while self._has_comment_before(line):
            self.lines.append(" " * indent + self.comments.pop(0).text)

    def _append_comment_of_line(self, line: int) -> None:
        """Appends the comment at the end of a line of the source, if there is one, to the last output
        line."""
        if self.comments and self.comments[0].line == line and not self.comments[0].is_on_own_line:
            self.lines[-1] += "  " + self.comments.pop(0).text

    def _write_form(self, form: Form, indent: int) -> None:
        self._write_comments_before(form.location.line, indent)
        flat = _format_flat(form)
        fits = form.depth <= MAX_FLAT_DEPTH and indent + len(flat) <= MAX_LINE_WIDTH
        if fits and not self._has_comment_before(form.end_line):
            self.lines.append(" " * indent + flat)
        else:
            self._write_items(form, indent)
            self._close_form(form, indent)
        self._append_comment_of_line(form.end_line)

    def _write_items(self, form: Form, indent: int) -> None:
        """Writes the leading atoms on the opening line, and each other item on a line of its own."""
        head: list[str] = []
        rest = list(form.items)
        while rest and isinstance(rest[0], Atom) and not self._has_comment_before(rest[0].location.line):
            head.append(_format_flat(rest.pop(0)))
        self.lines.append(" " * indent + "(" + " ".join(head))
        self._append_comment_of_line(form.location.line)
        for item in rest:
            if isinstance(item, Form):
                self._write_form(item, indent + INDENT)
            else:
                self._write_comments_before(item.location.line, indent + INDENT)
                self.lines.append(" " * (indent + INDENT) + _format_flat(item))
                self._append_comment_of_line(item.location.line)

    def _close_form(self, form: Form, indent: int) -> None:
        has_comment = self._has_comment_before(form.end_line)
        self._write_comments_before(form.end_line, indent + INDENT)
        if has_comment or self.lines[-1].lstrip().startswith(";") or "  ;" in self.lines[-1]:
            # A parenthesis after a comment would become part of it.
            self.lines.append(" " * indent + ")")
        else:
            self.lines[-1] += ")"
