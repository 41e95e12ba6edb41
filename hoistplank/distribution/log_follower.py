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
# A log that tells events all the time may tell no bare number: so long after its first event it is read.
SETTLED_US = 500_000
# After a standstill of this process of such length, lines that wait say nothing of the present for so long.
STANDSTILL_US, DISTRUST_US = 1_000_000, 500_000

_configurations = msgspec.json.Decoder(Configuration)


class EventTaker(Protocol):
    """Who takes the change log's events."""

    def take(self, event: ReplicatedEvent) -> None: ...

    def unreadable(self, version: Version, reason: str) -> None:
        """The event of this version brought a configuration that can't be read: it is handed on to nobody."""


class _Unlisted:
    """Stands where a dispatcher's owner hears what the log says: a replica takes whole events instead."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def submit(self, event: RouterTaskEvent) -> None:
        """A loss of the log is seen by its silence."""


class LogFollower(EndpointWatcher):
    """Follows the change log for a replica; the rules on silence, gaps and backoff are those of its base."""

    def __init__(self, taker: EventTaker, address: tuple[str, int], chance: Random, clock: Clock) -> None:
        super().__init__(_Unlisted(clock), address, Snapshot(), chance)
        self.taker = taker
        self.epoch = 0
        self.heard_us = 0  # when an event or a number last came in its order; 0: never
        self._first_us = 0
        self._awake_us = clock.now()
        self._trusted_from_us = 0
        self._has_number = False

    def awake(self) -> None:
        """To be called several times a second, so that a standstill of this process is noticed.

        Danger: lines that waited meanwhile are old; taken for news they say that nothing was missed since.
        """
        now = self.owner.clock.now()
        if now - self._awake_us > STANDSTILL_US:
            self._trusted_from_us = now + DISTRUST_US
        self._awake_us = now

    @property
    def version(self) -> Version:
        """How far the log is, as it was told in this connection or the last."""
        return Version(self.epoch, self.last_seq)

    def silent_us(self) -> int | None:
        """For how long nothing has come in its order; None: nothing ever has."""
        return self.owner.clock.now() - self.heard_us if self.heard_us else None

    def is_read(self) -> bool:
        """Whether all that the log held at the start has come, as far as can be told."""
        settled = self._first_us > 0 and self.owner.clock.now() - self._first_us > SETTLED_US
        return self._has_number or settled

    def make_consumer(self) -> Consume:
        reader = changelog.ChangeLogReader()

        def consume(buffer: bytearray, start: int, end: int) -> int:
            self.awake()
            start, found = reader.read(buffer, start, end)
            for told in found:
                if isinstance(told, Event):
                    self._check_epoch(told.epoch)
                elif reader.epoch:
                    self._check_epoch(reader.epoch)
                self.receive(told)
            return start

        return consume

    def _check_epoch(self, epoch: int) -> None:
        """Danger: a log that counts anew may be past our number, and would seem to go on from it."""
        if epoch == self.epoch:
            return
        if epoch < self.epoch:
            raise ProtocolError(f"the change log is in epoch {epoch}, {self.epoch} is known")
        began_anew = self.last_seq > 0
        self.epoch = epoch
        if began_anew:
            self.last_seq, self.is_log_behind, self.numbering_restarted = 0, False, True
            raise ProtocolError(f"the change log began anew in epoch {epoch}: all is asked for")

    def receive(self, told: Event | Position) -> None:
        moves, was_behind = self.progress_count, self.is_log_behind
        super().receive(told)
        if self.is_log_behind and not was_behind:
            log.error("change log began anew without an epoch", epoch=self.epoch, last=self.last_seq)
        if self.progress_count == moves:
            return
        now = self.owner.clock.now()
        if now >= self._trusted_from_us:
            self.heard_us = now
        self._first_us = self._first_us or now
        self._has_number = self._has_number or not isinstance(told, Event)

    def _apply(self, event: Event) -> None:
        self.last_seq, self.has_list = event.seq, True
        self.taker.take(self._replicated(event))

    def _replicated(self, event: Event) -> ReplicatedEvent:
        configuration: Configuration | None = None
        if event.has_configuration:
            try:
                configuration = _configurations.decode(event.configuration)
            except msgspec.MsgspecError as wrong:
                # Danger: one that can't be read must not stop the purges behind it; its number is passed.
                self.taker.unreadable(Version(event.epoch, event.seq), str(wrong))
        return ReplicatedEvent(
            event.seq, event.epoch, 0, event.fleet, event.invalidate, configuration=configuration
        )
