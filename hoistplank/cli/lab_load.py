"""`hoistplank lab load`: the load tool, for a dispatcher on loopback."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, TextIO, TypedDict, Unpack

import click
import msgspec
from rich.table import Table

from hoistplank.cli.failure import fail
from hoistplank.cli.lab_output import ROUNDED_COUNT, Row, progress_bar, table_console

if TYPE_CHECKING:
    from hoistplank.lab.load.messages import LoadSettings, Progress
    from hoistplank.lab.load.result import LoadResult
    from hoistplank.lab.load.schedule import Step
    from hoistplank.lab.load.traffic_mix import ClassShare

VOID = 3  # exit code
QUANTILES = (50, 90, 99, 99.9, 100)


class LoadOptions(TypedDict):
    """The options of the command, by the parameter names that click passes."""

    steps: str
    classes: str
    processes: int
    connections: int
    fresh: float
    objects: int
    zipf: float
    groups: int
    deadline_ms: int
    tokens: TextIO | None
    ca: str | None
    cert: str | None
    late_ms: float
    seed: int
    out: str | None
    as_json: bool


@click.command()
@click.argument("address")
@click.option(
    "--plan",
    "steps",
    default="10s:100",
    show_default=True,
    help="Steps and ramps, such as '10s:500 5s:500-2000'.",
)
@click.option(
    "--tracks",
    "classes",
    default="page=1",
    show_default=True,
    help="Traffic classes, such as 'page=9 booking=1!'.",
)
@click.option("--processes", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option(
    "--connections", type=click.IntRange(1, 1_000), default=4, show_default=True, help="Per process."
)
@click.option(
    "--fresh", type=click.FloatRange(0, 1), default=0.0, help="Share of requests on new connections."
)
@click.option("--objects", type=click.IntRange(1, 10_000_000), default=1_000, show_default=True)
@click.option("--zipf", type=click.FloatRange(0, 3), default=1.0, show_default=True)
@click.option(
    "--groups", type=click.IntRange(1, 255), default=1, show_default=True, help="Number of tenant groups."
)
@click.option("--deadline-ms", type=click.IntRange(1, 600_000), default=1_500, show_default=True)
@click.option(
    "--tokens", type=click.File("r"), help="File with one token per line, used for the groups in turn."
)
@click.option("--ca", type=click.Path(exists=True), help="Use TLS, and trust this CA (PEM).")
@click.option("--cert", type=click.Path(exists=True), help="Client certificate and key in one file (PEM).")
@click.option(
    "--late-ms",
    type=click.FloatRange(0.1),
    default=5.0,
    show_default=True,
    help="The run is void if the tool is later than this at p99.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(), help="File for the raw result with its histograms, as JSON.")
@click.option("--json", "as_json", is_flag=True)
def load(address: str, **options: Unpack[LoadOptions]) -> None:
    """Load the dispatcher at ADDRESS on loopback, in an open loop.

    Plan: steps and ramps, SECONDS:RATE or SECONDS:RATE-RATE. Traffic classes: NAME=WEIGHT, with '!' for an
    operation key per request. Exit code 1: not all requests were answered. 3: void, the tool itself was late.
    """
    from hoistplank.lab.load.errors import LoadPlanError
    from hoistplank.lab.load.schedule import parse_schedule
    from hoistplank.lab.load.traffic_mix import parse_mix

    host, _, port = address.rpartition(":")
    if not host.startswith("127.") or not port.isdecimal():
        fail(f"'{address}', expected a loopback address with a port, such as 127.0.0.1:9000")
    try:
        steps, mix = parse_schedule(options["steps"]), parse_mix(options["classes"])
    except LoadPlanError as error:
        fail(str(error))
    load_result = _run((host, int(port)), steps, mix, options)
    result: Row = msgspec.to_builtins(load_result)
    if options["out"]:
        Path(options["out"]).write_text(json.dumps(result))
    shown = {name: value for name, value in result.items() if name != "histograms"}
    if options["as_json"]:
        click.echo(json.dumps(shown))
    else:
        _print_result(shown)
    if load_result.is_void:
        lateness_ms = load_result.lateness_ms["p99"]
        click.echo(f"void: the tool itself was late ({lateness_ms} ms at p99)", err=True)
        sys.exit(VOID)
    counts = load_result.counts
    sys.exit(0 if counts.get("answered") == counts["sent"] else 1)


def _run(
    address: tuple[str, int], steps: tuple[Step, ...], mix: tuple[ClassShare, ...], options: LoadOptions
) -> LoadResult:
    """Runs the load and shows its progress."""
    from hoistplank.lab.load.coordinator import run_load
    from hoistplank.lab.load.errors import LoadError

    processes = options["processes"]
    sent = [0] * processes
    with progress_bar(ROUNDED_COUNT) as progress:
        task = progress.add_task("requests", total=sum(step.requests() for step in steps))

        def report_part(part: int, row: Progress) -> None:
            sent[part] = row.sent
            progress.update(task, completed=sum(sent))

        settings, max_lateness_ms = _load_settings(options), options["late_ms"]
        work = run_load(address, steps, mix, processes, settings, report_part, max_lateness_ms)
        try:
            return asyncio.run(work)
        except LoadError as error:
            raise click.ClickException(str(error)) from None


def _load_settings(options: LoadOptions) -> LoadSettings:
    from hoistplank.lab.load.messages import LoadSettings

    tokens = options["tokens"]
    return LoadSettings(
        connections=options["connections"],
        fresh_share=options["fresh"],
        objects=options["objects"],
        zipf=options["zipf"],
        groups=options["groups"],
        deadline_ms=options["deadline_ms"],
        tokens=tuple(tokens.read().split()) if tokens else (),
        ca=options["ca"] or "",
        certificate=options["cert"] or "",
        seed=options["seed"],
    )


def _print_result(result: Row) -> None:
    table = Table(
        title=f"{result['rate']:g} requests per second over {result['seconds']:g} s; "
        "latencies in ms from the due time"
    )
    for word in ("track", "statuses", "p50", "p90", "p99", "p99.9", "most"):
        table.add_column(word, justify="left" if word in ("track", "statuses") else "right")
    rows = [(name, row["statuses"], row["ms"]) for name, row in result["tracks"].items()]
    for name, statuses, times in [*rows, ("(own lateness)", {}, result["late_ms"])]:
        counts = ", ".join(f"{count} x {status}" for status, count in sorted(statuses.items()))
        table.add_row(name, counts, *(f"{times.get(f'p{q:g}', 0):.1f}" for q in QUANTILES))
    table_console().print(table)
    click.echo("  ".join(f"{name}: {count}" for name, count in result["counts"].items() if count))
