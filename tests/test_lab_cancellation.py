"""Tests that a cancelled task ends even if the answer that it waits for arrives at the same moment.

`asyncio.wait_for` of Python 3.11 swallows a cancellation that coincides with the end of the awaited future: a
sampling task never ended, and the run that awaited it hung.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from hoistplank.lab.fleet.relay_messages import RelayStatistics
from hoistplank.lab.fleet.relay_pool import RelayClient
from hoistplank.lab.scale.hollow_messages import Report
from hoistplank.lab.scale.run_children import Child
from tests.scene_runner import run_scene


class FakeRelayProcess:
    """The pipes of a relay process without the process."""

    def __init__(self) -> None:
        self.stdout = asyncio.StreamReader()
        self.stdin = self

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        """Discards the data."""


def test_waiting_for_a_child_is_cancelled_even_as_its_answer_arrives() -> None:
    async def scene() -> None:
        child: Child[Any] = Child("module", [], Report, lambda message: None)
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        waiting = asyncio.create_task(child.answered(answer))
        await asyncio.sleep(0)
        answer.set_result("usage")
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting

    run_scene(scene())


def test_waiting_for_a_relay_is_cancelled_even_as_its_answer_arrives() -> None:
    async def scene() -> None:
        process: Any = FakeRelayProcess()
        waiting = asyncio.create_task(RelayClient(process).statistics())
        await asyncio.sleep(0)
        process.stdout.feed_data(msgspec.json.encode(RelayStatistics()) + b"\n")
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting

    run_scene(scene())
