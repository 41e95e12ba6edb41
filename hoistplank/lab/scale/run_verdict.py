"""Judges a scale run: delays against budgets, what control cost, whether the rig was fit. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from hoistplank.lab.scale.hollow_pairing import Pairing
from hoistplank.lab.scale.replay import CHANGE, HOST, PURGE, RENEWAL
from hoistplank.lab.scale.run import Played, ReplicaStatus
from hoistplank.lab.scale.run_delays import Delays, Quantiles
from hoistplank.lab.scale.run_usage import Use

LATE_MS = 250.0  # of a process of the rig (99th percentile): a delay that fails beyond it proves nothing
CONTROL_CORE = 0.5  # of a core, for each of the machines set aside for control
SPOILT_MS = 2_000.0  # beyond which no run counts, whatever it says
RATIO_LEAST, RATIO_MOST = 0.7, 1.4  # of a hollow dispatcher's cost an event to a real one's
OF_TIME = ("purges_in_force", "changes_in_force", "renewal_in_force", "returns_in_time")


class Window(msgspec.Struct, frozen=True):
    """A stretch of the run: the steady state, or from one fault to the next. Times in s from its start."""

    name: str
    begin_s: float
    end_s: float
    struck: int
    delays: dict[str, Quantiles]
    returns: Quantiles
    use: Use
    late_ms: dict[str, float]


class ControlCost(msgspec.Struct, frozen=True):
    """What control takes at a dispatcher. `core_hollow`: as measured of hollow ones that share a process;
    `core`: as a real one would take by the pairing, where there is one."""

    core: float
    core_most: float
    core_hollow: float
    memory_bytes: float
    bytes_s: float
    bytes_s_most: float
    lines_s: float


@dataclass(slots=True)
class Verdict:
    """`claims` by name; `void`: why the rig was not fit, empty where it was."""

    claims: dict[str, bool]
    void: str
    windows: list[Window]
    steady: ControlCost
    delays: Delays
    stragglers: dict[str, int]
    slowest: dict[str, int]
    figures: dict[str, Any] = field(default_factory=dict)


def real_core(hollow: float, pairing: Pairing | None) -> float:
    """The share of a core that a real dispatcher takes where a hollow one in a shared process takes
    `hollow`: both in rest as they were measured, the events by the ratio of their costs."""
    if pairing is None:
        return hollow
    events = max(0.0, hollow - pairing.shared.idle_us_s / 1e6)
    return pairing.real.idle_us_s / 1e6 + events / pairing.shared_ratio


def judged(played: Played, pairing: Pairing | None = None) -> Verdict:
    budgets = played.scene.budgets
    delays = played.deliveries.delays()
    windows = _windows(played, delays)
    steady = _cost(played, windows[0], pairing)
    limits = {PURGE: budgets.purge_us, CHANGE: budgets.change_us, HOST: budgets.change_us}
    limits[RENEWAL] = budgets.return_us
    whole = {kind: delays.of(kind, played.began_us) for kind in limits}
    back = delays.back(played.began_us)
    audited = sum({row.process: row.audited for row in played.usage.hollow}.values())
    claims = {
        "purges_in_force": _within(whole[PURGE], budgets.purge_us),
        "changes_in_force": all(_within(whole[kind], budgets.change_us) for kind in (CHANGE, HOST)),
        "renewal_in_force": _within(whole[RENEWAL], budgets.return_us),
        "returns_in_time": _within(back, budgets.return_us),
        "acknowledgements_true": audited > 0 and not played.false,
        "core_of_a_dispatcher": steady.core <= budgets.core,
        "memory_of_a_dispatcher": steady.memory_bytes <= budgets.memory,
        "bytes_of_a_dispatcher": steady.bytes_s <= budgets.bytes_s,
    }
    if played.statuses:
        overstated = [row for row in played.statuses if _overstated(played, row)]
        last = {row.replica: row for row in played.statuses}.values()
        claims["replicas_count_only_what_is_in_force"] = not overstated
        claims["replicas_know_the_whole_fleet"] = all(_is_complete(played, row) for row in last)
        claims["core_of_a_control_machine"] = windows[0].use.replica_core <= CONTROL_CORE
    late = _late(played, played.began_us, played.ended_us)
    verdict = Verdict(
        claims=claims,
        void="",
        windows=windows,
        steady=steady,
        delays=delays,
        stragglers=delays.stragglers(limits, budgets.return_us),
        slowest=delays.slowest(),
        figures={"late_ms": late, "audited": audited, "false": len(played.false), "returns": back} | whole,
    )
    verdict.void = _void(verdict, late)
    return verdict


def _void(verdict: Verdict, late: dict[str, float]) -> str:
    """A delay holds the rig's own lateness: a late rig makes claims fail, and never pass."""
    worst = max(late, key=lambda name: late[name])
    if late[worst] > SPOILT_MS:
        return f"the {worst} ran {late[worst]:g} ms late (99th percentile), {SPOILT_MS:g} are allowed"
    failed = [name for name in OF_TIME if not verdict.claims[name]]
    if failed and late[worst] > LATE_MS:
        return f"{', '.join(failed)} failed while the {worst} ran {late[worst]:g} ms late (99th percentile)"
    return ""


def _overstated(played: Played, row: ReplicaStatus) -> bool:
    """Whether a replica counted dispatchers that had not said so themselves by then."""
    return row.in_force > played.deliveries.having(row.epoch, row.number, row.at_us)


def _is_complete(played: Played, row: ReplicaStatus) -> bool:
    return row.in_force == row.total == played.scene.fleet.dispatchers


def _within(found: Quantiles, budget_us: int) -> bool:
    return found.never == 0 and found.max * 1e3 <= budget_us


def _late(played: Played, begin_us: int, end_us: int) -> dict[str, float]:
    late = played.usage.late_ms(begin_us, end_us)
    return late | {"relays": played.relays.late_us["99"] / 1e3}


def _windows(played: Played, delays: Delays) -> list[Window]:
    """The steady state, then each fault until the next one begins."""
    strikes = sorted(played.strikes, key=lambda strike: strike.begin_us)
    edges = [0, *(strike.begin_us for strike in strikes), played.ended_us - played.began_us]
    names = ["steady", *(strike.text for strike in strikes)]
    struck = [0, *(strike.struck for strike in strikes)]
    return [_window(played, delays, name, edges[n], edges[n + 1], struck[n]) for n, name in enumerate(names)]


def _window(played: Played, delays: Delays, name: str, begin_us: int, end_us: int, struck: int) -> Window:
    begin, end = played.began_us + begin_us, played.began_us + end_us
    found = {kind: delays.of(kind, begin, end) for kind in (PURGE, CHANGE, HOST, RENEWAL)}
    return Window(
        name=name,
        begin_s=round(begin_us / 1e6, 2),
        end_s=round(end_us / 1e6, 2),
        struck=struck,
        delays={kind: value for kind, value in found.items() if value.many},
        returns=delays.back(begin, end),
        use=played.usage.use(begin, end),
        late_ms=played.usage.late_ms(begin, end),
    )


def _cost(played: Played, window: Window, pairing: Pairing | None) -> ControlCost:
    begin = played.began_us + int(window.begin_s * 1e6)
    end = played.began_us + int(window.end_s * 1e6)
    use = window.use
    return ControlCost(
        core=real_core(use.dispatcher_core, pairing),
        core_most=real_core(use.dispatcher_core_most, pairing),
        core_hollow=use.dispatcher_core,
        memory_bytes=played.usage.memory_bytes(played.empty_kb, begin, end),
        bytes_s=use.dispatcher_bytes_s,
        bytes_s_most=use.dispatcher_bytes_s_most,
        lines_s=use.dispatcher_lines_s,
    )
