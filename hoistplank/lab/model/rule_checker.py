"""Checkers of the five rules, which judge by the events of the world and never by a dispatcher's own state.

Each checker receives events of the world and reports violations with their time. `now` is in whole
microseconds of the day. What a dispatcher is not responsible for (it was killed, or not yet notified) is no
violation.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

DRAIN_GRACE_US, PURGE_GRACE_US, ANSWER_SLACK_US = 250_000, 1_000_000, 50_000
MAX_STORED_VIOLATIONS = 50
ReportViolation = Callable[[int, int, str], None]  # rule, time (us), description


@dataclass(slots=True)
class Violation:
    """A violation of a rule: its number, time (us) and description."""

    rule: int
    at_us: int
    description: str


@dataclass(slots=True)
class AcceptedRequest:
    """A request accepted by a dispatcher."""

    dispatcher: int
    deadline: int
    answers: int = 0
    left: bool = False
    excused: bool = False


class AnswerChecker:
    """Rule one: exactly one complete response to each accepted request, before its deadline."""

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.open = report, dict[str, AcceptedRequest]()
        self.slack_us = ANSWER_SLACK_US  # tolerance after the deadline; more on a shared machine
        self.excused_dispatchers: dict[
            int, int
        ] = {}  # by dispatcher: the number of current causes that excuse its missing or late responses

    def accepted(self, dispatcher: int, request: str, deadline: int) -> None:
        """A dispatcher has accepted a request that is due by `deadline` (us)."""
        self.open[request] = AcceptedRequest(
            dispatcher, deadline, excused=dispatcher in self.excused_dispatchers
        )

    def withdrawn(self, request: str) -> None:
        """Forget a request whose connection was refused after all."""
        self.open.pop(request, None)

    def begin_excuse(self, dispatcher: int) -> None:
        """Excuse a dispatcher from now on: its responses can't arrive, or it is frozen by a fault."""
        self.excused_dispatchers[dispatcher] = self.excused_dispatchers.get(dispatcher, 0) + 1
        self.dispatcher_killed(dispatcher)

    def end_excuse(self, dispatcher: int) -> None:
        """End one cause of an excuse; requests that are still open stay excused."""
        self.dispatcher_killed(dispatcher)
        self.excused_dispatchers[dispatcher] -= 1
        if not self.excused_dispatchers[dispatcher]:
            del self.excused_dispatchers[dispatcher]

    def answered(self, now: int, request: str) -> None:
        """Record that a response was sent."""
        accepted = self.open.get(request)
        if accepted is None:
            self.report(1, now, f"an answer to {request}, which nobody has open")
            return
        accepted.answers += 1
        if accepted.answers > 1:
            self.report(1, now, f"answer {accepted.answers} to {request}")
        elif now > accepted.deadline + self.slack_us and not (accepted.left or accepted.excused):
            self.report(
                1, now, f"{request} answered {(now - accepted.deadline) // 1000} ms after its time was up"
            )

    def client_left(self, now: int, request: str) -> None:
        """Record that a client left; a response is still required if it left at the deadline or later."""
        accepted = self.open.get(request)
        if accepted is not None:
            accepted.left = now < accepted.deadline

    def dispatcher_killed(self, dispatcher: int) -> None:
        """Excuse the open requests of a killed dispatcher."""
        for accepted in self.open.values():
            accepted.excused |= accepted.dispatcher == dispatcher

    def sweep(self, now: int) -> None:
        """Judge and forget requests long past their deadline; regular calls keep the memory bounded."""
        expired: list[str] = []
        for request, accepted in self.open.items():
            # In the order of acceptance: if this one has 5 s left, no later one is past its deadline.
            if accepted.deadline > now + 5 * SECOND_US:
                break
            # Held back by the test rig or a frozen dispatcher, a response may come long after the deadline:
            # excused requests without one are kept.
            if accepted.deadline + SECOND_US < now and (accepted.answers or not accepted.excused):
                expired.append(request)
        for request in expired:
            accepted = self.open.pop(request)
            if not (accepted.answers or accepted.left or accepted.excused):
                self.report(1, now, f"no answer to {request} of dispatcher {accepted.dispatcher}")


class EffectChecker:
    """Rule two: no effect runs twice; the origin recognises a repeat of a keyed request within its window."""

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.last_run = report, dict[str, int]()

    def run(self, now: int, key: str, window_us: int) -> bool:
        """Record a request for an effect; True if it runs, False if it is recognised as a repeat."""
        last_run_at = self.last_run.get(key)
        if last_run_at is not None and now - last_run_at <= window_us:
            return False
        if last_run_at is not None:
            self.report(2, now, f"the effect of {key} again after {(now - last_run_at) // 1000} ms")
        self.last_run[key] = now
        return True


class DrainChecker:
    """Rule three: no attempt to a draining or gone host 250 ms after the dispatcher was notified.

    Naming the host as a source counts as an attempt.
    """

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.notified_at = report, dict[tuple[int, str], int]()
        self.on_attempt: Callable[[int, int, str, str], None] | None = None  # called for every attempt

    def dispatcher_notified(self, now: int, dispatcher: int, host: str, state: str) -> None:
        """Record that a dispatcher was notified of a host's state."""
        if state == "up":
            self.notified_at.pop((dispatcher, host), None)
        else:
            self.notified_at.setdefault((dispatcher, host), now)

    def forget(self, dispatcher: int) -> None:
        """Forget the notifications of a dispatcher whose process has ended."""
        for pair in [pair for pair in self.notified_at if pair[0] == dispatcher]:
            del self.notified_at[pair]

    def attempt(self, now: int, dispatcher: int, host: str, role: str) -> None:
        """Check an attempt of a dispatcher to a host, or a host named as a source."""
        if self.on_attempt is not None:
            self.on_attempt(now, dispatcher, host, role)
        since = self.notified_at.get((dispatcher, host))
        if since is not None and now - since > DRAIN_GRACE_US:
            self.report(
                3,
                now,
                f"{host} as {role} from dispatcher {dispatcher} {(now - since) // 1000} ms after it was told",
            )


@dataclass(slots=True)
class WarmingHost:
    """A host that is warming up, with the work sent to it in the last window."""

    started: int
    capacity: float
    work: deque[tuple[int, float, bool]] = field(default_factory=deque)
    requested: float = 0.0
    by_notified: float = 0.0
    reported: bool = False


class ColdStartChecker:
    """Rule four: dispatchers together don't overload a cold host; fills at parents count too.

    The budget of a window is the overload multiple x the host's current capacity x the window. Exceeding it
    is a violation if at least two thirds of the work came from dispatchers that had been notified of the
    start.
    """

    def __init__(self, settings: WorldSettings, report: ReportViolation) -> None:
        self.settings, self.report = settings, report
        self.warming, self.known_starts = dict[str, WarmingHost](), dict[tuple[int, str], int]()
        self.highest_ever = 0.0

    def host_started(self, now: int, host: str, capacity: float) -> None:
        """Record that a host has started cold."""
        self.warming[host] = WarmingHost(now, capacity)

    def dispatcher_notified(self, dispatcher: int, host: str, started_us: int) -> None:
        """Record that a dispatcher was notified of a host's start."""
        self.known_starts[dispatcher, host] = max(self.known_starts.get((dispatcher, host), 0), started_us)

    def forget(self, dispatcher: int) -> None:
        """Forget the notifications of a dispatcher whose process has ended."""
        for pair in [pair for pair in self.known_starts if pair[0] == dispatcher]:
            del self.known_starts[pair]

    def highest_load(self, now: int) -> float:
        """Return the highest current load of a cold host, as a share of its budget."""
        highest, settings = 0.0, self.settings
        for host in self.warming.values():
            if now - host.started < settings.warm_up_us:
                requested = sum(work for at, work, _ in host.work if at > now - settings.overload_window_us)
                highest = max(highest, requested / self._budget(now, host))
        return highest

    def _budget(self, now: int, host: WarmingHost) -> float:
        settings = self.settings
        capacity_share = (
            settings.cold_start_share
            + (1 - settings.cold_start_share) * (now - host.started) / settings.warm_up_us
        )
        return settings.overload_multiple * capacity_share * host.capacity * settings.overload_window_us

    def work_arrived(self, now: int, dispatcher: int, host: str, work_us: float) -> bool:
        """Record work of a dispatcher that reached a host; True if the host's budget is exceeded."""
        warming_host = self.warming.get(host)
        if warming_host is None:
            return False
        settings = self.settings
        if now - warming_host.started >= settings.warm_up_us:
            del self.warming[host]
            return False
        is_notified = self.known_starts.get((dispatcher, host), -1) >= warming_host.started
        warming_host.work.append((now, work_us, is_notified))
        warming_host.requested += work_us
        warming_host.by_notified += work_us * is_notified
        while warming_host.work[0][0] <= now - settings.overload_window_us:
            _, work, was_notified = warming_host.work.popleft()
            warming_host.requested -= work
            warming_host.by_notified -= work * was_notified
        budget = self._budget(now, warming_host)
        # A window of few transfers may hold one more by chance: one beyond the budget is allowed.
        is_overloaded = warming_host.requested > budget + work_us
        self.highest_ever = max(self.highest_ever, warming_host.requested / budget)
        if (
            is_overloaded
            and not warming_host.reported
            and warming_host.by_notified >= warming_host.requested * 2 / 3
        ):
            warming_host.reported = True
            self.report(
                4, now, f"{host}, cold, was sent {warming_host.requested / budget:.2f} of what it can bear"
            )
        return is_overloaded


class PurgeChecker:
    """Rule five: no copy older than a purge for attempts sent 1 s after the dispatcher was notified."""

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.watermarks = report, dict[tuple[int, str | int], deque[tuple[int, int]]]()

    def dispatcher_notified(self, now: int, dispatcher: int, purge_key: str | int, purged_at: int) -> None:
        """Record that a dispatcher was notified of a purge of an object or a group."""
        notifications = self.watermarks.setdefault((dispatcher, purge_key), deque(maxlen=8))
        notifications.append((now, purged_at))

    def forget(self, dispatcher: int) -> None:
        """Forget the notifications of a dispatcher whose process has ended."""
        for pair in [pair for pair in self.watermarks if pair[0] == dispatcher]:
            del self.watermarks[pair]

    def served(
        self, now: int, dispatcher: int, request: str, object_key: str, group: int, sent_at: int, created: int
    ) -> None:
        """Check a response to an attempt sent at `sent_at`, from a copy created at `created`."""
        for purge_key in (object_key, group):
            for notified_at, purged in self.watermarks.get((dispatcher, purge_key), ()):
                if sent_at > notified_at + PURGE_GRACE_US and created < purged:
                    self.report(
                        5,
                        now,
                        f"{request} answered by a copy {(purged - created) // 1000} ms older than its purge",
                    )


class RuleChecker:
    """The checkers of all five rules, and the violations they reported."""

    def __init__(self, settings: WorldSettings) -> None:
        self.violations: list[Violation] = []
        self.counts = dict.fromkeys((1, 2, 3, 4, 5), 0)
        self.answers, self.effects, self.drains = (
            AnswerChecker(self._report),
            EffectChecker(self._report),
            DrainChecker(self._report),
        )
        self.colds, self.purges = ColdStartChecker(settings, self._report), PurgeChecker(self._report)

    def _report(self, rule: int, at_us: int, description: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_STORED_VIOLATIONS:
            self.violations.append(Violation(rule, at_us, description))

    def dispatcher_killed(self, dispatcher: int) -> None:
        """Forget what a killed dispatcher was notified of, and excuse its open requests."""
        self.answers.dispatcher_killed(dispatcher)
        self.drains.forget(dispatcher)
        self.colds.forget(dispatcher)
        self.purges.forget(dispatcher)
