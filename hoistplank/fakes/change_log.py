"""A stand-in for the change log: tells each that connects what it has not told it yet."""

from __future__ import annotations

import asyncio
import json
from typing import Any

HEARTBEAT_S = 1.0
MOST_AT_ONCE = 65_536  # bytes handed to a follower before it is waited for


class ChangeLog:
    """`talk` serves a connection, `tell` adds an event; both in one event loop.

    `epoch`: told in each line where it is above 0, as by a log that says when it counts anew.
    """

    def __init__(self, epoch: int = 0) -> None:
        self.epoch = epoch
        self._run = 0  # rises with each restart: connections of an earlier one end
        self.log: list[dict[str, Any]] = []
        self.since: list[int] = []  # the numbers from which those that connected asked
        self._told = asyncio.Event()
        self._lines: dict[int, bytes] = {}  # by number: each event is encoded once, for all followers

    def tell(self, event: dict[str, Any]) -> None:
        if self.epoch:
            event = event | {"epoch": self.epoch}
        self.log.append(event)
        self._told.set()
        self._told.clear()

    def restart(self, epoch: int) -> None:
        """It begins anew with nothing and counts from 1 again; all connections end."""
        self.epoch, self._run = epoch, self._run + 1
        self.log.clear()
        self._lines.clear()
        self._told.set()
        self._told.clear()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        at = int((await reader.readline()).split()[1])
        self.since.append(at)
        run = self._run
        index, loop = 0, asyncio.get_running_loop()
        beat_at = loop.time() + HEARTBEAT_S
        while run == self._run:
            # Danger: a scan of the whole log for each event makes an hour of events cost its square.
            while index < len(self.log):
                if writer.is_closing():
                    return
                index, at, lines = self._next_lines(index, at)
                if lines:
                    writer.write(lines)
                    await writer.drain()
                    beat_at = loop.time() + HEARTBEAT_S
            try:
                # A second after the last line one with the last number alone: without it the log counts as
                # lost. Danger: counted from the last event, a follower that is ahead of a log that began
                # anew would hear nothing at all while that tells events.
                # Danger: `wait_for` would begin to wait a turn later, and what is told meanwhile be missed.
                async with asyncio.timeout_at(beat_at):
                    await self._told.wait()
            except TimeoutError:
                if writer.is_closing():
                    return
                if index < len(self.log):
                    continue  # an event was told in the turn in which the time was over
                # Its own number, also where the follower's is above it: it tells a log that began anew.
                last = self.log[-1]["seq"] if self.log else at
                writer.write(json.dumps({"seq": last} | self._epoch_field()).encode() + b"\n")
                beat_at = loop.time() + HEARTBEAT_S

    def configure(self, number: int, text: str) -> None:
        """Tells a configuration: the text of an operator's file."""
        self.tell({"seq": number, "configuration": {"text": text}})

    def _epoch_field(self) -> dict[str, int]:
        return {"epoch": self.epoch} if self.epoch else {}

    def _next_lines(self, index: int, at: int) -> tuple[int, int, bytes]:
        """The next lines for a follower that stands at `index` and has been told up to number `at`."""
        lines, size = list[bytes](), 0
        while index < len(self.log) and size < MOST_AT_ONCE:
            event = self.log[index]
            index += 1
            if event["seq"] > at:
                at = event["seq"]
                lines.append(self._line(event))
                size += len(lines[-1])
        return index, at, b"".join(lines)

    def _line(self, event: dict[str, Any]) -> bytes:
        line = self._lines.get(event["seq"])
        if line is None:
            line = self._lines[event["seq"]] = json.dumps(event).encode() + b"\n"
        return line
