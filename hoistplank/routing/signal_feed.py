"""Reports signals of requests and attempts, on which the degradation levels are decided."""

from __future__ import annotations

from hoistplank.decision.events import FETCHED
from hoistplank.decision.settings import RouterSettings
from hoistplank.degradation.observer import CompletedFill, SignalObserver
from hoistplank.routing.attempts import Attempt, Request

FILL_DELAY_US = 100_000  # expected duration of a fill beyond its sending time, as in the decision logic
LINK_FIELD = "link_full"  # field of a load report: utilization of the host's link


class SignalFeed:
    """Converts the router task's events into records of the degradation signals' observer."""

    def __init__(
        self, observer: SignalObserver, settings: RouterSettings, load_report_fields: tuple[str, ...]
    ) -> None:
        self.observer = observer
        self.traffic_classes = {row.name: row for row in settings.traffic_classes}
        self.load_report_fields = load_report_fields

    def loop_measured(self, now: int, lag_us: int, open_share: float) -> None:
        """Records the loop's lag, and the open requests as a share of their limit."""
        self.observer.record_loop(now, lag_us, open_share)

    def request_shed(self, now: int, class_name: str) -> None:
        """Records a request that was rejected on arrival; one of an unknown class counts for no class."""
        self.observer.record_shedding(now, shed=True)
        if class_name in self.traffic_classes:
            self.observer.record_response(now, class_name, in_target=False)

    def request_closed(self, now: int, request: Request, served_us: int) -> None:
        """Records a closed request; `served_us` is the time from receipt to answer, -1 if not served."""
        in_time = 0 <= served_us <= self._objective_us(request)
        self.observer.record_response(now, request.class_name, in_target=in_time)

    def answer_received(
        self, now: int, attempt: Attempt, cache_status: int, took_us: int, load_report: list[float]
    ) -> None:
        """Records a cache host's answer: the fill that it reports, and the load of the host's link."""
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
        """Records a purge of an object or a group, as fills of its copies are to be expected."""
        self.observer.record_purge(now, object_key, purge_group)

    def _objective_us(self, request: Request) -> float:
        traffic_class = self.traffic_classes[request.class_name]
        objective_us = (
            traffic_class.latency_objective_us + traffic_class.objective_stretch * request.sending_us
        )
        return min(traffic_class.deadline_us, objective_us)
