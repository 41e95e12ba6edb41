"""The simulated change log: delivers host lists and purges to each dispatcher with a delay, in order."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from hoistplank.decision.events import Endpoint
from hoistplank.lab.model.dispatcher import Dispatcher

if TYPE_CHECKING:
    from hoistplank.lab.model.world import World


LOG_TIMEOUT_US = 2_200_000  # of silence, after which dispatchers count the change log as lost


class SimulatedChangeLog:
    """Delivers hosts and purges to each dispatcher, in order and with random delays.

    It may stop, and start again with the messages that it held or with a gap.
    """

    def __init__(self, world: World) -> None:
        self.world, self.random = world, world.stream("change log")
        self.is_up, self.stopped_at = True, 0
        self.held: list[Callable[[Dispatcher], None]] = []
        self.last_delivery_at: dict[int, int] = {}
        self.delay_factor = 1.0

    def set_delay_factor(self, factor: float) -> None:
        """Multiply the delay of deliveries by `factor`."""
        self.delay_factor = factor

    def publish(self, message: Callable[[Dispatcher], None]) -> None:
        """Deliver a message to all dispatchers, or hold it while the log is stopped."""
        if not self.is_up:
            self.held.append(message)
            return
        for dispatcher in self.world.dispatchers:
            self._send(dispatcher, message)

    def _send(self, dispatcher: Dispatcher, message: Callable[[Dispatcher], None]) -> None:
        low, high = self.world.settings.log_delay_us
        now = self.world.events.now
        at = max(
            self.last_delivery_at.get(dispatcher.number, 0),
            now + int(self.delay_factor * self.random.between(low, high)),
        )
        self.last_delivery_at[dispatcher.number] = at
        if self.world.paths is None:
            self.world.events.schedule(at, self._deliver, dispatcher, message)
        else:
            self.world.events.schedule(at, self._send_over_path, dispatcher, message)

    def _send_over_path(self, dispatcher: Dispatcher, message: Callable[[Dispatcher], None]) -> None:
        assert self.world.paths is not None
        self.world.paths.send(
            f"d{dispatcher.number}>log", True, self.world.events.now, self._deliver, dispatcher, message
        )

    def _deliver(self, dispatcher: Dispatcher, message: Callable[[Dispatcher], None]) -> None:
        if dispatcher.alive:
            message(dispatcher)

    def publish_hosts(self, hosts: list[Endpoint], form: str = "changes") -> None:
        """Publish hosts, as `changes` or as the `whole` list."""

        def notify(dispatcher: Dispatcher) -> None:
            self.world.notify_hosts(dispatcher, form, hosts)

        self.publish(notify)

    def stop(self) -> None:
        """Stop delivering; dispatchers count the log as lost after `LOG_TIMEOUT_US`."""
        if self.is_up:
            self.is_up, self.stopped_at = False, self.world.events.now
            self.world.events.schedule(self.stopped_at + LOG_TIMEOUT_US, self._lost, self.stopped_at)

    def _lost(self, stopped_at: int) -> None:
        if not self.is_up and self.stopped_at == stopped_at:
            for dispatcher in self.world.dispatchers:
                if dispatcher.alive:
                    dispatcher.update_hosts("failed", [])

    def start(self, whole: bool = False) -> None:
        """Start again and deliver what was held; with `whole`, drop it and deliver a whole list (a gap)."""
        self.is_up = True
        held, self.held = self.held, []
        if whole:
            self.publish_hosts(self.world.host_entries(), "whole")
            return
        for message in held:
            self.publish(message)
