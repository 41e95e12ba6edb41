"""Refusals of requests that may have run: no lack of knowledge may count as a proof that nothing ran."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hoistplank.decision.actions import CancelAttempt
from hoistplank.fakes.failing_cache_host import AttemptFault, end_attempt
from hoistplank.routing.attempts import AttemptEnded
from hoistplank.routing.events import AttemptTimedOut, Event
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport import pooled_connection
from hoistplank.transport.connection import Connection
from tests.dispatcher_scene import KEY, SteadyDispatcher
from tests.helpers import until
from tests.refusal_rig import DEADLINE_MS, play_requests, traffic_class
from tests.scene_runner import run_scene


class HoldingHost:
    """A cache host that takes attempts and ends them when it is told to."""

    def __init__(self) -> None:
        self.taken: list[str] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode().split():
            if line[0] == "GET":
                await reader.readexactly(int(line[3]) + 2)
                self.taken.append(line[1])
                self._writers.append(writer)

    def end_all(self, fault: AttemptFault) -> None:
        for request_id, writer in zip(self.taken, self._writers, strict=True):
            end_attempt(fault, request_id, writer)


class HeldTurns:
    """Holds the router task's turns from the first queued event of a type until `release`."""

    def __init__(self, router_task: RouterTask, first: type, monkeypatch: pytest.MonkeyPatch) -> None:
        self.router_task, self.first = router_task, first
        self.is_holding = False
        self.events: list[Event] = []  # submitted since then
        self._turn, self._submit = router_task.turn, router_task.submit
        monkeypatch.setattr(router_task, "turn", self._turn_if_released)
        monkeypatch.setattr(router_task, "submit", self._record)

    def has_event(self, event_type: type) -> Callable[[], bool]:
        return lambda: any(isinstance(event, event_type) for event in self.events)

    def release(self) -> None:
        self.is_holding, self.first = False, type(None)
        self.router_task._wake.set()

    def _turn_if_released(self) -> None:
        if not self.is_holding:
            self._turn()

    def _record(self, event: Event) -> None:
        if isinstance(event, self.first):
            self.is_holding = True
        if self.is_holding:
            self.events.append(event)
        self._submit(event)


def settings_of(semantics: str, **changes: Any) -> dict[str, Any]:
    classes = [traffic_class(semantics) | changes]
    return {"settings.classes": classes, "settings.family_info.uncached": [True]}


CROSSING_ANSWERS = [
    ("at_most_once", AttemptFault.RESET, 502),
    ("at_most_once", AttemptFault.ERROR, 502),
    ("at_most_once", AttemptFault.HALF_ANSWER, 502),
    ("at_most_once", AttemptFault.ANSWER, 200),
    ("idempotent", AttemptFault.RESET, 503),
    ("idempotent", AttemptFault.ANSWER, 200),
]


@pytest.mark.parametrize("semantics, fault, expected_status", CROSSING_ANSWERS)
def test_end_of_an_attempt_that_crosses_its_timeout_counts(
    tmp_path: Path,
    semantics: str,
    fault: AttemptFault,
    expected_status: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Issue 55: the timeout is queued first, then the attempt's own end, and one turn handles both."""

    async def scene() -> None:
        host: Any = HoldingHost()
        async with SteadyDispatcher(tmp_path, {"o": host}, **settings_of(semantics)) as dispatcher:
            turns = HeldTurns(dispatcher.service.router_task, AttemptTimedOut, monkeypatch)
            fields = KEY | {"HTTP_X_DEADLINE_MS": str(DEADLINE_MS)}
            dispatcher.client.send(1, "order", fields, b"x" * 100)
            await until(turns.has_event(AttemptTimedOut))
            host.end_all(fault)
            await until(turns.has_event(AttemptEnded))
            turns.release()
            _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            assert (len(host.taken), status) == (1, expected_status)

    run_scene(scene())


@pytest.mark.parametrize("fault", [AttemptFault.RESET, AttemptFault.ERROR])
def test_hosts_that_end_attempts_near_their_budget_get_no_request_refused(
    tmp_path: Path, fault: AttemptFault
) -> None:
    """Issue 55 on real processes: a host that had the request whole ends it about when its time is over."""

    async def scene() -> None:
        played = await play_requests(
            tmp_path, traffic_class("at_most_once"), (fault,), (-0.003, 0.001), count=200, seed=55
        )
        assert len(played.taken) > 150, played.statuses()
        assert not played.wrongly_refused()

    run_scene(scene(), limit_s=60)


@pytest.mark.parametrize("fault", [AttemptFault.SILENCE, AttemptFault.RESET])
def test_keyed_requests_are_not_refused_after_their_window(tmp_path: Path, fault: AttemptFault) -> None:
    """Issue 55: a window of 0.15 s is over when an attempt ends at the deadline of 0.4 s, or just before."""

    async def scene() -> None:
        order = traffic_class("deduplicated", window_s=0.15)
        played = await play_requests(tmp_path, order, (fault,), (-0.1, -0.05), count=48, seed=55)
        assert len(played.taken) > 40 and played.statuses()[502] > 40
        assert not played.wrongly_refused()

    run_scene(scene(), limit_s=60)


class EarlyAnsweringHost:
    """Refuses its first attempt after ten bytes of it, then goes on to read it, and resets."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.taken: list[str] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first_bytes = await reader.readexactly(10)
        if not self.taken:
            writer.write(f"{self.request_id} overload - 0\r\n\r\n".encode())
        while line := (first_bytes + await reader.readline()).decode().split():
            await reader.readexactly(int(line[3]) + 2)
            self.taken.append(line[1])
            end_attempt(AttemptFault.RESET, line[1], writer)


class HeldWrites:
    """Has the system take some bytes of the first write of a connection to a cache host, and the rest after
    `release`. `number`: which connection, from 1."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, taken_bytes: int = 10, number: int = 1) -> None:
        self.connection: Connection | None = None
        self.taken_bytes, self.number = taken_bytes, number
        self.seen: dict[Connection, None] = {}
        self._flush = Connection._flush
        monkeypatch.setattr(Connection, "_flush", lambda connection: self._flush_in_part(connection))

    def _flush_in_part(self, connection: Connection) -> None:
        is_to_host = connection.max_buffer_bytes == pooled_connection.MAX_BUFFER_BYTES
        if is_to_host:
            self.seen.setdefault(connection)
        if not is_to_host or self.connection is not None or len(self.seen) < self.number:
            self._flush(connection)
            return
        self.connection, sock = connection, connection.sock
        connection.sock = ShortSocket(sock, self.taken_bytes)  # type: ignore[assignment]
        self._flush(connection)
        connection.sock = sock
        connection.loop.remove_writer(sock)

    @property
    def is_closed(self) -> bool:
        return self.connection is not None and self.connection.is_closed

    def release(self) -> None:
        assert self.connection is not None
        if self.connection.is_closed:
            return
        self.connection.loop.add_writer(self.connection.sock, self.connection._continue_write)


class ShortSocket:
    """Takes some bytes of a write; none: it would block."""

    def __init__(self, sock: Any, taken_bytes: int) -> None:
        self.sock, self.taken_bytes = sock, taken_bytes

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def send(self, data: bytes) -> int:
        if not self.taken_bytes:
            raise BlockingIOError
        return int(self.sock.send(data[: self.taken_bytes]))


def test_answer_to_a_request_that_is_not_written_whole_is_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The rest of the request would still be written and run, after it was taken for one that never ran."""

    async def scene() -> None:
        host: Any = EarlyAnsweringHost(f"{1:016x}")
        settings = settings_of("at_most_once", give_up=3.0)
        async with SteadyDispatcher(tmp_path, {"o": host}, **settings) as dispatcher:
            writes = HeldWrites(monkeypatch)
            dispatcher.client.send(1, "order", KEY, b"x" * 100)
            await until(lambda: writes.connection is not None and writes.connection.read_count > 0)
            writes.release()
            _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            assert (len(host.taken), status) == (1, 502)

    run_scene(scene())


@pytest.mark.parametrize("taken_bytes, expected_status, expected_taken", [(0, 503, 0), (10, 502, 1)])
def test_timeout_of_a_request_that_waits_to_be_written(
    tmp_path: Path,
    taken_bytes: int,
    expected_status: int,
    expected_taken: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without its first byte it is withdrawn for good; with it, it is written to its end and may run."""

    async def scene() -> None:
        host: Any = HoldingHost()
        settings = settings_of("at_most_once")
        async with SteadyDispatcher(tmp_path, {"o": host}, **settings) as dispatcher:
            writes = HeldWrites(monkeypatch, taken_bytes)
            dispatcher.client.send(1, "order", KEY | {"HTTP_X_DEADLINE_MS": str(DEADLINE_MS)}, b"x" * 100)
            _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            writes.release()
            dispatcher.client.send(2, "order", KEY | {"HTTP_X_DEADLINE_MS": str(DEADLINE_MS)}, b"x" * 100)
            await until(lambda: f"{2:016x}" in host.taken)
            assert (status, host.taken.count(f"{1:016x}")) == (expected_status, expected_taken)

    run_scene(scene())


def test_cancellation_leaves_an_attempt_to_the_end_that_it_has_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer is in the queue when the Router cancels the attempt: it is served, not tried again."""

    async def scene() -> None:
        host: Any = HoldingHost()
        settings = settings_of("idempotent", give_up=3.0)
        async with SteadyDispatcher(tmp_path, {"o": host}, **settings) as dispatcher:
            router_task = dispatcher.service.router_task
            turns = HeldTurns(router_task, AttemptEnded, monkeypatch)
            dispatcher.client.send(1, "order", KEY, b"x" * 100)
            await until(lambda: bool(host.taken))
            host.end_all(AttemptFault.ANSWER)
            await until(turns.has_event(AttemptEnded))
            router_task._cancel_attempt(router_task.clock.now(), CancelAttempt(f"{1:016x}", 0))
            turns.release()
            _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            assert (len(host.taken), status) == (1, 200)

    run_scene(scene())


class ResettingHost:
    """Resets the connection of each attempt that it has received whole."""

    def __init__(self) -> None:
        self.taken: list[str] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode().split():
            await reader.readexactly(int(line[3]) + 2)
            self.taken.append(line[1])
            end_attempt(AttemptFault.RESET, line[1], writer)


def test_repeat_that_is_not_written_whole_within_its_window_is_taken_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its first bytes are written in time, and its last would be after the host has forgotten the first
    attempt."""

    async def scene() -> None:
        host: Any = ResettingHost()
        settings = settings_of("deduplicated", give_up=3.0, dedup_window=0.5)
        async with SteadyDispatcher(tmp_path, {"o": host}, **settings) as dispatcher:
            writes = HeldWrites(monkeypatch, number=2)
            dispatcher.client.send(1, "order", KEY, b"x" * 100)
            await until(lambda: writes.connection is not None)
            await asyncio.sleep(0.6)
            writes.release()
            _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            assert (len(host.taken), status) == (1, 502)

    run_scene(scene())


def test_repeat_of_a_timed_out_attempt_is_not_finished_after_its_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection is closing gracefully when the window ends, and would write the rest."""

    async def scene() -> None:
        host: Any = ResettingHost()
        settings = settings_of("deduplicated", dedup_window=0.55)
        async with SteadyDispatcher(tmp_path, {"o": host}, **settings) as dispatcher:
            writes = HeldWrites(monkeypatch, number=2)
            began = time.monotonic()
            dispatcher.client.send(1, "order", KEY | {"HTTP_X_DEADLINE_MS": str(DEADLINE_MS)}, b"x" * 100)
            await until(lambda: writes.connection is not None)
            pool = dispatcher.service.router_task.pool
            assert pool is not None
            pool.drain("o")
            _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            await until(lambda: time.monotonic() - began > 0.6)
            writes.release()
            await until(lambda: writes.is_closed or len(host.taken) > 1)
            assert (len(host.taken), status) == (1, 502)

    run_scene(scene())


def test_keyed_request_is_not_finished_after_its_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its client may have repeated it meanwhile, and that repeat is forgotten when the rest arrives."""

    async def scene() -> None:
        host: Any = HoldingHost()
        settings = settings_of("deduplicated", dedup_window=0.3)
        async with SteadyDispatcher(tmp_path, {"o": host}, **settings) as dispatcher:
            writes = HeldWrites(monkeypatch)
            began = time.monotonic()
            dispatcher.client.send(1, "order", KEY | {"HTTP_X_DEADLINE_MS": str(DEADLINE_MS)}, b"x" * 100)
            _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            await until(lambda: time.monotonic() - began > 0.5)
            writes.release()
            await until(lambda: writes.is_closed or bool(host.taken))
            assert (len(host.taken), status) == (0, 502)

    run_scene(scene())
