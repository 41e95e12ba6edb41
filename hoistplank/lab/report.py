"""Renders an experiment's results as one self-contained HTML page: plots as SVG, tables, no network access,
readable in print.
"""

from __future__ import annotations

import html
import io
from collections import defaultdict
from statistics import fmean
from typing import Any

import matplotlib

matplotlib.use("svg")

import matplotlib.pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from hoistplank.lab.statistics import difference, interval, share_of_gap
from hoistplank.lab.worker import BINS

LOWER_BOUND, UPPER_BOUND = "random", "seer"
MAX_PLOTTED_DAYS = 12  # the tables contain all days
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 60em; padding: 0 1em; color: #222 }
h1 { font-size: 1.6em } h2 { margin-top: 2em; border-bottom: 1px solid #bbb } h3 { margin-bottom: .3em }
table { border-collapse: collapse; margin: 1em 0; font-variant-numeric: tabular-nums }
th, td { padding: .25em .7em; text-align: right; border-bottom: 1px solid #ddd }
th:first-child, td:first-child { text-align: left } caption { text-align: left; color: #555 }
figure { margin: 1em 0 } figcaption { color: #555; font-size: .9em } svg { max-width: 100%; height: auto }
.worse { color: #a40000 } .better { color: #14630f } .broken { font-weight: bold; color: #a40000 }
nav a { margin-right: 1em }
@media print { nav { display: none } h2, figure, table { break-inside: avoid } body { max-width: none } }
"""
Rows = list[dict[str, Any]]


def svg(figure: Figure, caption: str) -> str:
    """Returns a figure as inline SVG, with `caption` as its caption and alternative text."""
    out = io.StringIO()
    with plt.rc_context({"svg.fonttype": "none", "svg.hashsalt": "hoistplank"}):
        figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    text = text[text.index("<svg") :].replace(
        "<svg", f'<svg role="img" aria-label="{html.escape(caption)}"', 1
    )
    return f"<figure>{text}<figcaption>{html.escape(caption)}</figcaption></figure>"


def _mark_faults(axes: Axes, happened: list[dict[str, Any]]) -> None:
    for n, event in enumerate(happened[:12]):
        axes.axvline(event["at"], color="#a40000", lw=0.8, ls=":")
        position = (event["at"], 0.02 + 0.05 * (n % 4))
        axes.annotate(event["what"][:48], position, xycoords=("data", "axes fraction"), fontsize=6)


def _policies(rows: Rows) -> list[str]:
    return list(dict.fromkeys(row["policy"] for row in rows))


def _mean(rows: Rows, **fits: Any) -> float:
    scores = [row["score"] for row in rows if all(row[name] == value for name, value in fits.items())]
    return fmean(scores) if scores else float("nan")


def _broken(rows: Rows, **fits: Any) -> int:
    mine = [row for row in rows if all(row[name] == value for name, value in fits.items())]
    return int(sum(sum(row["broken"].values()) for row in mine))


def table_row(cells: list[str], kind: str = "td") -> str:
    """Returns a row of an HTML table, with `kind` as the element of its cells."""
    return "<tr>" + "".join(f"<{kind}>{cell}</{kind}>" for cell in cells) + "</tr>"


def scores(rows: Rows) -> str:
    """Returns a table of utility by day, size and policy.

    Where both bounds were run, it adds the module's share of the gap between them.
    """
    policies, out = _policies(rows), ["<table><caption>Share of all utility, mean over seeds</caption>"]
    has_bounds = LOWER_BOUND in policies and UPPER_BOUND in policies and "module" in policies
    head = ["day", "cache hosts", *policies]
    out.append(
        table_row(
            [*head, f"module, share of the gap from {LOWER_BOUND} to {UPPER_BOUND}"] if has_bounds else head,
            "th",
        )
    )
    for day, size in dict.fromkeys((row["day"], row["size"]) for row in rows):
        by = {policy: _mean(rows, day=day, size=size, policy=policy) for policy in policies}
        cells = [html.escape(day), str(size)]
        for policy, figure in by.items():
            broken = _broken(rows, day=day, size=size, policy=policy)
            cells.append(f"<span class=broken>{figure:.3f}!</span>" if broken else f"{figure:.3f}")
        if has_bounds:
            cells.append(f"{share_of_gap(by['module'], by[LOWER_BOUND], by[UPPER_BOUND]):.2f}")
        out.append(table_row(cells))
    return (
        "".join(out) + "</table><p>In runs of a figure with !, rules were broken; they are listed below.</p>"
    )


def paired(rows: Rows, base: str) -> list[tuple[str, int, Any]]:
    """Returns each other policy and size with its paired difference from `base` over days and seeds."""
    differences = []
    by = {(row["policy"], row["day"], row["size"], row["seed"]): row["score"] for row in rows}
    for policy in _policies(rows):
        for size in dict.fromkeys(row["size"] for row in rows):
            keys = [key[1:] for key in by if key[0] == policy and key[2] == size and (base, *key[1:]) in by]
            if policy != base and keys:
                first, second = [by[base, *key] for key in keys], [by[policy, *key] for key in keys]
                differences.append((policy, size, difference(first, second)))
    return differences


def _differences(rows: Rows, base: str) -> str:
    differences = paired(rows, base)
    if not differences:
        return ""
    out = [f"<h2>Against {html.escape(base)}</h2><table>"]
    out.append("<caption>Paired by day and seed, 95 % bootstrap interval</caption>")
    out.append(table_row(["policy", "cache hosts", "pairs", "difference", "interval", "verdict"], "th"))
    for policy, size, row in differences:
        verdict = f"<span class={row.verdict.split(',')[0]}>{row.verdict}</span>"
        bounds = f"{row.low:+.4f} to {row.high:+.4f}"
        out.append(
            table_row([html.escape(policy), str(size), str(row.pairs), f"{row.mean:+.4f}", bounds, verdict])
        )
    figure, axes = plt.subplots(figsize=(7, 0.6 + 0.32 * len(differences)))
    for n, (_, _, row) in enumerate(differences):
        low, high = (row.low, row.high) if row.pairs > 2 else (row.mean, row.mean)
        axes.plot([low, high], [n, n], color="#333", lw=2)
        axes.plot([row.mean], [n], "o", color="#1f5fa8")
    axes.axvline(0, color="#999", lw=0.8)
    axes.set_yticks(
        range(len(differences)), [f"{policy}, {size}" for policy, size, _ in differences], fontsize=8
    )
    axes.invert_yaxis()
    axes.set_xlabel(f"share of all utility minus that of {base}")
    caption = f"Difference of each policy and size from {base}, with its 95 % interval"
    return "".join(out) + "</table>" + svg(figure, caption)


def _over_time(rows: Rows, day: str, size: int) -> str:
    figure, axes = plt.subplots(figsize=(8, 2.6))
    chosen = [row for row in rows if row["day"] == day and row["size"] == size]
    seed = chosen[0]["seed"]
    for policy in _policies(chosen):
        row = next((row for row in chosen if row["policy"] == policy and row["seed"] == seed), None)
        if row is not None:
            shares = [e / a if a else float("nan") for e, a in zip(row["earned"], row["asked"], strict=True)]
            axes.plot([n + 0.5 for n in range(len(shares))], shares, label=policy, lw=1.3)
    _mark_faults(axes, chosen[0]["happened"])
    axes.set_ylim(0, 1.05)
    axes.set_xlabel("seconds of the day")
    axes.set_ylabel("utility earned / requested")
    axes.legend(fontsize=7, ncols=3, loc="lower right")
    caption = f"Utility by second, day {day}, {size} cache hosts, seed {seed}; dotted lines are faults"
    return svg(figure, caption)


def _host_loads(row: dict[str, Any]) -> str:
    loads = [list(values) for values in zip(*row["loads"], strict=True)] if row["loads"] else []
    if not loads:
        return ""
    figure, axes = plt.subplots(figsize=(8, 1.2 + 0.09 * len(loads)))
    extent = (0, len(loads[0]), len(loads), 0)
    image = axes.imshow(loads, aspect="auto", vmin=0, vmax=1.0, cmap="viridis", extent=extent)
    step = max(1, len(loads) // 16)
    axes.set_yticks([n + 0.5 for n in range(0, len(loads), step)], row["hosts"][::step], fontsize=6)
    axes.set_xlabel("seconds of the day")
    figure.colorbar(image, label="share of link capacity")
    caption = (
        f"Load of each host's link by second, {row['policy']} on {row['day']}, seed {row['seed']}; 1 is full"
    )
    return svg(figure, caption)


def _latencies(rows: Rows, day: str, size: int) -> str:
    figure, axes = plt.subplots(figsize=(8, 2.4))
    for policy in _policies(rows):
        total = [0] * (len(BINS) + 1)
        for row in rows:
            if (row["day"], row["size"], row["policy"]) == (day, size, policy):
                for counts in row["times"].values():
                    total = [a + b for a, b in zip(total, counts, strict=True)]
        count, below, shares = sum(total), 0, []
        for count in total[:-1]:
            below += count
            shares.append(below / count if count else 0)
        axes.step(BINS, shares, where="post", label=policy, lw=1.3)
    axes.set_xscale("log")
    axes.set_xlabel("ms from a client's first request to its answer")
    axes.set_ylabel("share of served requests")
    axes.legend(fontsize=7)
    return svg(
        figure, f"Distribution of the latencies of served requests on the day {day}, {size} cache hosts"
    )


def _losses(rows: Rows) -> str:
    policies = _policies(rows)
    causes: defaultdict[str, dict[str, float]] = defaultdict(dict)
    for policy in policies:
        mine = [row for row in rows if row["policy"] == policy]
        asked = sum(sum(row["asked"]) for row in mine)
        for cause in {cause for row in mine for cause in row["lost"]}:
            causes[cause][policy] = sum(row["lost"].get(cause, 0.0) for row in mine) / asked
    out = ["<h2>Lost utility by cause</h2><table>"]
    out.append("<caption>Share of all requested utility, all days</caption>")
    out.append(table_row(["cause", *(html.escape(name) for name in policies)], "th"))
    for cause, by in sorted(causes.items(), key=lambda pair: -max(pair[1].values())):
        cells = "".join(f"<td>{by.get(name, 0.0):.4f}</td>" for name in policies)
        out.append(f"<tr><td>{html.escape(cause)}</td>{cells}</tr>")
    return "".join(out) + "</table>"


def _violations(rows: Rows) -> str:
    lines = [
        f"<li>{html.escape(row['policy'])} on {html.escape(row['day'])}, {row['size']}, seed {row['seed']}: "
        f"{html.escape(line)}</li>"
        for row in rows
        for line in row["breaches"][:3]
    ]
    violations = "<ul>" + "".join(lines[:60]) + "</ul>" if lines else "<p>The checkers found none.</p>"
    return "<h2>Rules broken</h2>" + violations


def page(rows: Rows, base: str = "module") -> str:
    """Returns the whole report as HTML. `rows` are those of `results.load`, at least one."""
    first = rows[0]
    if base not in _policies(rows):
        base = first["policy"]
    seeds = sorted({row["seed"] for row in rows})
    days = list(dict.fromkeys((row["day"], row["size"]) for row in rows))
    low, high = interval([row["score"] for row in rows if row["policy"] == base])
    clock = "in virtual time" if first["drive"] == "virtual" else "in real time on sockets"
    revision, machine = html.escape(first["revision"] or "unknown"), html.escape(first["machine"])
    summary = (
        f"<p>{len(rows)} days {clock}, {first['seconds']:g} s each, seeds {', '.join(map(str, seeds))}; "
        f"revision {revision}, {machine}. All figures are emulated. {html.escape(base)}: "
        f"{_mean(rows, policy=base):.3f}, 95 % interval of its days {low:.3f} to {high:.3f}.</p>"
    )
    parts = [f"<h1>Experiment {html.escape(first['experiment'])}</h1>", summary]
    shown_days = list(enumerate(days[:MAX_PLOTTED_DAYS]))
    links = "".join(f'<a href="#d{n}">{html.escape(day)} {size}</a>' for n, (day, size) in shown_days)
    parts += [f"<nav>{links}</nav>", "<h2>Utility</h2>", scores(rows), _differences(rows, base)]
    parts += [_losses(rows), _violations(rows)]
    for n, (day, size) in shown_days:
        chosen = [row for row in rows if row["day"] == day and row["size"] == size]
        shown = next((row for row in chosen if row["policy"] == base), chosen[0])
        parts.append(f'<h2 id="d{n}">{html.escape(day)}, {size} cache hosts</h2>')
        parts.append(f"<pre>{html.escape(shown['script'] or 'no faults')}</pre>")
        parts += [_over_time(rows, day, size), _host_loads(shown), _latencies(rows, day, size)]
    head = f'<meta charset="utf-8"><title>{html.escape(first["experiment"])}</title><style>{STYLE}</style>'
    return f'<!doctype html><html lang="en"><head>{head}</head><body>{"".join(parts)}</body></html>\n'
