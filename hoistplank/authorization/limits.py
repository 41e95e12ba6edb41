"""What a tenant may have at once: a rate, open requests, and a weighted share while there is not enough for
all.

No I/O, no clock: `now` is whole microseconds that never run back. State is let go with tenants that are gone.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

# Half of what a tenant asked for in vain counts as asked for still after this time: long enough that a client
# that
# comes again after a second is seen as the same want, short enough that a herd that ended frees its share.
WANT_HALF_US = 500_000
# A loop that is so late has more than it can carry: new requests wait as long before they are looked at.
FULL_LAG_US = 40_000
LEAST_ROOM = 16
# From this part of the room on, places are given by shares, and shares are of this part: what lies above it
# is for
# those below theirs, who would else find the room full until a herd's requests end (of 3,025 such requests 85
# did).
NEAR_FULL = 0.85
LEVEL_EVERY_US = 20_000  # how often the water level is worked out anew while there is not enough


def room(cap: int, total: int, lag_us: int) -> int:
    """How many requests may be open in all now, 0 where there is enough for everyone.

    `cap` is the open cap (0: none), `total` what is open, `lag_us` how late the event loop is.
    """
    if lag_us >= FULL_LAG_US:
        return max(LEAST_ROOM, min(total, cap or total))
    return cap if cap and total >= cap * NEAR_FULL else 0


class Bucket:
    """A token bucket: `rate` a second, `burst` at most at once."""

    __slots__ = ("at", "burst", "held", "rate")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate, self.burst, self.held, self.at = rate, burst, burst, now

    def _fill(self, now: int) -> None:
        if now > self.at:
            self.held = min(self.burst, self.held + (now - self.at) * self.rate / 1e6)
            self.at = now

    def take(self, now: int) -> int:
        """Takes one, if there is one: 0; else how long until there is, in microseconds."""
        self._fill(now)
        if self.held >= 1.0:
            self.held -= 1.0
            return 0
        return int((1.0 - self.held) / self.rate * 1e6) + 1

    def left(self, now: int) -> float:
        self._fill(now)
        return self.held

    def reset(self, rate: float, burst: float, now: int) -> None:
        """Other figures from now on; what has been used up stays used up."""
        self._fill(now)
        self.held = min(burst, self.held + max(0.0, burst - self.burst))
        self.rate, self.burst = rate, burst


def level(room: float, wants: Iterable[tuple[float, float]]) -> float:
    """The height to which each may fill its width: weighted max-min fair shares of `room`.

    `wants` are pairs (want, weight). Each gets min(want, weight * level), and all together `room`, or all
    that is wanted.
    """
    wants = list(wants)
    if sum(want for want, _ in wants) <= room:
        return float("inf")  # said before dividing: a want that just fits would lose its last bit
    rows = sorted((want / weight, weight) for want, weight in wants)
    width, left = sum(weight for _, weight in rows), room
    for height, weight in rows:
        if height * width >= left:
            return left / width
        left -= height * weight
        width -= weight
    return float("inf")


class Account:
    """What one tenant has in hand."""

    __slots__ = ("bucket", "most_open", "open", "refused", "refused_at", "taken", "weight")

    def __init__(self) -> None:
        self.bucket: Bucket | None = None
        self.open, self.most_open, self.weight, self.taken = 0, 0, 1.0, 0
        self.refused, self.refused_at = 0.0, 0

    def want(self, now: int) -> float:
        """What it holds and what it was lately refused."""
        gone = now - self.refused_at
        if gone > 0:
            self.refused *= 0.5 ** (gone / WANT_HALF_US)
            self.refused_at = now
        return self.open + self.refused


class Accounts:
    """All tenants' accounts, and the water level while the core or the open cap is full."""

    def __init__(self) -> None:
        self.rows: dict[str, Account] = {}
        self.known: set[str] = set()
        self.total = 0
        self._level, self._level_at = float("inf"), -1 << 60

    def renew(self, limits: Mapping[str, tuple[float, int, int, float]], now: int) -> None:
        """Other tenants or figures: rate, burst, open requests and weight by name."""
        self.known = set(limits)
        for name, (rate, burst, most_open, weight) in limits.items():
            row = self.rows.setdefault(name, Account())
            row.most_open, row.weight = most_open, weight
            most = float(burst or max(1.0, rate))
            if not rate:
                row.bucket = None
            elif row.bucket is None:
                row.bucket = Bucket(rate, most, now)
            else:
                row.bucket.reset(rate, most, now)
        for name in [name for name, row in self.rows.items() if name not in limits and not row.open]:
            del self.rows[name]
        self._level_at = -1 << 60

    def take(self, name: str, now: int, room: int) -> tuple[str, int]:
        """Counts one more request of a tenant, or says why not and how long to stay away, in microseconds.

        `room` is how many requests may be open in all while there is not enough, 0 while there is.
        """
        row = self.rows[name]
        if row.most_open and row.open >= row.most_open:
            return "open requests", 100_000
        if room and (self.total >= room or not self._fair(row, now, room)):
            row.want(now)
            row.refused += 1
            return "share", 200_000
        wait = row.bucket.take(now) if row.bucket is not None else 0
        if wait:
            return "rate", wait
        row.open += 1
        row.taken += 1
        self.total += 1
        return "", 0

    def _fair(self, row: Account, now: int, room: int) -> bool:
        """Danger: one tenant's herd fills the cap, and the others' bookings find no place: who is below its
        share gets in, who is above waits, also where that leaves a place free for a moment."""
        if now - self._level_at >= LEVEL_EVERY_US or self._level_at > now:
            # The one that asks wants one more than it has.
            wants = [
                (other.want(now) + (other is row), other.weight)
                for other in self.rows.values()
                if other.open or other.refused > 0.01 or other is row
            ]
            self._level, self._level_at = level(room * NEAR_FULL, wants), now
        return row.open + 1 <= max(1.0, row.weight * self._level)

    def give(self, name: str) -> None:
        """A request has ended."""
        row = self.rows.get(name)
        if row is not None and row.open:
            row.open -= 1
            self.total -= 1
            if not row.open and name not in self.known:
                del self.rows[name]


class Checks:
    """How many signatures may be checked: a budget for each source, and one over all.

    Danger: distinct bad tokens cost a signature check each, and a flood of them takes the core. A quarter of
    the whole
    budget is for sources that have lately shown a good token, so that a flood of strangers can't shut out who
    is known.
    """

    def __init__(self, over_all: float, each: float, now: int, most_sources: int = 4_096) -> None:
        self.each, self.most = each, most_sources
        self.known = Bucket(over_all / 4, max(4.0, over_all / 4), now)
        self.strange = Bucket(over_all * 3 / 4, max(4.0, over_all / 8), now)
        self.good: OrderedDict[str, None] = OrderedDict()
        self.sources: OrderedDict[str, Bucket] = OrderedDict()

    def take(self, source: str, now: int) -> int:
        """Takes one check: 0; else how long until there may be one, in microseconds."""
        bucket = self.sources.get(source)
        if bucket is None:
            bucket = self.sources[source] = Bucket(self.each, max(4.0, self.each / 2), now)
            if len(self.sources) > self.most:
                self.sources.popitem(last=False)
        else:
            self.sources.move_to_end(source)
        wait = bucket.take(now)
        if wait:
            return wait
        if source in self.good and not self.known.take(now):
            return 0
        wait = self.strange.take(now)
        if wait:
            bucket.held += 1.0  # nothing was checked
        return wait

    def proven(self, source: str) -> None:
        """A good token came from there."""
        self.good[source] = None
        self.good.move_to_end(source)
        if len(self.good) > self.most:
            self.good.popitem(last=False)
