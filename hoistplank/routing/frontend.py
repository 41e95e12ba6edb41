"""The clients' side: FastCGI connections, requests checked and handed to the owner, answers written back."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from hoistplank.decision.settings import KEYED, RouterSettings
from hoistplank.protocol import fastcgi
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.attempts import Request
from hoistplank.routing.rate_limited_log import Complaints
from hoistplank.routing.router_task import Came, Left, Owner
from hoistplank.transport.connection import Connection, Consume
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

PATH, HEALTH, HEALTH_SCRIPT = "/api/v2/", "/-/healthy", b"/-/healthy"
MOST_REQUESTS = 32  # open ones a connection
MOST_IN = 131_072  # a record with its padding
MOST_OUT = 1_048_576  # what may wait for one client before its next requests are taken up
# What may wait for one before nothing more is read from it: beyond all answers that it can be owed at once.
MOST_OWED = MOST_OUT + MOST_REQUESTS * 245_760
IDLE_S = 8.0  # clients close after half of it
# A connection is to end within 3 s if no request on it becomes whole: a sweep and the close fit in the rest.
UNFINISHED_S = 2.0
LAST_ANSWER_US = 250_000  # before its time is over, what was held back for a slow reader is answered
SETTLED_S = 0.1  # after its last request an idle client has had its answer
YOUNG_S = 0.05  # one that has said nothing for less may have its first bytes on the way
REST_S = 0.02  # between reads of a connection whose last read was shed
MOST_BAD = 8  # requests that can't be used, on one connection: usual clients send none
MOST_PART, MOST_GROUP = 65_535, 255
HEX = re.compile(r"[0-9a-fA-F]{16}").fullmatch
KEY = re.compile(r"[0-9a-fA-F]{32}").fullmatch


class Refused(NamedTuple):
    """Why a request is not taken: the status, a short cause and how long to stay away."""

    status: int
    cause: str
    wait_us: int


class Authorizer(Protocol):
    """Decides whether a caller's request may be taken; a dispatcher without one takes them all."""

    def admit(self, identity: Any, fields: dict[str, str], request: Request, peer: str) -> Refused | None:
        """Counts the request as open, or returns why it is refused. `identity` is what the connection's
        handshake has proven."""

    def ended(self, request: Request) -> None:
        """A request that was let in has had its answer, or its client is gone; told once."""


class Exchange:
    """One request of a client's connection."""

    def __init__(self, session: Session, number: int, keep: bool) -> None:
        self.session, self.number, self.keep = session, number, keep

    def succeed(self, body: bytes, unchanged: bool) -> None:
        self.answer(200, (("X-Valid", "1"),) if unchanged else (), b"" if unchanged else body)

    def reject(self, wait_us: int) -> None:
        self.answer(503, (("X-Pushback-Ms", str(wait_us // 1000)),) if wait_us >= 1000 else (), b"")

    def fail(self) -> None:
        self.answer(502, (), b"")

    def refuse(self, why: Refused, most_wait_us: int) -> None:
        fields = [("X-Refusal", why.cause)]
        if why.status == 401:
            fields.append(("WWW-Authenticate", "Bearer"))  # RFC 6750 section 3
        if min(why.wait_us, most_wait_us) >= 1000:
            fields.append(("X-Pushback-Ms", str(min(why.wait_us, most_wait_us) // 1000)))
        self.answer(why.status, tuple(fields), b"")

    def answer(self, status: int, fields: tuple[tuple[str, str], ...], body: bytes) -> None:
        self.session.answer(self, fastcgi.encode_response(self.number, status, fields, body))


Make = Callable[[socket.socket, Consume, int, int], Connection]


class Session:
    """One connection of a client. `identity` is what its handshake has proven, for the authorizer to read."""

    identity: Any

    def __init__(self, front: Front, sock: socket.socket, peer: str = "", make: Make = Connection) -> None:
        # Danger: load shedding is blind to who calls; one tenant's herd would have it shed all.
        shed = front.shed if front.authorizer is None else None
        self.front, self.reader = front, fastcgi.RequestReader(MOST_REQUESTS, shed)
        self.open: dict[int, Request | None] = {}
        self.peer, self.identity, self.leaving = peer, None, False
        self.held_back: dict[
            int, Request
        ] = {}  # whole, and not taken up while too much waits for this client
        self.connection = make(sock, self.consume, MOST_IN, MOST_OWED)
        loop = asyncio.get_running_loop()
        self.born, self.spoke, self.bad, self.counted, self.count = loop.time(), False, 0, 0, 1
        self.ending = False
        self.begun: dict[int, float] = {}  # unfinished requests by number, and when a sweep first found them
        self.task = loop.create_task(self.connection.run())
        self.task.add_done_callback(self._ended)

    def consume(self, buffer: bytearray, start: int, end: int) -> int:
        shed_before = self.reader.shed_count
        try:
            while not self.ending:
                start, found = self.reader.read(buffer, start, end)
                if not found:
                    return start
                for event in found:
                    if isinstance(event, fastcgi.RequestReceived):
                        self._whole(event.request)
                    elif isinstance(event, fastcgi.ProtocolReply):
                        self.connection.send(event.data)
                    else:
                        self._aborted(event)
        except ProtocolError as wrong:
            self.give_up(str(wrong))
        finally:
            self._account()
            if self.reader.close_requested:
                asyncio.get_running_loop().call_soon(self.leave)
            if self.reader.shed_count > shed_before:
                # Danger: a usual client that got nothing but refusals for a while would pass for one that
                # never spoke, and lose its connection with what it sent meanwhile.
                self.spoke = True
                # Danger: while the core is full, a read and a write for each request rejected cost more
                # than serving another: what comes next is read later, in one go.
                self.connection.pause_reading(REST_S)
        return end

    def _account(self) -> None:
        more, self.counted = self.reader.held_bytes - self.counted, self.reader.held_bytes
        self.front.hold(more)

    def give_up(self, why: str) -> None:
        """What came is no use: all that is open here is answered at once, no more is read, and it closes."""
        if self.ending:
            return
        self.ending = True
        self.front.complaints.tell("client connection given up", wrong=why)
        for number, request in list(self.open.items()):
            if request is not None:
                request.exchange.fail()
                self.front.owner.tell(Left(request))
            self.open.pop(number, None)
        self.held_back.clear()
        self.connection.stop_reading()
        self.connection.close_gracefully()

    def _whole(self, received: fastcgi.FastCgiRequest) -> None:
        exchange = Exchange(self, received.number, received.keep_connection)
        self.open[received.number] = None
        self.count += 1
        try:
            if received.error:
                raise ProtocolError(received.error)
            fields = received.parameters()
            if fields.get("SCRIPT_NAME", "") + fields.get("PATH_INFO", "") == HEALTH:
                self.spoke = True
                detail = self.front.health_detail().encode()
                exchange.answer(200 if self.front.is_ready() else 503, (), detail)
                return
            request = self.front.request(exchange, fields, bytes(received.body))
        except ProtocolError as wrong:
            # Answered at once, and nothing goes to a cache host.
            self.front.complaints.tell("request can't be used", wrong=str(wrong))
            exchange.answer(400, (), b"")
            self.bad += 1
            if received.error or self.bad >= MOST_BAD:
                self.give_up(str(wrong))
            return
        received.body, received.params = bytearray(), bytearray()
        self.spoke = True
        if self.front.authorizer is not None:
            refused = self.front.authorizer.admit(self.identity, fields, request, self.peer)
            if refused is not None:
                exchange.refuse(refused, self.front.most_wait_us)
                return
            if not self.front.owner.admits(request.class_name, True):
                self._done(request)
                exchange.reject(self.front.owner.stay_away_us)
                return
        self.open[received.number] = request
        if self.connection.unsent_bytes > MOST_OUT:
            # Danger: a client that does not read what it is owed would fill the memory. It is read on all the
            # same: an end that nobody reads is an end that nobody sees, and its requests would be sent on.
            self.held_back[received.number] = request
            self.connection.on_all_written = self._emptied
        else:
            self.front.owner.tell(Came(request))

    def _emptied(self) -> None:
        """All that waited for this client has been written."""
        held, self.held_back = self.held_back, {}
        for request in held.values():
            self.front.owner.tell(Came(request))
        if self.leaving and self.idle():
            self.connection.close_gracefully()

    def release(self, now: int) -> None:
        """What is held back and nearly out of time is taken up after all, to be answered in time."""
        for number, request in list(self.held_back.items()):
            if request.until - now < LAST_ANSWER_US:
                del self.held_back[number]
                self.front.owner.tell(Came(request))

    def _aborted(self, event: fastcgi.RequestAborted) -> None:
        request = self.open.pop(event.number, None)
        if request is not None:
            self.held_back.pop(event.number, None)
            self.front.owner.tell(Left(request))
            self._done(request)
        self.connection.send(fastcgi.encode_end_request(event.number, 1))

    def answer(self, exchange: Exchange, data: bytes) -> None:
        if exchange.number not in self.open:
            return  # aborted meanwhile: no answer is owed, and the number may stand for another request
        request = self.open[exchange.number]
        if request is not None and request.exchange is not exchange:
            return
        del self.open[exchange.number]
        self.reader.release(exchange.number)
        self._account()
        self.connection.send(data)
        if request is not None:
            self._done(request)
        if not exchange.keep:
            self.leave()

    def _done(self, request: Request) -> None:
        if self.front.authorizer is not None:
            self.front.authorizer.ended(request)

    def leave(self, silent_too: bool = True) -> None:
        """Ends this connection once all that is open on it has been answered, and the answers are out."""
        self.leaving, self.connection.on_all_written = True, self._emptied
        if self.idle() and (silent_too or self.spoke):
            self.connection.close_gracefully()

    def unfinished(self) -> bool:
        connection = self.connection
        return len(self.reader.requests) > len(self.reader.complete) or connection.start < connection.end

    def idle(self) -> bool:
        """Danger: on a full core a request may lie unread for long; a close on it loses a taken request."""
        if not (self.reader.requests or self.connection.unsent_bytes or self.unfinished()):
            self.connection.read_now()
        return not (self.reader.requests or self.connection.unsent_bytes or self.unfinished())

    def silent(self) -> bool:
        return not (self.spoke or self.open or self.unfinished())

    def overdue(self, now: float) -> str:
        """Why this connection is to end; a clock that runs from the start, whatever has come since."""
        if not self.spoke and now - self.born > UNFINISHED_S:
            self.connection.read_now()
            if not self.spoke:
                return "no whole request in time"
        if not self.unfinished():
            self.begun = {}
            return ""
        begun = [number for number in self.reader.requests if number not in self.reader.complete]
        if not begun:
            begun = [-self.count]  # a record that has begun; the next whole request ends its clock
        self.begun = {number: self.begun.get(number, now) for number in begun}
        return "a request does not become whole" if self.stale(now, UNFINISHED_S) else ""

    def stale(self, now: float, most_s: float) -> bool:
        return any(now - since > most_s for since in self.begun.values())

    def _ended(self, task: asyncio.Task[BaseException | None]) -> None:
        self.front.sessions.pop(self, None)
        self.front.descriptors.release(ConnectionKind.CLIENT)
        self.reader.held_bytes = 0
        self._account()
        wrong = None if task.cancelled() else task.exception() or task.result()
        if wrong is not None and not isinstance(wrong, OSError):
            self.front.complaints.tell("client connection closed", wrong=str(wrong) or type(wrong).__name__)
        for request in self.open.values():
            if request is not None:
                self.front.owner.tell(Left(request))
                self._done(request)
        self.open.clear()


class Front:
    def __init__(
        self,
        owner: Owner,
        site: RouterSettings,
        descriptors: DescriptorBudget,
        memory_mb: int,
        is_ready: Callable[[], bool],
        authorizer: Authorizer | None = None,
    ) -> None:
        self.owner, self.descriptors, self.is_ready, self.authorizer = (
            owner,
            descriptors,
            is_ready,
            authorizer,
        )
        self.most_wait_us = site.rules.max_retry_after_us if site.rules.may_send_retry_after else 0
        self.classes = {traffic_class.name: traffic_class for traffic_class in site.traffic_classes}
        self.scripts = {f"{PATH}{name}".encode(): name for name in self.classes}
        self.sessions: dict[Session, None] = {}
        self.complaints = Complaints()
        self.health_detail: Callable[[], str] = str  # what a health answer says beside its status
        # A quarter of the memory for answers that wait, an eighth for requests that are unfinished or open.
        self.most_out, self.most_held, self.held = memory_mb << 18, memory_mb << 17, 0
        descriptors.reclaimers[ConnectionKind.CLIENT] = self.reclaim
        wait_ms = owner.stay_away_us // 1000
        self.refusal = fastcgi.encode_head(503, (("X-Pushback-Ms", str(wait_ms)),) if wait_ms else ())

    def shed(self, number: int, script: bytes) -> bytes | None:
        """Asked as a request begins: where the core is at its bound for its traffic class, or for every
        traffic class where that is not known yet, it is rejected there, unread, with the time to stay
        away."""
        if script == HEALTH_SCRIPT or self.owner.admits(self.scripts.get(script, "")):
            return None
        return fastcgi.encode_response_without_body(number, self.refusal)

    def greet(self, sock: socket.socket, peer: str = "", make: Make = Connection) -> Session:
        session = Session(self, sock, peer, make)
        self.sessions[session] = None
        return session

    def request(self, exchange: Exchange, fields: dict[str, str], body: bytes) -> Request:
        """A request's fields as a request; raises ProtocolError naming the field that can't be used."""
        now = self.owner.clock.now()
        script = fields.get("SCRIPT_NAME", "")
        traffic_class = self.classes.get(script[len(PATH) :]) if script.startswith(PATH) else None
        if traffic_class is None:
            raise ProtocolError(f"SCRIPT_NAME '{script[:60]}' names no traffic class")
        id, object_key = fields.get("HTTP_X_CORRELATION_ID", ""), fields.get("HTTP_X_SUBJECT", "")
        if not HEX(id):
            raise ProtocolError(f"X-Correlation-Id '{id[:60]}' is not of 16 hex digits")
        if not HEX(object_key):
            raise ProtocolError(f"X-Subject '{object_key[:60]}' is not of 16 hex digits")
        # Clients reckon their time by clocks of their own: some ms over the limit are no nonsense. Danger:
        # taken as such, they cost a usual client its connection and all that is open there.
        deadline_ms = traffic_class.deadline_us * 11 // 10_000 + 50
        until = now + whole(fields, "HTTP_X_DEADLINE_MS", None, 1, deadline_ms) * 1000
        key, holds = fields.get("HTTP_X_OPERATION_KEY", ""), fields.get("HTTP_X_KNOWN", "")
        if (key or traffic_class.semantics == KEYED) and not KEY(key):
            raise ProtocolError(f"X-Operation-Key '{key[:60]}' is not of 32 hex digits")
        if holds and not HEX(holds):
            raise ProtocolError(f"X-Known '{holds[:60]}' is not of 16 hex digits")
        again = fields.get("HTTP_X_RESENT", "")
        if again not in ("", "1"):
            raise ProtocolError(f"X-Resent '{again[:60]}' is not 1")
        return Request(
            exchange,
            id,
            traffic_class.name,
            object_key,
            whole(fields, "HTTP_X_CHUNK", 0, 0, MOST_PART),
            whole(fields, "HTTP_X_TAG", 0, 0, MOST_GROUP),
            key if traffic_class.semantics == KEYED else "",
            holds,
            body,
            until,
            again == "1",
            not traffic_class.uncached,
            taken=now,
        )

    def hold(self, more: int) -> None:
        """Counts what unfinished and open requests hold; the largest goes when all hold too much."""
        self.held += more
        if more > 0 and self.held > self.most_held:
            most = max(self.sessions, key=lambda session: session.reader.held_bytes)
            most.give_up("requests hold too much memory")
            most.connection.close()

    def sweep(self) -> None:
        """Closes what is idle or overdue, and the slowest readers while too much waits for all."""
        now = asyncio.get_running_loop().time()
        for session in list(self.sessions):
            connection = session.connection
            if connection.is_write_stalled():
                connection.close()
            elif connection.is_closing:
                continue  # its end has a clock of its own
            elif (session.leaving or connection.last_read_at < now - IDLE_S) and session.idle():
                connection.close_gracefully()
            elif not session.ending and (why := session.overdue(now)):
                session.give_up(why)
            else:
                session.release(self.owner.clock.now())
                connection.release_buffer()
        total = sum(session.connection.unsent_bytes for session in self.sessions)
        if total > self.most_out:
            waits = sorted(self.sessions, key=lambda session: session.connection.unsent_bytes)
            while total > self.most_out:
                slowest = waits.pop()
                total -= slowest.connection.unsent_bytes
                self.complaints.tell("slow reader let go", bytes=slowest.connection.unsent_bytes)
                slowest.connection.close()

    def reclaim(self) -> None:
        """Some of those given up or that never spoke go, else the longest unfinished, else the longest idle.

        Danger: while hundreds come that say nothing, usual clients that are idle would go for them; yet where
        the idle ones hold most of the room, waiting for the few young ones would leave all others outside.
        """
        now = asyncio.get_running_loop().time()
        live = [session for session in self.sessions if not session.connection.is_closing]
        silent = [session for session in self.sessions if session.ending or session.silent()]
        silent = [session for session in silent if not session.connection.is_closed]
        old = [session for session in silent if session.ending or now - session.born > YOUNG_S]
        for session in old[: max(1, len(old) // 4)]:  # sessions stand in the order of their coming
            if session.ending or (session.idle() and session.silent()):
                session.connection.close()
        if old or len(silent) > len(live) // 2:
            return
        live.sort(key=lambda session: session.connection.last_read_at)
        for session in live:
            # Half of the time that it has: what comes meanwhile may be a usual client's, read late.
            if not session.open and session.stale(now, UNFINISHED_S / 2):
                return session.connection.close()
        # Some at once: where thousands come and stay, a look through all for each newcomer would fill a core.
        for session in live[: max(1, len(live) // 16)]:
            if session.idle():
                # The last answer has arrived by now, and only what crosses the close is lost: its client
                # sends it again. Else in order, which takes a moment more.
                if now - session.connection.last_read_at > SETTLED_S:
                    session.connection.close()
                else:
                    session.connection.close_gracefully()

    def flushed(self) -> bool:
        return all(not session.connection.unsent_bytes for session in self.sessions)

    def leave(self) -> None:
        """Each connection ends once nothing is owed on it any more; a young one may have its first bytes on
        the way, and is left to the sweep."""
        now = asyncio.get_running_loop().time()
        for session in list(self.sessions):
            session.leave(silent_too=now - session.born > YOUNG_S)

    def close(self) -> None:
        for session in list(self.sessions):
            session.connection.close()


def whole(fields: dict[str, str], name: str, default: int | None, least: int, most: int) -> int:
    text = fields.get(name)
    if text is None and default is not None:
        return default
    if text is None or not (text.isdecimal() and text.isascii() and len(text) <= 9):
        raise ProtocolError(f"{name} '{(text or '')[:60]}' is no whole number")
    if not least <= int(text) <= most:
        raise ProtocolError(f"{name} {text} is not from {least} to {most}")
    return int(text)
