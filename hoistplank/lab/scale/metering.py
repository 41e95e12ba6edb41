"""Measures calls of this process: processor time, and memory that stays allocated. Not wall time, which on a
shared machine tells of the neighbours."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

from hoistplank.lab.scale.measurements import Measurement

MICROSECONDS = 1_000_000

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Effort:
    """How much a run measures: repeats at each size, fewer of those that are slow (memory is traced, a
    process is started), events averaged over in one repeat, and by what the largest sizes are divided."""

    repeats: int
    slow_repeats: int
    events: int
    divisor: int

    @property
    def is_quick(self) -> bool:
        return self.repeats < WHOLE.repeats

    def sizes(self, whole: Sequence[int]) -> tuple[int, ...]:
        """The sizes of a whole run, or smaller ones."""
        return tuple(size // self.divisor for size in whole)


WHOLE = Effort(repeats=5, slow_repeats=3, events=40, divisor=1)
QUICK = Effort(repeats=2, slow_repeats=1, events=4, divisor=10)


@dataclass(frozen=True, slots=True)
class Step:
    """One part of a run: what it measures, and the call that returns its measurements."""

    role: str
    title: str
    measure: Callable[[Effort], list[Measurement]]
    whole_only: bool = False


@dataclass(frozen=True, slots=True)
class Quantity:
    """What a series of measurements is of."""

    role: str
    name: str
    unit: str
    per: str
    notes: str = ""

    def measured(self, size: float, value: float) -> Measurement:
        """One value at one size."""
        return Measurement(self.role, self.name, self.unit, self.per, size, value, notes=self.notes)


def series(
    quantity: Quantity, sizes: Iterable[int], repeats: int, value: Callable[[int], float]
) -> list[Measurement]:
    """Measures `value(size)` at each size; the repeats go round the sizes, so that a busy moment of the
    machine does not fall on one size alone."""
    chosen = tuple(sizes)
    return [quantity.measured(size, value(size)) for _ in range(repeats) for size in chosen]


def processor_us(call: Callable[[], object]) -> float:
    """Processor time of one call, in microseconds; garbage of earlier calls is collected before."""
    gc.collect()
    began = time.process_time_ns()
    call()
    return (time.process_time_ns() - began) / 1_000


@contextlib.contextmanager
def _traced() -> Iterator[Callable[[], int]]:
    """Traces allocations; the call tells how many bytes were added and are still held."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]

    def allocated() -> int:
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before

    try:
        yield allocated
    finally:
        tracemalloc.stop()


def kept_bytes(make: Callable[[], Result]) -> tuple[Result, int]:
    """What a call made, and how many bytes stay allocated while that is held."""
    with _traced() as allocated:
        made = make()
        return made, allocated()


async def kept_bytes_of(make: Callable[[], Awaitable[Result]]) -> tuple[Result, int]:
    """As `kept_bytes`, of what is awaited."""
    with _traced() as allocated:
        made = await make()
        return made, allocated()


def in_loop(call: Callable[[], Result]) -> Result:
    """A plain call where an event loop runs: parts of the dispatcher ask for one when they are made."""

    async def body() -> Result:
        return call()

    return asyncio.run(body())


def awaited(make: Callable[[], Awaitable[Result]]) -> Result:
    """Runs one coroutine on a loop of its own."""

    async def body() -> Result:
        return await make()

    return asyncio.run(body())
