"""What requests leave behind in a dispatcher's decision module: memory of objects and of open requests, and
the ranking of hosts. No socket; the `Router` is told what the owner would tell it."""

from __future__ import annotations

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import (
    AttemptEnded,
    CacheStatus,
    EndpointListForm,
    EndpointsUpdated,
    Outcome,
    RequestArrived,
)
from hoistplank.decision.router import Router
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, kept_bytes, processor_us, series
from hoistplank.lab.scale.role_dispatcher import (
    FRESH_US,
    HOSTS,
    HOSTS_AT_TARGET,
    ROLE,
    SEED,
    planned_site,
    whole_list,
)
from hoistplank.protocol.changelog import ChangeLogReader, Event, Target

OBJECTS = (100, 200, 400, 800)
OPEN_REQUESTS = (40, 80, 160, 320)
CLASS_NAME = "page"
BETWEEN_REQUESTS_US = 500


class RequestPath:
    """Requests told to a `Router` that knows so many hosts; each is for another object."""

    def __init__(self, hosts: int) -> None:
        entries = [told.to_endpoint() for told in _targets(hosts)]
        self.router = Router(planned_site(), SEED)
        self.now = FRESH_US
        self.router.handle(self.now, EndpointsUpdated(EndpointListForm.SNAPSHOT, entries))
        self.count = 0

    def begin(self, count: int) -> None:
        """So many requests come, and the decisions on them are pulled; none is answered."""
        for _ in range(count):
            self._come()
        while self.router.next_action(self.now) is not None:
            pass

    def answer(self, count: int) -> None:
        """So many requests come, one after another, each answered at its first attempt."""
        for _ in range(count):
            self._come()
            while (action := self.router.next_action(self.now)) is not None:
                if isinstance(action, SendAttempt):
                    ended = AttemptEnded(
                        request_id=action.request_id,
                        attempt=action.attempt,
                        outcome=Outcome.SUCCEEDED,
                        request_closed=True,
                        took_us=5_000,
                        cache_status=CacheStatus.FILLED,
                        load_report=[],
                    )
                    self.router.handle(self.now, ended)

    def _come(self) -> None:
        self.now += BETWEEN_REQUESTS_US
        self.count += 1
        name = f"{self.count:016x}"
        deadline_us = self.now + self.router.settings.longest_deadline_us
        self.router.handle(self.now, RequestArrived(name, CLASS_NAME, name, 0, 0, 0.0, deadline_us, False))


def _targets(hosts: int) -> list[Target]:
    buffer = bytearray(whole_list(hosts))
    _, found = ChangeLogReader().read(buffer, 0, len(buffer))
    event = found[0]
    assert isinstance(event, Event) and event.fleet is not None
    return list(event.fleet.targets)


def _request_state(effort: Effort) -> list[Measurement]:
    in_use = Quantity(
        ROLE, "memory of objects asked for within 10 s", "B", "objects", f"{HOSTS_AT_TARGET} hosts"
    )
    open_now = Quantity(ROLE, "memory of open requests in the module", "B", "requests")

    def objects(count: int) -> float:
        path = RequestPath(HOSTS_AT_TARGET)
        return kept_bytes(lambda: path.answer(count))[1]

    def requests(count: int) -> float:
        path = RequestPath(HOSTS_AT_TARGET)
        return kept_bytes(lambda: path.begin(count))[1]

    return series(in_use, effort.sizes(OBJECTS), effort.slow_repeats, objects) + series(
        open_now, OPEN_REQUESTS, effort.slow_repeats, requests
    )


def _first_requests(effort: Effort) -> list[Measurement]:
    quantity = Quantity(
        ROLE,
        "processor time of the module for an object's first request",
        "us",
        "hosts",
        "ranks all hosts; so does the first one after each change of the list",
    )

    def value(hosts: int) -> float:
        path = RequestPath(hosts)
        count = 4 * effort.events
        return processor_us(lambda: path.answer(count)) / count

    return series(quantity, HOSTS, effort.repeats, value)


STEPS = (
    Step(ROLE, "requests: memory", _request_state),
    Step(ROLE, "requests: first of an object", _first_requests),
)
