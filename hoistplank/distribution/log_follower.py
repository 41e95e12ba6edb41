"""A replica's connection to the change log: its events with their epoch, in order and without gaps."""

from __future__ import annotations

from random import Random
from typing import Protocol

import msgspec
import structlog

from hoistplank.distribution.messages import Configuration, ReplicatedEvent
from hoistplank.distribution.versions import Version
from hoistplank.protocol import changelog
from hoistplank.protocol.changelog import Event, Position, Snapshot
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.events import Event as RouterTaskEvent
from hoistplank.transport.connection import Consume

log = structlog.get_logger()
# A log that sends events all the time may send no bare number: so long after its first event it is read.
INITIAL_READ_US = 500_000
# After this process was suspended for so long, pending lines say nothing of the present for some time.
SUSPENSION_US, DISTRUST_US = 1_000_000, 500_000

_configuration_decoder = msgspec.json.Decoder(Configuration)


class ChangeLogListener(Protocol):
    """Receives the change log's events."""

    def apply_event(self, event: ReplicatedEvent) -> None:
        """The next event, in order."""

    def report_unreadable(self, version: Version, reason: str) -> None:
        """The event of this version holds a configuration that can't be read: it is not forwarded."""


class _DiscardingOwner:
    """Takes the place of a dispatcher's router task: a replica applies whole events instead."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def submit(self, event: RouterTaskEvent) -> None:
        """Discards the event; that the log is lost shows in its silence."""


class LogFollower(EndpointWatcher):
    """Follows the change log for a replica; silence, gaps and backoff are handled by `EndpointWatcher`."""

    def __init__(
        self, listener: ChangeLogListener, address: tuple[str, int], random: Random, clock: Clock
    ) -> None:
        super().__init__(_DiscardingOwner(clock), address, Snapshot(), random)
        self.listener = listener
        self.epoch = 0
        self.last_heard_us = 0  # when an event or a number last arrived in order; 0: never
        self._first_heard_us = 0
        self._running_us = clock.now()  # when this process was last known to run
        self._trusted_from_us = 0
        self._has_number = False

    def check_suspension(self) -> None:
        """Notices that this process was suspended; to be called several times a second.

        Danger: lines that were pending meanwhile are old, and would say that nothing was missed since.
        """
        now = self.receiver.clock.now()
        if now - self._running_us > SUSPENSION_US:
            self._trusted_from_us = now + DISTRUST_US
        self._running_us = now

    @property
    def version(self) -> Version:
        """How far the log is, as received on this connection or the last."""
        return Version(self.epoch, self.last_seq)

    def silence_us(self) -> int | None:
        """For how long nothing has arrived in order; None if nothing ever has."""
        return self.receiver.clock.now() - self.last_heard_us if self.last_heard_us else None

    def is_caught_up(self) -> bool:
        """Whether everything that the log held at the start has arrived, as far as can be known."""
        since_first_us = self.receiver.clock.now() - self._first_heard_us
        has_settled = self._first_heard_us > 0 and since_first_us > INITIAL_READ_US
        return self._has_number or has_settled

    def make_consumer(self) -> Consume:
        """What handles the lines of one connection, checking the epoch of each."""
        reader = changelog.ChangeLogReader()

        def consume(buffer: bytearray, start: int, end: int) -> int:
            self.check_suspension()
            start, messages = reader.read(buffer, start, end)
            for message in messages:
                if isinstance(message, Event):
                    self._check_epoch(message.epoch)
                elif reader.epoch:
                    self._check_epoch(reader.epoch)
                self.receive(message)
            return start

        return consume

    def _check_epoch(self, epoch: int) -> None:
        """Raises ProtocolError if the epoch has changed, so that everything is requested again.

        Danger: a restarted log may be past our number, and would seem to continue from it.
        """
        if epoch == self.epoch:
            return
        if epoch < self.epoch:
            raise ProtocolError(f"the change log is in epoch {epoch}, {self.epoch} is known")
        is_restart = self.last_seq > 0
        self.epoch = epoch
        if is_restart:
            self.last_seq, self.is_log_behind, self.numbering_restarted = 0, False, True
            raise ProtocolError(f"the change log began anew in epoch {epoch}: all is asked for")

    def receive(self, message: Event | Position) -> None:
        """Takes an event or a position, and notes when something arrived in order."""
        progress_count, was_behind = self.progress_count, self.is_log_behind
        super().receive(message)
        if self.is_log_behind and not was_behind:
            log.error("change log began anew without an epoch", epoch=self.epoch, last=self.last_seq)
        if self.progress_count == progress_count:
            return
        now = self.receiver.clock.now()
        if now >= self._trusted_from_us:
            self.last_heard_us = now
        self._first_heard_us = self._first_heard_us or now
        self._has_number = self._has_number or not isinstance(message, Event)

    def _apply(self, event: Event) -> None:
        self.last_seq, self.has_list = event.seq, True
        self.listener.apply_event(self._replicated(event))

    def _replicated(self, event: Event) -> ReplicatedEvent:
        configuration: Configuration | None = None
        if event.has_configuration:
            try:
                configuration = _configuration_decoder.decode(event.configuration)
            except msgspec.MsgspecError as error:
                # Danger: an unreadable one must not stop the purges behind it: its number is passed.
                self.listener.report_unreadable(Version(event.epoch, event.seq), str(error))
        return ReplicatedEvent(
            event.seq, event.epoch, 0, event.fleet, event.invalidate, configuration=configuration
        )
