"""What a scale run found, as measured records of the capacity page."""

from __future__ import annotations

from collections.abc import Iterator

from hoistplank.lab.scale.hollow_pairing import Costs, Pairing
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.run_delays import Quantiles
from hoistplank.lab.scale.run_verdict import Verdict, Window
from hoistplank.lab.scale.scene import Scene

DELAYS, RETURNS, DISPATCHER, LOG, PAIRING = "delay", "return", "dispatcher", "change log", "pairing"


def records(scene: Scene, verdict: Verdict, pairing: Pairing | None, run: str) -> list[Measurement]:
    """All of a run, in a settled order. `notes` name the stretch of the run and the fleet's size."""
    rows = [row for window in verdict.windows for row in _window(window)] + _steady(verdict)
    size = f"{scene.fleet.dispatchers} dispatchers"
    found = [
        Measurement(role, quantity, unit, "", 0.0, value, run, f"{size}: {stretch}")
        for role, quantity, unit, value, stretch in rows
    ]
    return found + (_pairing(pairing, run) if pairing is not None else [])


Row = tuple[str, str, str, float, str]


def _quantiles(role: str, name: str, found: Quantiles, notes: str) -> Iterator[Row]:
    for quantile in ("p50", "p99", "max"):
        yield role, f"{name} {quantile}", "ms", getattr(found, quantile), notes
    yield role, f"{name} count", "1", float(found.many), notes
    yield role, f"{name} never", "1", float(found.never), notes


def _window(window: Window) -> Iterator[Row]:
    notes = window.name
    for kind, found in window.delays.items():
        yield from _quantiles(DELAYS, kind, found, notes)
    if window.returns.many:
        yield from _quantiles(RETURNS, "until all is in force", window.returns, notes)
    use = window.use
    yield DISPATCHER, "processor time, hollow, mean", "core", use.dispatcher_core, notes
    yield DISPATCHER, "processor time, hollow, most of any second", "core", use.dispatcher_core_most, notes
    yield DISPATCHER, "received, mean", "B/s", use.dispatcher_bytes_s, notes
    yield DISPATCHER, "received, most of any second", "B/s", use.dispatcher_bytes_s_most, notes
    yield LOG, "processor time, mean", "core", use.log_core, notes
    yield LOG, "processor time, most of any second", "core", use.log_core_most, notes
    yield LOG, "sent", "B/s", use.log_bytes_s, notes


def _steady(verdict: Verdict) -> list[Row]:
    steady, notes = verdict.steady, "steady"
    return [
        (DISPATCHER, "processor time, as a real one", "core", steady.core, notes),
        (DISPATCHER, "memory of control", "B", steady.memory_bytes, notes),
        (DISPATCHER, "lines received", "1/s", steady.lines_s, notes),
    ]


def _pairing(pairing: Pairing, run: str) -> list[Measurement]:
    kinds = {"real": pairing.real, "hollow, alone": pairing.alone, "hollow, shared": pairing.shared}
    rows = [(*row, name) for name, costs in kinds.items() for row in _costs(costs)]
    rows.append(("processor time an event", "of a real one", pairing.ratio, "hollow, alone"))
    rows.append(("processor time an event", "of a real one", pairing.shared_ratio, "hollow, shared"))
    return [Measurement(PAIRING, name, unit, "", 0.0, value, run, notes) for name, unit, value, notes in rows]


def _costs(costs: Costs) -> list[tuple[str, str, float]]:
    return [
        ("processor time an event", "us", costs.event_us),
        ("processor time an event, half of the 95 % interval", "us", costs.event_us_half),
        ("processor time in rest", "us/s", costs.idle_us_s),
        ("received an event", "B", costs.bytes_event),
        ("lines received an event", "1", costs.lines_event),
    ]
