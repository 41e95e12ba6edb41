"""Named random streams, each with a seed of its own spawned from the day's: a changed policy sees the same
world.
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np

BATCH = 512  # numbers drawn in one call: a Generator asked for one at a time costs ten times as much


class RandomStream:
    """Numbers of one process, in the order of its asking."""

    __slots__ = ("_exponential", "_generator", "_normal", "_uniform")

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """From 0 up to, but without, 1."""
        if not self._uniform:
            self._uniform = self._generator.random(BATCH).tolist()
        return self._uniform.pop()

    def exponential(self) -> float:
        """With the mean 1."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(BATCH).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        """With the mean 0 and the standard deviation 1."""
        if not self._normal:
            self._normal = self._generator.standard_normal(BATCH).tolist()
        return self._normal.pop()

    def below(self, count: int) -> int:
        """A whole number from 0 up to, but without, `count`."""
        return int(self.uniform() * count)

    def between(self, low: float, high: float) -> float:
        """A number from `low` up to `high`."""
        return low + (high - low) * self.uniform()

    def shuffled(self, count: int) -> list[int]:
        """The whole numbers below `count`, in chance order."""
        return [int(n) for n in self._generator.permutation(count)]


class RandomStreams:
    """The streams of one seed. The same name gives the same numbers, whatever other names are asked for."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> RandomStream:
        """A new stream, at the beginning of its numbers."""
        words = blake2b(name.encode(), digest_size=16).digest()
        way = tuple(int.from_bytes(words[at : at + 4], "big") for at in range(0, 16, 4))
        return RandomStream(
            np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=way)))
        )
