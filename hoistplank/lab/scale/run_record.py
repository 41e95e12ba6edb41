"""What a scale run found, as measured records of the capacity page."""

from __future__ import annotations

from collections.abc import Iterator

from hoistplank.lab.scale.hollow_pairing import Costs, Pairing
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.run_delays import Quantiles
from hoistplank.lab.scale.run_verdict import ControlCost, Verdict, Window
from hoistplank.lab.scale.scene import Scene

DELAYS, RETURNS, PAIRING = "delay", "return", "pairing"
DISPATCHER, LOG, REPLICA = "dispatcher", "change log", "control replica"


def records(scene: Scene, verdict: Verdict, pairing: Pairing | None, run: str) -> list[Measurement]:
    """What a page shows of a run, in a settled order: all of the steady state, of each fault the worst.
    `notes` name the stretch of the run and the fleet's size."""
    steady, *faults = verdict.windows
    rows = [*_steady(steady, verdict.steady)]
    for window in faults:
        rows += _fault(window)
    size = f"{scene.fleet.dispatchers} dispatchers"
    found = [
        Measurement(role, quantity, unit, "", 0.0, value, run, f"{size}: {stretch}")
        for role, quantity, unit, value, stretch in rows
    ]
    return found + (_pairing(pairing, run) if pairing is not None else [])


Row = tuple[str, str, str, float, str]


def _delay(role: str, name: str, found: Quantiles, quantile: str, notes: str) -> Row:
    """Where some never came to their end, that is their number, and no time."""
    if found.never:
        return role, f"{name} that never came into force", "1", float(found.never), notes
    return role, f"{name}, {quantile}", "ms", getattr(found, quantile), notes


def _steady(window: Window, cost: ControlCost) -> Iterator[Row]:
    notes, use = window.name, window.use
    for kind, found in window.delays.items():
        for quantile in ("p50", "p99", "max"):
            yield _delay(DELAYS, f"{kind} to the last dispatcher", found, quantile, notes)
    yield DISPATCHER, "control: processor time, as a real one", "of a core", cost.core, notes
    yield DISPATCHER, "control: processor time, hollow", "of a core", cost.core_hollow, notes
    yield DISPATCHER, "control: memory", "B", cost.memory_bytes, notes
    yield DISPATCHER, "control: bytes", "B/s", cost.bytes_s, notes
    yield LOG, "processor time", "of a core", use.log_core, notes
    yield LOG, "bytes sent", "B/s", use.log_bytes_s, notes
    if use.replica_memory_mb:
        yield REPLICA, "processor time, the busiest", "of a core", use.replica_core, notes
        yield REPLICA, "memory, the largest", "MB", use.replica_memory_mb, notes
        yield REPLICA, "bytes among replicas and log, all together", "B/s", use.back_bytes_s, notes


def _fault(window: Window) -> Iterator[Row]:
    notes, use = window.name, window.use
    for kind, found in window.delays.items():
        yield _delay(DELAYS, f"{kind} to the last dispatcher", found, "max", notes)
    if window.returns.many:
        yield _delay(RETURNS, "until all is in force again", window.returns, "max", notes)
    yield (
        DISPATCHER,
        "control: processor time, hollow, any second",
        "of a core",
        use.dispatcher_core_most,
        notes,
    )
    yield DISPATCHER, "control: bytes, any second", "B/s", use.dispatcher_bytes_s_most, notes
    if use.replica_memory_mb:
        yield REPLICA, "processor time, any replica, any second", "of a core", use.replica_core_most, notes


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
