"""Types that pass between a host program and the router: what is read at start, host entries, answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

IDEMPOTENT, KEYED, NON_IDEMPOTENT = "idempotent", "keyed", "non-idempotent"


class Result:
    """How an attempt ended."""

    SUCCEEDED, ERROR, FULL, LATE, NO_CONNECTION, BROKEN, WITHDRAWN, NEVER_SENT, MISS, SPOILT = range(10)


class Note:
    """What an answer says of its copy; 0 says nothing."""

    (
        HIT,
        FILLED,
        FROM_ORIGIN,
        JOINED,
        OLD,
        SOURCE_REFUSED,
        SOURCE_LOST,
        SOURCE_LACKS,
        NO_PLACE,
        ORIGIN_LOST,
    ) = range(1, 11)


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The figures of one traffic class."""

    name: str
    target_us: int
    target_stretch: float
    deadline_us: int
    utility: float
    late_share: float
    semantics: str
    dedup_group: str
    dedup_window_us: int
    fresh_us: int
    grace_us: int
    old_share: float
    uncached: bool
    streamed: bool


@dataclass(frozen=True, slots=True)
class HouseRules:
    """The figures of the rules, and what the site allows."""

    drain_us: int
    cold_from: float
    cold_us: int
    tip_us: int
    tip_multiple: float
    parent_cold_from: float
    parent_cold_us: int
    parent_tip_multiple: float
    purge_takes_us: int
    slack_us: int
    connect_us: int
    max_attempts: int
    may_pair: bool
    may_withdraw: bool
    may_probe: bool
    may_pass_by: bool
    may_name_return: bool
    max_return_us: int
    must_follow: bool
    ask_every_us: int


@dataclass(frozen=True, slots=True)
class Site:
    """What a dispatcher is told of its place when it starts."""

    rules: HouseRules
    traffic_classes: tuple[TrafficClass, ...]
    zone: str
    number: int
    dispatchers: int
    dispatchers_here: int
    link_kb_s: float
    stream_kb_s: float
    links_told: bool
    joins: bool
    notes_all: bool
    sources_beside: str
    parent_kind: str
    origin_kind: str
    report_fields: tuple[str, ...]
    reports_in_answers: bool
    tick_us: int

    @property
    def floors_us(self) -> int:
        """For how long after a purge a copy from before it may still be asked for: twice the time in which
        purges are carried out, or the longest freshness and grace, and a second."""
        oldest = max((row.fresh_us + row.grace_us for row in self.traffic_classes), default=0)
        return max(2 * self.rules.purge_takes_us, oldest) + 1_000_000


class HostEntry(NamedTuple):
    """One line of the cache host list; state is up, draining or gone."""

    host: str
    zone: str
    kind: str
    cell: int
    units: float
    started_us: int
    state: str


@dataclass(frozen=True, slots=True)
class Reduced:
    """What a level of reduced service asks of the router, by traffic class name as the settings give it; the
    router still decides, and the rules hold at every level.

    `reject`: traffic classes whose new requests (first parts) are rejected at once; `every_part`: of those,
    the ones whose later parts are rejected too; `old_first`: traffic classes that take an old copy within its
    grace before they wait for a fill; `fill_share`: of the router's room for fills, above 0 and up to 1;
    `most_attempts`: attempts a request at most, 0 where the settings decide; `retry_share`: attempts
    beyond the first, over the last 10 s, as a share of first attempts, by traffic class and by cache host; 0
    for no such budget. Raises ValueError where a figure is out of its range.
    """

    level: str = "full"
    reject: tuple[str, ...] = ()
    every_part: tuple[str, ...] = ()
    old_first: tuple[str, ...] = ()
    fill_share: float = 1.0
    most_attempts: int = 0
    retry_share: float = 0.0

    def __post_init__(self) -> None:
        if not 0.0 < self.fill_share <= 1.0:
            raise ValueError(f"fill_share {self.fill_share} is not above 0 and up to 1")
        if self.most_attempts < 0 or not 0.0 <= self.retry_share <= 16.0:
            told = f"most_attempts {self.most_attempts} or retry_share {self.retry_share}"
            raise ValueError(f"{told} out of range")
        if not set(self.every_part) <= set(self.reject):
            raise ValueError("every_part names a traffic class that reject does not")

    def joined(self, other: Reduced) -> Reduced:
        """Both at once: the stricter of each figure, the union of each list, the level of `other`."""
        attempts = [n for n in (self.most_attempts, other.most_attempts) if n]

        def union(one: tuple[str, ...], two: tuple[str, ...]) -> tuple[str, ...]:
            return tuple(sorted({*one, *two}))

        shares = [n for n in (self.retry_share, other.retry_share) if n]
        return Reduced(
            other.level,
            union(self.reject, other.reject),
            union(self.every_part, other.every_part),
            union(self.old_first, other.old_first),
            min(self.fill_share, other.fill_share),
            min(attempts) if attempts else 0,
            min(shares) if shares else 0.0,
        )


@dataclass(slots=True)
class Decision:
    """One thing to do: attempt, reject, fail, withdraw, wake, follow, probe."""

    act: str
    request: str = ""
    host: str = ""
    source: str = ""
    within_us: int = 0
    keep: int = 0
    oldest_us: int = 0
    join: bool = False
    renew: bool = False
    attempt: int = 0
    wait_us: int = 0
    token: int = 0
    begin_by_us: int = 0  # an attempt that has not begun by then must not any more; 0: no such bound
