"""The table of docs/design.md (Exactly once), each row forced over loopback sockets."""

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
from hoistplank.transport.pooled_request import RequestFailure
from tests.dispatcher_scene import (
    KEY,
    SteadyDispatcher,
    served,
)
from tests.scene_runner import run_scene


def rows_of_the_page() -> list[tuple[str, str, str]]:
    """How an attempt ended, the effect of its class, and what follows, as the page has it."""
    page = (Path(__file__).parent.parent / "docs" / "design.md").read_text()
    part = page.split("## Exactly once")[1].split("\n## ")[0]
    lines = [re.split(r"\s*\|\s*", line.strip("| ")) for line in part.splitlines() if line.startswith("|")]
    head, _, *rows = lines
    return [
        (name, effect, cell) for name, *cells in rows for effect, cell in zip(head[1:], cells, strict=True)
    ]


class FailingHost:
    """A host that takes its first connection's attempt as far as it is told, and serves all later ones."""

    def __init__(self, how: str) -> None:
        self.how, self.connections, self.keys = how, 0, list[str]()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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


def test_the_table_has_every_ending_and_every_effect() -> None:
    endings = {"refused", "not up", "unwritten", "partly written", "written", "answer begun", "answer whole"}
    assert {(ending, effect) for ending, effect, _ in rows_of_the_page()} == {
        (ending, effect) for ending in endings for effect in ("idempotent", "keyed", "non-idempotent")
    }


@pytest.mark.parametrize("ending, effect, follows", rows_of_the_page())
def test_exactly_once(
    tmp_path: Path, ending: str, effect: str, follows: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Uncached classes go straight to the origin, whose first connection ends as the row says."""

    async def scene() -> None:
        host = FailingHost(ending)
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
            plain = PooledConnection._connect

            async def connect(line: PooledConnection) -> RequestFailure | None:
                host.connections += 1
                return RequestFailure(ending) if host.connections == 1 else await plain(line)

            monkeypatch.setattr(PooledConnection, "_connect", connect)
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
                first = made.max_buffer_bytes == pooled_connection.MAX_BUFFER_BYTES and host.connections <= 1
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
        async with SteadyDispatcher(tmp_path, hosts, **changes) as dispatcher:
            owner, number, status = dispatcher.service.router_task, 0, 503
            # Where the machine holds this process up, new requests are rejected before any attempt: a client
            # comes again then, and nothing of what the row is about has begun.
            while status == 503 and owner.counts.attempts == 0 and number < 20:
                number += 1
                dispatcher.client.send(number, "order", KEY, b"x" * 100)
                _, status, _, _ = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            assert (status, len(host.keys)) == {
                "served": (200, 1),
                "again, served": (200, 1),
                "again, may run twice": (200, 2),
                "again, its repeat is dropped": (200, 2),
                "failed": (502, 1),
            }[follows], (status, host.keys)

    run_scene(scene())
