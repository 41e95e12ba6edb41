"""A stand-in for the change log: tells each that connects what it has not told it yet."""

from __future__ import annotations

import asyncio
import json
from typing import Any


class ChangeLog:
    """`talk` serves a connection, `tell` adds an event; both in one event loop."""

    def __init__(self) -> None:
        self.log: list[dict[str, Any]] = []
        self.since: list[int] = []  # the numbers from which those that connected asked
        self._told = asyncio.Event()

    def tell(self, event: dict[str, Any]) -> None:
        self.log.append(event)
        self._told.set()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        at = int((await reader.readline()).split()[1])
        self.since.append(at)
        while True:
            for event in self.log:
                if event["seq"] > at:
                    at = event["seq"]
                    writer.write(json.dumps(event).encode() + b"\n")
            self._told.clear()
            try:
                # Each second a line with the last number alone: without it the log counts as lost.
                await asyncio.wait_for(self._told.wait(), 1.0)
            except TimeoutError:
                if writer.is_closing():
                    return
                writer.write(b'{"seq":%d}\n' % at)
