"""Named random streams, each seeded by its name and the day's seed: every policy gets the same world."""

from __future__ import annotations

from hashlib import blake2b

import numpy as np

BATCH = 512  # numbers drawn in one call: a Generator asked for one at a time costs ten times as much


class RandomStream:
    """Random numbers of one purpose, in the order in which they are drawn."""

    __slots__ = ("_exponential", "_generator", "_normal", "_uniform")

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """Draw from the uniform distribution over [0, 1)."""
        if not self._uniform:
            self._uniform = self._generator.random(BATCH).tolist()
        return self._uniform.pop()

    def exponential(self) -> float:
        """Draw from the exponential distribution of mean 1."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(BATCH).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        """Draw from the normal distribution of mean 0 and standard deviation 1."""
        if not self._normal:
            self._normal = self._generator.standard_normal(BATCH).tolist()
        return self._normal.pop()

    def below(self, count: int) -> int:
        """Draw an integer from [0, count)."""
        return int(self.uniform() * count)

    def between(self, low: float, high: float) -> float:
        """Draw a number from [low, high)."""
        return low + (high - low) * self.uniform()

    def shuffled(self, count: int) -> list[int]:
        """Return the integers below `count` in random order."""
        return [int(n) for n in self._generator.permutation(count)]


class RandomStreams:
    """The streams of one seed. A name always gives the same numbers, whatever other streams are used."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> RandomStream:
        """Return a new stream at its first number."""
        digest = blake2b(name.encode(), digest_size=16).digest()
        spawn_key = tuple(int.from_bytes(digest[at : at + 4], "big") for at in range(0, 16, 4))
        return RandomStream(
            np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=spawn_key)))
        )
