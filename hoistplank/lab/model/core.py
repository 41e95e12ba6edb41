"""A dispatcher's core as one queue of work in virtual time, for the admission's controller: what a request
costs to take in, to reject and to serve, and how long it waits at a cache host meanwhile.

The loop's lag is the work that stands before a timer in the queue; a request is served within the latency
target where its answer was written within `target_us` of its coming. Service times are drawn from the stream
handed in, so that two controllers meet the same requests. Figures from this are emulated: the costs are told,
not measured here.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from hoistplank.degradation.admission import AdmissionController

S = 1_000_000


@dataclass(frozen=True, slots=True)
class Costs:
    """Of one request, in microseconds of the core: taking it in, turning it back, serving it (besides taking
    it in); its wait at a cache host; its latency target. `spread`: the spread of each cost, as a share of
    it."""

    read_us: float = 60.0
    refuse_us: float = 30.0
    serve_us: float = 240.0
    host_us: int = 20_000
    target_us: int = 300_000
    spread: float = 0.5

    def carried(self) -> float:
        """Requests a second that the core serves when it turns nothing back."""
        return S / (self.read_us + self.serve_us)


@dataclass(slots=True)
class CoreMetrics:
    """What was counted on one core: requests by their end, the loop's lags (us) and the admission's
    limits."""

    offered: int = 0
    served: int = 0
    in_target: int = 0
    refused: int = 0
    last_refused_us: int = -1
    lags: list[int] = field(default_factory=list)
    limits: list[float] = field(default_factory=list)

    def goodput(self, seconds: float) -> float:
        """Requests a second that were served within their target."""
        return self.in_target / seconds

    def lag_us(self, share: float) -> int:
        """The event loop's lag at a quantile, in microseconds."""
        ranked = sorted(self.lags)
        return ranked[min(len(ranked) - 1, int(len(ranked) * share))] if ranked else 0


class Core:
    """Requests at a rate a second that changes over time by `rates` (from when in us, rate), on one core."""

    def __init__(
        self,
        costs: Costs,
        admission: AdmissionController | None,
        chance: Random,
        rates: list[tuple[int, float]],
    ) -> None:
        self.costs, self.admission, self.chance, self.rates = costs, admission, chance, sorted(rates)
        self.now, self.open, self.turn, self.backlog = 0, 0, 0, 0.0
        self.work: deque[tuple[str, int, float]] = deque()  # what, when its request came, what it costs
        self.events: list[tuple[int, int, str, int]] = []
        self.metrics = CoreMetrics()

    def _cost(self, mean: float) -> float:
        spread = self.costs.spread
        return max(1.0, mean * (1.0 + spread * (2.0 * self.chance.random() - 1.0)))

    def _rate(self, at: int) -> float:
        return next((rate for start, rate in reversed(self.rates) if start <= at), 0.0)

    def _at(self, when: int, kind: str, came: int) -> None:
        self.turn += 1
        heappush(self.events, (when, self.turn, kind, came))

    def _queue(self, kind: str, came: int, mean: float) -> None:
        cost = self._cost(mean)
        self.work.append((kind, came, cost))
        self.backlog += cost
        if len(self.work) == 1:
            self._at(self.now + int(cost), "done", came)

    def run(self, until_us: int, tick_us: int = 1_000) -> CoreMetrics:
        """Plays until `until_us`; returns what was counted."""
        self._at(0, "arrive", 0)
        self._at(tick_us, "tick", 0)
        costs = self.costs
        while self.events and self.events[0][0] <= until_us:
            self.now, _, kind, came = heappop(self.events)
            if kind == "arrive":
                rate = self._rate(self.now)
                self._at(
                    self.now + (max(1, int(self.chance.expovariate(rate) * S)) if rate > 0 else S // 10),
                    "arrive",
                    0,
                )
                if rate > 0:
                    self.metrics.offered += 1
                    self._queue("read", self.now, costs.read_us)
            elif kind == "tick":
                # The owner's turn: its timer stands behind all the work that was queued before it.
                lag = int(self.backlog)
                self.metrics.lags.append(lag)
                if self.admission is not None:
                    self.admission.observe(self.now, lag, self.open, len(self.work))
                    self.metrics.limits.append(self.admission.limit)
                self._at(self.now + tick_us, "tick", 0)
            elif kind == "host":
                self._queue("answer", came, costs.serve_us)
            else:
                self._done()
        return self.metrics

    def _done(self) -> None:
        kind, came, cost = self.work.popleft()
        self.backlog = max(0.0, self.backlog - cost)
        if kind == "read" and (self.admission is None or self.admission.admits(self.open)):
            self.open += 1
            self._at(self.now + self.costs.host_us, "host", came)
        elif kind == "read":
            self.metrics.refused += 1
            self.metrics.last_refused_us = self.now
            cost = self._cost(self.costs.refuse_us)  # written at once, before what waits
            self.work.appendleft(("refuse", came, cost))
            self.backlog += cost
        elif kind == "answer":
            self.open -= 1
            self.metrics.served += 1
            self.metrics.in_target += self.now - came <= self.costs.target_us
        if self.work:
            self._at(self.now + int(self.work[0][2]), "done", self.work[0][1])
