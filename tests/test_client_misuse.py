"""Input that no request uses: late records of correct clients cost nothing, floods are throttled."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from pathlib import Path
from random import Random

import pytest
from structlog.testing import capture_logs

from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.protocol import fastcgi
from hoistplank.routing.misuse_throttle import BURST, INVALID_REQUEST_COST, REFILL_PER_S, MisuseThrottle
from tests.dispatcher_scene import SteadyDispatcher, request_bytes, served, session_of_the_client, silent
from tests.helpers import until
from tests.scene_runner import run_scene

FLOOD_S = 1.5
MAX_REQUESTS = 32
LATE_ABORT = fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1)
INVALID_REQUEST = {"HTTP_X_CHUNK": "no number"}
PAUSED_EVENT = "unusable input, reading of client connection paused"


def unique(number: int) -> dict[str, str]:
    return {"HTTP_X_CORRELATION_ID": f"{number:016x}"}


def hosts() -> dict[str, ScriptedCacheHost]:
    cache = ScriptedCacheHost(
        lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
    )
    return {"a": cache, "o": ScriptedCacheHost(silent)}


def test_requests_behind_hundreds_of_late_aborts_are_answered(tmp_path: Path) -> None:
    """Guards against requests lost when late aborts, counted over a connection's life, ended it."""

    async def scene() -> None:
        async with SteadyDispatcher(tmp_path, hosts()) as dispatcher:
            client = await dispatcher.connect()
            client.send(1, "page", unique(1))
            for number in range(2, 400):
                assert (await asyncio.wait_for(client.read_answer(), 5))[:2] == (1, 200), number
                # The abort crossed the answer, and the next request follows it in the same write.
                client.writer.write(LATE_ABORT + request_bytes(1, fields=unique(number)))
            assert (await asyncio.wait_for(client.read_answer(), 5))[:2] == (1, 200)
            session = await session_of_the_client(dispatcher)
            assert not session.reader.stray_records and not session.connection.is_closing

    run_scene(scene())


def test_requests_beside_invalid_ones_are_answered(tmp_path: Path) -> None:
    """Guards against requests failed when invalid requests, counted over a connection's life, ended it."""

    async def scene() -> None:
        async with SteadyDispatcher(tmp_path, hosts()) as dispatcher:
            client = await dispatcher.connect()
            for number in range(1, 120):
                client.writer.write(
                    request_bytes(3, fields=INVALID_REQUEST | unique(number + 1_000))
                    + request_bytes(1, fields=unique(number))
                )
                answers = {(await asyncio.wait_for(client.read_answer(), 5))[:2] for _ in range(2)}
                assert answers == {(3, 400), (1, 200)}, number
            assert not (await session_of_the_client(dispatcher)).connection.is_closing

    run_scene(scene())


@pytest.mark.parametrize("closes", ["time limit", "lack of descriptors"])
def test_unread_requests_are_answered_when_an_unfinished_one_closes_the_connection(
    tmp_path: Path, closes: str
) -> None:
    """Guards against requests lost that were handed over while reading was paused."""

    async def scene() -> None:
        async with SteadyDispatcher(tmp_path, hosts()) as dispatcher:
            frontend, client = dispatcher.service.frontend, await dispatcher.connect()
            client.send(1, "page")
            assert (await client.read_answer())[:2] == (1, 200)
            session = await session_of_the_client(dispatcher)
            client.writer.write(request_bytes(2)[:16])  # its rest never comes
            await until(lambda: session.has_unfinished_request())
            frontend.sweep()
            session.connection.pause_reading(5.0)
            client.send(3, "page", unique(3))
            await until(lambda: session.connection.last_arrival_age_us() < 5_000)
            if closes == "time limit":
                frontend.unfinished_timeout_s = 0.0
                await until(lambda: session.has_failed)
            else:
                await asyncio.sleep(0.01)
                frontend.unfinished_timeout_s = 0.0
                frontend.reclaim()
            number, status, _, _ = await asyncio.wait_for(client.read_answer(), 2)
            assert number == 3 and status in (200, 502)

    run_scene(scene())


def test_requests_that_use_one_number_in_turn_have_a_time_limit_each(tmp_path: Path) -> None:
    """Guards against a connection ended as unfinished by requests that each arrived in time: they had one
    number, and one of them was incomplete at each sweep."""

    async def scene() -> None:
        async with SteadyDispatcher(tmp_path, hosts()) as dispatcher:
            client = await dispatcher.connect()
            client.send(1, "page", unique(1))
            assert (await client.read_answer())[:2] == (1, 200)
            session = await session_of_the_client(dispatcher)
            dispatcher.service.frontend.unfinished_timeout_s = 0.3
            client.writer.write(request_bytes(1, fields=unique(2))[:-8])
            for number in range(3, 12):
                await asyncio.sleep(0.1)
                client.writer.write(request_bytes(1)[-8:])
                assert (await asyncio.wait_for(client.read_answer(), 2))[:2] == (1, 200), number
                client.writer.write(request_bytes(1, fields=unique(number))[:-8])
            assert not session.has_failed
            await until(lambda: session.has_failed)  # the last one is never completed

    run_scene(scene())


def request_of_another_role(number: int) -> bytes:
    return fastcgi.encode_record(fastcgi.BEGIN_REQUEST, number, b"\0\x02\x01\0\0\0\0\0")


@pytest.mark.parametrize("records", ["shed requests", "late aborts"])
def test_connection_stays_while_its_records_are_read_and_none_is_a_request_to_serve(
    tmp_path: Path, records: str
) -> None:
    """Guards against a connection ended as unfinished though each of its records had arrived in time: only
    served requests counted as progress, and there was a part of a next record at each sweep."""

    async def scene() -> None:
        async with SteadyDispatcher(tmp_path, hosts()) as dispatcher:
            frontend, router_task = dispatcher.service.frontend, dispatcher.service.router_task
            client = await dispatcher.connect()
            client.send(1, "page", unique(1))
            assert (await client.read_answer())[:2] == (1, 200)
            session = await session_of_the_client(dispatcher)
            frontend.unfinished_timeout_s = 0.3
            if records == "shed requests":
                router_task.requests.open_count = 100_000
            unit = request_bytes(1) if records == "shed requests" else LATE_ABORT
            client.writer.write(unit[:5])
            reading = asyncio.create_task(drain(client))
            for _ in range(50):
                client.writer.write(unit[5:] + unit[:5])
                await asyncio.sleep(0.02)
                assert not session.has_failed
            assert session.connection.has_partial_message
            router_task.requests.open_count = 0
            reading.cancel()

    run_scene(scene())


class CorrectClient:
    """A web server far away: its records reach the reader, and its answers reach it, some steps later."""

    def __init__(self, random: Random, delay: int) -> None:
        self.random, self.delay = random, delay
        self.open: set[int] = set()  # by the client's own count
        self.aborted: set[int] = set()
        self.on_the_way: deque[tuple[int, bytes]] = deque()
        self.answered: deque[tuple[int, int]] = deque()

    def step(self, now: int, reader: fastcgi.RequestReader) -> None:
        while self.answered and self.answered[0][0] <= now:
            number = self.answered.popleft()[1]
            self.open.discard(number)
            self.aborted.discard(number)
        for number in sorted(self.open - self.aborted):
            if self.random.random() < 0.1:
                self.aborted.add(number)
                self.on_the_way.append(
                    (now + self.delay, fastcgi.encode_record(fastcgi.ABORT_REQUEST, number))
                )
        free = [number for number in range(1, MAX_REQUESTS + 1) if number not in self.open]
        for number in free[: self.random.randrange(5)]:
            self.open.add(number)
            self.on_the_way.append((now + self.delay, request_bytes(number)))
        data = bytearray()
        while self.on_the_way and self.on_the_way[0][0] <= now:
            data += self.on_the_way.popleft()[1]
        self._read(now, reader, data)
        for number in sorted(reader.complete):
            if self.random.random() < 0.3:
                reader.release(number)
                self.answered.append((now + self.delay, number))

    def _read(self, now: int, reader: fastcgi.RequestReader, data: bytearray) -> None:
        start = 0
        while start < len(data):
            start, events = reader.read(data, start, len(data))
            for event in events:
                if isinstance(event, fastcgi.RequestAborted):
                    self.answered.append((now + self.delay, event.number))


@pytest.mark.parametrize("seed", range(8))
def test_no_record_of_a_correct_client_is_stray_whatever_crosses(seed: int) -> None:
    """Guards against right connections ended, or read late, for aborts that crossed their answers."""
    random = Random(seed)
    client, reader = CorrectClient(random, random.randrange(1, 30)), fastcgi.RequestReader(MAX_REQUESTS)
    for now in range(3_000):
        client.step(now, reader)
    assert reader.stray_records == 0, f"seed {seed}, delay {client.delay}"


def test_records_behind_a_rejection_are_not_stray() -> None:
    """Guards against a connection ended by the rest of requests that were refused before they were complete.

    Each refused request counts as one stray record, so that a flood of them is bounded.
    """
    reader, body = fastcgi.RequestReader(1), fastcgi.encode_record(fastcgi.STDIN, 2, b"x")
    open_request = request_bytes(1)[:-8]
    rejected = request_bytes(2)[:-8] + body * 3 + request_bytes(2)[-8:]
    data = bytearray(open_request + rejected * 500)
    start, count = 0, 0
    while start < len(data):
        start, events = reader.read(data, start, len(data))
        count += len(events)
    assert count == 500 and reader.stray_records == 500 and not reader.shed_requests


@pytest.mark.parametrize("content_bytes", [0, 1, 60_000])
def test_rest_of_a_rejected_request_is_stray_beyond_what_a_request_may_hold(content_bytes: int) -> None:
    """Guards against a rejected request whose endless rest costs its sender nothing."""
    reader = fastcgi.RequestReader(MAX_REQUESTS)
    record = fastcgi.encode_record(fastcgi.PARAMS, 5, bytes(content_bytes))
    data = bytearray(request_of_another_role(5) + record * (1_000_000 // len(record)))
    start = 0
    while len(data) - start >= len(record):
        start, _ = reader.read(data, start, len(data))
    assert reader.stray_records > 2_000


def test_aborts_of_incomplete_requests_count_as_stray_records() -> None:
    """Guards against requests that are begun and aborted at full speed at no cost to their sender."""
    reader = fastcgi.RequestReader(MAX_REQUESTS)
    for number in range(1, 500):
        data = bytearray(request_bytes(number)[:16] + fastcgi.encode_record(fastcgi.ABORT_REQUEST, number))
        assert reader.read(data, 0, len(data))[1] == [fastcgi.RequestAborted(number, False)]
    assert reader.stray_records == 499


def test_requests_whose_rest_never_comes_are_forgotten() -> None:
    """Guards against memory that grows with each request that is shed and never completed."""
    reader = fastcgi.RequestReader(MAX_REQUESTS, lambda number, script: b"no")
    for number in range(1, 5_000):
        data = bytearray(request_bytes(number)[:16])
        reader.read(data, 0, len(data))
    assert len(reader.shed_requests) == MAX_REQUESTS


@pytest.mark.parametrize("reads_per_s", [1, 40, 1_000])
def test_throttle_bounds_the_rate_of_misuse_and_leaves_a_little_of_it_alone(reads_per_s: int) -> None:
    """Guards against misuse without a bound on its rate, and against a count that never falls."""
    throttle, now, strays = MisuseThrottle(0.0), 0.0, 0
    for _ in range(200):
        strays += 100
        now += 1 / reads_per_s + throttle.pause_s(now, strays)
    assert throttle.pause_s(now, strays) <= 0.5
    # A read is never divided, so the rate is that of the allowance or of two reads a second.
    assert strays <= BURST + now * max(REFILL_PER_S, 2 * 100) + 2 * 100
    quiet = MisuseThrottle(0.0)
    for second in range(100_000):
        quiet.record_invalid_request()
        assert quiet.pause_s(float(second), second * 10) == 0
    for _ in range(100_000):  # at any rate, as long as no more of them are invalid than valid
        quiet.record_valid_request()
        quiet.record_invalid_request()
    assert quiet.pause_s(100_000.0, 100_000 * 10) == 0 and BURST >= MAX_REQUESTS * INVALID_REQUEST_COST


@pytest.mark.parametrize(
    "unit",
    [
        fastcgi.encode_record(fastcgi.STDIN, 9, b"x"),
        LATE_ABORT,
        fastcgi.encode_record(fastcgi.GET_VALUES, 0),
        fastcgi.encode_record(fastcgi.STDIN, 9, bytes(60_000)),
        fastcgi.encode_record(fastcgi.GET_VALUES, 0, bytes(60_000)),
        request_bytes(1, fields=INVALID_REQUEST),
        request_of_another_role(1),
        request_bytes(1)[:16] + LATE_ABORT,
    ],
    ids=[
        "records of no request",
        "aborts of no request",
        "management",
        "long records",
        "long management",
        "invalid requests",
        "requests of another role",
        "begun and aborted",
    ],
)
def test_flood_of_misuse_is_bounded_and_others_are_served(tmp_path: Path, unit: bytes) -> None:
    """Guards against misuse that takes memory, processor time or log lines without a bound."""

    async def scene() -> None:
        async with SteadyDispatcher(tmp_path, hosts()) as dispatcher:
            flooder = await dispatcher.connect()
            flooder.send(7, "", script="/-/healthy")
            await flooder.read_answer()
            session = await session_of_the_client(dispatcher)
            flood, answers = (
                asyncio.create_task(send_flood(flooder, unit)),
                asyncio.create_task(drain(flooder)),
            )
            until, number, cpu_before = time.monotonic() + FLOOD_S, 0, time.process_time()
            with capture_logs() as logs:
                while time.monotonic() < until:
                    number += 1
                    assert (await dispatcher.ask(1, "page", fields=unique(number)))[0] == 200
                    await asyncio.sleep(0.02)
                    assert len(session.connection.buffer) <= 2 * 131_072
            # Client, fakes and dispatcher together; without pauses the flood takes the whole core.
            assert time.process_time() - cpu_before < 0.5 * FLOOD_S
            unusable = [line for line in logs if "invalid" in line["event"] or "unusable" in line["event"]]
            assert 1 <= len(unusable) <= 2 * (FLOOD_S + 2)
            assert len(session.reader.shed_requests) <= MAX_REQUESTS and session.reader.held_bytes <= 65_536
            for task in (flood, answers):
                task.cancel()
            flooder.writer.transport.abort()

    run_scene(scene())


async def send_flood(client: FastCgiClient, unit: bytes) -> None:
    """Writes as fast as the dispatcher reads, until it closes the connection."""
    data = unit * max(1, 65_536 // len(unit))
    while True:
        client.writer.write(data)
        await client.writer.drain()


async def drain(client: FastCgiClient) -> None:
    while await client.reader.read(65_536):
        pass
