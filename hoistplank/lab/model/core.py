"""A model of a dispatcher's CPU core, a single work queue in virtual time, for testing admission control.

A request costs CPU time to read, to reject and to serve, and waits at a cache host in between. The event
loop's lag is the work queued before a timer; a request meets its latency target if its response was written
within `target_us` of its arrival. Service times are drawn from the random stream passed in, so that two
controllers get the same requests. Figures from this model are emulated: the costs are parameters, not
measurements.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from hoistplank.degradation.admission import AdmissionController

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs of one request in microseconds.

    Core time for reading, rejecting and serving it (besides reading); its wait at a cache host; its latency
    target. `spread` is the half-width of the uniform distribution of each cost, as a share of the cost.
    """

    read_us: float = 60.0
    refuse_us: float = 30.0
    serve_us: float = 240.0
    host_us: int = 20_000
    target_us: int = 300_000
    spread: float = 0.5

    def max_rate(self) -> float:
        """Return the requests a second that the core can serve if it rejects none."""
        return SECOND_US / (self.read_us + self.serve_us)


@dataclass(slots=True)
class CoreMetrics:
    """Metrics of one core: requests by result, event loop lags (us) and the admission limits."""

    offered: int = 0
    served: int = 0
    in_target: int = 0
    refused: int = 0
    last_refused_us: int = -1
    lags: list[int] = field(default_factory=list)
    limits: list[float] = field(default_factory=list)

    def goodput(self, seconds: float) -> float:
        """Return the requests a second that were served within their target."""
        return self.in_target / seconds

    def lag_us(self, share: float) -> int:
        """Return a quantile of the event loop's lag in microseconds."""
        ranked = sorted(self.lags)
        return ranked[min(len(ranked) - 1, int(len(ranked) * share))] if ranked else 0


class Core:
    """One core under arrival rates that change over time; `rates` are (start in us, requests a second)."""

    def __init__(
        self,
        costs: Costs,
        admission: AdmissionController | None,
        random: Random,
        rates: list[tuple[int, float]],
    ) -> None:
        self.costs, self.admission, self.random, self.rates = costs, admission, random, sorted(rates)
        self.now, self.open, self.sequence, self.backlog = 0, 0, 0, 0.0
        self.work: deque[tuple[str, int, float]] = deque()  # kind, arrival of its request (us), cost (us)
        self.events: list[tuple[int, int, str, int]] = []
        self.metrics = CoreMetrics()

    def _cost(self, mean: float) -> float:
        spread = self.costs.spread
        return max(1.0, mean * (1.0 + spread * (2.0 * self.random.random() - 1.0)))

    def _rate(self, at: int) -> float:
        return next((rate for start, rate in reversed(self.rates) if start <= at), 0.0)

    def _schedule(self, when: int, kind: str, arrived_at: int) -> None:
        self.sequence += 1
        heappush(self.events, (when, self.sequence, kind, arrived_at))

    def _enqueue(self, kind: str, arrived_at: int, mean: float) -> None:
        cost = self._cost(mean)
        self.work.append((kind, arrived_at, cost))
        self.backlog += cost
        if len(self.work) == 1:
            self._schedule(self.now + int(cost), "done", arrived_at)

    def run(self, until_us: int, tick_us: int = 1_000) -> CoreMetrics:
        """Run until `until_us` and return the metrics."""
        self._schedule(0, "arrive", 0)
        self._schedule(tick_us, "tick", 0)
        costs = self.costs
        while self.events and self.events[0][0] <= until_us:
            self.now, _, kind, arrived_at = heappop(self.events)
            if kind == "arrive":
                rate = self._rate(self.now)
                self._schedule(
                    self.now
                    + (
                        max(1, int(self.random.expovariate(rate) * SECOND_US))
                        if rate > 0
                        else SECOND_US // 10
                    ),
                    "arrive",
                    0,
                )
                if rate > 0:
                    self.metrics.offered += 1
                    self._enqueue("read", self.now, costs.read_us)
            elif kind == "tick":
                # The timer fires only after all the work that was queued before it.
                lag = int(self.backlog)
                self.metrics.lags.append(lag)
                if self.admission is not None:
                    self.admission.observe(self.now, lag, self.open, len(self.work))
                    self.metrics.limits.append(self.admission.limit)
                self._schedule(self.now + tick_us, "tick", 0)
            elif kind == "host":
                self._enqueue("answer", arrived_at, costs.serve_us)
            else:
                self._done()
        return self.metrics

    def _done(self) -> None:
        kind, arrived_at, cost = self.work.popleft()
        self.backlog = max(0.0, self.backlog - cost)
        if kind == "read" and (self.admission is None or self.admission.admits(self.open)):
            self.open += 1
            self._schedule(self.now + self.costs.host_us, "host", arrived_at)
        elif kind == "read":
            self.metrics.refused += 1
            self.metrics.last_refused_us = self.now
            cost = self._cost(self.costs.refuse_us)  # written at once, before the queued work
            self.work.appendleft(("refuse", arrived_at, cost))
            self.backlog += cost
        elif kind == "answer":
            self.open -= 1
            self.metrics.served += 1
            self.metrics.in_target += self.now - arrived_at <= self.costs.target_us
        if self.work:
            self._schedule(self.now + int(self.work[0][2]), "done", self.work[0][1])
