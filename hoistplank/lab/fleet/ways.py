"""What one direction of a path does with what goes over it: streams and datagrams. No I/O, no clock.

A `Course` belongs to one direction of one connection (or datagram path); the `Terms` it reads belong to that
direction of the whole path and are changed by a scene while bytes are under way. The relays carry out on
sockets what a course says; virtual time carries the same out on its agenda. Times are whole microseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from hashlib import blake2b
from random import Random
from typing import Any, Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Terms:
    """One direction of a path. Shares are of datagrams; `rate` in bytes a second, 0 for no bound.

    `silent`: nothing comes through and nobody is told; streams keep their order and go on where they stopped
    once it ends, as retransmission would have it; datagrams are gone.
    """

    delay_us: int = 0
    spread_us: int = 0
    rate: float = 0.0
    silent: bool = False
    loss: float = 0.0
    double: float = 0.0
    jumble: float = 0.0
    jumble_us: int = 0
    tardy: float = 0.0
    tardy_us: int = 0
    flip: float = 0.0

    def changed(self, **values: Any) -> Terms:
        """With other values; `PLAIN` itself where none of them is set any more."""
        made = replace(self, **values)
        return PLAIN if made == PLAIN else made


PLAIN = Terms()


def chance(seed: int, name: str) -> Random:
    """The random numbers of one direction: the same for the same seed and name, whatever else is there."""
    return Random(blake2b(f"{seed}/{name}".encode(), digest_size=16).digest())


class Course(Generic[T]):
    """One direction of one stream. `push` and `turned` say what is to be handed on, and when, in order."""

    __slots__ = ("_chance", "_free_at", "_held", "_last_at", "terms")

    def __init__(self, terms: Terms, chance: Random) -> None:
        self.terms, self._chance = terms, chance
        self._held: deque[tuple[int, T]] = deque()
        self._last_at = self._free_at = 0

    def push(self, now: int, size: int, item: T) -> list[tuple[int, T]]:
        """Something of `size` bytes comes in: what goes on, each with its time; nothing while silent."""
        if self.terms.silent:
            self._held.append((size, item))
            return []
        return [(self._due(now, size), item)]

    def turned(self, now: int, terms: Terms) -> list[tuple[int, T]]:
        """Other terms from now on; what silence has held goes on when it ends."""
        self.terms = terms
        if terms.silent:
            return []
        held, self._held = self._held, deque()
        return [(self._due(now, size), item) for size, item in held]

    def idle(self, now: int) -> bool:
        """Whether what comes now goes on at once: nothing is set, and nothing is under way before it."""
        return self.terms is PLAIN and not self._held and self._last_at <= now

    def held(self) -> int:
        """Bytes that wait for a silence to end."""
        return sum(size for size, _ in self._held)

    def _due(self, now: int, size: int) -> int:
        terms, at = self.terms, now
        if terms.rate:
            self._free_at = at = max(self._free_at, now) + int(size / terms.rate * 1e6)
        if terms.delay_us or terms.spread_us:
            at += terms.delay_us + int(terms.spread_us * self._chance.random())
        # Danger: of a stream nothing may overtake what came before it, however the delays were drawn.
        self._last_at = max(self._last_at, at)
        return self._last_at


class Datagrams:
    """One direction of a datagram path: each may be lost, doubled, changed, overtaken or come very late."""

    __slots__ = ("_chance", "_free_at", "terms")

    def __init__(self, terms: Terms, chance: Random) -> None:
        self.terms, self._chance, self._free_at = terms, chance, 0

    def push(self, now: int, data: bytes) -> list[tuple[int, bytes]]:
        """What arrives of a datagram sent now, each copy with its time."""
        terms, chance = self.terms, self._chance
        # As many numbers for each whatever they decide: another share leaves all other draws as they were.
        loss, double, jumble, tardy, flip, where = (chance.random() for _ in range(6))
        spreads = chance.random(), chance.random()
        if terms.silent or loss < terms.loss:
            return []
        at = now
        if terms.rate:
            self._free_at = at = max(self._free_at, now) + int(len(data) / terms.rate * 1e6)
        at += terms.delay_us + (terms.jumble_us if jumble < terms.jumble else 0)
        at += terms.tardy_us if tardy < terms.tardy else 0
        if flip < terms.flip and data:
            bit = int(where * len(data) * 8)
            changed = bytearray(data)
            changed[bit // 8] ^= 1 << bit % 8
            data = bytes(changed)
        copies = 2 if double < terms.double else 1
        return [(at + int(terms.spread_us * spread), data) for spread in spreads[:copies]]
