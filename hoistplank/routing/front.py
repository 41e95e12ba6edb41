"""The clients' side: FastCGI connections, requests checked and handed to the owner, answers written back."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable

import structlog

from hoistplank.interface import LABELLED, Site
from hoistplank.protocol import fastcgi
from hoistplank.protocol.cachewire import is_token
from hoistplank.protocol.errors import BadBytes
from hoistplank.routing.owner import Came, Left, Owner
from hoistplank.routing.shots import Visit
from hoistplank.transport.connection import Connection
from hoistplank.transport.ledger import Ledger

log = structlog.get_logger()

PATH, HEALTH = "/api/v2/", "/-/healthy"
MOST_REQUESTS = 32  # open ones a connection
MOST_IN = 131_072  # a record with its padding
MOST_OUT = 1_048_576  # what may wait for one client before its next requests are read
MOST_OUT_ALL = 48 * 1_048_576  # and for all: beyond it the slowest reader is let go
IDLE_S = 8.0  # clients close after half of it
HEX = re.compile(r"[0-9a-fA-F]{16}").fullmatch


class Exchange:
    """One request of a client's connection."""

    def __init__(self, session: Session, number: int, keep: bool) -> None:
        self.session, self.number, self.keep = session, number, keep

    def succeed(self, body: bytes, unchanged: bool) -> None:
        self.answer(200, (("X-Valid", "1"),) if unchanged else (), b"" if unchanged else body)

    def turn_back(self, wait_us: int) -> None:
        self.answer(503, (("X-Pushback-Ms", str(wait_us // 1000)),) if wait_us >= 1000 else (), b"")

    def write_off(self) -> None:
        self.answer(502, (), b"")

    def answer(self, status: int, fields: tuple[tuple[str, str], ...], body: bytes) -> None:
        self.session.answer(self, fastcgi.answer(self.number, status, fields, body))


class Session:
    """One connection of a client."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.reader = front, fastcgi.Reader(MOST_REQUESTS)
        self.open: dict[int, Visit | None] = {}
        self.connection = Connection(sock, self.consume, MOST_IN, MOST_OUT)
        self.task = asyncio.get_running_loop().create_task(self.connection.run())
        self.task.add_done_callback(self._ended)

    def consume(self, buffer: bytearray, start: int, end: int) -> int:
        while True:
            start, found = self.reader.read(buffer, start, end)
            if not found:
                return start
            for event in found:
                if isinstance(event, fastcgi.Whole):
                    self._whole(event.request)
                elif isinstance(event, fastcgi.Reply):
                    self.connection.send(event.data)
                else:
                    self._aborted(event)

    def _whole(self, request: fastcgi.Request) -> None:
        exchange = Exchange(self, request.number, request.keep)
        self.open[request.number] = None
        try:
            if request.spoiled:
                raise BadBytes(request.spoiled)
            fields = request.fields()
            if fields.get("SCRIPT_NAME", "") + fields.get("PATH_INFO", "") == HEALTH:
                exchange.answer(200 if self.front.is_ready() else 503, (), b"")
                return
            visit = self.front.visit(exchange, fields, bytes(request.body))
        except BadBytes as wrong:
            # Answered at once, and nothing goes to a cache host.
            self.front.bad_requests += 1
            if self.front.bad_requests & (self.front.bad_requests - 1) == 0:
                log.warning("request can't be used", wrong=str(wrong), so_far=self.front.bad_requests)
            exchange.answer(400, (), b"")
            return
        request.body = bytearray()
        self.open[request.number] = visit
        self.front.owner.tell(Came(visit))

    def _aborted(self, event: fastcgi.Aborted) -> None:
        visit = self.open.pop(event.number, None)
        if visit is not None:
            self.front.owner.tell(Left(visit))
        self.connection.send(fastcgi.ended(event.number, 1))

    def answer(self, exchange: Exchange, data: bytes) -> None:
        if exchange.number not in self.open:
            return  # aborted meanwhile: no answer is owed, and the number may stand for another request
        visit = self.open[exchange.number]
        if visit is not None and visit.exchange is not exchange:
            return
        del self.open[exchange.number]
        self.reader.done(exchange.number)
        self.connection.send(data)
        if not exchange.keep:
            self.connection.finish()

    def idle(self) -> bool:
        return not self.reader.requests and not self.connection.out_bytes

    def _ended(self, task: asyncio.Task[BaseException | None]) -> None:
        self.front.sessions.pop(self, None)
        self.front.ledger.give("client")
        wrong = None if task.cancelled() else task.exception() or task.result()
        if wrong is not None and not isinstance(wrong, OSError):
            log.warning("client connection closed", wrong=str(wrong) or type(wrong).__name__)
        for visit in self.open.values():
            if visit is not None:
                self.front.owner.tell(Left(visit))
        self.open.clear()


class Front:
    def __init__(self, owner: Owner, site: Site, ledger: Ledger, is_ready: Callable[[], bool]) -> None:
        self.owner, self.ledger, self.is_ready = owner, ledger, is_ready
        self.tracks = {tariff.name: tariff for tariff in site.tariffs}
        self.sessions: dict[Session, None] = {}
        self.bad_requests = 0
        ledger.reclaimers.append(self.reclaim)

    def greet(self, sock: socket.socket) -> None:
        self.sessions[Session(self, sock)] = None

    def visit(self, exchange: Exchange, fields: dict[str, str], body: bytes) -> Visit:
        """A request's fields as a visit; raises BadBytes naming the field that can't be used."""
        now = self.owner.clock.now()
        script = fields.get("SCRIPT_NAME", "")
        tariff = self.tracks.get(script[len(PATH) :]) if script.startswith(PATH) else None
        if tariff is None:
            raise BadBytes(f"SCRIPT_NAME '{script[:60]}' names no track")
        id, thing = fields.get("HTTP_X_CORRELATION_ID", ""), fields.get("HTTP_X_SUBJECT", "")
        if not HEX(id):
            raise BadBytes(f"X-Correlation-Id '{id[:60]}' is not of 16 hex digits")
        if not HEX(thing):
            raise BadBytes(f"X-Subject '{thing[:60]}' is not of 16 hex digits")
        until = now + whole(fields, "HTTP_X_DEADLINE_MS", None) * 1000
        key = ""
        if tariff.redo == LABELLED:
            key = fields.get("HTTP_X_OPERATION_KEY", "")
            if not is_token(key):
                raise BadBytes(f"X-Operation-Key '{key[:60]}' can't be passed on")
        holds = fields.get("HTTP_X_KNOWN", "")
        return Visit(
            exchange, id, tariff.name, thing, whole(fields, "HTTP_X_CHUNK", 0),
            whole(fields, "HTTP_X_TAG", 0), key, holds if holds and is_token(holds) else "", body, until,
            fields.get("HTTP_X_RESENT") == "1",
        )

    def sweep(self) -> None:
        """Closes idle connections, and the slowest readers while too much waits for all."""
        until = asyncio.get_running_loop().time() - IDLE_S
        for session in list(self.sessions):
            if session.connection.is_stuck() or (session.idle() and session.connection.heard_at < until):
                session.connection.close()
        waits = sorted(self.sessions, key=lambda session: session.connection.out_bytes)
        total = sum(session.connection.out_bytes for session in waits)
        while total > MOST_OUT_ALL:
            slowest = waits.pop()
            total -= slowest.connection.out_bytes
            log.warning("slow reader let go", bytes=slowest.connection.out_bytes)
            slowest.connection.close()

    def reclaim(self) -> None:
        """Closes the connection that has been idle longest."""
        idle = [session for session in self.sessions if session.idle()]
        if idle:
            min(idle, key=lambda session: session.connection.heard_at).connection.close()

    def flushed(self) -> bool:
        return all(not session.connection.out_bytes for session in self.sessions)

    def close(self) -> None:
        for session in list(self.sessions):
            session.connection.close()


def whole(fields: dict[str, str], name: str, default: int | None) -> int:
    text = fields.get(name)
    if text is None and default is not None:
        return default
    if text is None or not (text.isdecimal() and text.isascii() and len(text) <= 9):
        raise BadBytes(f"{name} '{(text or '')[:60]}' is no whole number")
    return int(text)
