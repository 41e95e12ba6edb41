"""The simulated change log, which delivers host lists and purges to each dispatcher late, but in order."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from hoistplank.decision.events import Endpoint
from hoistplank.lab.model.dispatcher import Dispatcher

if TYPE_CHECKING:
    from hoistplank.lab.model.world import World


LOG_TIMEOUT_US = 2_200_000  # a change log that says nothing for so long counts as lost


class SimulatedChangeLog:
    """Tells each dispatcher of hosts and purges, late by chance but in order; may stop, skip and come
    back.
    """

    def __init__(self, world: World) -> None:
        self.world, self.random = world, world.stream("change log")
        self.is_up, self.stopped_at = True, 0
        self.held: list[Callable[[Dispatcher], None]] = []
        self.last_delivery_at: dict[int, int] = {}
        self.delay_factor = 1.0

    def set_delay_factor(self, factor: float) -> None:
        """Make deliveries take this many times as long."""
        self.delay_factor = factor

    def publish(self, what: Callable[[Dispatcher], None]) -> None:
        """Something that all are to hear; kept while the log is stopped."""
        if not self.is_up:
            self.held.append(what)
            return
        for dispatcher in self.world.dispatchers:
            self._send(dispatcher, what)

    def _send(self, dispatcher: Dispatcher, what: Callable[[Dispatcher], None]) -> None:
        low, high = self.world.settings.log_delay_us
        now = self.world.events.now
        at = max(
            self.last_delivery_at.get(dispatcher.number, 0),
            now + int(self.delay_factor * self.random.between(low, high)),
        )
        self.last_delivery_at[dispatcher.number] = at
        if self.world.paths is None:
            self.world.events.schedule(at, self._deliver, dispatcher, what)
        else:
            self.world.events.schedule(at, self._send_over_path, dispatcher, what)

    def _send_over_path(self, dispatcher: Dispatcher, what: Callable[[Dispatcher], None]) -> None:
        assert self.world.paths is not None
        self.world.paths.send(
            f"d{dispatcher.number}>log", True, self.world.events.now, self._deliver, dispatcher, what
        )

    def _deliver(self, dispatcher: Dispatcher, what: Callable[[Dispatcher], None]) -> None:
        if dispatcher.alive:
            what(dispatcher)

    def publish_hosts(self, rows: list[Endpoint], form: str = "changes") -> None:
        """Publish hosts, as `changes` or as the `whole` list."""

        def told(dispatcher: Dispatcher) -> None:
            self.world.notify_hosts(dispatcher, form, rows)

        self.publish(told)

    def stop(self) -> None:
        """Hold everything back; dispatchers count the log as lost after `LOG_TIMEOUT_US`."""
        if self.is_up:
            self.is_up, self.stopped_at = False, self.world.events.now
            self.world.events.schedule(self.stopped_at + LOG_TIMEOUT_US, self._lost, self.stopped_at)

    def _lost(self, stopped_at: int) -> None:
        if not self.is_up and self.stopped_at == stopped_at:
            for dispatcher in self.world.dispatchers:
                if dispatcher.alive:
                    dispatcher.update_hosts("failed", [])

    def start(self, whole: bool = False) -> None:
        """It is back, with what it held, or with nothing but a whole list (a gap)."""
        self.is_up = True
        held, self.held = self.held, []
        if whole:
            self.publish_hosts(self.world.host_entries(), "whole")
            return
        for what in held:
            self.publish(what)
