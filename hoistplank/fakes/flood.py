"""Misbehaving clients: tokens with invalid signatures, and TLS handshakes that are never finished."""

from __future__ import annotations

import asyncio
import contextlib
import os
import ssl
from dataclasses import dataclass
from random import Random

from hoistplank.fakes.certificate_authority import base64url
from hoistplank.fakes.load import LoadConnection, call_at_rate, open_connections

CONNECTIONS = 4  # for the tokens
CLIENT_ADDRESSES = 200  # number of different values of REMOTE_ADDR
PARTIAL_HELLO_BYTES = 20  # all that every second handshake sends


@dataclass(frozen=True, slots=True)
class FloodPlan:
    """The targets, rates and duration of a flood.

    `claims`: the claims of a valid token, as JSON; `kid` names a key that the server knows.
    """

    address: tuple[str, int]
    tls_address: tuple[str, int]
    tokens_per_s: float
    handshakes_per_s: float
    seconds: float
    claims: str
    kid: str
    seed: int = 1


class Flood:
    """Sends one flood. All tokens differ, so that a cache of verified tokens does not help the server."""

    def __init__(self, plan: FloodPlan) -> None:
        self.plan = plan
        self.bad_tokens = 0
        self.half_open = 0
        self._random = Random(plan.seed)
        header = base64url(b'{"alg":"EdDSA","kid":"' + plan.kid.encode() + b'"}')
        self._signed_part = f"{header}.{base64url(plan.claims.encode())}"
        self._client_hello = _client_hello()
        self._connections: list[LoadConnection] = []
        self._idle: list[asyncio.StreamWriter] = []
        self._opening: set[asyncio.Task[None]] = set()

    async def run(self) -> dict[str, int]:
        """Run for the duration of the plan; return the number of tokens and handshakes sent."""
        plan = self.plan
        self._connections = await open_connections(plan.address, CONNECTIONS)
        await asyncio.gather(
            call_at_rate(plan.tokens_per_s, plan.seconds, self._send_bad_token),
            call_at_rate(plan.handshakes_per_s, plan.seconds, self._begin_handshake),
        )
        await asyncio.gather(*self._opening)
        for writer in self._idle:
            writer.close()
        for connection in self._connections:
            await connection.close()
        return {"bad": self.bad_tokens, "half open": self.half_open}

    def _send_bad_token(self, number: int) -> None:
        token = f"{self._signed_part}.{base64url(self._random.randbytes(64))}"
        parameters = {
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            "REMOTE_ADDR": f"10.9.{number % CLIENT_ADDRESSES}.1",
            "HTTP_X_TAG": "1",
        }
        connection = self._connections[number % len(self._connections)]
        connection.send("bad", os.urandom(8).hex(), "page", parameters)
        self.bad_tokens += 1

    def _begin_handshake(self, number: int) -> None:
        task = asyncio.create_task(self._open_half(number), name="half-open handshake")
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open_half(self, number: int) -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self.plan.tls_address)
            writer.write(self._client_hello if number % 2 else self._client_hello[:PARTIAL_HELLO_BYTES])
            self._idle.append(writer)
            self.half_open += 1


def _client_hello() -> bytes:
    """Return a complete ClientHello, the most costly for a server to answer; nothing follows it."""
    context = ssl.create_default_context()
    output = ssl.MemoryBIO()
    handshake = context.wrap_bio(ssl.MemoryBIO(), output, server_hostname="localhost")
    with contextlib.suppress(ssl.SSLWantReadError):
        handshake.do_handshake()
    return output.read()
