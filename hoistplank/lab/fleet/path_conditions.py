"""What one direction of a path does with what goes over it: streams and datagrams. No I/O, no clock.

A `StreamDirection` belongs to one direction of one connection, a `DatagramDirection` to one of a datagram
path; the `PathConditions` they read belong to that direction of the whole path and are changed by a scene
while bytes are under way. The relays carry out on sockets what they say; virtual time does the same on its
agenda. Times are whole microseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from hashlib import blake2b
from random import Random
from typing import Any, Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PathConditions:
    """The conditions of one direction of a path. Shares are of datagrams; `rate` in bytes a second, 0 for no
    bound.

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

    def changed(self, **values: Any) -> PathConditions:
        """With other values; `UNIMPAIRED` itself where none of them is set any more."""
        made = replace(self, **values)
        return UNIMPAIRED if made == UNIMPAIRED else made


UNIMPAIRED = PathConditions()


def chance(seed: int, name: str) -> Random:
    """The random numbers of one direction: the same for the same seed and name, whatever else is there."""
    return Random(blake2b(f"{seed}/{name}".encode(), digest_size=16).digest())


class StreamDirection(Generic[T]):
    """One direction of one stream. `push` and `set_conditions` return what is to be handed on, and when."""

    __slots__ = ("_chance", "_free_at", "_held", "_last_at", "conditions")

    def __init__(self, conditions: PathConditions, chance: Random) -> None:
        self.conditions, self._chance = conditions, chance
        self._held: deque[tuple[int, T]] = deque()
        self._last_at = self._free_at = 0

    def push(self, now: int, size: int, item: T) -> list[tuple[int, T]]:
        """Something of `size` bytes comes in: what goes on, each with its time; nothing while silent."""
        if self.conditions.silent:
            self._held.append((size, item))
            return []
        return [(self._due(now, size), item)]

    def set_conditions(self, now: int, conditions: PathConditions) -> list[tuple[int, T]]:
        """Other conditions from now on; what silence has held goes on when it ends."""
        self.conditions = conditions
        if conditions.silent:
            return []
        held, self._held = self._held, deque()
        return [(self._due(now, size), item) for size, item in held]

    def idle(self, now: int) -> bool:
        """Whether what comes now goes on at once: nothing is set, and nothing is under way before it."""
        return self.conditions is UNIMPAIRED and not self._held and self._last_at <= now

    def held(self) -> int:
        """Bytes that wait for a silence to end."""
        return sum(size for size, _ in self._held)

    def _due(self, now: int, size: int) -> int:
        conditions, at = self.conditions, now
        if conditions.rate:
            self._free_at = at = max(self._free_at, now) + int(size / conditions.rate * 1e6)
        if conditions.delay_us or conditions.spread_us:
            at += conditions.delay_us + int(conditions.spread_us * self._chance.random())
        # Danger: of a stream nothing may overtake what came before it, however the delays were drawn.
        self._last_at = max(self._last_at, at)
        return self._last_at


class DatagramDirection:
    """One direction of a datagram path: each may be lost, doubled, changed, overtaken or come very late."""

    __slots__ = ("_chance", "_free_at", "conditions")

    def __init__(self, conditions: PathConditions, chance: Random) -> None:
        self.conditions, self._chance, self._free_at = conditions, chance, 0

    def push(self, now: int, data: bytes) -> list[tuple[int, bytes]]:
        """What arrives of a datagram sent now, each copy with its time."""
        conditions, chance = self.conditions, self._chance
        # As many numbers for each whatever they decide: another share leaves all other draws as they were.
        loss, double, jumble, tardy, flip, where = (chance.random() for _ in range(6))
        spreads = chance.random(), chance.random()
        if conditions.silent or loss < conditions.loss:
            return []
        at = now
        if conditions.rate:
            self._free_at = at = max(self._free_at, now) + int(len(data) / conditions.rate * 1e6)
        at += conditions.delay_us + (conditions.jumble_us if jumble < conditions.jumble else 0)
        at += conditions.tardy_us if tardy < conditions.tardy else 0
        if flip < conditions.flip and data:
            bit = int(where * len(data) * 8)
            changed = bytearray(data)
            changed[bit // 8] ^= 1 << bit % 8
            data = bytes(changed)
        copies = 2 if double < conditions.double else 1
        return [(at + int(conditions.spread_us * spread), data) for spread in spreads[:copies]]
