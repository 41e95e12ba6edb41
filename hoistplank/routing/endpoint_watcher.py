"""Follows the change log: what was known at the start, then all later events, in order and without gaps."""

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
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.routing.remembered_drains import RememberedDrains
from hoistplank.transport.connecting import connect
from hoistplank.transport.connection import Connection, Consume

SILENCE_TIMEOUT_S = 2.2  # a number comes each second: two missed and some
MAX_SILENCE_FACTOR = 4  # for a log that has answered no connection lately: it may be crowded
STALL_TIMEOUT_S = 0.3  # a line is written in one go: one that has begun and moves no more has broken off
CHECK_INTERVAL_S = 0.1
MAX_BUFFERED_BYTES = changelog.MAX_LINE_BYTES + 65_536  # the longest line, and what comes behind it
LARGE_BUFFER_BYTES = 262_144  # a buffer above it is given back once it is empty: few lines are as long
CONNECT_TIMEOUT_S = 1.0
# Events without a number behind them may be the first of several. A log that is asked anew says its number at
# once, which is sooner than the next second: so long after the last byte, and so often in a row. One that
# answered late is crowded, and is not asked more often for that.
SETTLED_S = 0.04
MAX_QUESTIONS = 3
QUICK_ANSWER_S = 0.3
ASK_AGAIN = "asked again for its number"  # why a connection was left: another follows it at once
# Reads from the socket in one go, of 8 KB and more each: a batch of events is known before the next turn.
MAX_READS_AT_ONCE = 16
MAX_PENDING_READS = 1_024  # after a standstill
# Backoff between attempts to connect. What the log holds while nobody is connected counts as received:
# the longest is a share of a drain's grace, so that a drain is received within it once the log is back.
MIN_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_OF_DRAIN_GRACE = 0.05, 1.0, 0.6


class LogObserver(Protocol):
    """Who sees all that the change log says, before the router task does."""

    def event_received(self, event: Event) -> Event:
        """An event; returns what of it is to be handed on."""

    def confirmed_current(self) -> None:
        """The log said its number: there is nothing newer."""


class EventReceiver(Protocol):
    """Who is handed what the log says."""

    clock: Clock

    def submit(self, event: RouterTaskEvent) -> None:
        """Takes one event, in the order of the log."""


class EndpointWatcher:
    """Keeps a connection to the change log and hands its events to `receiver`.

    `chance` spreads the backoff of a fleet; `grace_s` is how long a draining host still takes requests.
    `last_seq` is the number of the last event handed on, `has_list` whether a list was among them.
    """

    def __init__(
        self,
        receiver: EventReceiver,
        address: tuple[str, int],
        known: Snapshot,
        chance: Random,
        grace_s: float = 0.25,
    ) -> None:
        self.check_interval_s, self.stall_timeout_s = CHECK_INTERVAL_S, STALL_TIMEOUT_S
        self.max_backoff_s = max(MIN_BACKOFF_S, min(MAX_BACKOFF_S, MAX_BACKOFF_OF_DRAIN_GRACE * grace_s))
        self.observer: LogObserver | None = None
        self.receiver, self.address, self.chance = receiver, address, chance.random
        self.last_seq = 0
        self.has_list = False
        self.is_current = False  # whether this connection has brought anything in its order
        self.stage: EndpointWatchStage | None = None  # as last reported
        self.confirmed_at = 0.0  # loop time of the last number that said that nothing is missing; 0: never
        self._asked_at = 0.0
        self._answered_at = 0.0  # when the first message in order came on this connection
        self._unanswered = 0  # connections in a row on which nothing came in its order
        self._questions = 0  # asked since sight of the log was lost
        self.is_log_behind = False  # whether the log says a number below ours
        self.numbering_restarted = False  # whether it counts from 1 again since we began
        self.progress_count = 0  # events and numbers that came in their order
        self.connection: Connection | None = None  # on which the log is followed just now
        self.rate_limited_log = RateLimitedLog()
        self._drains = RememberedDrains()
        self._clock_offset = ClockOffset()
        self._clock_step_us = 0  # of our wall clock, as far as the offset takes it into account
        self._address_changed = asyncio.Event()
        for event in known.results:
            self._apply(event)
        self.last_seq = max(self.last_seq, known.seq)
        self._enter_stage(EndpointWatchStage.CONNECTING)

    def _apply(self, event: Event) -> None:
        """Hands one event on."""
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
            # Danger: where the log's clock was set with ours, its quickest event says nothing of it any more.
            self._clock_step_us, self._clock_offset = step_us, ClockOffset()
        made_us = self._clock_offset.to_local_us(clock.now(), int(purge.time * 1000))
        self.receiver.submit(PurgeReceived(purge.object, purge.bucket, made_us))

    def _list_form(self, *, is_whole: bool) -> EndpointListForm:
        if not self.has_list:
            return EndpointListForm.PERSISTED
        return EndpointListForm.SNAPSHOT if is_whole else EndpointListForm.CHANGES

    def receive(self, message: Event | Position) -> None:
        """Takes an event, or the position that the log says it is at; raises ProtocolError on a gap.

        What makes a connection count as alive is set here alone: an event or a number in its order.
        Danger: bytes that never make a line, or a log that stands behind what we hold, would keep a
        connection on which no drain can come.
        """
        if isinstance(message, Position):
            is_in_order = self._receive_position(message.seq)
        else:
            is_in_order = self._receive_event(message)
        if is_in_order and not self.is_current:
            self._answered_at = asyncio.get_running_loop().time()
        if is_in_order:
            self.is_current, self.is_log_behind = True, False
            self.progress_count += 1

    def _receive_position(self, number: int) -> bool:
        if number < self.last_seq:
            self.is_log_behind = True
            return False
        if number > self.last_seq:
            raise ProtocolError(f"the change log is at {number}, but its events came only to {self.last_seq}")
        self._confirm()
        if self.observer is not None:
            self.observer.confirmed_current()
        return True

    def _receive_event(self, event: Event) -> bool:
        if event.seq <= self.last_seq:
            return False  # one that comes twice says nothing
        if event.seq > self.last_seq + 1:
            raise ProtocolError(f"event {event.seq} follows event {self.last_seq}")
        self._apply(event)
        return True

    def _confirm(self) -> None:
        """The log said the number that is held: everything that it had to tell is known.

        Danger: the first of several events says nothing of those behind it, which may be a drain's.
        """
        self.confirmed_at = asyncio.get_running_loop().time()
        if self.stage is not EndpointWatchStage.CONFIRMED:
            waited_ms = round((self.confirmed_at - self._asked_at) * 1_000)
            self.rate_limited_log.info("change log confirmed", last=self.last_seq, waited_ms=waited_ms)
            self._questions = 0
            self._enter_stage(EndpointWatchStage.CONFIRMED)

    def _silence_timeout_s(self) -> float:
        """For how long nothing may come on this connection.

        Danger: a log that is crowded and answers later than that would be asked again and again, and never
        heard. Once it has answered, its seconds count.
        """
        if self.is_current:
            return SILENCE_TIMEOUT_S
        return SILENCE_TIMEOUT_S * min(MAX_SILENCE_FACTOR, 1 + self._unanswered)

    def _should_ask_again(self, connection: Connection) -> bool:
        """Whether events have come, nothing follows them, and the log has not said that these were all."""
        if self.stage is EndpointWatchStage.CONFIRMED or not self.is_current:
            return False
        if self._answered_at - self._asked_at > QUICK_ANSWER_S:
            return False
        has_settled = asyncio.get_running_loop().time() - connection.last_read_at > SETTLED_S
        return has_settled and not connection.has_partial_message and self._questions < MAX_QUESTIONS

    def _enter_stage(self, stage: EndpointWatchStage) -> None:
        if stage is not self.stage:
            self.stage = stage
            self.receiver.submit(EndpointWatchStageChanged(stage))

    def read_pending(self) -> None:
        """Reads all that has come from the log by now.

        Danger: after a standstill of this process, requests would be forwarded before what the log said
        meanwhile is read.
        """
        if self.connection is not None:
            self.connection.read_pending(MAX_PENDING_READS)

    def set_address(self, address: tuple[str, int]) -> None:
        """From now on the change log is followed there, from the last number held."""
        if address != self.address:
            # Danger: another log has another clock, and the quickest event of the old one says nothing of it.
            self.address, self._clock_offset = address, ClockOffset()
            self._address_changed.set()

    async def run(self) -> None:
        """Follows the log until it is cancelled: a connection that is lost is followed by another."""
        backoff_s = MIN_BACKOFF_S
        while True:
            self.is_current = False
            self._enter_stage(EndpointWatchStage.CONNECTING)
            self._address_changed.clear()
            error = await self._follow_until_moved()
            if self._address_changed.is_set() or error is ASK_AGAIN:
                backoff_s = MIN_BACKOFF_S
                continue
            if self.is_log_behind:
                # Danger: a log that began anew counts from 1, and none of its events would ever be above
                # ours. One that is late catches up sooner than a connection counts as dead. All is asked for
                # again: the first event holds the whole list.
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

    async def _follow_until_moved(self) -> BaseException | str | None:
        """One connection, until it ends, with the reason, or the address changes."""
        following = asyncio.create_task(self._follow(self.address), name="change log connection")
        moving = asyncio.create_task(self._address_changed.wait(), name="change log address")
        try:
            await asyncio.wait((following, moving), return_when=asyncio.FIRST_COMPLETED)
        finally:
            # Danger: events of the old connection after the move would be handed on beside those of the new.
            for task in (following, moving):
                task.cancel()
            await asyncio.gather(following, moving, return_exceptions=True)
        if self._address_changed.is_set():
            return None
        return following.exception() or following.result()

    def _first_line(self) -> bytes:
        """The line that is sent first on a new connection."""
        return changelog.encode_since(self.last_seq)

    def make_consumer(self) -> Consume:
        """What takes the bytes of one connection."""
        reader = changelog.ChangeLogReader()

        def consume(buffer: bytearray, start: int, end: int) -> int:
            start, messages = reader.read(buffer, start, end)
            for message in messages:
                self.receive(message)
            return start

        return consume

    async def _follow(self, address: tuple[str, int]) -> BaseException | str:
        """One connection from its start to its end; returns why it ended."""
        try:
            sock = await connect(address, CONNECT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            self._enter_stage(EndpointWatchStage.REFUSED)
            return error
        except (OSError, ValueError) as error:  # no descriptor, a time-out, a name that can't be one: retried
            return error
        connection = Connection(sock, self.make_consumer(), MAX_BUFFERED_BYTES, changelog.MAX_LINE_BYTES)
        connection.max_reads_at_once = MAX_READS_AT_ONCE
        connection.send(self._first_line())
        self.connection = connection
        self._asked_at = asyncio.get_running_loop().time()
        self._questions += 1
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
        """Waits for the connection's end; closes it where nothing moves on any more, and says so.

        A machine that is cut off closes nothing: only the seconds that stay away show it.
        """
        loop = asyncio.get_running_loop()
        silent_s, progress_count, stalled_s, heard_at = 0.0, self.progress_count, 0.0, 0.0
        while not task.done():
            check_began = loop.time()
            is_confirmed = self.stage is EndpointWatchStage.CONFIRMED
            interval_s = self.check_interval_s if is_confirmed else min(SETTLED_S, self.check_interval_s)
            await asyncio.wait((task,), timeout=interval_s)
            # Danger: after a standstill of our own, what came meanwhile is still unread, and looks
            # silent: a check counts for its own time and no more.
            elapsed_s = min(loop.time() - check_began, interval_s)
            silent_s, stalled_s = silent_s + elapsed_s, stalled_s + elapsed_s
            if self.progress_count != progress_count:
                silent_s, progress_count = 0.0, self.progress_count
            if len(connection.buffer) > LARGE_BUFFER_BYTES:
                connection.release_buffer()
            if connection.last_read_at != heard_at or not connection.has_partial_message:
                stalled_s, heard_at = 0.0, connection.last_read_at
            if self._should_ask_again(connection):
                return ASK_AGAIN
            is_silent = silent_s > self._silence_timeout_s()
            if is_silent or stalled_s > self.stall_timeout_s:
                # Danger: half an event may be a drain, and the rest of it never comes here; whoever asks
                # anew gets it at once.
                connection.close()
                await asyncio.wait((task,))
                self._unanswered = 0 if self.is_current else self._unanswered + 1
                return "its seconds stay away" if is_silent else "a line of it broke off"
        return ""
