"""Connections to cache hosts, shared by attempts: opened on demand, closed when idle, never for another
host."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from hoistplank.transport.connection import Connection
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

MOST_IN = 524_288  # an answer of 240,000 bytes with its line, and the start of the next
MOST_OUT = 4_194_304
# Connections to one cache host: few on calm days, since each costs both sides a call for every message; up to
# many, where descriptors allow, once lines end with attempts on them.
FEW_LINES, MOST_LINES = 2, 32
CALM_S = 10.0  # without such an end, before half as many are opened again
# Part of an answer has come and nothing more for so long: pauses of hosts that stand still are shorter.
HALTED_S = 0.3


class Errand(Protocol):
    """What goes over a line under an id, and is told how it ended: once, with a word from `Pool`."""

    id: str

    def may_begin(self) -> bool: ...
    def written(self) -> None: ...
    def failed(self, how: str) -> None: ...


class Line:
    """One connection to one cache host, from before it is up until it has ended."""

    def __init__(self, pool: Pool, host: str, address: tuple[str, int]) -> None:
        self.pool, self.host, self.address = pool, host, address
        self.open: dict[str, Errand] = {}
        self.begun: set[str] = set()
        self.sent: set[str] = set()
        # Ids that went over this line lately: an answer that comes twice, or after it was given up, must not
        # be taken for that of a later attempt.
        self.used, self.used_before, self.turned_at = set[str](), set[str](), pool.loop.time()
        self.waiting: list[tuple[Errand, bytes]] = []
        self.connection: Connection | None = None
        self.retired, self.over, self.spoilt = False, False, False
        self.idle_since = pool.loop.time()
        self.task = pool.loop.create_task(self._run())
        self.task.add_done_callback(self._ended)

    def send(self, errand: Errand, data: bytes) -> None:
        self.open[errand.id] = errand
        self.used.add(errand.id)
        if self.connection is None:
            self.waiting.append((errand, data))
        else:
            self._pass(self.connection, errand, data)

    def _pass(self, connection: Connection, errand: Errand, data: bytes) -> None:
        def begin() -> bool:
            if self.open.get(errand.id) is not errand:
                return False  # given up before its first byte
            if not errand.may_begin():
                self.end(errand.id)
                errand.failed("withheld")
                return False
            self.begun.add(errand.id)
            return True

        def written() -> None:
            if self.open.get(errand.id) is errand:
                self.sent.add(errand.id)
                errand.written()

        def untaken() -> None:
            if self.open.get(errand.id) is errand:
                self.begun.discard(errand.id)

        connection.send(data, begin, written, untaken)

    def end(self, id: str) -> Errand | None:
        """An errand is over, by its answer or without one; a retired line goes with its last."""
        errand = self.open.pop(id, None)
        self.begun.discard(id)
        self.sent.discard(id)
        if not self.open:
            self.idle_since = self.pool.loop.time()
            if self.retired:
                self.close()
        return errand

    def give_up(self, id: str, farewell: bytes, since: float) -> bool:
        """Ends an errand and tells the cache host; whether it may have run.

        Danger: one of which the system has a part goes on to be written whole behind our back, and runs.
        A line on which nothing has been heard since the errand began may be dead: it gets no new ones.
        """
        sent = id in self.begun
        if self.connection is not None and self.connection.last_read_at < since:
            self.retired = True
        if id in self.begun and self.connection is not None:
            self.connection.send(farewell)
        # The farewell goes out before a retired line closes: closing gives up all that is open on it anyway.
        self.end(id)
        return sent

    def is_halted(self) -> bool:
        """Whether an answer has begun and moves no more: what waits on this line waits for nothing."""
        connection = self.connection
        return (
            connection is not None
            and connection.start < connection.end
            and self.pool.loop.time() - connection.last_read_at > HALTED_S
        )

    def turn_over(self, now: float) -> None:
        """Forgets the ids of two spans ago."""
        if now - self.turned_at > self.pool.remember_s:
            self.turned_at, self.used_before, self.used = now, self.used, set(self.open)

    def close(self, in_order: bool = True) -> None:
        """Ends the line. In order: what was said last is written, and half a line that is still coming is
        read out; else at once, which gives up all that is open on it."""
        if not self.over:
            self.over = True
            self.pool.forget(self)
            if self.connection is None:
                self.task.cancel()
            elif in_order:
                self.connection.close_gracefully()
            else:
                self.connection.close()

    async def _run(self) -> str:
        how = await self._connect()
        if self.connection is not None:
            wrong = await self.connection.run()
            self.spoilt = self.connection.ended_inside_message
            if wrong is not None and not isinstance(wrong, OSError):
                self.spoilt = True
                self.pool.complain(self.host, wrong)
        return how

    def _ended(self, task: asyncio.Task[str]) -> None:
        """However it ended, even before its first step: gives the descriptor back and ends all errands."""
        self.over = True
        self.pool.forget(self)
        self.pool.descriptors.release(ConnectionKind.CACHE_HOST)
        how = "unwritten"
        if not task.cancelled():
            wrong = task.exception()
            if wrong is not None:
                self.pool.complain(self.host, wrong)
            elif task.result() != "up":
                how = task.result()
        # One connection that ends is one sign, however many attempts were on it; one that ends inside an
        # answer, or by bytes that can't be read, says nothing of its host, which was there to send them.
        broken = "spoilt" if self.spoilt else "broken"
        if self.sent and how == "unwritten":
            self.pool.spread_out()
        for id in list(self.open):
            sent, errand = id in self.sent, self.end(id)
            if errand is not None:
                errand.failed(broken if sent else how)
                broken = "spoilt" if sent else broken

    async def _connect(self) -> str:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(self.pool.connect_s):
                await self.pool.loop.sock_connect(sock, self.address)
        except TimeoutError:
            sock.close()
            return "not up"
        except ConnectionRefusedError:
            sock.close()
            return "refused"
        except OSError:
            sock.close()
            return "unwritten"
        except BaseException:
            sock.close()
            raise
        reader = self.pool.make_reader(self)
        self.connection = Connection(sock, reader, MOST_IN, MOST_OUT)
        waiting, self.waiting = self.waiting, []
        for errand, data in waiting:
            self._pass(self.connection, errand, data)
        return "up"


class Pool:
    """All lines, by the uid of their cache host."""

    def __init__(
        self,
        descriptors: DescriptorBudget,
        streams: int,
        idle_s: float,
        connect_s: float,
        remember_s: float,
        make_reader: Callable[[Line], Callable[[bytearray, int, int], int]],
        complain: Callable[[str, BaseException], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.descriptors, self.streams, self.connect_s = descriptors, max(1, streams), connect_s
        self.remember_s, self.swept_at = remember_s, self.loop.time()
        self.spread, self.spread_at = FEW_LINES, self.swept_at
        # Closed well before the cache host does it: a request that crosses its close would be lost.
        self.idle_s = idle_s * 0.6
        self.make_reader, self.complain = make_reader, complain
        self.lines: dict[str, list[Line]] = {}
        descriptors.reclaimers[ConnectionKind.CACHE_HOST] = self.reclaim

    def send(self, host: str, address: tuple[str, int], errand: Errand, data: bytes) -> Line | None:
        """Hands an errand to a free line, else to a new one, else to the line with the fewest.

        Danger: a spoilt or halted answer ends all that shares its line. Where lines end so, more are opened
        till none is shared; each host may have its even share of descriptors. None where no line can be had.
        """
        lines = self.lines.setdefault(host, [])
        best: Line | None = None
        for line in lines:
            if (
                not line.retired
                and errand.id not in line.used
                and errand.id not in line.used_before
                and (best is None or len(line.open) < len(best.open))
            ):
                best = line
                if not line.open:
                    break  # none has fewer
        if best is None or best.open:
            share = self.descriptors.limits[ConnectionKind.CACHE_HOST] // (len(self.lines) + 1)
            most = max(1, min(MOST_LINES, share, self.spread))
            # Danger: a request that looks, fills and goes again has its id on several lines. Where none is
            # left for it, another is opened: else it would use up its attempts with none sent.
            must = best is None or len(best.open) >= self.streams
            if len(lines) < (max(most, share) if must else most) and self.descriptors.acquire(
                ConnectionKind.CACHE_HOST
            ):
                best = Line(self, host, address)
                lines.append(best)
            elif best is None or len(best.open) >= self.streams:
                return None
        best.send(errand, data)
        return best

    def spread_out(self) -> None:
        """A line ended with attempts on it: from now on fewer share one."""
        self.spread, self.spread_at = min(MOST_LINES, self.spread * 2), self.loop.time()

    def forget(self, line: Line) -> None:
        lines = self.lines.get(line.host, [])
        if line in lines:
            lines.remove(line)
            if not lines:
                del self.lines[line.host]

    def retire(self, host: str) -> None:
        """No new errand goes over the lines that this host has now; each ends with its last."""
        for line in list(self.lines.get(host, ())):
            line.retired = True
            if not line.open:
                line.close()

    def _all(self) -> Iterable[Line]:
        return [line for lines in self.lines.values() for line in lines]

    def sweep(self) -> None:
        """Closes what is halted or has been idle for as long as the site says; lets go of room and ids."""
        now = self.loop.time()
        # Danger: after a standstill of this process what came meanwhile is still unread, and looks halted.
        awake, self.swept_at = now - self.swept_at < HALTED_S, now
        if now - self.spread_at > CALM_S and self.spread > FEW_LINES:
            self.spread, self.spread_at = self.spread // 2, now
        for line in self._all():
            stuck = line.connection is not None and line.connection.is_write_stalled()
            idle = not line.open and line.idle_since < now - self.idle_s
            if stuck or (awake and line.is_halted()):
                line.close(in_order=False)
            elif idle:
                line.close()
            else:
                line.turn_over(now)
                if line.connection is not None:
                    line.connection.release_buffer()

    def reclaim(self) -> None:
        """Closes the line that has been idle longest."""
        idle = [line for line in self._all() if not line.open and line.connection is not None]
        if idle:
            min(idle, key=lambda line: line.idle_since).close()

    def close(self) -> None:
        for line in self._all():
            line.close(in_order=False)
