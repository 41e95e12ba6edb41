"""One self-contained HTML page of a capacity run: each slope's points and line, the target and its budget."""

from __future__ import annotations

import html
from collections.abc import Sequence

import matplotlib.pyplot as plt
import numpy as np
from matplotlib.axes import Axes

from hoistplank.lab.report import STYLE, svg
from hoistplank.lab.scale.measurements import Measurement, of_quantity
from hoistplank.lab.scale.requirement_list import REQUIREMENTS
from hoistplank.lab.scale.requirements import Basis, Figure, figures
from hoistplank.lab.scale.slopes import Slope, judge
from hoistplank.lab.scale.tables import number, size_text, value_text

CURVE_POINTS = 100
MOST_STRETCH = 30  # times the largest size measured: beyond it the points would be one


def _draw_slope(axes: Axes, slope: Slope, rows: Sequence[Measurement], furthest: float) -> None:
    axes.plot([row.size for row in rows], [row.value for row in rows], "o", color="#1f5fa8", ms=4)
    sizes = np.linspace(0, furthest, CURVE_POINTS)
    chosen = slope.chosen()
    axes.plot(sizes, [chosen.at(float(size)).value for size in sizes], color="#333", lw=1)
    axes.set_xlabel(rows[0].per)
    axes.set_ylabel(rows[0].unit)


def _draw_target(axes: Axes, figure: Figure) -> None:
    requirement = figure.requirement
    axes.axvline(requirement.size.value, color="#14630f", lw=0.8, ls=":")
    if requirement.budget is not None:
        measured = requirement.budget.most / (requirement.times.value * requirement.unit.factor)
        axes.axhline(measured, color="#a40000", lw=0.8, ls="--")


def _plot(rows: Sequence[Measurement], wanted: Sequence[Figure]) -> str:
    slope = judge([row.size for row in rows], [row.value for row in rows])
    largest = max(row.size for row in rows)
    shown = [
        figure
        for figure in wanted
        if figure.requirement.basis is Basis.AT_SIZE
        and figure.requirement.size.value <= MOST_STRETCH * largest
    ]
    furthest = max([largest, *(figure.requirement.size.value for figure in shown)])
    drawn, axes = plt.subplots(figsize=(6, 2.6))
    _draw_slope(axes, slope, rows, furthest)
    top = axes.get_ylim()[1]
    for figure in shown:
        _draw_target(axes, figure)
    axes.set_ylim(0, top * 1.05)
    fitting = "a line fits" if slope.line_fits else f"no line: {slope.best.form.value}"
    first = rows[0]
    growth = f"{number(slope.line.slope)} {first.unit} / {first.per}"
    words = f"{first.role}: {first.quantity}; {growth}, {fitting}"
    return svg(drawn, words)


def _told(wanted: Sequence[Figure]) -> str:
    lines = []
    for figure in wanted:
        text = f"{figure.requirement.title}: {size_text(figure)} = {value_text(figure)}"
        over = ' class="worse"' if figure.budget_share > 1 else ""
        lines.append(f"<li{over}>{html.escape(text.replace('*', ''))}</li>")
    return "<ul>" + "".join(lines) + "</ul>" if lines else ""


def page(measurements: Sequence[Measurement]) -> str:
    """The whole page; the dotted line is the target's size, the dashed one its budget."""
    worked_out = figures(REQUIREMENTS, measurements)
    parts = ["<h1>Capacity: measured slopes</h1>"]
    role = ""
    for key in dict.fromkeys((one.role, one.quantity) for one in measurements if one.per):
        if key[0] != role:
            role = key[0]
            parts.append(f"<h2>{html.escape(role)}</h2>")
        wanted = [figure for figure in worked_out if figure.requirement.source == key]
        parts.append(_plot(of_quantity(measurements, *key), wanted))
        parts.append(_told(wanted))
    head = f'<meta charset="utf-8"><title>Capacity</title><style>{STYLE}</style>'
    return f'<!doctype html><html lang="en"><head>{head}</head><body>{"".join(parts)}</body></html>\n'
