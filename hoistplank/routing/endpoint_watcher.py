"""Follows the change log: what was known at the start, then all later events, in order and without gaps."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import OrderedDict
from random import Random
from typing import Protocol

import msgspec

from hoistplank.protocol import changelog
from hoistplank.protocol.changelog import Event, Snapshot, Target
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.clock import Clock
from hoistplank.routing.clock_offset import LogClock
from hoistplank.routing.rate_limited_log import Complaints
from hoistplank.routing.router_task import Event as Telling
from hoistplank.routing.router_task import Listed, Purged
from hoistplank.transport.connection import Connection, Consume

SILENT_S = 2.2  # a number comes each second: two missed and some
HALTED_S = 0.3  # a line is written in one go: one that has begun and moves no more has broken off
LOOK_S = 0.1
MOST_IN = changelog.MAX_LINE_BYTES + 65_536  # bytes read ahead: the longest line, and what comes behind it
LARGE = 262_144  # bytes of a buffer that is given back once it is empty: few lines are as long
MOST_LEAVING = 4_096  # hosts of which it is remembered that they left
CONNECT_S = 1.0
# Between tries to connect. What the log holds while nobody is connected counts as told at once: the longest
# pause is a share of a drain's grace, so that a drain is heard within it once the log is back.
FIRST_PAUSE_S, LONGEST_PAUSE_S, OF_GRACE = 0.05, 1.0, 0.6


class Watch(Protocol):
    """Who hears all that the change log says, before the owner does."""

    def heard(self, event: Event) -> Event:
        """An event, and what of it is to be told."""

    def alive(self) -> None:
        """The log told its number: there is nothing newer."""


class Hearer(Protocol):
    """Who is told what the log says."""

    clock: Clock

    def tell(self, event: Telling) -> None: ...


class Listing:
    def __init__(
        self, owner: Hearer, address: tuple[str, int], known: Snapshot, chance: Random, grace_s: float = 0.25
    ) -> None:
        self.look_s, self.halted_s = LOOK_S, HALTED_S
        self.longest_pause_s = max(FIRST_PAUSE_S, min(LONGEST_PAUSE_S, OF_GRACE * grace_s))
        self.watch: Watch | None = None
        self.owner, self.address, self.chance = owner, address, chance.random
        self.last, self.listed, self.fresh = 0, False, False
        self.behind = False  # whether the log tells a number below ours
        self.anew = False  # whether it counts from 1 again since we began
        # Who was told to drain or to be gone, and when that process started.
        self.leaving = OrderedDict[str, float]()
        self.moves = 0  # events and numbers that came in their order
        self.connection: Connection | None = None  # on which the log is followed just now
        self._moved, self.complaints, self.clock = asyncio.Event(), Complaints(), LogClock()
        for event in known.results:
            self._apply(event)
        self.last = max(self.last, known.seq)

    def _kept(self, target: Target) -> Target:
        """What an entry says, beside what we heard of its host.

        Danger: a log that counts anew, or only lags, has a list from before a drain that we heard, and the
        host would get new work. Once a log counted anew, only another start of the process takes it back.
        """
        if target.state != "ready":
            self.leaving[target.uid] = target.boot_ms
            while len(self.leaving) > MOST_LEAVING:
                self.leaving.popitem(last=False)
        elif self.leaving.get(target.uid) == target.boot_ms and self.anew:
            return msgspec.structs.replace(target, state="draining")
        else:
            self.leaving.pop(target.uid, None)
        return target

    def _apply(self, event: Event) -> None:
        self.last = event.seq
        if event.fleet is not None:
            rows = [self._kept(target) for target in event.fleet.targets]
            event = msgspec.structs.replace(event, fleet=msgspec.structs.replace(event.fleet, targets=rows))
        if self.watch is not None:
            event = self.watch.heard(event)
        if event.fleet is not None:
            form = "changes" if self.listed and not event.fleet.all else "whole" if self.listed else "kept"
            self.listed = True
            self.owner.tell(Listed(form, event.fleet.targets))
        if event.invalidate is not None:
            purge = event.invalidate
            made = self.clock.ours(self.owner.clock.now(), int(purge.time * 1000))
            self.owner.tell(Purged(purge.object, purge.bucket, made))

    def _take(self, told: Event | int) -> None:
        """What makes a connection count as alive is set here alone: an event or a number in its order.

        Danger: bytes that never make a line, or a log that stands behind what we hold, would keep a
        connection on which no drain can come.
        """
        number = told if isinstance(told, int) else told.seq
        if number < self.last or (number == self.last and not isinstance(told, int)):
            self.behind = self.behind or isinstance(told, int)  # an event that comes twice says nothing
            return
        if isinstance(told, int):
            if told > self.last:
                raise ProtocolError(f"the change log is at {told}, but its events came only to {self.last}")
            if self.watch is not None:
                self.watch.alive()
        elif told.seq > self.last + 1:
            raise ProtocolError(f"event {told.seq} follows event {self.last}")
        else:
            self._apply(told)
        self.fresh, self.behind, self.moves = True, False, self.moves + 1

    def move(self, address: tuple[str, int]) -> None:
        """From now on the change log is followed there, from the last number held."""
        if address != self.address:
            # Danger: another log has another clock, and the quickest event of the old one says nothing of it.
            self.address, self.clock = address, LogClock()
            self._moved.set()

    async def run(self) -> None:
        pause = FIRST_PAUSE_S
        while True:
            self.fresh = False
            self._moved.clear()
            following = asyncio.create_task(self._follow(self.address))
            moving = asyncio.create_task(self._moved.wait())
            try:
                await asyncio.wait((following, moving), return_when=asyncio.FIRST_COMPLETED)
            finally:
                # Danger: events of the old connection after the move would be told beside those of the new.
                for task in (following, moving):
                    task.cancel()
                await asyncio.gather(following, moving, return_exceptions=True)
            if self._moved.is_set():
                pause = FIRST_PAUSE_S
                continue
            wrong = following.exception() or following.result()
            if self.behind:
                # Danger: a log that began anew counts from 1, and none of its events would ever be above
                # ours. One that is late catches up sooner than a connection counts as dead. All is asked for
                # again: the first event holds the whole list.
                self.last, self.behind, self.anew = 0, False, True
            if self.fresh:
                pause = FIRST_PAUSE_S
            self.complaints.tell("change log lost", wrong=str(wrong) or type(wrong).__name__, last=self.last)
            self.owner.tell(Listed("failed", []))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._moved.wait(), pause * (0.5 + self.chance() / 2))
            pause = min(self.longest_pause_s, pause * 2)

    def _request(self) -> bytes:
        """The first line on a new connection."""
        return changelog.encode_since(self.last)

    def _consumer(self) -> Consume:
        """What takes the bytes of one connection."""
        reader = changelog.ChangeLogReader()

        def consume(buffer: bytearray, start: int, end: int) -> int:
            start, found = reader.read(buffer, start, end)
            for told in found:
                self._take(told)
            return start

        return consume

    async def _follow(self, address: tuple[str, int]) -> BaseException | str:
        loop = asyncio.get_running_loop()
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as wrong:  # no descriptor just now: it is tried again
            return wrong
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.sock_connect(sock, address)
        except (OSError, ValueError) as wrong:  # a time-out is one; a name that can't be one the other
            sock.close()
            return wrong
        except BaseException:
            sock.close()
            raise
        connection = Connection(sock, self._consumer(), MOST_IN, changelog.MAX_LINE_BYTES)
        connection.send(self._request())
        self.connection = connection
        task = loop.create_task(connection.run())
        try:
            silent_s, moves, halted_s, heard_at = 0.0, self.moves, 0.0, 0.0
            while not task.done():
                looked = loop.time()
                await asyncio.wait((task,), timeout=self.look_s)
                # Danger: after a standstill of our own, what came meanwhile is still unread, and looks
                # silent: a look counts for its own time and no more.
                looked = min(loop.time() - looked, self.look_s)
                silent_s, halted_s = silent_s + looked, halted_s + looked
                if self.moves != moves:
                    silent_s, moves = 0.0, self.moves
                if len(connection.buffer) > LARGE:
                    connection.release_buffer()
                if connection.last_read_at != heard_at or connection.start == connection.end:
                    halted_s, heard_at = 0.0, connection.last_read_at
                if silent_s > SILENT_S or halted_s > self.halted_s:
                    # A machine that is cut off closes nothing: only the seconds that stay away show it.
                    # Danger: half an event may be a drain, and the rest of it never comes here; whoever asks
                    # anew is told at once.
                    connection.close()
                    await asyncio.wait((task,))
                    return "its seconds stay away" if silent_s > SILENT_S else "a line of it broke off"
        finally:
            self.connection = None
            connection.close()
        return task.result() or "closed by the other side"
