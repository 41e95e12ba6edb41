"""Checks each row of the table in docs/design.md (Exactly once) over loopback sockets."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from pathlib import Path
from typing import Any

import pytest

from hoistplank.transport import pooled_connection
from hoistplank.transport.connection import Connection
from hoistplank.transport.pooled_connection import PooledConnection
from hoistplank.transport.transmission import UndeliveredReason
from tests.dispatcher_scene import (
    KEY,
    SteadyDispatcher,
    served,
)
from tests.scene_runner import run_scene


def read_design_table() -> list[tuple[str, str, str]]:
    """Returns the end of an attempt, the effect of its class and the expected result, for each cell of the
    table."""
    page = (Path(__file__).parent.parent / "docs" / "design.md").read_text()
    section = page.split("## Exactly once")[1].split("\n## ")[0]
    lines = [re.split(r"\s*\|\s*", line.strip("| ")) for line in section.splitlines() if line.startswith("|")]
    head, _, *rows = lines
    return [
        (ending, effect, result)
        for ending, *cells in rows
        for effect, result in zip(head[1:], cells, strict=True)
    ]


class FailingHost:
    """A cache host that fails the attempt on its first connection at a given stage; serves all later ones."""

    def __init__(self, ending: str) -> None:
        self.ending, self.connections, self.keys = ending, 0, list[str]()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        is_first = self.connections == 1
        if is_first and self.ending in ("unwritten", "partly written"):
            if self.ending == "partly written":
                await reader.readexactly(10)
            return self.reset(writer)
        while line := (await reader.readline()).decode().split():
            if line[0] != "GET":
                continue
            await reader.readexactly(int(line[3]) + 2)
            self.keys.append(line[2])
            if is_first and self.ending == "written":
                return self.reset(writer)
            answer = served(line[1], {}, b"")
            if is_first and self.ending == "answer begun":
                writer.write(answer[: len(answer) // 2])
                await writer.drain()
                writer.close()
                return
            writer.write(answer)

    def reset(self, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


def test_design_table_covers_every_ending_and_effect() -> None:
    endings = {"refused", "not up", "unwritten", "partly written", "written", "answer begun", "answer whole"}
    assert {(ending, effect) for ending, effect, _ in read_design_table()} == {
        (ending, effect) for ending in endings for effect in ("idempotent", "keyed", "non-idempotent")
    }


@pytest.mark.parametrize("ending, effect, result", read_design_table())
def test_attempt_ending_has_the_documented_result(
    tmp_path: Path, ending: str, effect: str, result: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Sends a request of an uncached class, which goes directly to the origin; the origin's first connection
    ends as the row says."""

    async def scene() -> None:
        host = FailingHost(ending)
        semantics = {"idempotent": "idempotent", "keyed": "deduplicated", "non-idempotent": "at_most_once"}
        classes = [
            {
                "name": "order",
                "target": 0.7,
                "give_up": 3.0,
                "semantics": semantics[effect],
                "gain": 3.0,
                "group": "all",
                "dedup_window": 3.0,
            }
        ]
        if ending in ("refused", "not up"):
            original_connect = PooledConnection._connect

            async def connect(pooled: PooledConnection) -> UndeliveredReason | None:
                host.connections += 1
                return UndeliveredReason(ending) if host.connections == 1 else await original_connect(pooled)

            monkeypatch.setattr(PooledConnection, "_connect", connect)
        if ending in ("unwritten", "partly written"):
            # The socket of the first connection takes nothing, or 10 bytes, of what is written.
            original_flush, max_bytes = Connection._flush, 0 if ending == "unwritten" else 10

            class LimitedSocket:
                def __init__(self, sock: socket.socket) -> None:
                    self.sock = sock

                def __getattr__(self, name: str) -> Any:
                    return getattr(self.sock, name)

                def send(self, data: bytes) -> int:
                    if not max_bytes:
                        raise BlockingIOError
                    return self.sock.send(data[:max_bytes])

            def flush(connection: Connection) -> None:
                is_first = (
                    connection.max_buffer_bytes == pooled_connection.MAX_BUFFER_BYTES
                    and host.connections <= 1
                )
                if is_first and not isinstance(connection.sock, LimitedSocket):
                    original_socket = connection.sock
                    connection.sock = LimitedSocket(original_socket)  # type: ignore[assignment]
                    original_flush(connection)
                    connection.sock = original_socket
                    connection.loop.remove_writer(original_socket)
                else:
                    original_flush(connection)

            monkeypatch.setattr(Connection, "_flush", flush)
        hosts: Any = {"o": host}
        changes: dict[str, Any] = {"settings.classes": classes, "settings.family_info.uncached": [True]}
        async with SteadyDispatcher(tmp_path, hosts, **changes) as dispatcher:
            router_task, number, status = dispatcher.service.router_task, 0, 503
            # If the machine delays this process, new requests are rejected with 503 before any attempt. The
            # client then retries: no part of the checked case has begun.
            while status == 503 and router_task.counts.attempts == 0 and number < 20:
                number += 1
                dispatcher.client.send(number, "order", KEY, b"x" * 100)
                _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            assert (status, len(host.keys)) == {
                "served": (200, 1),
                "again, served": (200, 1),
                "again, may run twice": (200, 2),
                "again, its repeat is dropped": (200, 2),
                "failed": (502, 1),
            }[result], (status, host.keys)

    run_scene(scene())
