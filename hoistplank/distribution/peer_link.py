"""Exchanges acknowledgements between replicas: each reports the rows of its own dispatchers to its peers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Protocol

import msgspec
import structlog

from hoistplank.distribution.acknowledgements import AcknowledgementTable
from hoistplank.distribution.assignment import ReplicaAddress
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    MAX_REQUEST_LINE_BYTES,
    AcknowledgementRow,
    PeerSubscription,
    RequestLine,
    encode,
)
from hoistplank.protocol.errors import ProtocolError
from hoistplank.transport.connecting import connect
from hoistplank.transport.connection import Connection, Consume

log = structlog.get_logger()
PEER_CONNECT_TIMEOUT_S = 1.0
PEER_SILENCE_TIMEOUT_S = 3.2  # a peer sends something each second
CHECK_INTERVAL_S = 0.2
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0  # between attempts to connect
MAX_PENDING_BYTES = 65_536
KEEPALIVE = b"\n"  # a blank line: the replica is alive and has no row to report

_row_decoder = msgspec.json.Decoder(AcknowledgementRow)


class PeerReplica(Protocol):
    """The interface of a replica that the exchange of rows uses."""

    table: AcknowledgementTable
    name: str

    def now(self) -> int:
        """Returns the time in microseconds."""


class PeerSession:
    """Sends this replica's rows to a peer that subscribed: first all of them, then those that change."""

    def __init__(self, replica: PeerReplica, connection: Connection, subscription: PeerSubscription) -> None:
        self.replica = replica
        self.connection = connection
        self.peer = subscription.replica
        self._sent_revision = 0  # the revision of the table up to which rows were sent

    def send_changes(self) -> None:
        """Sends the changed rows; a peer that reads slowly gets the newest of them later."""
        if self.connection.unsent_bytes > MAX_PENDING_BYTES:
            return
        table = self.replica.table
        rows = table.rows_since(self.replica.now(), self._sent_revision)
        self._sent_revision = table.revision
        if rows:
            self.connection.send(b"".join(map(encode, rows)))

    def send_keepalive(self) -> None:
        """Sends the peer a sign that this replica is alive."""
        if self.connection.unsent_bytes <= MAX_PENDING_BYTES:
            self.connection.send(KEEPALIVE)


class PeerLink:
    """Receives the rows of one peer, reconnecting for as long as it runs."""

    def __init__(self, replica: PeerReplica, peer: ReplicaAddress, random: Random) -> None:
        self.replica = replica
        self.peer = peer
        self.random = random
        self.connection: Connection | None = None
        self.last_heard_us = 0  # on this connection; 0: never

    @property
    def is_alive(self) -> bool:
        """True if the peer is connected and has sent something on this connection."""
        return self.connection is not None and self.last_heard_us > 0

    async def run(self) -> None:
        """Runs until it is cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            reason = await self._follow()
            if self.last_heard_us:
                backoff_s = MIN_BACKOFF_S
                log.warning("peer replica lost", peer=self.peer.name, wrong=str(reason))
                self.replica.table.mark_peer_lost(self.peer.name)
                self.last_heard_us = 0
            await asyncio.sleep(backoff_s * (0.5 + self.random.random() / 2))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _follow(self) -> BaseException | str:
        """Receives rows on one connection; returns why it ended."""
        try:
            sock = await connect(self.peer.address, PEER_CONNECT_TIMEOUT_S)
        except (OSError, ValueError) as error:
            return error
        connection = Connection(sock, self._consumer(), MAX_REQUEST_LINE_BYTES * 2, MAX_PENDING_BYTES)
        connection.send(encode(RequestLine(peer_subscription=PeerSubscription(self.replica.name))))
        self.connection = connection
        task = asyncio.create_task(connection.run(), name=f"peer {self.peer.name}")
        try:
            return await self._wait_for_end(connection, task)
        finally:
            self.connection = None
            connection.close()
            await asyncio.gather(task, return_exceptions=True)

    async def _wait_for_end(
        self, connection: Connection, task: asyncio.Task[BaseException | None]
    ) -> BaseException | str:
        silent_s, last_read_at = 0.0, connection.last_read_at
        while not task.done():
            await asyncio.wait((task,), timeout=CHECK_INTERVAL_S)
            silent_s += CHECK_INTERVAL_S
            if connection.last_read_at != last_read_at:
                silent_s, last_read_at = 0.0, connection.last_read_at
            if silent_s > PEER_SILENCE_TIMEOUT_S:
                return "nothing received within the silence limit"
        return task.result() or "closed by the other side"

    def _consumer(self) -> Consume:
        reader = LineReader(MAX_REQUEST_LINE_BYTES)

        def consume(buffer: bytearray, start: int, end: int) -> int:
            start, lines = reader.read(buffer, start, end)
            self.last_heard_us = now_us = self.replica.now()
            for line in lines:
                row = _read_row(line)
                self.replica.table.merge_peer_row(now_us, self.peer.name, row)
            return start

        return consume


def _read_row(line: bytes) -> AcknowledgementRow:
    try:
        return _row_decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"a peer's row can't be read: {error}") from error
