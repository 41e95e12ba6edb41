"""The memory that clients make the process hold has one bound, in whatever form they make it hold it."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from pathlib import Path

import pytest

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointsUpdated, RequestArrived
from hoistplank.decision.herds import HERD_BYTES, ORDERED_HOST_BYTES
from hoistplank.decision.router import Router
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.protocol import fastcgi
from hoistplank.routing.client_memory import ClientMemory, client_memory_bytes
from tests.dispatcher_scene import SteadyDispatcher, request_bytes, served
from tests.helpers import SITE, Running
from tests.scene_runner import run_scene

MEMORY_MB = 32
MAX_HELD_BYTES = (MEMORY_MB << 20) // 4
CLIENTS = 120
MB = 1 << 20
BEGIN = fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 1))


def partial_record() -> bytes:
    """All but the end of a record, which is as large as a record can be."""
    padding = 255
    header = fastcgi.HEADER.pack(1, fastcgi.STDIN, 1, 65_535, padding)
    return BEGIN + header + bytes(65_535 + padding - 1)


def unended_requests() -> bytes:
    """Whole records of requests that never end."""
    requests = [request_bytes(number, "booking", body=bytes(48_000)) for number in range(1, 5)]
    return b"".join(request[: -fastcgi.HEADER.size] for request in requests)


def unread_answers() -> bytes:
    """Requests for objects of 230 KB, whose answers are not read."""
    return b"".join(
        request_bytes(number, "page", {"HTTP_X_CORRELATION_ID": f"{number:016x}"}) for number in range(1, 5)
    )


def held_bytes(dispatcher: Running) -> int:
    """Returns what clients make the process hold, as the sessions have it."""
    return sum(
        len(session.connection.buffer) + session.reader.held_bytes + session.connection.unsent_bytes
        for session in dispatcher.service.frontend.sessions
    )


@pytest.mark.parametrize("form", [partial_record, unended_requests, unread_answers])
def test_clients_hold_no_more_memory_than_the_bound(tmp_path: Path, form: Callable[[], bytes]) -> None:
    """Guards against a process that is killed for its memory: bytes of incomplete records were in no count,
    and answers were counted apart from requests."""

    async def scene() -> None:
        hosts = {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
        limits = {"sockets": 512, "memory_mb": MEMORY_MB}
        async with SteadyDispatcher(tmp_path, hosts, limits=limits) as dispatcher:
            clients: list[FastCgiClient] = []
            for number in range(CLIENTS):
                client = await dispatcher.connect()
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                identified = form().replace(f"{1:016x}".encode(), f"{number:012x}0001".encode())
                client.writer.write(identified)
                clients.append(client)
                assert held_bytes(dispatcher) <= MAX_HELD_BYTES
            until_s = asyncio.get_running_loop().time() + 1.0
            number = 10
            while asyncio.get_running_loop().time() < until_s:
                number += 1
                status, _, _ = await dispatcher.ask(
                    number, "page", fields={"HTTP_X_CORRELATION_ID": f"{number:08x}ffffffff"}
                )
                assert status == 200
                assert held_bytes(dispatcher) <= MAX_HELD_BYTES
            for client in clients:
                client.writer.transport.abort()

    run_scene(scene())


@pytest.mark.parametrize(
    ("limit_mb", "resident_mb", "connections", "expected_mb"),
    [(192, 30, 400, 48.0), (48, 30, 256, 8.5), (32, 30, 256, 1.0), (32, 60, 256, 1.0)],
)
def test_bound_follows_the_memory_limit(
    limit_mb: int, resident_mb: int, connections: int, expected_mb: float
) -> None:
    bound = client_memory_bytes(limit_mb * MB, resident_mb * MB, connections)
    assert bound == pytest.approx(expected_mb * MB)


class Holder:
    """Holds some bytes, and releases all of them."""

    def __init__(self, size: int, priority: float) -> None:
        self.size, self.priority, self.was_released = size, priority, False

    def held_bytes(self) -> int:
        return self.size

    def release_priority(self, now: float) -> float:
        return self.priority

    def release_memory(self, now: float, *, is_urgent: bool) -> None:
        self.size, self.was_released = 0, True


def test_those_by_which_most_is_gained_release_their_memory_until_a_quarter_is_free() -> None:
    memory = ClientMemory(100)
    young, old, older = Holder(40, 1.0), Holder(40, 2.0), Holder(30, 3.0)
    assert not memory.update(young) and not memory.update(old) and memory.update(older)
    memory.release(0.0)
    assert [holder.was_released for holder in (young, old, older)] == [False, True, True]
    assert memory.held_bytes == 40
    memory.remove(young)
    assert memory.held_bytes == 0


def test_those_that_hold_little_keep_it() -> None:
    """Guards against open requests of innocent clients that fail, where those that hold much are spared."""

    class Spared(Holder):
        def release_memory(self, now: float, *, is_urgent: bool) -> None:
            pass

    memory = ClientMemory(100)
    large, little = Spared(110, 1.0), Holder(5, 9.0)
    assert not memory.update(little) and memory.update(large)
    memory.release(0.0)
    assert not little.was_released


def test_memory_that_was_freed_meanwhile_is_counted_again_before_any_is_released() -> None:
    memory = ClientMemory(100)
    written, held = Holder(90, 2.0), Holder(20, 1.0)
    assert not memory.update(written) and memory.update(held)
    written.size = 0
    memory.release(0.0)
    assert not written.was_released and not held.was_released and memory.held_bytes == 20


def test_ever_new_objects_are_remembered_within_a_bound() -> None:
    """Guards against memory that grows with the rate of new objects, as each is remembered for 10 s."""
    router = Router(SITE, 1)
    rows = [Endpoint("a", "z1", "box", 0, 5.0, 0, "up"), Endpoint("o", "z1", "origin", 0, 5.0, 0, "up")]
    router.handle(0, EndpointsUpdated(EndpointListForm.SNAPSHOT, rows))
    herds = router.parts.herds
    herds.max_bytes = 100 * (HERD_BYTES + ORDERED_HOST_BYTES)
    for number in range(1_000):
        router.handle(number, RequestArrived(f"r{number}", "page", f"x{number}", 0, 0, 1.0, 2_000_000, False))
        while router.next_action(number) is not None:
            pass
    assert len(herds.by_fingerprint) == 100
    assert ("x999", 0, "page") in herds.by_fingerprint and ("x1", 0, "page") not in herds.by_fingerprint
