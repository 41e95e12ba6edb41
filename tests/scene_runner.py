"""Runs a test's coroutine to its end, on the event loop that the program serves on."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop


def run_scene(scene: Coroutine[Any, Any, None], limit_s: float = 20) -> None:
    """Fails where the scene takes longer than `limit_s`."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene, limit_s))
