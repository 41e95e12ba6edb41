"""What is owed when things end: each crossing of two events, forced over loopback sockets in its order."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import socket
import struct
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
import uvloop

from hoistplank.fakes.change_log import ChangeLog
from hoistplank.fakes.settings import listing, target
from hoistplank.fakes.wire import CacheHost, Client, serve
from hoistplank.program.service import Phase
from hoistplank.protocol import fastcgi
from hoistplank.protocol.changelog import Event, Fleet, Snapshot
from hoistplank.routing import endpoint_watcher as watching
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import Listing
from hoistplank.routing.router_task import Came, Left, Listed, Purged
from hoistplank.transport import connection as connections
from hoistplank.transport import pool as pools
from hoistplank.transport.connection import Connection
from hoistplank.transport.descriptor_budget import ConnectionKind
from tests.helpers import Running, until

BODY = bytes(range(256)) * 900
KEY = {"HTTP_X_OPERATION_KEY": "5c0f" * 8}


def run(scene: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene, 20))


class Calm(Running):
    """A dispatcher that takes no notice of its loop's lag: one whose machine holds it up rejects what comes
    then, before any attempt, and nothing of what these tests are about begins."""

    async def __aenter__(self) -> Running:
        await super().__aenter__()
        owner = self.service.owner
        owner.router.loop_told = lambda waits, late_us: None  # type: ignore[method-assign]
        owner.admission.observe = lambda *told: None  # type: ignore[method-assign]
        await until(lambda: self.service.phase is Phase.SERVING)
        return self


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 {len(BODY)}\r\n".encode() + BODY + b"\r\n"


def silent(id: str, fields: dict[str, str], body: bytes) -> None:
    return None


def request_bytes(
    number: int, name: str = "page", fields: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """The bytes of a request, for those who send them themselves."""
    sent: list[bytes] = []

    class Writer:
        write = staticmethod(sent.append)

    Client(None, Writer()).send(number, name, fields, body)  # type: ignore[arg-type]
    return sent[0]


class Peer:
    """The other end of a connection, by plain socket calls: each step is taken when it is told."""

    def __init__(self, room: int = 0) -> None:
        with socket.socket() as listener:
            if room:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
            listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            self.ours = socket.socket()
            if room:
                self.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, room)
            self.ours.connect(listener.getsockname())
            self.sock, _ = listener.accept()
        for sock in (self.ours, self.sock):
            sock.setblocking(False)

    def serve(self, consume: Callable[[bytearray, int, int], int]) -> tuple[Connection, asyncio.Task[Any]]:
        made = Connection(self.ours, consume, 1 << 20, 1 << 24)
        return made, asyncio.get_running_loop().create_task(made.run())

    async def read(self) -> bytes:
        """All till the end; a reset raises."""
        came = b""
        while more := await asyncio.get_running_loop().sock_recv(self.sock, 65_536):
            came += more
        return came

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def taken(into: list[bytes]) -> Callable[[bytearray, int, int], int]:
    def consume(buffer: bytearray, start: int, end: int) -> int:
        into.append(bytes(buffer[start:end]))
        return end

    return consume


# A check that guards a send is made where the first byte is handed to the system.


def test_a_message_of_which_the_system_took_no_byte_is_asked_again() -> None:
    async def scene() -> None:
        peer, may, asked = Peer(room=8_192), [True], list[bool]()
        made, task = peer.serve(taken([]))
        await asyncio.sleep(0)
        full = 0
        while True:
            try:
                full += peer.ours.send(bytes(65_536))
            except BlockingIOError:
                break

        def begin() -> bool:
            asked.append(may[0])
            return may[0]

        made.send(b"late", begin)
        made.send(b"always")
        await until(lambda: bool(asked))
        assert asked == [True]
        may[0] = False  # as when the host drains meanwhile
        got = b""
        while not got.endswith(b"always"):
            got += await asyncio.get_running_loop().sock_recv(peer.sock, 65_536)
        assert got == bytes(full) + b"always" and asked[-1] is False
        made.close()
        await task
        peer.sock.close()

    run(scene())


def test_what_stands_behind_a_message_that_is_cut_is_asked_again_and_what_was_whole_is_told() -> None:
    async def scene() -> None:
        peer, may, told = Peer(room=8_192), [True], list[str]()
        made, task = peer.serve(taken([]))
        await asyncio.sleep(0)
        made.send(b"first", on_written=lambda: told.append("first"))
        made.send(bytes(4 << 20), on_written=lambda: told.append("large"))
        made.send(b"late", lambda: may[0], lambda: told.append("late"), lambda: told.append("untaken"))
        await until(lambda: bool(told))
        assert told == ["untaken", "first"]  # no byte of the last one is with the system, all of the first is
        may[0] = False
        got = 0
        while got < 5 + (4 << 20):
            got += len(await asyncio.get_running_loop().sock_recv(peer.sock, 1 << 20))
        await until(lambda: not made.unsent_bytes)
        made.close_gracefully()
        assert await peer.read() == b"" and told == ["untaken", "first", "large"]
        peer.sock.close()
        await task

    run(scene())


def test_a_message_is_told_as_written_in_the_turn_in_which_its_last_byte_goes_out() -> None:
    """A reset that is read next must not make it one that never ran."""

    async def scene() -> None:
        peer, told = Peer(room=8_192), list[str]()
        made, task = peer.serve(taken([]))
        await asyncio.sleep(0)
        made.send(bytes(4 << 20), on_written=lambda: told.append("whole"))
        await until(lambda: made._partial is not None)
        while made._partial is not None:
            with contextlib.suppress(BlockingIOError):
                peer.sock.recv(1 << 20)
            made._continue_write()
        peer.reset()  # before the loop has had another turn
        assert told == ["whole"]
        await task

    run(scene())


# One lingering close for every reason.


def test_bytes_that_come_in_the_instant_of_a_close_reset_nothing_and_are_not_taken() -> None:
    async def scene() -> None:
        peer, into = Peer(), list[bytes]()
        made, task = peer.serve(taken(into))
        await asyncio.sleep(0)

        # It comes between the write and the end, and nobody has read it.
        def written() -> None:
            peer.sock.send(b"one more")

        made.send(b"the last answer", on_written=written)
        made.close_gracefully()
        assert await peer.read() == b"the last answer"
        peer.sock.send(b"after the end")
        await asyncio.sleep(0)
        peer.sock.close()
        await asyncio.wait_for(task, connections.LINGER_S / 2)  # the other side's end is ours
        assert b"after the end" not in b"".join(into)

    run(scene())


def test_one_that_goes_on_sending_after_our_end_costs_little_and_not_for_long() -> None:
    async def scene() -> None:
        peer, into = Peer(), list[bytes]()
        made, task = peer.serve(taken(into))
        await asyncio.sleep(0)
        made.close_gracefully()
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(OSError):
            while True:
                await loop.sock_sendall(peer.sock, bytes(65_536))
        await task
        assert loop.time() - began < 2 * connections.LINGER_S + 0.2 and into == []
        assert made.discarded_bytes <= connections.MAX_DISCARDED_BYTES + len(connections.DISCARD_BUFFER)
        peer.sock.close()

    run(scene())


def test_an_end_with_output_that_nobody_takes_is_closed_in_time() -> None:
    async def scene() -> None:
        peer = Peer(room=8_192)
        made, task = peer.serve(taken([]))
        await asyncio.sleep(0)
        made.send(bytes(4 << 20))
        made.close_gracefully()
        await asyncio.wait_for(task, 2 * connections.LINGER_S + 0.2)
        peer.sock.close()

    run(scene())


# The end of the program.


def crossing(dispatcher: Running, step: Callable[[], object]) -> None:
    """`step` is taken in the very turn in which the drain finds nothing open, once its windows are over."""
    service = dispatcher.service
    plain, done = service._is_empty, list[bool]()

    def is_empty() -> bool:
        if plain() and not done:
            done.append(True)
            step()
            return True
        return plain()

    service._is_empty = is_empty  # type: ignore[method-assign]


def raw_of(client: Client) -> socket.socket:
    return socket.socket(fileno=os.dup(client.writer.get_extra_info("socket").fileno()))


def test_a_request_that_has_come_in_the_instant_of_the_end_is_answered(tmp_path: Path) -> None:
    async def scene() -> None:
        box = CacheHost(served)
        async with Calm(tmp_path, {"a": box, "o": CacheHost(silent)}) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            with raw_of(dispatcher.client) as raw:
                crossing(dispatcher, lambda: raw.send(request_bytes(2)))
                dispatcher.service.terminated.set()
                number, status, _, body = await asyncio.wait_for(dispatcher.client.answer(), 5)
            assert (number, status, body) == (2, 200, BODY)
            assert await dispatcher.client.reader.read() == b""  # its end, and no reset

    run(scene())


def test_a_request_after_the_write_side_was_shut_is_not_sent_on(tmp_path: Path) -> None:
    async def scene() -> None:
        box = CacheHost(served)
        async with Calm(tmp_path, {"a": box, "o": CacheHost(silent)}) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            dispatcher.service.terminated.set()
            assert await dispatcher.client.reader.read() == b""
            with raw_of(dispatcher.client) as raw:
                raw.send(request_bytes(2))
            await asyncio.wait_for(asyncio.shield(dispatcher.task), 5)
            assert [id for id, _, _ in box.seen] == [f"{1:016x}"]

    run(scene())


def test_one_that_stands_in_the_backlog_at_the_end_is_answered(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Calm(tmp_path, {"a": CacheHost(served), "o": CacheHost(silent)}) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            late = socket.socket()

            def step() -> None:
                late.connect(dispatcher.service.listener.sock.getsockname())
                late.send(request_bytes(2))

            crossing(dispatcher, step)
            dispatcher.service.terminated.set()
            reader, writer = await asyncio.open_connection(sock=await up(late))
            number, status, _, _ = await asyncio.wait_for(Client(reader, writer).answer(), 5)
            assert (number, status) == (2, 200)
            writer.close()

    run(scene())


async def up(sock: socket.socket) -> socket.socket:
    """Waits until a socket that another step connects is connected."""

    def connected() -> bool:
        try:
            sock.getpeername()
        except OSError:
            return False
        return True

    await until(connected)
    return sock


def test_half_a_record_holds_up_no_end_and_a_second_sigterm_changes_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Calm(tmp_path, {"a": CacheHost(served), "o": CacheHost(silent)}) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            half = await dispatcher.connect()
            half.writer.write(request_bytes(1)[:50])
            dispatcher.service.terminated.set()
            await until(lambda: dispatcher.service.phase is Phase.DRAINING)
            dispatcher.service.terminated.set()
            dispatcher.service.renewed.set()
            assert (await dispatcher.ask(2, "page"))[0] == 200  # still taken while it drains
            assert await asyncio.wait_for(asyncio.shield(dispatcher.task), 4) == 0
            assert await dispatcher.client.reader.read() == b""

    run(scene())


def test_an_answer_larger_than_the_buffers_is_read_whole_while_the_program_ends(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Calm(tmp_path, {"a": CacheHost(served), "o": CacheHost(silent)}) as dispatcher:
            reader, writer = await asyncio.open_connection(
                *dispatcher.service.listener.sock.getsockname(), limit=4_096
            )
            for number in range(1, 9):
                writer.write(request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            await until(lambda: dispatcher.service.owner.counts["succeeded"] == 8)
            dispatcher.service.terminated.set()
            await until(lambda: dispatcher.service.phase is Phase.DRAINING)
            client, got = Client(reader, writer), set[int]()
            while len(got) < 8:
                number, status, _, body = await asyncio.wait_for(client.answer(), 5)
                assert (status, body) == (200, BODY)
                got.add(number)
            assert await reader.read() == b""

    run(scene())


# A client that has gone.


async def narrow(dispatcher: Running) -> socket.socket:
    """A client's connection that takes little of what it is owed until somebody reads."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    await asyncio.get_running_loop().sock_connect(sock, dispatcher.service.listener.sock.getsockname())
    return sock


def test_the_end_of_a_client_is_seen_while_it_does_not_read_what_it_is_owed(tmp_path: Path) -> None:
    async def scene() -> None:
        box = CacheHost(
            lambda id, fields, body: silent(id, fields, body)
            if fields["blk"] == "9"
            else served(id, fields, body)
        )
        async with Calm(tmp_path, {"a": box, "o": CacheHost(silent)}) as dispatcher:
            loop, sock = asyncio.get_running_loop(), await narrow(dispatcher)
            late = {"HTTP_X_CHUNK": "9", "HTTP_X_DEADLINE_MS": "2400"}
            await loop.sock_sendall(sock, request_bytes(32, fields=late))
            await until(lambda: len(box.seen) == 1)
            for number in range(1, 31):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": "1"}))
            session = next(each for each in dispatcher.service.front.sessions if each.open)
            await until(lambda: session.connection.unsent_bytes > 2 << 20)
            # What comes once too much waits is read, and so is what comes after it.
            await loop.sock_sendall(sock, request_bytes(31, fields={"HTTP_X_CHUNK": "1"}))
            await until(lambda: 31 in session.open)
            await loop.sock_sendall(sock, fastcgi.encode_record(fastcgi.ABORT_REQUEST, 32))
            began = loop.time()
            await until(lambda: f"{32:016x}" in box.drops)
            assert loop.time() - began < 1  # and not when its time is over
            sock.close()

    run(scene())


def test_requests_of_one_that_does_not_read_are_held_back_and_answered_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        box = CacheHost(served)
        async with Calm(tmp_path, {"a": box, "o": CacheHost(silent)}) as dispatcher:
            loop, sock = asyncio.get_running_loop(), await narrow(dispatcher)
            for number in range(1, 31):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            session = await only(dispatcher)
            await until(lambda: session.connection.unsent_bytes > 2 << 20 and not session.open)
            seen = len(box.seen)
            for number in (31, 32):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            await until(lambda: len(session.held_back) == 2)
            assert len(box.seen) == seen
            session.held_back[31].until = Clock().now() + 100_000  # its time is nearly over
            await until(lambda: 31 not in session.open)  # answered, though nothing is read
            reader, writer = await asyncio.open_connection(sock=sock)
            client, got = Client(reader, writer), dict[int, int]()
            while len(got) < 32:
                number, status, _, _ = await asyncio.wait_for(client.answer(), 5)
                got[number] = status
            assert got.pop(31) == 503 and set(got.values()) == {200}
            writer.close()

    run(scene())


async def only(dispatcher: Running) -> Any:
    """The session of the one client that has sent requests."""
    await until(lambda: any(each.spoke for each in dispatcher.service.front.sessions))
    return next(each for each in dispatcher.service.front.sessions if each.spoke)


def test_an_end_that_is_told_before_its_request_counts_nothing(tmp_path: Path) -> None:
    """While late, the owner takes what ends before what comes."""

    async def scene() -> None:
        async with Calm(tmp_path, {"a": CacheHost(served), "o": CacheHost(silent)}) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            session, owner = await only(dispatcher), dispatcher.service.owner
            nobody: Any = None
            request = dispatcher.service.front.request(
                nobody,
                {
                    "SCRIPT_NAME": "/api/v2/page",
                    "HTTP_X_CORRELATION_ID": "ab" * 8,
                    "HTTP_X_SUBJECT": "cd" * 8,
                    "HTTP_X_DEADLINE_MS": "900",
                },
                b"",
            )
            owner.lag_us = 100_000
            owner.tell(Came(request))
            owner.tell(Left(request))
            owner.turn()
            assert owner.open == 0 and not owner.requests and session.front.flushed()

    run(scene())


class Gate:
    """Holds up connections to hosts until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.open, self.waiting = asyncio.Event(), list[str]()
        plain = pools.Line._connect

        async def connect(line: pools.Line) -> str:
            self.waiting.append(line.host)
            await self.open.wait()
            return await plain(line)

        monkeypatch.setattr(pools.Line, "_connect", connect)


@pytest.mark.parametrize(
    "what",
    ["host drains", "source drains", "host no longer named", "client leaves", "client resets", "window over"],
)
def test_nothing_is_sent_over_a_connection_that_came_up_too_late(
    tmp_path: Path, what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        box, origin = CacheHost(served), CacheHost(served)
        async with Calm(tmp_path, {"a": box, "o": origin}) as dispatcher:
            owner, gate = dispatcher.service.owner, Gate(monkeypatch)
            client = await dispatcher.connect()
            if what == "window over":
                # As a repeat whose time in which it would be dropped ends while its connection comes up.
                plain = owner._act["attempt"]

                def attempt(now: int, decision: Any) -> None:
                    decision.begin_by_us = now + 1
                    plain(now, decision)

                owner._act["attempt"] = attempt
                client.send(1, "booking", KEY)
            else:
                client.send(1, "page", {"HTTP_X_DEADLINE_MS": "600"})
            await until(lambda: bool(gate.waiting))
            if what.endswith("drains"):
                row = dispatcher.targets[0 if what == "host drains" else 1]
                dispatcher.tell(listing(2, [row | {"state": "draining"}]))
                await until(lambda: owner.posts[row["uid"]].entry.state == "draining")
            elif what == "host no longer named":
                dispatcher.tell(listing(2, dispatcher.targets[1:], whole=True))
                await until(lambda: "a" not in owner.posts)
            elif what == "client leaves":
                client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
                await until(lambda: not owner.open)
            elif what == "client resets":
                client.writer.transport.abort()
                await until(lambda: not owner.open)
            gate.open.set()
            if what.startswith("client"):
                await until(lambda: not owner.requests)
            else:
                # Where another way is left it is taken: the other host, or this one with no source to fill
                # from.
                status = (await asyncio.wait_for(client.answer(), 5))[1]
                assert status in ((502, 503) if what == "window over" else (200, 503))
            if not what.startswith("host"):
                assert not origin.seen and not [fields for _, fields, _ in box.seen if "parent" in fields]
            if what != "source drains":
                assert not box.seen

    run(scene())


# Discovery that goes quiet.


class Told:
    """Hears what the change log says."""

    def __init__(self) -> None:
        self.clock, self.events = Clock(), list[Any]()

    def tell(self, event: Any) -> None:
        self.events.append(event)


def row(seq: int, whole: bool = False, state: str = "ready") -> bytes:
    return json.dumps(listing(seq, [target("a", "box", 9, state)], whole=whole)).encode() + b"\n"


QUIET: dict[str, list[bytes]] = {
    "silent from its first second": [],
    "silent after half a line": [row(2)[:20]],
    "a dribble of bytes": [bytes([byte]) for byte in row(2)[:-1]],
    "a number behind ours": [b"0\n"] * 1_000,
    "a number behind ours, as an object": [b'{"seq":0}\n'] * 1_000,
    "the same event again": [row(1, whole=True)] * 1_000,
}


@pytest.mark.parametrize("how", QUIET)
def test_a_watch_on_which_nothing_moves_on_is_taken_up_again(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        monkeypatch.setattr(watching, "SILENT_S", 0.2)
        monkeypatch.setattr(watching, "LOOK_S", 0.02)
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            if len(asked) == 1:
                for piece in QUIET[how]:
                    writer.write(piece)
                    await asyncio.sleep(0.02)
            else:
                writer.write(row(1, whole=True) * (asked[-1] == 0) + row(2, state="draining") + b"2\n")
            await reader.read()

        told = Told()
        known = msgspec.json.decode(b'{"seq":1,"results":[' + row(1, whole=True) + b"]}", type=Snapshot)
        log = Listing(told, ("127.0.0.1", await serve(talk)), known, Random(1))
        task = asyncio.create_task(log.run())
        await until(lambda: log.last == 2)
        # A log that counts anew is asked for all it has; any other goes on from where we are.
        assert asked == [1, 0 if how.startswith("a number behind ours") else 1]
        assert told.events[-1].targets[0].state == "draining"
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


def test_a_log_that_counts_anew_takes_no_drain_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        monkeypatch.setattr(watching, "SILENT_S", 0.2)
        monkeypatch.setattr(watching, "LOOK_S", 0.02)
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            writer.write(b"1\n" if asked[-1] else row(1, whole=True) + b"1\n")  # from before the drain
            await reader.read()

        told = Told()
        lines = [row(1, whole=True), row(2, state="draining")]
        known = msgspec.json.decode(b'{"seq":2,"results":[' + b",".join(lines) + b"]}", type=Snapshot)
        log = Listing(told, ("127.0.0.1", await serve(talk)), known, Random(1))
        task = asyncio.create_task(log.run())
        await until(lambda: log.last == 1)
        assert asked == [2, 0] and told.events[-1].targets[0].state == "draining"
        log._apply(msgspec.json.decode(row(2), type=Event))  # the same process: only a new one is ready again
        assert told.events[-1].targets[0].state == "draining"
        new = msgspec.structs.replace(told.events[-1].targets[0], state="ready", boot_ms=5.0)
        log._apply(Event(3, Fleet(3, False, [new])))
        assert told.events[-1].targets[0].state == "ready"
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


@pytest.mark.parametrize("number", [b"%d\n", b'{"seq":%d}\n'])
def test_a_watch_that_tells_its_number_each_second_stays(
    number: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        monkeypatch.setattr(watching, "SILENT_S", 0.2)
        monkeypatch.setattr(watching, "LOOK_S", 0.02)
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            while True:
                writer.write(number % 1)
                await asyncio.sleep(0.05)

        known = msgspec.json.decode(b'{"seq":1,"results":[' + row(1, whole=True) + b"]}", type=Snapshot)
        log = Listing(Told(), ("127.0.0.1", await serve(talk)), known, Random(1))
        task = asyncio.create_task(log.run())
        await until(lambda: log.moves > 20)
        assert asked == [1]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


def test_a_line_of_the_log_that_breaks_off_is_asked_for_again_at_once() -> None:
    """Half an event may be a drain: it counts as told, and the seconds that stay away show it far too
    late."""

    async def scene() -> None:
        asked, broke = list[int](), list[float]()
        loop = asyncio.get_running_loop()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            line = row(2, state="draining")
            writer.write(line[: len(line) // 2] if len(asked) == 1 else line)
            broke.append(loop.time())
            await reader.read()

        told = Told()
        known = msgspec.json.decode(b'{"seq":1,"results":[' + row(1, whole=True) + b"]}", type=Snapshot)
        log = Listing(told, ("127.0.0.1", await serve(talk)), known, Random(1))
        task = asyncio.create_task(log.run())
        await until(lambda: log.last == 2)
        assert asked == [1, 1] and loop.time() - broke[0] < 1.0
        assert told.events[-1].targets[0].state == "draining"
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


@pytest.mark.parametrize("number", [b"2\n", b'{"seq":2}\n'])
def test_a_number_ahead_of_its_event_asks_for_the_event(number: bytes) -> None:
    """An event was lost on its way: the number shows it, and it must not count as heard."""

    async def scene() -> None:
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            writer.write(number if len(asked) == 1 else row(2, state="draining") + number)
            await reader.read()

        told = Told()
        known = msgspec.json.decode(b'{"seq":1,"results":[' + row(1, whole=True) + b"]}", type=Snapshot)
        log = Listing(told, ("127.0.0.1", await serve(talk)), known, Random(1))
        task = asyncio.create_task(log.run())
        await until(lambda: log.last == 2)
        assert asked == [1, 1] and told.events[-1].targets[0].state == "draining"
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


def test_a_log_that_is_back_is_heard_within_a_drains_grace() -> None:
    """What it holds counts as told though nobody is connected: the pause between tries stays short."""

    async def scene() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            port = listener.getsockname()[1]
        told, failed, loop = Told(), list[float](), asyncio.get_running_loop()
        plain = told.tell

        def tell(event: Any) -> None:
            plain(event)
            failed.append(loop.time())

        told.tell = tell  # type: ignore[method-assign]
        log = Listing(told, ("127.0.0.1", port), Snapshot(0, []), Random(1), grace_s=0.25)
        task = asyncio.create_task(log.run())
        await until(lambda: len(failed) > 12)
        assert max(later - first for first, later in zip(failed[5:], failed[6:], strict=False)) < 0.25
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


def test_a_standstill_of_our_own_is_not_taken_for_the_logs_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        monkeypatch.setattr(watching, "SILENT_S", 0.2)
        monkeypatch.setattr(watching, "LOOK_S", 0.02)
        asked, speaks = list[int](), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            while True:
                writer.write(b"0\n")
                speaks.set()
                await asyncio.sleep(0.02)

        log = Listing(Told(), ("127.0.0.1", await serve(talk)), Snapshot(0, []), Random(1))
        task = asyncio.create_task(log.run())
        await until(lambda: log.moves > 0)
        for _ in range(3):
            stop = asyncio.get_running_loop().time() + 0.3
            while asyncio.get_running_loop().time() < stop:
                pass  # the loop stands still for longer than a log may be silent
            moves = log.moves
            await until(lambda moves=moves: log.moves > moves)  # type: ignore[misc]
        assert asked == [0]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


def test_no_descriptor_for_the_watch_ends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        failed, asked, plain = list[int](), list[int](), socket.socket

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            writer.write(b"0\n")
            await reader.read()

        log = Listing(Told(), ("127.0.0.1", await serve(talk)), Snapshot(0, []), Random(1))

        def none(*words: Any) -> Any:
            if len(failed) < 2:
                failed.append(1)
                raise OSError(24, "Too many open files")
            return plain(*words)

        monkeypatch.setattr("hoistplank.routing.endpoint_watcher.socket.socket", none)
        task = asyncio.create_task(log.run())
        await until(lambda: log.fresh)
        assert asked == [0] and len(failed) == 2
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())


def test_idle_clients_leave_the_descriptors_of_the_watch_and_the_hosts(tmp_path: Path) -> None:
    async def scene() -> None:
        hosts = {"a": CacheHost(served), "o": CacheHost(silent)}
        async with Calm(tmp_path, hosts, **{"limits.sockets": 64}) as dispatcher:
            descriptors, stay = dispatcher.service.descriptors, list[Client]()
            for number in range(2 * descriptors.limits[ConnectionKind.CLIENT]):
                stay.append(await dispatcher.connect())
                stay[-1].send(number + 1, "", script="/-/healthy")
            since = len(dispatcher.since)
            dispatcher.service.listing.move(("127.0.0.1", await serve(dispatcher.changelog.talk)))
            await until(lambda: len(dispatcher.since) == since + 1)
            late = await dispatcher.connect()
            late.send(1, "page")
            assert (await asyncio.wait_for(late.answer(), 2))[1] == 200
            for client in stay:
                client.writer.close()

    run(scene())


# Exactly once: the table of docs/design.md.


def table() -> list[tuple[str, str, str]]:
    """How an attempt ended, the effect of its class, and what follows, as the page has it."""
    page = (Path(__file__).parent.parent / "docs" / "design.md").read_text()
    part = page.split("## Exactly once")[1].split("\n## ")[0]
    lines = [re.split(r"\s*\|\s*", line.strip("| ")) for line in part.splitlines() if line.startswith("|")]
    head, _, *rows = lines
    return [
        (name, effect, cell) for name, *cells in rows for effect, cell in zip(head[1:], cells, strict=True)
    ]


def test_the_table_has_every_ending_and_every_effect() -> None:
    endings = {"refused", "not up", "unwritten", "partly written", "written", "answer begun", "answer whole"}
    assert {(ending, effect) for ending, effect, _ in table()} == {
        (ending, effect) for ending in endings for effect in ("idempotent", "keyed", "non-idempotent")
    }


class Breaking:
    """A host that takes its first connection's attempt as far as it is told, and serves all later ones."""

    def __init__(self, how: str) -> None:
        self.how, self.connections, self.keys = how, 0, list[str]()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        first = self.connections == 1
        if first and self.how in ("unwritten", "partly written"):
            if self.how == "partly written":
                await reader.readexactly(10)
            return self.reset(writer)
        while line := (await reader.readline()).decode().split():
            if line[0] != "GET":
                continue
            await reader.readexactly(int(line[3]) + 2)
            self.keys.append(line[2])
            if first and self.how == "written":
                return self.reset(writer)
            whole = served(line[1], {}, b"")
            if first and self.how == "answer begun":
                writer.write(whole[: len(whole) // 2])
                await writer.drain()
                writer.close()
                return
            writer.write(whole)

    def reset(self, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


@pytest.mark.parametrize("ending, effect, follows", table())
def test_exactly_once(
    tmp_path: Path, ending: str, effect: str, follows: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Uncached classes go straight to the origin, whose first connection ends as the row says."""

    async def scene() -> None:
        host = Breaking(ending)
        words = {"idempotent": "idempotent", "keyed": "deduplicated", "non-idempotent": "at_most_once"}
        classes = [
            {
                "name": "order",
                "target": 0.7,
                "give_up": 3.0,
                "semantics": words[effect],
                "gain": 3.0,
                "group": "all",
                "dedup_window": 3.0,
            }
        ]
        if ending in ("refused", "not up"):
            plain = pools.Line._connect

            async def connect(line: pools.Line) -> str:
                host.connections += 1
                return ending if host.connections == 1 else await plain(line)

            monkeypatch.setattr(pools.Line, "_connect", connect)
        if ending in ("unwritten", "partly written"):
            # The system takes nothing, or a part, of what the first connection is given.
            plain_flush, most = Connection._flush, 0 if ending == "unwritten" else 10

            class Small:
                def __init__(self, sock: socket.socket) -> None:
                    self.sock = sock

                def __getattr__(self, name: str) -> Any:
                    return getattr(self.sock, name)

                def send(self, data: bytes) -> int:
                    if not most:
                        raise BlockingIOError
                    return self.sock.send(data[:most])

            def flush(made: Connection) -> None:
                first = made.max_buffer_bytes == pools.MOST_IN and host.connections <= 1
                if first and not isinstance(made.sock, Small):
                    real = made.sock
                    made.sock = Small(real)  # type: ignore[assignment]
                    plain_flush(made)
                    made.sock = real
                    made.loop.remove_writer(real)
                else:
                    plain_flush(made)

            monkeypatch.setattr(Connection, "_flush", flush)
        hosts: Any = {"o": host}
        changes: dict[str, Any] = {"settings.classes": classes, "settings.family_info.uncached": [True]}
        async with Calm(tmp_path, hosts, **changes) as dispatcher:
            owner, number, status = dispatcher.service.owner, 0, 503
            # Where the machine holds this process up, new requests are rejected before any attempt: a client
            # comes again then, and nothing of what the row is about has begun.
            while status == 503 and owner.counts["attempts"] == 0 and number < 20:
                number += 1
                dispatcher.client.send(number, "order", KEY, b"x" * 100)
                _, status, _, _ = await asyncio.wait_for(dispatcher.client.answer(), 5)
            assert (status, len(host.keys)) == {
                "served": (200, 1),
                "again, served": (200, 1),
                "again, may run twice": (200, 2),
                "again, its repeat is dropped": (200, 2),
                "failed": (502, 1),
            }[follows], (status, host.keys)

    run(scene())


def test_a_configuration_in_the_log_does_no_harm_to_a_dispatcher_that_follows_it_directly() -> None:
    """It has no use for one; taken for a bare number ahead of its event, it would end the watch for good."""

    async def scene() -> None:
        log = ChangeLog(epoch=7)
        told = Told()
        listing_ = Listing(told, ("127.0.0.1", await serve(log.talk)), Snapshot(0, []), Random(1))
        task = asyncio.create_task(listing_.run())
        log.tell(listing(1, [target("a", "box", 9)], whole=True))
        log.configure(2, "x" * 1_000_000)
        log.tell({"seq": 3, "configuration": {"text": ["wrong"]}})
        log.tell({"seq": 4, "invalidate": {"object": "ab", "time": 1}})
        await until(lambda: listing_.last == 4)
        assert [type(event) for event in told.events] == [Listed, Purged] and log.since == [0]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scene())
