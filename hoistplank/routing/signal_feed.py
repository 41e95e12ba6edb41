"""What requests and attempts show of the fleet's state, for the levels of degradation."""

from __future__ import annotations

from hoistplank.decision.events import FETCHED
from hoistplank.decision.settings import RouterSettings
from hoistplank.degradation.observer import CompletedFill, SignalObserver
from hoistplank.routing.attempts import Attempt, Request

FILL_DELAY_US = 100_000  # of a fill beside its sending time, as the decision logic reckons it
LINK_FIELD = "link_full"  # of a load report: how full the host's link is


class SignalFeed:
    """Translates the router task's events for the observer of the degradation signals."""

    def __init__(
        self, observer: SignalObserver, settings: RouterSettings, load_report_fields: tuple[str, ...]
    ) -> None:
        self.observer = observer
        self.traffic_classes = {row.name: row for row in settings.traffic_classes}
        self.load_report_fields = load_report_fields

    def loop_measured(self, now: int, lag_us: int, open_share: float) -> None:
        """The loop's lag, and the open requests as a share of the bound on them."""
        self.observer.record_loop(now, lag_us, open_share)

    def request_shed(self, now: int, class_name: str) -> None:
        """A request was rejected as it arrived; of no known class, it counts for none."""
        self.observer.record_shedding(now, shed=True)
        if class_name in self.traffic_classes:
            self.observer.record_response(now, class_name, in_target=False)

    def request_closed(self, now: int, request: Request, served_us: int) -> None:
        """A request is over; `served_us` from its receipt to its answer, -1 where it was not served."""
        in_time = 0 <= served_us <= self._objective_us(request)
        self.observer.record_response(now, request.class_name, in_target=in_time)

    def answer_received(
        self, now: int, attempt: Attempt, cache_status: int, took_us: int, load_report: list[float]
    ) -> None:
        """A cache host's answer, with what it says of a fill and of its link."""
        request = attempt.request
        if cache_status in FETCHED and attempt.source and attempt.source != attempt.host:
            in_time = took_us <= self._objective_us(request)
            slowdown = took_us / (request.sending_us + FILL_DELAY_US)
            fill = CompletedFill(attempt.source, request.object_key, request.purge_group, in_time, slowdown)
            self.observer.record_fill(now, fill)
        for name, value in zip(self.load_report_fields, load_report, strict=False):
            if name == LINK_FIELD:
                self.observer.record_link(now, value)

    def purge_received(self, now: int, object_key: str, purge_group: int) -> None:
        """Copies of an object or a group were voided: fills of them are to be expected."""
        self.observer.record_purge(now, object_key, purge_group)

    def _objective_us(self, request: Request) -> float:
        traffic_class = self.traffic_classes[request.class_name]
        objective_us = (
            traffic_class.latency_objective_us + traffic_class.objective_stretch * request.sending_us
        )
        return min(traffic_class.deadline_us, objective_us)
