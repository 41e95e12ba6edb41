"""Acknowledgements between replicas: each tells its peers the rows of its own dispatchers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Protocol

import msgspec
import structlog

from hoistplank.distribution.acknowledgements import AcknowledgementTable
from hoistplank.distribution.assignment import Replica as ReplicaAddress
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    MOST_REQUEST_LINE,
    AcknowledgementRow,
    Report,
    RequestLine,
    encode,
)
from hoistplank.protocol.errors import ProtocolError
from hoistplank.transport.connecting import connect
from hoistplank.transport.connection import Connection, Consume

log = structlog.get_logger()
CONNECT_S = 1.0
SILENT_S = 3.2  # a peer says something each second
LOOK_S = 0.2
SHORTEST_PAUSE_S, LONGEST_PAUSE_S = 0.1, 1.0  # between tries to connect
MOST_OUT = 65_536
ALIVE = b"\n"  # an empty line: a peer that has no row to tell is there

_rows = msgspec.json.Decoder(AcknowledgementRow)


class Reporting(Protocol):
    """What the exchange of rows uses of its replica."""

    table: AcknowledgementTable
    name: str

    def now(self) -> int: ...


class PeerSession:
    """A peer that asked for this replica's rows: all once, then those that change."""

    def __init__(self, replica: Reporting, connection: Connection, report: Report) -> None:
        self.replica, self.connection, self.peer = replica, connection, report.replica
        self._told = 0  # the revision of the table up to which rows were sent

    def send_changes(self) -> None:
        """The rows that changed; a peer that reads slowly gets the newest of them later."""
        if self.connection.unsent_bytes > MOST_OUT:
            return
        table = self.replica.table
        rows = table.rows_since(self.replica.now(), self._told)
        self._told = table.revision
        if rows:
            self.connection.send(b"".join(map(encode, rows)))

    def send_alive(self) -> None:
        if self.connection.unsent_bytes <= MOST_OUT:
            self.connection.send(ALIVE)


class PeerLink:
    """Follows the rows of one peer, and connects anew for as long as it runs."""

    def __init__(self, replica: Reporting, peer: ReplicaAddress, chance: Random) -> None:
        self.replica, self.peer, self.chance = replica, peer, chance
        self.connection: Connection | None = None
        self.heard_us = 0

    @property
    def is_heard(self) -> bool:
        """Whether the peer is connected and has said something on this connection."""
        return self.connection is not None and self.heard_us > 0

    async def run(self) -> None:
        """Until it is cancelled."""
        pause = SHORTEST_PAUSE_S
        while True:
            wrong = await self._follow()
            if self.heard_us:
                pause = SHORTEST_PAUSE_S
                log.warning("peer replica lost", peer=self.peer.name, wrong=str(wrong))
                self.replica.table.peer_lost(self.peer.name)
                self.heard_us = 0
            await asyncio.sleep(pause * (0.5 + self.chance.random() / 2))
            pause = min(LONGEST_PAUSE_S, pause * 2)

    async def _follow(self) -> object:
        try:
            sock = await connect(self.peer.address, CONNECT_S)
        except (OSError, ValueError) as wrong:
            return wrong
        connection = Connection(sock, self._consumer(), MOST_REQUEST_LINE * 2, MOST_OUT)
        connection.send(encode(RequestLine(report=Report(self.replica.name))))
        self.connection = connection
        task = asyncio.create_task(connection.run(), name=f"peer {self.peer.name}")
        try:
            return await self._watch(connection, task)
        finally:
            self.connection = None
            connection.close()
            await asyncio.gather(task, return_exceptions=True)

    async def _watch(self, connection: Connection, task: asyncio.Task[BaseException | None]) -> object:
        silent_s, heard_at = 0.0, connection.last_read_at
        while not task.done():
            await asyncio.wait((task,), timeout=LOOK_S)
            silent_s += LOOK_S
            if connection.last_read_at != heard_at:
                silent_s, heard_at = 0.0, connection.last_read_at
            if silent_s > SILENT_S:
                return "it says nothing"
        return task.result() or "closed by the other side"

    def _consumer(self) -> Consume:
        reader = LineReader(MOST_REQUEST_LINE)

        def consume(buffer: bytearray, start: int, end: int) -> int:
            start, lines = reader.read(buffer, start, end)
            self.heard_us = now = self.replica.now()
            for line in lines:
                try:
                    row = _rows.decode(line)
                except msgspec.MsgspecError as wrong:
                    raise ProtocolError(f"a peer's row can't be read: {wrong}") from None
                self.replica.table.merged(now, self.peer.name, row)
            return start

        return consume
