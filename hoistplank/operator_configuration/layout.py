"""One way to write a file down: what was read, indented by depth, with its comments."""

from __future__ import annotations

from hoistplank.operator_configuration.text import Atom, Comment, Form, Text, quote

WIDTH, STEP = 100, 2


def written(text: Text) -> str:
    """The file in its one form; reading that again and writing it gives the same bytes."""
    comments = list(text.comments)
    lines: list[str] = []
    last_line = 0
    for form in text.forms:
        first = min([form.place.line] + [c.line for c in comments[:1] if c.line < form.place.line])
        if lines and first > last_line + 1:
            lines.append("")
        _form(form, 0, lines, comments)
        last_line = form.end_line
    if comments and lines and comments[0].line > last_line + 1:
        lines.append("")
    _before(1 << 30, 0, lines, comments)
    return "\n".join(lines) + "\n" if lines else ""


def _before(line: int, indent: int, lines: list[str], comments: list[Comment]) -> None:
    """Comments that stand above that line, each on a line of its own."""
    while comments and comments[0].line < line:
        lines.append(" " * indent + comments.pop(0).text)


def _beside(line: int, lines: list[str], comments: list[Comment]) -> None:
    """A comment at the end of that line stays at the end of what stands there."""
    if comments and comments[0].line == line and not comments[0].alone:
        lines[-1] += "  " + comments.pop(0).text


def _flat(item: Atom | Form) -> str:
    if isinstance(item, Atom):
        return quote(item.text) if item.quoted else item.text
    return "(" + " ".join(_flat(inner) for inner in item.items) + ")"


def _form(form: Form, indent: int, lines: list[str], comments: list[Comment]) -> None:
    _before(form.place.line, indent, lines, comments)
    flat = _flat(form)
    inside = any(c.line < form.end_line for c in comments)
    # A form that holds forms of its own forms is easier to change with a line for each.
    if not inside and form.depth <= 2 and indent + len(flat) <= WIDTH:
        lines.append(" " * indent + flat)
        _beside(form.end_line, lines, comments)
        return
    head: list[str] = []
    rest = list(form.items)
    while rest and isinstance(rest[0], Atom) and (not comments or rest[0].place.line <= comments[0].line):
        head.append(_flat(rest.pop(0)))
    lines.append(" " * indent + "(" + " ".join(head))
    _beside(form.place.line, lines, comments)
    for item in rest:
        if isinstance(item, Form):
            _form(item, indent + STEP, lines, comments)
        else:
            _before(item.place.line, indent + STEP, lines, comments)
            lines.append(" " * (indent + STEP) + _flat(item))
            _beside(item.place.line, lines, comments)
    remark = any(c.line < form.end_line for c in comments)
    _before(form.end_line, indent + STEP, lines, comments)
    if remark or lines[-1].lstrip().startswith(";") or "  ;" in lines[-1]:
        # A parenthesis behind a comment would belong to the comment.
        lines.append(" " * indent + ")")
    else:
        lines[-1] += ")"
    _beside(form.end_line, lines, comments)
