"""The HTML page of a fleet's scenes: utility by location, rejections and use of shared resources over time.

Faults are marked, and two runs stand side by side. It uses the plots and styles of the laboratory's report.
"""

from __future__ import annotations

import html
from typing import Any

import matplotlib.pyplot as plt
from matplotlib.axes import Axes

from hoistplank.lab.fleet.metrics import BIN
from hoistplank.lab.fleet.virtual import SAMPLE_US
from hoistplank.lab.model.world_settings import SECOND_US
from hoistplank.lab.report import STYLE, Rows, svg, table_row

SMOOTH = 5  # bins of utility that a point of the plot stands for
MOST_BESIDE = 4


def _mark_faults(axes: Axes, row: dict[str, Any]) -> None:
    """Where faults begin and end."""
    for begin, end, _ in row["fleet"]["marks"]:
        axes.axvspan(begin, max(end, begin + 0.02), color="#a40000", alpha=0.10, lw=0)
        axes.axvline(begin, color="#a40000", lw=0.8, ls=":")


def _smooth(values: list[float]) -> list[float]:
    return [sum(values[at : at + SMOOTH]) for at in range(0, len(values) - SMOOTH + 1, SMOOTH)]


def _draw_earned(axes: Axes, row: dict[str, Any]) -> None:
    for zone, (asked, earned) in enumerate(
        zip(row["fleet"]["asked_in"], row["fleet"]["earned_in"], strict=True)
    ):
        shares = [e / a if a else float("nan") for a, e in zip(_smooth(asked), _smooth(earned), strict=True)]
        times = [(n + 0.5) * SMOOTH * BIN / SECOND_US for n in range(len(shares))]
        axes.plot(times, shares, label=f"z{zone}", lw=1.3)
    axes.set_ylim(0, 1.05)
    axes.set_ylabel("earned of asked")
    axes.legend(fontsize=7, ncols=3, loc="lower right")


def _draw_rejected(axes: Axes, row: dict[str, Any]) -> None:
    for class_name, many in row["fleet"]["refused_in"].items():
        rows = _smooth(many)
        axes.step(
            [n * SMOOTH * BIN / SECOND_US for n in range(len(rows))],
            rows,
            where="post",
            label=class_name,
            lw=1.1,
        )
    axes.set_ylabel("rejected, tries")
    axes.legend(fontsize=7, ncols=3, loc="upper right")


def _draw_shared(axes: Axes, row: dict[str, Any], prefix: str, label: str) -> None:
    shared = {name: resource for name, resource in row["fleet"]["shared"].items() if name.startswith(prefix)}
    for name, resource in shared.items():
        values = resource["by_time"]
        axes.plot([n * SAMPLE_US / SECOND_US for n in range(len(values))], values, label=name, lw=0.9)
    axes.axhline(1.0, color="#555", lw=0.8, ls="--")
    axes.set_ylabel(label)
    axes.legend(fontsize=7, ncols=3, loc="upper right")


PLOTS = (
    (_draw_earned, "Utility by location; faults shaded"),
    (_draw_rejected, "Tries rejected, by traffic class"),
    (
        lambda axes, row: _draw_shared(axes, row, "link z", "of its capacity"),
        "What all held of each location's link",
    ),
    (
        lambda axes, row: _draw_shared(axes, row, "link p", "of its capacity"),
        "What all held of each parent's link",
    ),
    (
        lambda axes, row: _draw_shared(axes, row, "cold", "of its budget"),
        "The fullest cold host, of its budget",
    ),
)


def _plots(runs: Rows) -> str:
    out = []
    for draw, words in PLOTS:
        figure, many = plt.subplots(1, len(runs), figsize=(4.6 * len(runs) + 0.6, 2.4), squeeze=False)
        for axes, row in zip(many[0], runs, strict=True):
            draw(axes, row)
            _mark_faults(axes, row)
            axes.set_title(_title(row), fontsize=8)
            axes.set_xlabel("seconds", fontsize=8)
        out.append(svg(figure, words))
    return "".join(out)


def _title(row: dict[str, Any]) -> str:
    text = f", {row['revision']}" if row.get("revision") else ""
    return f"{row['drive']}, {row['policy']}, seed {row['seed']}{text}"


def _table(runs: Rows) -> str:
    out = ["<table><caption>Whole scene</caption>"]
    out.append(
        table_row(
            [
                "run",
                "earned",
                "attempts a first try",
                "tries a request",
                "fair",
                "fullest cold host",
                "rules broken",
            ],
            "th",
        )
    )
    for row in runs:
        fleet = row["fleet"]
        out.append(
            table_row(
                [
                    html.escape(_title(row)),
                    f"{row['score']:.3f}",
                    f"{fleet['amplified']:.2f}",
                    f"{fleet['asked_again']:.2f}",
                    f"{fleet['fair']:.3f}",
                    f"{row['coldest']:.2f}",
                    f"{int(sum(row['broken'].values()))}",
                ]
            )
        )
    return "".join(out) + "</table>"


def _bounds(row: dict[str, Any]) -> str:
    if not row["fleet"]["bounds"]:
        return ""
    lines = [
        f"<li class={'better' if one['holds'] else 'broken'}>{html.escape(one['bound'])}: "
        f"{one['figure']:.3f}</li>"
        for one in row["fleet"]["bounds"]
    ]
    return f"<p>Bounds, {html.escape(_title(row))}:</p><ul>{''.join(lines)}</ul>"


def _displaced(row: dict[str, Any]) -> str:
    displaced = row["fleet"]["displaced"]
    if not displaced:
        return ""
    kinds = list(next(iter(displaced.values())))
    out = ["<table><caption>Displaced tries, and what became of them</caption>"]
    out.append(table_row(["clients", *kinds], "th"))
    for name, many in displaced.items():
        out.append(table_row([html.escape(name), *(str(many[kind]) for kind in kinds)]))
    return "".join(out) + "</table>"


def page(rows: Rows, beside: Rows) -> str:
    """The whole page; of each scene the first runs, and those of `beside`, stand side by side."""
    names = list(dict.fromkeys(row["day"] for row in rows))
    links = "".join(f'<a href="#s{n}">{html.escape(name)}</a>' for n, name in enumerate(names))
    summary = f"<p>{len(rows)} runs. All figures are emulated.</p>"
    parts = [f"<h1>Scenes of the fleet</h1>{summary}<nav>{links}</nav>"]
    for n, name in enumerate(names):
        runs = [row for row in [*rows, *beside] if row["day"] == name][:MOST_BESIDE]
        parts.append(f'<h2 id="s{n}">{html.escape(name)}</h2>')
        parts.append(f"<pre>{html.escape(runs[0]['script'] or 'no faults')}</pre>")
        parts += [_table(runs), *(_bounds(row) for row in runs), _displaced(runs[0]), _plots(runs)]
    head = f'<meta charset="utf-8"><title>Scenes of the fleet</title><style>{STYLE}</style>'
    return f'<!doctype html><html lang="en"><head>{head}</head><body>{"".join(parts)}</body></html>\n'
