"""Floods over several connections: others are served, and memory and the core's time have a bound."""

from __future__ import annotations

import asyncio
import struct
import time
from pathlib import Path

import pytest

from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.protocol import fastcgi
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.misuse_throttle import (
    MAX_SHARED_PAUSE_S,
    SHARED_BURST,
    SHARED_REFILL_PER_S,
    MisuseBudget,
    MisuseThrottle,
)
from tests.dispatcher_scene import SteadyDispatcher, request_bytes, served
from tests.scene_runner import run_scene

FLOODERS = 40
FLOOD_S = 1.5
MESSAGE_BYTES = 256  # at least, of a message that waits to be written
MANY_FIELDS = b"".join(b"\x02\x00" + struct.pack(">H", number) for number in range(7_000))
OTHER_ROLE = fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 3, 1))
INVALID = request_bytes(1, fields={"HTTP_X_CHUNK": "no number"})


def request_with_many_fields() -> bytes:
    """A head of 28,000 bytes in fields of four bytes."""
    begin = fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 1))
    params = fastcgi.encode_record(fastcgi.PARAMS, 1, MANY_FIELDS) + fastcgi.encode_record(fastcgi.PARAMS, 1)
    return begin + params + fastcgi.encode_record(fastcgi.STDIN, 1)


@pytest.mark.parametrize(
    "unit",
    [OTHER_ROLE, INVALID, request_with_many_fields(), fastcgi.encode_record(fastcgi.GET_VALUES, 0)],
    ids=["another role", "invalid", "many fields", "management"],
)
def test_flood_over_many_connections_leaves_others_their_answers(tmp_path: Path, unit: bytes) -> None:
    """Guards against an allowance for each connection alone: many of them took the whole core, others were
    answered late or never, and the replies that waited took more memory than the process may."""

    async def scene() -> None:
        hosts = {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
        async with SteadyDispatcher(tmp_path, hosts, limits={"sockets": 512, "memory_mb": 64}) as dispatcher:
            flooders = [await dispatcher.connect() for _ in range(FLOODERS)]
            data = unit * max(1, 32_768 // len(unit))
            floods = [asyncio.create_task(flood(client, data)) for client in flooders]
            until_s, number, slowest_s = time.monotonic() + FLOOD_S, 0, 0.0
            while time.monotonic() < until_s:
                number += 1
                sent_at = time.monotonic()
                fields = {"HTTP_X_CORRELATION_ID": f"{number:016x}"}
                status, _, _ = await dispatcher.ask(1, "page", fields=fields)
                assert status == 200
                slowest_s = max(slowest_s, time.monotonic() - sent_at)
                await asyncio.sleep(0.01)
                waiting = [session.connection for session in dispatcher.service.frontend.sessions]
                replies = sum(one.unsent_bytes + MESSAGE_BYTES * len(one._unsent) for one in waiting)
                assert replies < 8 << 20
            assert number > 20 and slowest_s < 1.0
            for task in floods:
                task.cancel()
            for client in flooders:
                client.writer.transport.abort()

    run_scene(scene())


async def flood(client: FastCgiClient, data: bytes) -> None:
    """Writes as fast as the dispatcher reads, and reads no reply."""
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    while True:
        client.writer.write(data)
        await client.writer.drain()


def test_misuse_over_many_connections_has_one_allowance() -> None:
    """Guards against misuse whose rate grows with the number of connections."""
    budget, connections, seconds = MisuseBudget(0.0), 200, 20.0
    throttles = [MisuseThrottle(0.0, budget) for _ in range(connections)]
    next_read_at, strays = [0.0] * connections, [0] * connections
    now = 0.0
    while now < seconds:
        for index, throttle in enumerate(throttles):
            if next_read_at[index] <= now:
                strays[index] += 64
                next_read_at[index] = now + throttle.pause_s(now, strays[index])
        now += 0.001
    # A read is never divided, so the rate is that of the allowance or of one read in the longest pause.
    records_per_s = max(SHARED_REFILL_PER_S, connections * 64 / MAX_SHARED_PAUSE_S)
    assert sum(strays) < SHARED_BURST + (seconds + MAX_SHARED_PAUSE_S) * records_per_s


def test_connection_that_misuses_nothing_does_not_wait_for_the_others() -> None:
    budget = MisuseBudget(0.0)
    honest, bad = MisuseThrottle(0.0, budget), MisuseThrottle(0.0, budget)
    honest.record_valid_request()
    assert bad.pause_s(0.0, 1_000_000) > 0.5
    assert honest.pause_s(0.0, 0) == 0
    honest.record_invalid_request()
    assert honest.pause_s(0.0, 0) == 0
    # One that has never sent a valid request waits from its first misuse on.
    assert MisuseThrottle(0.0, budget).pause_s(0.0, 1) > 0.5


def test_head_of_too_many_fields_is_rejected_before_it_is_decoded() -> None:
    """Guards against a head that costs milliseconds to decode, before anything decides whether it may."""
    with pytest.raises(ProtocolError, match="more than 256"):
        fastcgi.decode_pairs(MANY_FIELDS)
    assert len(fastcgi.decode_pairs(MANY_FIELDS[: 4 * 256])) == 256
