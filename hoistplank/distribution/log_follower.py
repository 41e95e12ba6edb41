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
# A log that sends events all the time may send no bare number: this long after its first event, what it held
# at the start counts as read.
INITIAL_READ_US = 500_000
# After a suspension of this process longer than SUSPENSION_US, lines that were pending are read for up to
# DISTRUST_US, and do not prove that the log is up to date.
SUSPENSION_US, DISTRUST_US = 1_000_000, 500_000

_configuration_decoder = msgspec.json.Decoder(Configuration)


class ChangeLogListener(Protocol):
    """Receives the change log's events."""

    def apply_event(self, event: ReplicatedEvent) -> None:
        """Applies the next event, in order."""

    def report_unreadable(self, version: Version, reason: str) -> None:
        """Reports an event that holds an unreadable configuration, which is not forwarded."""


class _DiscardingReceiver:
    """Replaces a dispatcher's router task as receiver: a replica applies whole events instead."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def submit(self, event: RouterTaskEvent) -> None:
        """Discards the event; a lost log is detected by its silence."""


class LogFollower(EndpointWatcher):
    """Follows the change log for a replica; silence, gaps and backoff are handled by `EndpointWatcher`."""

    def __init__(
        self, listener: ChangeLogListener, address: tuple[str, int], random: Random, clock: Clock
    ) -> None:
        super().__init__(_DiscardingReceiver(clock), address, Snapshot(), random)
        self.listener = listener
        self.epoch = 0
        self.last_heard_us = 0  # when an event or a number last arrived in order; 0: never
        self._first_heard_us = 0
        self._running_us = clock.now()  # when this process was last known to run
        self._trusted_from_us = 0
        self._has_number = False

    def check_suspension(self) -> None:
        """Detects that this process was suspended; to be called several times a second.

        Lines that were pending meanwhile are old, and do not prove that nothing was missed since.
        """
        now = self.receiver.clock.now()
        if now - self._running_us > SUSPENSION_US:
            self._trusted_from_us = now + DISTRUST_US
        self._running_us = now

    @property
    def version(self) -> Version:
        """The newest version of the log that was received, on this connection or an earlier one."""
        return Version(self.epoch, self.last_seq)

    def silence_us(self) -> int | None:
        """Returns the time since something last arrived in order; None if nothing ever has."""
        return self.receiver.clock.now() - self.last_heard_us if self.last_heard_us else None

    def is_caught_up(self) -> bool:
        """Returns True if everything that the log held at the start has arrived, as far as can be known."""
        since_first_us = self.receiver.clock.now() - self._first_heard_us
        has_settled = self._first_heard_us > 0 and since_first_us > INITIAL_READ_US
        return self._has_number or has_settled

    def make_consumer(self) -> Consume:
        """Returns the function that handles the lines of one connection, checking the epoch of each."""
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

        Without that, a restarted log that is already past our number would seem to continue from it.
        """
        if epoch == self.epoch:
            return
        if epoch < self.epoch:
            raise ProtocolError(f"the change log sent epoch {epoch}, expected at least {self.epoch}")
        is_restart = self.last_seq > 0
        self.epoch = epoch
        if is_restart:
            self.last_seq, self.is_log_behind, self.numbering_restarted = 0, False, True
            raise ProtocolError(f"the change log restarted in epoch {epoch}: all events are requested again")

    def receive(self, message: Event | Position) -> None:
        """Handles an event or a position, and records when something arrived in order."""
        progress_count, was_behind = self.progress_count, self.is_log_behind
        super().receive(message)
        if self.is_log_behind and not was_behind:
            log.error("change log restarted without a new epoch", epoch=self.epoch, last=self.last_seq)
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
                # An unreadable configuration must not stop the purges behind it: forward the number.
                self.listener.report_unreadable(Version(event.epoch, event.seq), str(error))
        return ReplicatedEvent(
            event.seq, event.epoch, 0, event.fleet, event.invalidate, configuration=configuration
        )
