"""A fake cache host that ends the attempts it has received whole in other ways than by an answer in time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from enum import StrEnum
from random import Random
from typing import NamedTuple

from hoistplank.fakes.cache_host import FakeCacheServer, ServerDirectory

RESET_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


class AttemptFault(StrEnum):
    """The ways in which a host ends an attempt that it has whole."""

    RESET = "reset"  # the connection is reset without an answer
    HALF_ANSWER = "half answer"  # half of an answer, then the connection ends
    STALL = "stall"  # half of an answer, then nothing
    ERROR = "error"  # the answer `crashed`
    ANSWER = "answer"  # it runs, and is answered at that moment
    SILENCE = "silence"


class TakenAttempt(NamedTuple):
    """An attempt that the host has received whole: when (monotonic s), its id and its idempotency key."""

    at: float
    request_id: str
    idempotency_key: str


class FailingCacheServer(FakeCacheServer):
    """A cache host that ends its attempts by faults; `taken` lists what it had whole.

    `spread_s`: the earliest and latest moment of a fault, counted from the end of the attempt's `budget`.
    """

    def __init__(
        self,
        uid: str,
        kind: str,
        directory: ServerDirectory,
        faults: tuple[AttemptFault, ...],
        spread_s: tuple[float, float],
        random: Random,
    ) -> None:
        super().__init__(uid, kind, directory, work_s=0.0)
        self.faults, self.spread_s, self.random = faults, spread_s, random
        self.taken: list[TakenAttempt] = []

    async def _answer(
        self,
        request_id: str,
        fields: dict[str, str],
        body: bytes,  # noqa: ARG002  overrides
        writer: asyncio.StreamWriter,
    ) -> None:
        received_at = time.monotonic()
        self.taken.append(TakenAttempt(received_at, request_id, fields.get("uniq", "")))
        fault = self.random.choice(self.faults)
        after_s = self.random.uniform(*self.spread_s)
        await asyncio.sleep(int(fields["budget"]) / 1e3 + after_s)
        end_attempt(fault, request_id, writer)


def end_attempt(fault: AttemptFault, request_id: str, writer: asyncio.StreamWriter) -> None:
    """Ends an attempt by a fault, now."""
    if writer.is_closing():
        return
    if fault is AttemptFault.RESET:
        reset(writer)
    elif fault in (AttemptFault.HALF_ANSWER, AttemptFault.STALL):
        writer.write(f"{request_id} served digest=aa,dated=1 10\r\nhalf".encode())
        if fault is AttemptFault.HALF_ANSWER:
            writer.close()
    elif fault is AttemptFault.ERROR:
        writer.write(f"{request_id} crashed - 0\r\n\r\n".encode())
    elif fault is AttemptFault.ANSWER:
        writer.write(f"{request_id} served digest=aa,dated=1 0\r\n\r\n".encode())


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
