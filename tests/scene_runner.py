"""Runs a test's coroutine on the event loop that the program uses."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop


def run_scene(scene: Coroutine[Any, Any, None], limit_s: float = 20) -> None:
    """Runs the coroutine to its end; raises TimeoutError after `limit_s`."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene, limit_s))
