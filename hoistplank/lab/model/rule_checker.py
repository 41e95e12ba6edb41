"""The five rules, judged by what really happened in the world and never by a dispatcher's word.

Each checker hears events of the world; what breaks a rule is kept as a line with its time. `now` is whole
microseconds of the day. What a dispatcher can't be blamed for (it was killed; it had not been told) is let
pass.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

DRAIN_GRACE_US, PURGE_GRACE_US, ANSWER_SLACK_US = 250_000, 1_000_000, 50_000
MAX_VIOLATIONS = 50
ReportViolation = Callable[[int, int, str], None]  # rule, when (us), what was seen


@dataclass(slots=True)
class Violation:
    """One broken rule: which, when (us), and what was seen."""

    rule: int
    at_us: int
    description: str


@dataclass(slots=True)
class AcceptedRequest:
    """A request that a dispatcher took."""

    dispatcher: int
    deadline: int
    answers: int = 0
    left: bool = False
    excused: bool = False


class AnswerChecker:
    """Rule one: exactly one whole answer to each request taken, before its time is up."""

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.open = report, dict[str, AcceptedRequest]()
        self.slack_us = ANSWER_SLACK_US  # beyond its time that an answer may come; more on a shared machine
        self.excused_dispatchers: dict[
            int, int
        ] = {}  # dispatchers not to blame for answers now, by how many causes

    def accepted(self, dispatcher: int, request: str, until: int) -> None:
        """A dispatcher has accepted a request that is due by `until` (us)."""
        self.open[request] = AcceptedRequest(
            dispatcher, until, excused=dispatcher in self.excused_dispatchers
        )

    def withdrawn(self, request: str) -> None:
        """Nobody took it after all."""
        self.open.pop(request, None)

    def begin_excuse(self, dispatcher: int) -> None:
        """From now on what a dispatcher answers can't come, or it stands still: that is not its fault."""
        self.excused_dispatchers[dispatcher] = self.excused_dispatchers.get(dispatcher, 0) + 1
        self.dispatcher_killed(dispatcher)

    def end_excuse(self, dispatcher: int) -> None:
        """One cause of that has ended; what is open still is excused."""
        self.dispatcher_killed(dispatcher)
        self.excused_dispatchers[dispatcher] -= 1
        if not self.excused_dispatchers[dispatcher]:
            del self.excused_dispatchers[dispatcher]

    def answered(self, now: int, request: str) -> None:
        """An answer has been sent."""
        row = self.open.get(request)
        if row is None:
            self.report(1, now, f"an answer to {request}, which nobody has open")
            return
        row.answers += 1
        if row.answers > 1:
            self.report(1, now, f"answer {row.answers} to {request}")
        elif now > row.deadline + self.slack_us and not (row.left or row.excused):
            self.report(1, now, f"{request} answered {(now - row.deadline) // 1000} ms after its time was up")

    def client_left(self, now: int, request: str) -> None:
        """Its client went before the time was up; one that stays to the end is owed an answer."""
        row = self.open.get(request)
        if row is not None:
            row.left = now < row.deadline

    def dispatcher_killed(self, dispatcher: int) -> None:
        """Its requests are nobody's fault but the killer's."""
        for row in self.open.values():
            row.excused |= row.dispatcher == dispatcher

    def sweep(self, now: int) -> None:
        """What is long past its time; done now and then, so that a day of millions of requests stays
        small."""
        past: list[str] = []
        for request, row in self.open.items():
            # In the order of their taking: none that comes later is past its time where this one has 5 s to
            # go.
            if row.deadline > now + 5 * SECOND_US:
                break
            # Danger: what was held back by the rig, or stood still, may be answered long after its time.
            if row.deadline + SECOND_US < now and (row.answers or not row.excused):
                past.append(request)
        for request in past:
            row = self.open.pop(request)
            if not (row.answers or row.left or row.excused):
                self.report(1, now, f"no answer to {request} of dispatcher {row.dispatcher}")


class EffectChecker:
    """Rule two: no effect twice, but for a repeat of a keyed request at the same origin within its
    window.
    """

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.last_run = report, dict[str, int]()

    def run(self, now: int, key: str, window_us: int) -> bool:
        """An effect is asked for; whether it runs, and is not known as a repeat."""
        first = self.last_run.get(key)
        if first is not None and now - first <= window_us:
            return False
        if first is not None:
            self.report(2, now, f"the effect of {key} again after {(now - first) // 1000} ms")
        self.last_run[key] = now
        return True


class DrainChecker:
    """Rule three: nothing new to a drained or gone host 250 ms after the dispatcher was told, as
    source too.
    """

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.notified_at = report, dict[tuple[int, str], int]()
        self.on_attempt: Callable[[int, int, str, str], None] | None = None  # of every attempt

    def dispatcher_notified(self, now: int, dispatcher: int, host: str, state: str) -> None:
        """A dispatcher was notified of a host's state."""
        if state == "up":
            self.notified_at.pop((dispatcher, host), None)
        else:
            self.notified_at.setdefault((dispatcher, host), now)

    def forget(self, dispatcher: int) -> None:
        """A dispatcher's process is gone, and what it knew with it."""
        for pair in [pair for pair in self.notified_at if pair[0] == dispatcher]:
            del self.notified_at[pair]

    def attempt(self, now: int, dispatcher: int, host: str, role: str) -> None:
        """A dispatcher has sent an attempt to a host, or named it as a source."""
        if self.on_attempt is not None:
            self.on_attempt(now, dispatcher, host, role)
        at = self.notified_at.get((dispatcher, host))
        if at is not None and now - at > DRAIN_GRACE_US:
            self.report(
                3,
                now,
                f"{host} as {role} from dispatcher {dispatcher} {(now - at) // 1000} ms after it was told",
            )


@dataclass(slots=True)
class WarmingHost:
    """A host that is warming up, and the work that it was sent in the last window."""

    started: int
    capacity: float
    work: deque[tuple[int, float, bool]] = field(default_factory=deque)
    requested: float = 0.0
    by_notified: float = 0.0
    reported: bool = False


class ColdStartChecker:
    """Rule four: no cold host pushed over by all dispatchers together, fills at parents counted.

    The budget of any window is multiple x what the host can carry now x the window; broken where at least two
    thirds of the work came from dispatchers that had been told of its start.
    """

    def __init__(self, settings: WorldSettings, report: ReportViolation) -> None:
        self.settings, self.report = settings, report
        self.warming, self.known_starts = dict[str, WarmingHost](), dict[tuple[int, str], int]()
        self.highest_ever = 0.0

    def host_started(self, now: int, host: str, capacity: float) -> None:
        """A host has started, cold."""
        self.warming[host] = WarmingHost(now, capacity)

    def dispatcher_notified(self, dispatcher: int, host: str, started_us: int) -> None:
        """A dispatcher was notified of a host's start."""
        self.known_starts[dispatcher, host] = max(self.known_starts.get((dispatcher, host), 0), started_us)

    def forget(self, dispatcher: int) -> None:
        """A dispatcher's process is gone, and what it knew with it."""
        for pair in [pair for pair in self.known_starts if pair[0] == dispatcher]:
            del self.known_starts[pair]

    def highest_load(self, now: int) -> float:
        """The most that a cold host is asked for now, as a share of what it can bear."""
        most, settings = 0.0, self.settings
        for row in self.warming.values():
            if now - row.started < settings.warm_up_us:
                asked = sum(work for at, work, _ in row.work if at > now - settings.overload_window_us)
                most = max(most, asked / self._budget(now, row))
        return most

    def _budget(self, now: int, row: WarmingHost) -> float:
        settings = self.settings
        can = (
            settings.cold_start_share
            + (1 - settings.cold_start_share) * (now - row.started) / settings.warm_up_us
        )
        return settings.overload_multiple * can * row.capacity * settings.overload_window_us

    def work_arrived(self, now: int, dispatcher: int, host: str, work_us: float) -> bool:
        """Work of a dispatcher that reached a host; whether it was more than the host can bear."""
        row = self.warming.get(host)
        if row is None:
            return False
        settings = self.settings
        if now - row.started >= settings.warm_up_us:
            del self.warming[host]
            return False
        told = self.known_starts.get((dispatcher, host), -1) >= row.started
        row.work.append((now, work_us, told))
        row.requested += work_us
        row.by_notified += work_us * told
        while row.work[0][0] <= now - settings.overload_window_us:
            _, work, by_told = row.work.popleft()
            row.requested -= work
            row.by_notified -= work * by_told
        budget = self._budget(now, row)
        # Danger: of few transfers a window holds one more or less by chance; one more is let pass.
        over = row.requested > budget + work_us
        self.highest_ever = max(self.highest_ever, row.requested / budget)
        if over and not row.reported and row.by_notified >= row.requested * 2 / 3:
            row.reported = True
            self.report(4, now, f"{host}, cold, was sent {row.requested / budget:.2f} of what it can bear")
        return over


class PurgeChecker:
    """Rule five: nothing older than a purge in answer to what was sent 1 s after the dispatcher was told."""

    def __init__(self, report: ReportViolation) -> None:
        self.report, self.watermarks = report, dict[tuple[int, str | int], deque[tuple[int, int]]]()

    def dispatcher_notified(self, now: int, dispatcher: int, what: str | int, made: int) -> None:
        """A dispatcher was notified of a purge of an object or a group."""
        row = self.watermarks.setdefault((dispatcher, what), deque(maxlen=8))
        row.append((now, made))

    def forget(self, dispatcher: int) -> None:
        """A dispatcher's process is gone, and what it knew with it."""
        for pair in [pair for pair in self.watermarks if pair[0] == dispatcher]:
            del self.watermarks[pair]

    def served(
        self, now: int, dispatcher: int, request: str, object_key: str, group: int, sent: int, created: int
    ) -> None:
        """A dispatcher has answered a request, sent at `sent`, with a copy created at `created`."""
        for what in (object_key, group):
            for told, made in self.watermarks.get((dispatcher, what), ()):
                if sent > told + PURGE_GRACE_US and created < made:
                    self.report(
                        5,
                        now,
                        f"{request} answered by a copy {(made - created) // 1000} ms older than its purge",
                    )


class RuleChecker:
    """All five, and what they found."""

    def __init__(self, settings: WorldSettings) -> None:
        self.violations: list[Violation] = []
        self.counts = dict.fromkeys((1, 2, 3, 4, 5), 0)
        self.answers, self.effects, self.drains = (
            AnswerChecker(self._report),
            EffectChecker(self._report),
            DrainChecker(self._report),
        )
        self.colds, self.purges = ColdStartChecker(settings, self._report), PurgeChecker(self._report)

    def _report(self, rule: int, at: int, what: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, at, what))

    def dispatcher_killed(self, dispatcher: int) -> None:
        """A dispatcher's process is gone: it knows nothing any more, and what it had open is excused."""
        self.answers.dispatcher_killed(dispatcher)
        self.drains.forget(dispatcher)
        self.colds.forget(dispatcher)
        self.purges.forget(dispatcher)
