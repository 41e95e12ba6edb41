"""Follows the change log: the initial snapshot, then all later events, in order and without gaps."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random
from typing import Protocol

import msgspec

from hoistplank.protocol import changelog
from hoistplank.protocol.changelog import Event, Position, Purge, Snapshot
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.clock import MIN_STEP_US, Clock
from hoistplank.routing.clock_offset import ClockOffset
from hoistplank.routing.events import (
    EndpointListForm,
    EndpointsUpdated,
    EndpointWatchFailed,
    EndpointWatchStage,
    EndpointWatchStageChanged,
    PurgeReceived,
)
from hoistplank.routing.events import Event as RouterTaskEvent
from hoistplank.routing.line_stall import LineStallTimeout
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.routing.remembered_drains import RememberedDrains
from hoistplank.transport.connecting import connect
from hoistplank.transport.connection import Connection, Consume

SILENCE_TIMEOUT_S = 2.2  # the log sends its position each second: two missed ones and a margin
MAX_SILENCE_FACTOR = 4  # for a log that answered none of the last connections: it may be overloaded
STALL_TIMEOUT_S = 0.3  # a line is sent in one go: without data for this long, its rest is usually lost
CHECK_INTERVAL_S = 0.1
MAX_BUFFERED_BYTES = changelog.MAX_LINE_BYTES + 65_536  # the longest line and data after it
LARGE_BUFFER_BYTES = 262_144  # a larger buffer is released once it is empty: few lines are that long
CONNECT_TIMEOUT_S = 1.0
# Events that are not followed by the log's position may be the first of several. The log sends its position
# at once on a new connection, which is sooner than the next periodic one. The watcher therefore reconnects
# SETTLED_S after the last byte, up to MAX_UNCONFIRMED_CONNECTIONS in a row until the position is confirmed. A
# log whose first response took longer than QUICK_ANSWER_S is overloaded, and gets no additional connections.
SETTLED_S = 0.04
MAX_UNCONFIRMED_CONNECTIONS = 3
QUICK_ANSWER_S = 0.3
RECONNECT_FOR_POSITION = "reconnecting for its position"  # reason of a connection's end: reconnect at once
# Consecutive reads from the socket, of 8 KB and more each, so that a batch of events is known before the next
# turn.
MAX_READS_AT_ONCE = 16
MAX_PENDING_READS = 1_024  # after a standstill
# Backoff between attempts to connect. Events in the log count as received even by a dispatcher that is not
# connected. The longest backoff is therefore a share of the shorter grace period, of drains or of purges, so
# that both are received within theirs once the log is reachable again.
MIN_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_SHARE_OF_GRACE = 0.05, 1.0, 0.6


class LogObserver(Protocol):
    """Observer of all events of the change log, called before the router task gets them."""

    def event_received(self, event: Event) -> Event:
        """Takes an event; returns the event to pass on, which may be changed."""

    def confirmed_current(self) -> None:
        """Takes the confirmation that there are no newer events than those received."""


class EventReceiver(Protocol):
    """Receiver of the events of the change log."""

    clock: Clock

    def submit(self, event: RouterTaskEvent) -> None:
        """Takes an event; events are submitted in the order of the log."""


class EndpointWatcher:
    """Keeps a connection to the change log and submits its events to `receiver`.

    `chance` randomizes the backoff, so that a fleet does not reconnect at once; `grace_s` is the shorter of
    the grace periods of drains and of purges. `last_seq` is the number of the last submitted event;
    `has_list` is true if an endpoint list was among the submitted events.
    """

    def __init__(
        self,
        receiver: EventReceiver,
        address: tuple[str, int],
        known: Snapshot,
        chance: Random,
        grace_s: float = 0.25,
    ) -> None:
        self.check_interval_s, self.line_stall = CHECK_INTERVAL_S, LineStallTimeout(STALL_TIMEOUT_S)
        self.max_backoff_s = max(MIN_BACKOFF_S, min(MAX_BACKOFF_S, MAX_BACKOFF_SHARE_OF_GRACE * grace_s))
        self.observer: LogObserver | None = None
        self.receiver, self.address, self.chance = receiver, address, chance.random
        self.last_seq = 0
        self.has_list = False
        self.is_current = False  # this connection has brought an event or position in order
        self.stage: EndpointWatchStage | None = None  # as last reported
        self.confirmed_at = (
            0.0  # loop time at which the log last confirmed that no event is missing; 0: never
        )
        self._confirmed_us = 0  # time at which the log last confirmed that no event is missing; 0: never
        self._connected_at = 0.0
        self._first_response_at = 0.0  # loop time of the first message in order on this connection
        self._unanswered_connections = 0  # connections in a row without a message in order
        self._unconfirmed_connections = 0  # connections since the stage was last CONFIRMED
        self.is_log_behind = False  # the log's position is below `last_seq`
        self.numbering_restarted = False  # the log restarted its numbering from 1 since the start
        self.progress_count = 0  # events and positions that arrived in order
        self.connection: Connection | None = None  # the current connection to the log
        self.rate_limited_log = RateLimitedLog()
        self._drains = RememberedDrains()
        self._clock_offset = ClockOffset()
        self._clock_step_us = 0  # step of the local wall clock for which `_clock_offset` is valid
        self._address_changed = asyncio.Event()
        for event in known.results:
            self._apply(event)
        self.last_seq = max(self.last_seq, known.seq)
        self._enter_stage(EndpointWatchStage.CONNECTING)

    def _apply(self, event: Event) -> None:
        """Applies one event and submits it to the receiver."""
        self.last_seq = event.seq
        if event.fleet is not None:
            restarted = self.numbering_restarted
            rows = [
                self._drains.apply(target, numbering_restarted=restarted) for target in event.fleet.targets
            ]
            event = msgspec.structs.replace(event, fleet=msgspec.structs.replace(event.fleet, targets=rows))
        if self.observer is not None:
            event = self.observer.event_received(event)
        if event.fleet is not None:
            form = self._list_form(is_whole=event.fleet.all)
            self.has_list = True
            self.receiver.submit(EndpointsUpdated(form, event.fleet.targets))
        if event.invalidate is not None:
            self._submit_purge(event.invalidate)

    def _submit_purge(self, purge: Purge) -> None:
        clock = self.receiver.clock
        step_us = clock.step_us()
        if abs(step_us - self._clock_step_us) >= MIN_STEP_US:
            # The log's clock may have been set as well: its smallest delay so far is no longer valid.
            self._clock_step_us, self._clock_offset = step_us, ClockOffset()
        made_us = self._clock_offset.to_local_us(clock.now(), int(purge.time * 1000))
        self.receiver.submit(PurgeReceived(purge.object, purge.bucket, made_us))

    def _list_form(self, *, is_whole: bool) -> EndpointListForm:
        if not self.has_list:
            return EndpointListForm.PERSISTED
        return EndpointListForm.SNAPSHOT if is_whole else EndpointListForm.CHANGES

    def receive(self, message: Event | Position) -> None:
        """Takes an event or the log's position; raises ProtocolError if events are missing.

        Only an event or position in order counts as progress of the connection. Otherwise bytes that never
        complete a line, or a log whose position is below `last_seq`, would keep a connection alive on which
        no drain can be received.
        """
        if isinstance(message, Position):
            is_in_order = self._receive_position(message.seq)
        else:
            is_in_order = self._receive_event(message)
        if is_in_order and not self.is_current:
            self._first_response_at = asyncio.get_running_loop().time()
        if is_in_order:
            self.is_current, self.is_log_behind = True, False
            self.progress_count += 1

    def _receive_position(self, number: int) -> bool:
        if number < self.last_seq:
            self.is_log_behind = True
            return False
        if number > self.last_seq:
            raise ProtocolError(f"the change log is at {number}, but its events end at {self.last_seq}")
        self._confirm()
        if self.observer is not None:
            self.observer.confirmed_current()
        return True

    def _receive_event(self, event: Event) -> bool:
        if event.seq <= self.last_seq:
            return False  # a repeated event is no progress
        if event.seq > self.last_seq + 1:
            raise ProtocolError(f"event {event.seq} follows event {self.last_seq}: events are missing")
        self._apply(event)
        return True

    def _confirm(self) -> None:
        """Records that the log's position equals `last_seq`: no event is missing.

        An event confirms nothing, because others may follow it, among them a drain.
        """
        self.confirmed_at = asyncio.get_running_loop().time()
        self._confirmed_us = self.receiver.clock.now()
        if self.stage is not EndpointWatchStage.CONFIRMED:
            waited_ms = round((self.confirmed_at - self._connected_at) * 1_000)
            self.rate_limited_log.info("change log confirmed", last=self.last_seq, waited_ms=waited_ms)
            self._unconfirmed_connections = 0
            self._enter_stage(EndpointWatchStage.CONFIRMED)

    def _silence_timeout_s(self) -> float:
        """Returns how long this connection may be without progress.

        An overloaded log that answers later than SILENCE_TIMEOUT_S would be reconnected to again and again
        without ever being received, so the timeout grows with each unanswered connection. Once the log has
        answered, SILENCE_TIMEOUT_S applies.
        """
        if self.is_current:
            return SILENCE_TIMEOUT_S
        return SILENCE_TIMEOUT_S * min(MAX_SILENCE_FACTOR, 1 + self._unanswered_connections)

    def _should_reconnect_for_position(self, connection: Connection) -> bool:
        """Returns whether events arrived, but neither more data nor the position that confirms them."""
        if self.stage is EndpointWatchStage.CONFIRMED or not self.is_current:
            return False
        if self._first_response_at - self._connected_at > QUICK_ANSWER_S:
            return False
        has_settled = asyncio.get_running_loop().time() - connection.last_read_at > SETTLED_S
        return (
            has_settled
            and not connection.has_partial_message
            and self._unconfirmed_connections < MAX_UNCONFIRMED_CONNECTIONS
        )

    def _enter_stage(self, stage: EndpointWatchStage) -> None:
        if stage is not self.stage:
            self.stage = stage
            self.receiver.submit(EndpointWatchStageChanged(stage, self._confirmed_us))

    def read_pending(self) -> None:
        """Reads all data that has arrived from the log.

        After a standstill of this process, requests would otherwise be forwarded before the events that
        arrived during it are read.
        """
        if self.connection is not None:
            self.connection.read_pending(MAX_PENDING_READS)

    def set_address(self, address: tuple[str, int]) -> None:
        """Follows the change log at another address from now on, continuing after `last_seq`."""
        if address != self.address:
            # Another log has another clock, for which the smallest delay of the old one is not valid.
            self.address, self._clock_offset = address, ClockOffset()
            self._address_changed.set()

    async def run(self) -> None:
        """Follows the log, reconnecting when a connection is lost, until the task is cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            self.is_current = False
            self._enter_stage(EndpointWatchStage.CONNECTING)
            self._address_changed.clear()
            error = await self._follow_until_address_changes()
            if self._address_changed.is_set() or error is RECONNECT_FOR_POSITION:
                backoff_s = MIN_BACKOFF_S
                continue
            if self.is_log_behind:
                # A log that was restarted numbers its events from 1, and all of them would be ignored as old.
                # A log that only lags catches up before a connection counts as dead. All events are requested
                # again: the first one has the whole endpoint list.
                self.last_seq, self.is_log_behind, self.numbering_restarted = 0, False, True
            if self.is_current:
                backoff_s = MIN_BACKOFF_S
            self.rate_limited_log.warning(
                "change log lost", wrong=str(error) or type(error).__name__, last=self.last_seq
            )
            self.receiver.submit(EndpointWatchFailed())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(backoff_s * (0.5 + self.chance() / 2)):
                    await self._address_changed.wait()
            backoff_s = min(self.max_backoff_s, backoff_s * 2)

    async def _follow_until_address_changes(self) -> BaseException | str | None:
        """Follows one connection until it ends, and returns the reason, or until the address changes."""
        connection_task = asyncio.create_task(self._follow(self.address), name="change log connection")
        address_task = asyncio.create_task(self._address_changed.wait(), name="change log address")
        try:
            await asyncio.wait((connection_task, address_task), return_when=asyncio.FIRST_COMPLETED)
        finally:
            # Otherwise events of the old connection would be submitted beside those of the new one.
            for task in (connection_task, address_task):
                task.cancel()
            await asyncio.gather(connection_task, address_task, return_exceptions=True)
        if self._address_changed.is_set():
            return None
        return connection_task.exception() or connection_task.result()

    def _first_line(self) -> bytes:
        """Returns the line that is sent first on a new connection."""
        return changelog.encode_since(self.last_seq)

    def make_consumer(self) -> Consume:
        """Returns the consumer of one connection's bytes."""
        reader = changelog.ChangeLogReader()

        def consume(buffer: bytearray, start: int, end: int) -> int:
            start, messages = reader.read(buffer, start, end)
            for message in messages:
                self.receive(message)
            return start

        return consume

    async def _follow(self, address: tuple[str, int]) -> BaseException | str:
        """Opens a connection and follows it until it ends; returns the reason."""
        try:
            sock = await connect(address, CONNECT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            self._enter_stage(EndpointWatchStage.REFUSED)
            return error
        except (OSError, ValueError) as error:  # no descriptor, a timeout, an invalid host name: retried
            return error
        connection = Connection(sock, self.make_consumer(), MAX_BUFFERED_BYTES, changelog.MAX_LINE_BYTES)
        connection.max_reads_at_once = MAX_READS_AT_ONCE
        connection.send(self._first_line())
        self.connection = connection
        self._connected_at = asyncio.get_running_loop().time()
        self._unconfirmed_connections += 1
        self.rate_limited_log.info(
            "change log connected", address=f"{address[0]}:{address[1]}", last=self.last_seq
        )
        self._enter_stage(EndpointWatchStage.AWAITING_ANSWER)
        task = asyncio.create_task(connection.run(), name="change log socket")
        try:
            lost = await self._watch_for_silence(connection, task)
            if lost:
                return lost
        finally:
            self.connection = None
            connection.close()
        return task.result() or "closed by the other side"

    async def _watch_for_silence(
        self, connection: Connection, task: asyncio.Task[BaseException | None]
    ) -> str:
        """Waits for the connection's end, or closes it after a timeout; returns the reason, "" if it ended.

        A machine that is cut off from the network closes no connection: only the missing positions show it.
        """
        loop = asyncio.get_running_loop()
        silent_s, progress_count, stalled_s, last_read_at = 0.0, self.progress_count, 0.0, 0.0
        while not task.done():
            check_began = loop.time()
            is_confirmed = self.stage is EndpointWatchStage.CONFIRMED
            interval_s = self.check_interval_s if is_confirmed else min(SETTLED_S, self.check_interval_s)
            await asyncio.wait((task,), timeout=interval_s)
            # After a standstill of this process, data that arrived meanwhile is still unread, and the log
            # would look silent: a check counts as its own interval at most.
            elapsed_s = min(loop.time() - check_began, interval_s)
            silent_s, stalled_s = silent_s + elapsed_s, stalled_s + elapsed_s
            if self.progress_count != progress_count:
                silent_s, progress_count = 0.0, self.progress_count
            if len(connection.buffer) > LARGE_BUFFER_BYTES:
                connection.release_buffer()
            if connection.last_read_at != last_read_at or not connection.has_partial_message:
                stalled_s, last_read_at = 0.0, connection.last_read_at
            if self._should_reconnect_for_position(connection):
                return RECONNECT_FOR_POSITION
            is_silent = silent_s > self._silence_timeout_s()
            is_line_stalled = stalled_s > self.line_stall.timeout_s(loop.time())
            if is_line_stalled:
                self.line_stall.record_stall(loop.time())
            if is_silent or is_line_stalled:
                # A partial line may be a drain whose rest never arrives on this connection; a new connection
                # receives it at once.
                connection.close()
                await asyncio.wait((task,))
                self._unanswered_connections = 0 if self.is_current else self._unanswered_connections + 1
                return "no event or position in time" if is_silent else "incomplete line"
        return ""
