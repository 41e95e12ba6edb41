"""Rule two in the decision logic: no drawn course of attempts is repeated or rejected without a proof."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.decision.actions import Fail, Reject, SendAttempt
from hoistplank.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    Outcome,
    RequestArrived,
    TimerFired,
)
from hoistplank.decision.router import Router
from hoistplank.decision.settings import TrafficClass
from tests.helpers import CLASSES, SITE

START_US = 1_000_000_000
TICK_US = 10_000
# Restated from the wire's page, section 12: the outcomes that prove that a request never ran.
PROOFS = {Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS}
ENDS = [value for name, value in vars(Outcome).items() if name.isupper() and name != "SUCCEEDED"]
PAGE = next(row for row in CLASSES if row.name == "page")
HOSTS = {"a": ("z1", 0), "b": ("z1", 1), "p": ("hub", 2), "o": ("hub", 3)}  # zone and cell
DRAINS: list[tuple[str, ...]] = [(), (), ("a",), ("a", "b")]  # while an attempt is in flight
KINDS = {"a": "cache", "b": "cache", "p": "parent", "o": "origin"}


@dataclass
class SentAttempt:
    """An attempt, as the checker sees it."""

    number: int
    host: str
    sent_us: int
    outcome: int | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in PROOFS


class Course:
    """One request's course through a router, with the checks of rule two at each action."""

    def __init__(self, traffic_class: TrafficClass, deadline_us: int) -> None:
        self.traffic_class = traffic_class
        self.router = Router(replace(SITE, traffic_classes=(traffic_class,)), 7)
        self.now, self.attempts = START_US, list[SentAttempt]()
        self.answer: Reject | Fail | None = None
        endpoints = [
            Endpoint(name, zone, KINDS[name], cell, 5.0, 1, "up") for name, (zone, cell) in HOSTS.items()
        ]
        self.router.handle(self.now, EndpointsUpdated(EndpointListForm.SNAPSHOT, endpoints))
        self.deadline_us = self.now + deadline_us
        self.router.handle(
            self.now,
            RequestArrived("r", traffic_class.name, "k", 0, 0, 0.0, self.deadline_us, is_repeat=False),
        )
        self.take_actions()

    def take_actions(self) -> None:
        while (action := self.router.next_action(self.now)) is not None:
            if isinstance(action, SendAttempt):
                self.check_attempt(action)
                self.attempts.append(SentAttempt(action.attempt, action.host, self.now))
            elif isinstance(action, Reject | Fail):
                assert self.answer is None
                self.answer = action
                if isinstance(action, Reject):
                    self.check_rejection(action)

    def first_run(self) -> SentAttempt | None:
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    def in_window(self, first: SentAttempt, at_us: int) -> bool:
        return at_us <= first.sent_us + self.traffic_class.deduplication_window_us

    def check_attempt(self, action: SendAttempt) -> None:
        assert self.answer is None
        assert all(attempt.outcome is not None for attempt in self.attempts), "two attempts at once"
        first, semantics = self.first_run(), self.traffic_class.semantics
        is_bound = 0 < action.write_within_us <= self.traffic_class.deduplication_window_us
        assert is_bound if semantics == "keyed" else action.write_within_us == 0
        if first is None or semantics == "idempotent":
            return
        assert semantics == "keyed" and self.in_window(first, self.now)
        assert 0 < action.start_by_us <= first.sent_us + self.traffic_class.deduplication_window_us
        scope = self.traffic_class.deduplication_scope
        if scope != "all":
            index = 0 if scope == "zone" else 1
            assert HOSTS[action.host][index] == HOSTS[first.host][index]

    def check_rejection(self, action: Reject) -> None:
        first, semantics = self.first_run(), self.traffic_class.semantics
        if first is None or semantics == "idempotent":
            return
        assert semantics == "keyed" and self.traffic_class.deduplication_scope == "all"
        assert self.in_window(first, self.now + action.retry_after_us)

    def pass_time(self, delay_us: int) -> None:
        until = self.now + delay_us
        while self.now < until:
            self.now = min(until, self.now + TICK_US)
            self.router.handle(self.now, TimerFired(self.router.timer_id))
            self.take_actions()

    def drain(self, names: tuple[str, ...]) -> None:
        endpoints = [
            Endpoint(name, HOSTS[name][0], KINDS[name], HOSTS[name][1], 5.0, 1, "draining") for name in names
        ]
        self.router.handle(self.now, EndpointsUpdated(EndpointListForm.CHANGES, endpoints))

    def end_attempt(self, outcome: int) -> None:
        attempt = self.attempts[-1]
        attempt.outcome = outcome
        took_us = self.now - attempt.sent_us
        ended = AttemptEnded("r", attempt.number, outcome, self.answer is not None, took_us, 0, [])
        self.router.handle(self.now, ended)
        self.take_actions()


TRAFFIC_CLASSES = {
    f"{semantics} {scope} {window_ms} {'uncached' if uncached else 'cached'}": replace(
        PAGE,
        name="c",
        semantics=semantics,
        deduplication_scope=scope,
        deduplication_window_us=window_ms * 1_000,
        uncached=uncached,
    )
    for semantics, scope, window_ms in (
        ("idempotent", "", 0),
        ("non-idempotent", "", 0),
        ("keyed", "all", 150),
        ("keyed", "all", 3_000),
        ("keyed", "zone", 600),
        ("keyed", "cell", 600),
    )
    for uncached in (False, True)
}


@pytest.mark.parametrize("name", TRAFFIC_CLASSES)
@settings(max_examples=100, deadline=None)
@given(
    deadline_ms=st.sampled_from([250, 400, 1_500, 2_500]),
    ends=st.lists(st.tuples(st.integers(1, 900), st.sampled_from(ENDS), st.sampled_from(DRAINS)), max_size=7),
)
def test_no_course_of_attempts_breaks_rule_two(
    name: str, deadline_ms: int, ends: list[tuple[int, int, tuple[str, ...]]]
) -> None:
    course = Course(TRAFFIC_CLASSES[name], deadline_ms * 1_000)
    for delay_ms, outcome, drained in ends:
        for _ in range(100):  # until the next attempt, if there is one
            if course.answer is not None or (course.attempts and course.attempts[-1].outcome is None):
                break
            course.pass_time(TICK_US)
        if course.answer is not None or not course.attempts or course.attempts[-1].outcome is not None:
            break
        left_us = course.deadline_us - course.now
        course.pass_time(max(1, min(delay_ms * 1_000, left_us)))
        course.drain(drained)
        course.end_attempt(outcome if course.now < course.deadline_us else Outcome.TIMED_OUT)
    if course.answer is None and course.attempts and course.attempts[-1].outcome is None:
        course.pass_time(max(1, course.deadline_us - course.now))
        course.end_attempt(Outcome.TIMED_OUT)
    course.pass_time(3_000_000)
    if course.answer is None and course.attempts and course.attempts[-1].outcome is None:
        course.end_attempt(Outcome.TIMED_OUT)
    course.pass_time(100_000)
    assert course.answer is not None


def test_request_whose_attempt_is_in_flight_is_not_taken_for_one_that_never_ran() -> None:
    course = Course(TRAFFIC_CLASSES["non-idempotent  0 uncached"], 400_000)
    request = course.router.requests["r"]
    assert request.in_flight and request.first_run is not None
    course.router.handle(course.now, ClientDisconnected("r"))
    course.end_attempt(Outcome.CONNECT_FAILED)
    assert course.router.requests == {} and course.answer is None
