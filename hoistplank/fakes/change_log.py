"""A fake change log: it sends each follower the events after the sequence number that it asks for."""

from __future__ import annotations

import asyncio
import json
from typing import Any

HEARTBEAT_S = 1.0
MAX_BATCH_BYTES = 65_536  # written before the connection is drained


class FakeChangeLog:
    """`serve_connection` serves a follower, `publish` adds an event; both in one event loop.

    `epoch`: sent in each line if it is above 0, as by a log that marks each restart of its numbers.
    """

    def __init__(self, epoch: int = 0) -> None:
        self.epoch = epoch
        self._incarnation = 0  # incremented by each restart: older connections end
        self.events: list[dict[str, Any]] = []
        self.requested_positions: list[int] = []  # sequence numbers, one for each connection
        self._changed = asyncio.Event()
        self._lines: dict[
            int, bytes
        ] = {}  # by sequence number: each event is encoded once, for all followers

    def publish(self, event: dict[str, Any]) -> None:
        """Add an event, with its sequence number under `seq`, and send it to all followers."""
        if self.epoch:
            event = event | {"epoch": self.epoch}
        self.events.append(event)
        self._changed.set()
        self._changed.clear()

    def restart(self, epoch: int) -> None:
        """Restart without events, with sequence numbers from 1 again; all connections end."""
        self.epoch, self._incarnation = epoch, self._incarnation + 1
        self.events.clear()
        self._lines.clear()
        self._changed.set()
        self._changed.clear()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send one follower its events, and heartbeats in between, until it disconnects."""
        position = int((await reader.readline()).split()[1])
        self.requested_positions.append(position)
        incarnation = self._incarnation
        index, loop = 0, asyncio.get_running_loop()
        # If there are no events for the follower, it gets a heartbeat at once.
        last = self.events[-1]["seq"] if self.events else position
        heartbeat_at = loop.time() + (HEARTBEAT_S if last > position else 0)
        while incarnation == self._incarnation:
            # `index` avoids a scan of the whole log for each event, whose cost would grow with the square of
            # the number of events.
            while index < len(self.events):
                if writer.is_closing():
                    return
                index, position, lines = self._next_lines(index, position)
                if lines:
                    writer.write(lines)
                    await writer.drain()
                    heartbeat_at = loop.time() + HEARTBEAT_S
            try:
                # The heartbeat is a line with only the last sequence number; without it the follower takes
                # the log as lost. It is due `HEARTBEAT_S` after the last line, not after the last event: a
                # follower that is ahead of a restarted log would otherwise receive nothing at all as long as
                # the log publishes events.
                # `wait_for` would start to wait one iteration of the event loop later, and miss an event that
                # is published meanwhile.
                async with asyncio.timeout_at(heartbeat_at):
                    await self._changed.wait()
            except TimeoutError:
                if writer.is_closing():
                    return
                if index < len(self.events):
                    continue  # an event was published in the same iteration as the timeout
                # The log's own number, even if the follower's is above it, so that a restart is detected.
                last = self.events[-1]["seq"] if self.events else position
                writer.write(json.dumps({"seq": last} | self._epoch_field()).encode() + b"\n")
                heartbeat_at = loop.time() + HEARTBEAT_S

    def publish_configuration(self, number: int, text: str) -> None:
        """Publish a configuration: the text of an operator's file."""
        self.publish({"seq": number, "configuration": {"text": text}})

    def _epoch_field(self) -> dict[str, int]:
        return {"epoch": self.epoch} if self.epoch else {}

    def _next_lines(self, index: int, position: int) -> tuple[int, int, bytes]:
        """Return the next lines after number `position`, with the index and number to go on from."""
        lines, size = list[bytes](), 0
        while index < len(self.events) and size < MAX_BATCH_BYTES:
            event = self.events[index]
            index += 1
            if event["seq"] > position:
                position = event["seq"]
                lines.append(self._encoded(event))
                size += len(lines[-1])
        return index, position, b"".join(lines)

    def _encoded(self, event: dict[str, Any]) -> bytes:
        line = self._lines.get(event["seq"])
        if line is None:
            line = self._lines[event["seq"]] = json.dumps(event).encode() + b"\n"
        return line
