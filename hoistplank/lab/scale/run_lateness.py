"""How late an event loop runs: what a rig must know of itself before its figures count."""

from __future__ import annotations

import asyncio
import time

TICK_S = 0.02
MOST_KEPT = 100_000


class Lateness:
    """Samples of how much later than asked a timer comes (us). `run` is a task of its own."""

    def __init__(self) -> None:
        self._samples: list[int] = []

    async def run(self) -> None:
        while True:
            began = time.monotonic_ns()
            await asyncio.sleep(TICK_S)
            late_us = (time.monotonic_ns() - began) // 1_000 - int(TICK_S * 1e6)
            if len(self._samples) < MOST_KEPT:
                self._samples.append(max(0, late_us))

    def taken(self) -> list[int]:
        """The samples since the last call."""
        samples, self._samples = self._samples, []
        return samples
