"""Requests sent at a rate over kept connections, each answer with its time; and clients that misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import os
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from hoistplank.fakes.certificate_authority import b64
from hoistplank.fakes.wire import Client, connected

MOST_NUMBER = 60_000


@dataclass(slots=True)
class Sent:
    """One request: what it was sent as, and how it was answered (status 0: it was not)."""

    id: str
    kind: str
    at: float
    status: int = 0
    refusal: str = ""
    took: float = 0.0
    pushback_ms: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)


class Line:
    """A kept connection. `ended` is set once the other side has closed it."""

    def __init__(self, client: Client) -> None:
        self.client, self.open, self.number, self.ended = client, dict[int, Sent](), 0, False
        self.task = asyncio.create_task(self._read(), name="load reader")

    def send(self, kind: str, id: str, class_name: str, fields: dict[str, str]) -> Sent:
        self.number = self.number % MOST_NUMBER + 1
        sent = self.open[self.number] = Sent(id, kind, time.monotonic())
        self.client.send(self.number, class_name, fields | {"HTTP_X_CORRELATION_ID": id})
        return sent

    async def _read(self) -> None:
        try:
            while True:
                number, status, head, _ = await self.client.answer()
                sent = self.open.pop(number)
                sent.status, sent.took = status, time.monotonic() - sent.at
                if status != 200:
                    told = dict(line.split(": ", 1) for line in head.decode().splitlines() if ": " in line)
                    sent.refusal, sent.pushback_ms = (
                        told.get("X-Refusal", ""),
                        int(told.get("X-Pushback-Ms", 0)),
                    )
                sent.done.set()
        except (OSError, asyncio.IncompleteReadError):
            self.ended = True

    async def close(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.client.writer.close()


async def lines(address: tuple[str, int], count: int, context: ssl.SSLContext | None = None) -> list[Line]:
    return [Line(await connected(address, context)) for _ in range(count)]


async def paced(rate: float, seconds: float, send: Callable[[int], Any]) -> int:
    """Calls `send` with 0, 1, 2 … at a rate; what is late is sent at once, so that a slow machine sends no
    less."""
    began, count = time.monotonic(), 0
    while (now := time.monotonic() - began) < seconds:
        while count < rate * now:
            send(count)
            count += 1
        await asyncio.sleep(0.002)
    return count


async def answered(sent: list[Sent], within_s: float = 5.0) -> None:
    until = time.monotonic() + within_s
    while time.monotonic() < until and not all(one.status for one in sent):
        await asyncio.sleep(0.02)


async def flood(
    address: tuple[str, int],
    rate: float,
    half_open: float,
    tls: tuple[str, int],
    seconds: float,
    claims: str,
    kid: str,
    seed: int = 1,
) -> dict[str, int]:
    """Distinct tokens whose signatures are wrong, all else being right; and handshakes that are begun and
    left."""
    chance, counts = Random(seed), {"bad": 0, "half open": 0}
    head = b64(b'{"alg":"EdDSA","kid":"' + kid.encode() + b'"}') + "." + b64(claims.encode())
    ways = await lines(address, 4)
    hello = _hello()
    idle: list[asyncio.StreamWriter] = []
    opening: set[asyncio.Task[None]] = set()

    def bad(n: int) -> None:
        way = ways[n % len(ways)]
        token = f"{head}.{b64(chance.randbytes(64))}"
        way.send(
            "bad",
            os.urandom(8).hex(),
            "page",
            {"HTTP_AUTHORIZATION": f"Bearer {token}", "REMOTE_ADDR": f"10.9.{n % 200}.1", "HTTP_X_TAG": "1"},
        )
        counts["bad"] += 1

    async def half(n: int) -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*tls)
            writer.write(hello if n % 2 else hello[:20])
            idle.append(writer)
            counts["half open"] += 1

    def open_half(n: int) -> None:
        task = asyncio.create_task(half(n), name="half open")
        opening.add(task)
        task.add_done_callback(opening.discard)

    await asyncio.gather(paced(rate, seconds, bad), paced(half_open, seconds, open_half))
    for writer in idle:
        writer.close()
    for way in ways:
        await way.close()
    return counts


def _hello() -> bytes:
    """A whole ClientHello: the dearest thing to send a server and then say no more."""
    context = ssl.create_default_context()
    out = ssl.MemoryBIO()
    shaking = context.wrap_bio(ssl.MemoryBIO(), out, server_hostname="localhost")
    with contextlib.suppress(ssl.SSLWantReadError):
        shaking.do_handshake()
    return out.read()
