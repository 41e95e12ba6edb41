"""What really happened in a run, and the rules that it broke; no dispatcher's word is taken for anything.

Times are seconds of the rig's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from hoistplank.lab.fleet.soak.classes import SoakClass
from hoistplank.lab.fleet.soak.effects import EffectRecord

DRAIN_GRACE_S = 0.25
DEPARTURE_S = 0.1  # after a client has left, until no attempt may begin for it
BUDGET_SLACK_MS = 150
# The rig's own part: what is read from a socket lay there for a moment, and loops of a busy machine are late.
RIG_SLACK_S = 0.2
ANSWER_SLACK_S = 0.5
# What a log that could not be heard has to tell counts as told so long after it was published.
TOLD_AT_LATEST_S = 7.0
MAX_SHOWN = 20
SERVED, REFUSALS = 200, (429, 503)


class Rule(StrEnum):
    """The rules that are checked."""

    ANSWER = "exactly one whole answer in time"
    EFFECT = "no effect twice, nothing refused that may have run"
    DRAIN = "nothing new to a drained host"
    PURGE = "nothing older than a purge"
    DEPARTURE = "no attempt for a client that left"
    BUDGET = "no more time than the client has left"
    PROCESS = "no process ends by itself, and each is ready in time"


@dataclass(slots=True)
class Violation:
    """One broken rule: when, and what was seen."""

    rule: Rule
    at_s: float
    description: str


@dataclass(slots=True)
class SentRequest:
    """A request that a client has written whole: to which dispatcher, and what it is owed.

    `is_owed` is False once its client left, or its dispatcher was killed.
    """

    dispatcher: int
    sent_at: float
    deadline_s: float
    traffic_class: SoakClass
    left_at: float | None = None
    statuses: list[int] = field(default_factory=list)
    answered_at: float | None = None
    is_owed: bool = True


class LogSight:
    """When a dispatcher could hear the log: what is published while it can't counts as told later."""

    def __init__(self) -> None:
        self._blind_since: float | None = None
        self._blind_spans: list[tuple[float, float]] = []
        self._asked_at: list[float] = []

    def lose(self, now: float) -> None:
        """From now on nothing of the log arrives."""
        if self._blind_since is None:
            self._blind_since = now

    def regain(self, now: float) -> None:
        """What the log says arrives again, on a new connection at least."""
        if self._blind_since is not None:
            self._blind_spans.append((self._blind_since, now))
            self._blind_since = None

    def asked(self, now: float) -> None:
        """The dispatcher has connected to the log: what that holds counts as told."""
        self._asked_at.append(now)

    def told_at(self, published_at: float) -> float:
        """When what was published then counts as told to the dispatcher."""
        spans = list(self._blind_spans)
        if self._blind_since is not None:
            spans.append((self._blind_since, float("inf")))
        blind = next((span for span in spans if span[0] <= published_at < span[1]), None)
        if blind is None:
            return published_at
        asked = min((at for at in self._asked_at if at >= published_at), default=float("inf"))
        return min(asked, published_at + TOLD_AT_LATEST_S)


class Truth:
    """Hears of everything, and keeps what broke a rule."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.requests: dict[str, SentRequest] = {}
        self.sights: dict[int, LogSight] = {}
        self.drained_at: dict[str, float] = {}  # by host: when its drain or end was published
        self.effects = EffectRecord()

    def broke(self, rule: Rule, at_s: float, description: str) -> None:
        """A rule was broken."""
        self.counts[f"broken: {rule.value}"] += 1
        if len(self.violations) < MAX_SHOWN:
            self.violations.append(Violation(rule, at_s, description))

    def attempt_received(self, now: float, request_id: str, host: str, source: str, budget_ms: int) -> None:
        """A host has read an attempt."""
        self.counts["attempts"] += 1
        request = self.requests.get(request_id)
        if request is None:
            self.broke(Rule.EFFECT, now, f"{host} got {request_id}, which nobody has sent")
            return
        self.effects.record_taken(now, request_id, host)
        for name in (host, source):
            self._check_drain(now, request, request_id, name)
        left_at = request.left_at
        if left_at is not None and now - left_at > DEPARTURE_S + RIG_SLACK_S:
            late_ms = (now - left_at) * 1e3
            self.broke(Rule.DEPARTURE, now, f"{request_id} at {host} {late_ms:.0f} ms after its client left")
        left_ms = (request.sent_at + request.deadline_s - now) * 1e3
        if budget_ms > left_ms + BUDGET_SLACK_MS + RIG_SLACK_S * 1e3:
            self.broke(
                Rule.BUDGET, now, f"{request_id} at {host} with {budget_ms} ms, {left_ms:.0f} were left"
            )

    def _check_drain(self, now: float, request: SentRequest, request_id: str, host: str) -> None:
        published_at = self.drained_at.get(host)
        if published_at is None:
            return
        told_at = self.sights[request.dispatcher].told_at(published_at)
        if now - told_at > DRAIN_GRACE_S + RIG_SLACK_S:
            late_ms = (now - told_at) * 1e3
            self.broke(
                Rule.DRAIN,
                now,
                f"{request_id} of dispatcher {request.dispatcher} at or from {host} {late_ms:.0f} ms after",
            )

    def answered(self, now: float, request_id: str, status: int, wait_s: float = 0.0) -> None:
        """A client has read a whole answer; `wait_s`: how long a refusal asks it to stay away."""
        request = self.requests[request_id]
        if status in REFUSALS:
            self.effects.record_refusal(now, request_id, wait_s)
            self.counts[f"refused: {request.traffic_class.name}"] += 1
        elif status == SERVED:
            self.counts[f"served: {request.traffic_class.name}"] += 1
        request.statuses.append(status)
        self.counts[f"status {status}"] += 1
        if len(request.statuses) > 1:
            self.broke(Rule.ANSWER, now, f"answer {len(request.statuses)} to {request_id}")
        request.answered_at = now
        late_s = now - request.sent_at - request.deadline_s
        if request.is_owed and late_s > ANSWER_SLACK_S:
            self.broke(Rule.ANSWER, now, f"{request_id} answered {late_s * 1e3:.0f} ms after its time")

    def excuse(self, dispatcher: int) -> None:
        """A dispatcher was killed or stands still: what is open there is not its fault."""
        for request in self.requests.values():
            if request.dispatcher == dispatcher and not request.statuses:
                request.is_owed = False

    def finish(self, now: float) -> None:
        """The run is over: whatever is owed has not come."""
        for request_id, request in self.requests.items():
            if request.is_owed and request.left_at is None and not request.statuses:
                self.broke(Rule.ANSWER, now, f"no answer to {request_id} of dispatcher {request.dispatcher}")
        classes = {request_id: request.traffic_class for request_id, request in self.requests.items()}
        for violation in self.effects.violations(classes):
            self.broke(Rule.EFFECT, now, violation)
