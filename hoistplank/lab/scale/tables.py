"""The generated tables of `docs/CAPACITY.md`: figures to Markdown, and their places between marker comments.

Text in, text out: no file is touched here. A place begins with `<!-- table: NAME -->` and ends with
`<!-- end of table -->`; all between is replaced.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence

from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.requirement_list import REQUIREMENTS
from hoistplank.lab.scale.requirements import (
    Basis,
    BudgetSum,
    Figure,
    figures,
    not_measured,
    over_budget,
    sums,
)
from hoistplank.lab.scale.roles import ROLES
from hoistplank.lab.scale.slopes import Fit, judge

PLACE = re.compile(r"<!-- table: ([^>]+?) -->\n(.*?)<!-- end of table -->", re.DOTALL)
SIGNIFICANT = 3
SMALLEST_SHOWN = 1e-6


class PageError(Exception):
    """A page whose places can't be filled; the text names the place."""


def number(value: float) -> str:
    """Three significant digits, with separators and without an exponent."""
    if value == 0 or abs(value) < SMALLEST_SHOWN:
        return "0"
    rounded = float(f"{value:.{SIGNIFICANT}g}")
    if abs(rounded) >= 10**SIGNIFICANT:
        return f"{rounded:,.0f}"
    return f"{rounded:.10f}".rstrip("0").rstrip(".")


def row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A Markdown table, or a line that says that there is nothing."""
    if not rows:
        return "None.\n"
    lines = [row(head), row(["---"] * len(head)), *(row(cells) for cells in rows)]
    return "\n".join(lines) + "\n"


def slope_text(figure: Figure) -> str:
    """`intercept + slope per variable [interval]`, and the form where it is not a line."""
    fit = figure.slope.chosen()
    unit = (
        f"{figure.measured_unit} a {fit.form.value if not figure.slope.line_fits else 'unit'} of {figure.per}"
    )
    if figure.slope.line_fits:
        unit = f"{figure.measured_unit} / {figure.per}"
    interval = f"[{number(fit.slope_low)}, {number(fit.slope_high)}]"
    text = f"{number(fit.slope)} {interval} {unit}"
    if figure.requirement.basis is Basis.AT_SIZE and abs(fit.intercept) > 0:
        text += f", from {number(fit.intercept)}"
    return text


def value_text(figure: Figure) -> str:
    """The value with its interval and unit; extrapolated ones say so."""
    unit = figure.requirement.unit.name
    text = f"**{number(figure.value)}** {unit} [{number(figure.low)}, {number(figure.high)}]"
    return text + (" *extrapolated*" if figure.extrapolated else "")


def size_text(figure: Figure) -> str:
    parts = (figure.requirement.size.text, figure.requirement.times.text)
    return " × ".join(part for part in parts if part)


def budget_text(figure: Figure) -> str:
    budget = figure.requirement.budget
    if budget is None:
        return "-"
    if figure.left < 0:
        return f"{number(budget.most)}; **over: {number(figure.budget_share)} ×**"
    return f"{number(budget.most)}; left {number(figure.left)}"


def role_table(role: str, worked_out: Sequence[Figure]) -> str:
    """All figures of one role."""
    head = ("what", "slope [95 %]", "× size", "= at the target [95 %]", "budget; left", "carried by")
    rows = []
    for figure in worked_out:
        if figure.requirement.role == role:
            mechanism = figure.requirement.mechanism
            carried = f"{mechanism.name}, `{mechanism.module}`"
            rows.append(
                (
                    figure.requirement.title,
                    slope_text(figure),
                    size_text(figure),
                    value_text(figure),
                    budget_text(figure),
                    carried.replace("(`", "(").replace("`)", ")"),
                )
            )
    return table(head, rows)


def budget_table(found: Sequence[BudgetSum]) -> str:
    """What the steady state takes of each budget."""
    rows = [
        (
            row.budget.title,
            f"{number(row.budget.most)} {row.budget.unit}",
            f"{number(row.value)} ({row.parts} figures)",
            number(row.left),
        )
        for row in found
    ]
    return table(("budget", "most", "steady state, sum of counted figures", "left"), rows)


def over_table(worked_out: Sequence[Figure]) -> str:
    """The figures above their budgets, ranked by factor."""
    rows = []
    for figure in over_budget(worked_out):
        budget = figure.requirement.budget
        assert budget is not None
        rows.append(
            (
                f"{figure.requirement.role}: {figure.requirement.title}",
                value_text(figure),
                f"{number(budget.most)} {budget.unit} ({budget.title})",
                f"{number(figure.budget_share)} ×",
            )
        )
    return table(("figure", "at the target", "budget", "factor"), rows)


def fits_table(measurements: Sequence[Measurement]) -> str:
    """Each slope measured: sizes, points, residual, and the form that describes it."""
    rows = []
    for role, quantity in dict.fromkeys((one.role, one.quantity) for one in measurements if one.per):
        chosen = [one for one in measurements if (one.role, one.quantity) == (role, quantity)]
        slope = judge([one.size for one in chosen], [one.value for one in chosen])
        line = slope.line
        fitting = "a line" if slope.line_fits else f"**no line: {slope.best.form.value}**"
        rows.append(
            (
                f"{role}: {quantity}",
                f"{chosen[0].unit} / {chosen[0].per}",
                f"{number(line.least_size)} to {number(line.most_size)}",
                f"{line.sizes}; {line.points}",
                f"{number(line.slope)} [{number(line.slope_low)}, {number(line.slope_high)}]",
                residual_text(line),
                fitting,
                chosen[-1].notes or "-",
            )
        )
    head = ("quantity", "unit", "sizes", "sizes; points", "slope [95 %]", "residual", "fits", "notes")
    return table(head, rows)


def residual_text(line: Fit) -> str:
    """The standard deviation around the line, beside the line's value at the largest size."""
    largest = line.at(line.most_size).value
    share = f" ({line.residual / abs(largest):.1%} of the largest)" if largest else ""
    return number(line.residual) + share


def runs_table(measurements: Sequence[Measurement]) -> str:
    """The runs that the page rests on."""
    counts: dict[str, int] = {}
    for one in measurements:
        counts[one.run] = counts.get(one.run, 0) + 1
    return table(("run", "measurements"), [(run, f"{count:,}") for run, count in counts.items()])


def plain_table(measurements: Sequence[Measurement]) -> str:
    """Measurements that are no slope's points, such as percentiles of delays."""
    rows = [
        (one.role, one.quantity, f"{number(one.value)} {one.unit}", one.notes or "-", one.run)
        for one in measurements
        if not one.per
    ]
    return table(("role", "quantity", "value", "notes", "run"), rows)


def not_measured_table(measurements: Sequence[Measurement]) -> str:
    """The requirements without a measurement."""
    rows = [(row.role, row.title) for row in not_measured(REQUIREMENTS, measurements)]
    return table(("role", "not measured"), rows)


def generated(measurements: Sequence[Measurement]) -> dict[str, Callable[[], str]]:
    """Every table by the name of its place. Raises ValueError where a slope can't be drawn."""
    worked_out = figures(REQUIREMENTS, measurements)
    tables: dict[str, Callable[[], str]] = {
        role: lambda role=role: role_table(role, worked_out)  # type: ignore[misc]
        for role in ROLES
    }
    tables["budgets"] = lambda: budget_table(sums(worked_out))
    tables["over budget"] = lambda: over_table(worked_out)
    tables["fits"] = lambda: fits_table(measurements)
    tables["runs"] = lambda: runs_table(measurements)
    tables["measured at one size"] = lambda: plain_table(measurements)
    tables["not measured"] = lambda: not_measured_table(measurements)
    return tables


def rewritten(page: str, measurements: Sequence[Measurement]) -> str:
    """The page with its tables made anew. Raises PageError, and ValueError where no slope can be drawn."""
    tables = generated(measurements)
    begins, places = page.count("<!-- table: "), PLACE.findall(page)
    if begins != len(places) or begins != page.count("<!-- end of table -->"):
        raise PageError("a place for a table does not end with '<!-- end of table -->'")
    if not places:
        raise PageError("there is no place for a table")

    def fill(found: re.Match[str]) -> str:
        name = found.group(1)
        if name not in tables:
            raise PageError(f"no table is called '{name}': {', '.join(tables)}")
        return f"<!-- table: {name} -->\n\n{tables[name]()}\n<!-- end of table -->"

    return PLACE.sub(fill, page)
