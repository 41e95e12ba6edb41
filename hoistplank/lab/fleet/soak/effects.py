"""Rule two of a run: repeats and refusals, judged from what hosts had received whole. No I/O.

Times are seconds of the rig's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from hoistplank.lab.fleet.soak.classes import SoakClass

# A time that the rig measures is late by its own loop and the way between the processes.
EFFECT_SLACK_S = 0.2


class HostPlace(NamedTuple):
    """Where a host stands, for the scopes within which repeats are dropped."""

    zone: str
    cell: int


@dataclass(slots=True)
class TakenAttempt:
    """An attempt that a host has received whole; `never_ran` once the host has said so."""

    host: str
    at_s: float
    never_ran: bool = False


class Refusal(NamedTuple):
    """A refusal that a client has read, and how long it asked the client to stay away."""

    at_s: float
    wait_s: float


class EffectRecord:
    """What hosts had of each request, and which requests were refused."""

    def __init__(self) -> None:
        self.places: dict[str, HostPlace] = {}
        self.taken: dict[str, list[TakenAttempt]] = {}
        self.refusals: dict[str, Refusal] = {}

    def record_taken(self, now: float, request_id: str, host: str) -> None:
        """A host has received an attempt whole."""
        self.taken.setdefault(request_id, []).append(TakenAttempt(host, now))

    def record_never_ran(self, request_id: str, host: str) -> None:
        """A host has answered that the attempt it has received last never ran."""
        for attempt in reversed(self.taken.get(request_id, [])):
            if attempt.host == host:
                attempt.never_ran = True
                return

    def record_refusal(self, now: float, request_id: str, wait_s: float) -> None:
        """A client has read a refusal."""
        self.refusals[request_id] = Refusal(now, wait_s)

    def violations(self, classes: Mapping[str, SoakClass]) -> Iterator[str]:
        """Yields each repeat and each refusal that the request's class forbids; `classes` by request id."""
        for request_id, attempts in self.taken.items():
            traffic_class = classes.get(request_id)
            if traffic_class is not None and not traffic_class.is_idempotent:
                yield from self._repeats(request_id, attempts, traffic_class)
                refusal = self.refusals.get(request_id)
                if refusal is not None:
                    yield from self._refusal(request_id, attempts, refusal, traffic_class)

    def _repeats(
        self, request_id: str, attempts: list[TakenAttempt], traffic_class: SoakClass
    ) -> Iterator[str]:
        first: TakenAttempt | None = None
        for attempt in attempts:
            if first is not None and not self._drops_repeat(traffic_class, first, attempt):
                after_ms = (attempt.at_s - first.at_s) * 1e3
                yield (
                    f"{request_id} ({traffic_class.name}) again at {attempt.host} {after_ms:.0f} ms after"
                    f" {first.host} had it whole"
                )
            if first is None and not attempt.never_ran:
                first = attempt

    def _drops_repeat(self, traffic_class: SoakClass, first: TakenAttempt, repeat: TakenAttempt) -> bool:
        is_in_window = repeat.at_s <= first.at_s + traffic_class.window_s + EFFECT_SLACK_S
        if not traffic_class.is_keyed or not is_in_window:
            return False
        place, other = self.places[first.host], self.places[repeat.host]
        if traffic_class.scope == "all":
            return True
        return place.zone == other.zone if traffic_class.scope == "zone" else place.cell == other.cell

    def _refusal(
        self,
        request_id: str,
        attempts: list[TakenAttempt],
        refusal: Refusal,
        traffic_class: SoakClass,
    ) -> Iterator[str]:
        first = next((attempt for attempt in attempts if not attempt.never_ran), None)
        if first is None:
            return
        window_end_s = first.at_s + traffic_class.window_s + EFFECT_SLACK_S
        repeat_at_s = refusal.at_s + refusal.wait_s
        if traffic_class.is_keyed and traffic_class.scope == "all" and repeat_at_s <= window_end_s:
            return
        after_ms = (refusal.at_s - first.at_s) * 1e3
        yield (
            f"{request_id} ({traffic_class.name}) refused {after_ms:.0f} ms after {first.host} had it whole,"
            f" wait {refusal.wait_s * 1e3:.0f} ms"
        )
