"""`hoistplank lab`: days, experiments, comparisons, reports and the load tool."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from hoistplank.cli.main import fail
from hoistplank.cli.scale import scale
from hoistplank.operator_configuration.faults import Faults

ROOT = Path(__file__).resolve().parents[2]


@click.group()
def lab() -> None:
    """An emulator of caches, parents and origin; load; experiments and reports.

    \b
    One day, now:        hoistplank lab day vanish
    An experiment:       hoistplank lab run deploy/lab/defences.sexp
    What it showed:      hoistplank lab report lab-results/defences
    Load a dispatcher:   hoistplank lab load 127.0.0.1:9000 --plan "10s:200" --tracks "page=9
    booking=1!"
    """


lab.add_command(scale)


def _console() -> Console:
    return Console(stderr=True)


@lab.command()
def days() -> None:
    """List the days by name, the policies, and the faults that a script may hold."""
    from hoistplank.lab.model.faults import DAYS, KINDS
    from hoistplank.lab.policies import names

    click.echo("days: calm, any, or some of these joined by '+'")
    for name, text in DAYS.items():
        click.echo(f"  {name:<12} {text}")
    click.echo(f"policies: {', '.join(names())}, text-REVISION")
    click.echo("faults:")
    for name, words in KINDS.items():
        told = " ".join(word if isinstance(word, str) else f"<{word.wants.split(',')[0]}>" for word in words)
        click.echo(f"  ({name} {told})")


@lab.command()
@click.argument("name", default="calm")
@click.option("--policy", default="module", show_default=True)
@click.option("--size", type=click.IntRange(1, 20_000), default=12, show_default=True, help="Cache hosts.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 3_600), default=20, show_default=True)
@click.option("--load", "share", type=click.FloatRange(0.05, 5), default=0.75, show_default=True)
@click.option("--sockets", is_flag=True, help="Against real dispatcher processes, in real time.")
@click.option("--json", "as_json", is_flag=True, help="The whole result as one JSON object.")
def day(
    name: str, policy: str, size: int, seed: int, seconds: float, share: float, sockets: bool, as_json: bool
) -> None:
    """Play one day by NAME, or the script of a file. Exit code 1: a rule was broken, or the day was void."""
    from hoistplank.lab.backends.sockets import RunTooLateError
    from hoistplank.lab.experiment import Cell
    from hoistplank.lab.model.faults import draw_day, script
    from hoistplank.lab.policies import UnknownPolicy
    from hoistplank.lab.worker import Job, play

    try:
        text = Path(name).read_text() if Path(name).is_file() else draw_day(name, seed, seconds)
        script(text, name)
        drive = "sockets" if sockets else "virtual"
        cell = Cell(Path(name).stem, text, size, seed, policy, seconds, 20.0, share, 20, 3, drive)
        found = play(Job(cell))
    except (OSError, ValueError, Faults, UnknownPolicy) as wrong:
        return fail(str(wrong))
    except (RunTooLateError, RuntimeError) as wrong:
        raise click.ClickException(str(wrong)) from None
    if as_json:
        click.echo(json.dumps(found))
    else:
        click.echo(f"{text or 'no faults'}")
        click.echo(
            f"earned {found['score']:.3f} of all that was asked for; {found['events']} events in "
            f"{found['took_s']:.1f} s"
        )
        for cause, lost in sorted(found["lost"].items(), key=lambda pair: -pair[1]):
            click.echo(f"  lost {lost / sum(found['asked']):.3f}  {cause}")
        for line in found["breaches"]:
            click.echo(f"  {line}")
    sys.exit(1 if any(found["broken"].values()) else 0)


@lab.command()
@click.argument("file", type=click.Path())
@click.option("--out", type=click.Path(), help="Folder for the results; lab-results/NAME else.")
@click.option("--workers", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
def run(file: str, out: str | None, workers: int) -> None:
    """Play the experiment of FILE; one that was cut off goes on where it was. Exit code 1: some cells
    failed.
    """
    from hoistplank.lab.experiment import Cell, read
    from hoistplank.lab.runner import Run, RunError

    try:
        experiment = read(Path(file).read_bytes(), file)
    except OSError as wrong:
        return fail(f"{file}: can't be read ({wrong.strerror})")
    except Faults as wrong:
        return fail(str(wrong))
    folder = Path(out) if out else Path("lab-results") / experiment.name
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}/{task.total}"))
    with Progress(*columns, TimeElapsedColumn(), console=_console(), transient=True) as progress:
        task = progress.add_task(experiment.name, total=len(experiment.cells))

        def told(done: int, many: int, cell: Cell, how: str) -> None:
            progress.update(task, completed=done)
            if how != "done":
                progress.console.print(
                    f"{cell.day} {cell.size} seed {cell.seed} {cell.policy}: {how}", markup=False
                )

        running = Run(experiment, folder, workers, told)
        if running.journal.cut:
            progress.console.print(f"{running.journal.cut} bytes of a cell that was cut off were let go")
        try:
            path = asyncio.run(running.go(ROOT))
        except RunError as wrong:
            raise click.ClickException(str(wrong)) from None
    click.echo(f"{path}: {len(experiment.cells) - len(running.failed)} of {len(experiment.cells)} cells")
    sys.exit(1 if running.failed else 0)


def _rows(path: str) -> list[dict[str, Any]]:
    from hoistplank.lab.results import BadResults, load

    try:
        return load(Path(path))
    except BadResults as wrong:
        fail(str(wrong))
        return []


@lab.command()
@click.argument("first", type=click.Path(exists=True))
@click.argument("second", type=click.Path(exists=True), required=False)
@click.option("--base", default="module", show_default=True, help="What others are compared with.")
@click.option("--json", "as_json", is_flag=True)
def compare(first: str, second: str | None, base: str, as_json: bool) -> None:
    """Paired differences with 95 % intervals and a verdict: policies of one result, or two results."""
    from hoistplank.lab.report import paired

    rows = _rows(first)
    if second is not None:
        # Two results: each policy of the second against the same one of the first.
        other = _rows(second)
        rows = [row | {"policy": "first"} for row in rows if row["policy"] == base]
        rows += [row | {"policy": "second"} for row in other if row["policy"] == base]
        base = "first"
    found = paired(rows, base)
    if not found:
        return fail(f"nothing to compare with '{base}': no pairs of the same day, size and seed")
    if as_json:
        click.echo(json.dumps([{"policy": p, "size": s, **d._asdict()} for p, s, d in found]))
        return
    table = Table(title=f"against {base}, paired by day and seed")
    for word in ("policy", "cache hosts", "pairs", "difference", "95 % interval", "verdict"):
        table.add_column(word)
    for policy, size, row in found:
        table.add_row(
            policy,
            str(size),
            str(row.pairs),
            f"{row.mean:+.4f}",
            f"{row.low:+.4f} to {row.high:+.4f}",
            row.verdict,
        )
    Console(width=110).print(table)


@lab.command()
@click.argument("results", type=click.Path(exists=True))
@click.argument("beside", type=click.Path(exists=True), required=False)
@click.option("--out", type=click.Path(), help="The page; report.html beside the results else.")
@click.option("--base", default="module", show_default=True)
def report(results: str, beside: str | None, out: str | None, base: str) -> None:
    """Write one HTML page of RESULTS: it needs no network, and prints. Of a fleet's scenes, those of a second
    run stand BESIDE.
    """
    from hoistplank.lab.fleet import pages
    from hoistplank.lab.report import page

    rows = _rows(results)
    if not rows:
        return fail(f"{results}: no rows")
    if beside is not None and not all(row["fleet"] for row in rows):
        return fail(f"{results}: a second run stands beside scenes of the fleet only")
    folder = Path(results) if Path(results).is_dir() else Path(results).parent
    path = Path(out) if out else folder / "report.html"
    if rows[0]["fleet"]:
        path.write_text(pages.page(rows, _rows(beside) if beside is not None else []))
    else:
        path.write_text(page(rows, base))
    click.echo(str(path))


@lab.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--only", default="", help="This scene alone, by its name.")
@click.option("--seed", "seeds", multiple=True, type=click.IntRange(0), help="May stand several times.")
@click.option("--drive", type=click.Choice(["processes", "virtual", "both"]), default="processes")
@click.option("--policy", "policies", multiple=True, help="In virtual time, beside the module.")
@click.option("--at-once", type=click.IntRange(1, 16), default=max(1, (os.cpu_count() or 1) // 3))
@click.option("--keep", type=click.Path(), help="A folder in which the dispatchers' files and logs stay.")
@click.option("--out", type=click.Path(), help="A folder for the results, which 'lab report' reads.")
@click.option("--json", "as_json", is_flag=True, help="A JSON object a run.")
def fleet(
    paths: tuple[str, ...],
    only: str,
    seeds: tuple[int, ...],
    drive: str,
    policies: tuple[str, ...],
    at_once: int,
    keep: str | None,
    out: str | None,
    as_json: bool,
) -> None:
    """Play the scenes of PATHS (files or folders) with many processes and faults between them.

    Exit code 0: all bounds held. 1: one did not, a rule was broken, or a process broke. 2: a scene can't be
    met; nothing was started. 3: the machine was too slow to tell.
    """
    from hoistplank.lab.fleet import runner
    from hoistplank.lab.policies import UnknownPolicy, policy

    try:
        chosen = runner.scenes(paths, only)
        for name in policies:
            policy(name)
    except (Faults, UnknownPolicy) as wrong:
        return fail(str(wrong))
    drives = ["processes", "virtual"] if drive == "both" else [drive]
    if not any(one in scene.drives for scene, _ in chosen for one in drives):
        return fail(f"none of these scenes plays in {drive} time: they name what only processes have")
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}/{task.total}"))
    with Progress(*columns, TimeElapsedColumn(), console=_console(), transient=True) as progress:
        task = progress.add_task("scenes", total=None)

        def told(done: int, many: int, found: dict[str, Any]) -> None:
            progress.update(task, completed=done, total=many, description=found["scene"])

        names = ["module", *(name for name in policies if name != "module")]
        place = Path(keep) if keep else None
        work = runner.played(chosen, drives, seeds or (1,), at_once, place, told, names)
        try:
            found = asyncio.run(runner.interruptible(work))
        except (KeyboardInterrupt, asyncio.CancelledError):
            raise click.ClickException("interrupted; nothing of it is left") from None
    if out is not None:
        from hoistplank.lab import results
        from hoistplank.lab.runner import revision

        folder, text = Path(out), revision(ROOT)
        folder.mkdir(parents=True, exist_ok=True)
        good = [row | {"revision": text} for row in found if row["how"] == "done"]
        click.echo(str(results.write(folder, "fleet", good)), err=True)
    for row in found:
        click.echo(json.dumps(row) if as_json else runner.line(row))
    verdicts = {row["verdict"] for row in found}
    sys.exit(1 if verdicts & {"failed", "broke"} else 3 if "void" in verdicts else 0)


@lab.command()
@click.argument("address")
@click.option("--plan", "steps", default="10s:100", show_default=True, help="As '10s:500 5s:500-2000'.")
@click.option(
    "--tracks",
    "classes",
    default="page=1",
    show_default=True,
    help="As 'page=9 booking=1!'.",
)
@click.option("--processes", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option("--connections", type=click.IntRange(1, 1_000), default=4, show_default=True, help="A process.")
@click.option(
    "--fresh", type=click.FloatRange(0, 1), default=0.0, help="Share of requests on new connections."
)
@click.option("--objects", type=click.IntRange(1, 10_000_000), default=1_000, show_default=True)
@click.option("--zipf", type=click.FloatRange(0, 3), default=1.0, show_default=True)
@click.option("--groups", type=click.IntRange(1, 255), default=1, show_default=True, help="Tenants' groups.")
@click.option("--deadline-ms", type=click.IntRange(1, 600_000), default=1_500, show_default=True)
@click.option("--tokens", type=click.File("r"), help="A token a line, for the groups in turn.")
@click.option("--ca", type=click.Path(exists=True), help="Speak TLS, and trust this CA (PEM).")
@click.option("--cert", type=click.Path(exists=True), help="Own certificate and key (PEM).")
@click.option(
    "--late-ms",
    type=click.FloatRange(0.1),
    default=5.0,
    show_default=True,
    help="Voids a run (p99).",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(), help="The raw result with its histograms, as JSON.")
@click.option("--json", "as_json", is_flag=True)
def load(
    address: str,
    steps: str,
    classes: str,
    processes: int,
    connections: int,
    fresh: float,
    objects: int,
    zipf: float,
    groups: int,
    deadline_ms: int,
    tokens: Any,
    ca: str | None,
    cert: str | None,
    late_ms: float,
    seed: int,
    out: str | None,
    as_json: bool,
) -> None:
    """Load the dispatcher at ADDRESS on loopback, in an open loop.

    Plan: steps and ramps, SECONDS:RATE or SECONDS:RATE-RATE. Traffic classes: weights, '!' for an operation
    key each. Exit code 1: not all were answered; 3: void, the tool itself was late.
    """
    from hoistplank.lab.load import crew
    from hoistplank.lab.load.plan import BadPlan, mixes, plan

    host, _, port = address.rpartition(":")
    if not host.startswith("127.") or not port.isdecimal():
        return fail(f"'{address}', expected an address of this machine with a port, as 127.0.0.1:9000")
    try:
        rows, mix = plan(steps), mixes(classes)
    except BadPlan as wrong:
        return fail(str(wrong))
    sent = [0] * processes
    whole = sum(step.requests() for step in rows)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed:.0f}/{task.total:.0f}"),
    )
    with Progress(*columns, TimeElapsedColumn(), console=_console(), transient=True) as progress:
        task = progress.add_task("visits", total=whole)

        def told(part: int, row: dict[str, Any]) -> None:
            sent[part] = row["sent"]
            progress.update(task, completed=sum(sent))

        more = {
            "connections": connections,
            "fresh_share": fresh,
            "objects": objects,
            "zipf": zipf,
            "groups": groups,
            "deadline_ms": deadline_ms,
            "tokens": tokens.read().split() if tokens else [],
            "ca": ca or "",
            "certificate": cert or "",
            "seed": seed,
        }
        try:
            found = asyncio.run(
                crew.load((host, int(port)), rows, mix, processes, told, late_ms=late_ms, **more)
            )
        except crew.NoLoad as wrong:
            raise click.ClickException(str(wrong)) from None
    if out:
        Path(out).write_text(json.dumps(found))
    shown = {name: value for name, value in found.items() if name != "histograms"}
    if as_json:
        click.echo(json.dumps(shown))
    else:
        _shown(shown)
    if found["void"]:
        click.echo(f"void: the tool itself was late ({found['late_ms']['p99']} ms at p99)", err=True)
        sys.exit(3)
    sys.exit(0 if found["counts"].get("answered") == found["counts"]["sent"] else 1)


@lab.command()
@click.option("--rate", type=click.FloatRange(1, 100_000), default=400, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 600), default=10, show_default=True)
@click.option(
    "--fresh", type=click.FloatRange(0, 1), default=0.0, help="Share of requests on new connections."
)
@click.option("--json", "as_json", is_flag=True)
def profile(rate: float, seconds: float, fresh: float, as_json: bool) -> None:
    """Where a request's CPU goes by layer, of a dispatcher that is started for it with small stand-ins."""
    from hoistplank.lab.load.crew import NoLoad
    from hoistplank.lab.profile import run as profiled

    try:
        found = profiled(rate, seconds, fresh)
    except (NoLoad, RuntimeError) as wrong:
        raise click.ClickException(str(wrong)) from None
    if as_json:
        click.echo(json.dumps(found))
        return
    click.echo(
        f"{found['cpu_us_a_visit']} us of CPU a request at {rate:g} a second, {fresh:.0%} on new connections"
    )
    for name, share in found["shares"].items():
        click.echo(f"  {share:6.1%}  {name}")


def _shown(found: dict[str, Any]) -> None:
    table = Table(
        title=f"{found['rate']:g} requests a second over {found['seconds']:g} s; ms from when each was due"
    )
    for word in ("track", "statuses", "p50", "p90", "p99", "p99.9", "most"):
        table.add_column(word, justify="left" if word in ("track", "statuses") else "right")
    rows = [(name, row["statuses"], row["ms"]) for name, row in found["tracks"].items()]
    for name, statuses, times in [*rows, ("(own lateness)", {}, found["late_ms"])]:
        told = ", ".join(f"{count} x {status}" for status, count in sorted(statuses.items()))
        table.add_row(name, told, *(f"{times.get(f'p{q:g}', 0):.1f}" for q in (50, 90, 99, 99.9, 100)))
    Console(width=110).print(table)
    click.echo("  ".join(f"{name}: {count}" for name, count in found["counts"].items() if count))
