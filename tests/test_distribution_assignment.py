"""Assignment of dispatchers to replicas, selection of a replica, and the order of catch-ups."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.distribution.assignment import (
    ReplicaAddress,
    load_bound,
    may_accept,
    preference,
    return_delay_us,
)
from hoistplank.distribution.catch_up import CatchUpQueue
from hoistplank.distribution.replica_selection import REDIRECT_HOLD_S, ReplicaSelection

SECOND_US = 1_000_000

REGIONS = ("north", "south", "east", "west", "mid")
REPLICAS = [ReplicaAddress(f"c{number}", region) for number, region in enumerate(REGIONS)]
# 31 sites of 21 to 23 dispatchers
FLEET = [(f"{site}-{i}", REGIONS[site % 5]) for site in range(31) for i in range(22 - (site % 31 == 0) * 2)]


def loads(living: list[ReplicaAddress]) -> list[int]:
    """Returns the dispatchers per living replica after all have connected one by one in random order."""
    counts = dict.fromkeys((replica.name for replica in living), 0)
    for dispatcher, region in Random(1).sample(FLEET, len(FLEET)):
        for replica in preference(dispatcher, region, REPLICAS):
            if replica.name in counts and may_accept(counts[replica.name], len(FLEET), len(living)):
                counts[replica.name] += 1
                break
    return list(counts.values())


def test_dispatchers_of_lost_replicas_spread_evenly() -> None:
    assert len(FLEET) == 680
    for dead in [set[int]()] + [{i} for i in range(5)] + [{i, j} for i in range(5) for j in range(i)]:
        living = [replica for number, replica in enumerate(REPLICAS) if number not in dead]
        counts, share = loads(living), 680 / len(living)
        assert sum(counts) == 680, "each dispatcher is accepted by a replica"
        assert max(counts) <= load_bound(680, len(living))
        assert 0.9 * share <= min(counts) and max(counts) <= 1.1 * share + 1, (dead, counts)


def test_preference_starts_with_own_region_and_keeps_its_order_without_another_replica() -> None:
    pair = [*REPLICAS, ReplicaAddress("c5", "north")]
    firsts = set()
    for dispatcher, region in FLEET:
        order = preference(dispatcher, region, pair)
        own = [replica for replica in pair if replica.region == region]
        assert set(order[: len(own)]) == set(own) and set(order) == set(pair)
        for gone in pair:
            left = tuple(replica for replica in order if replica != gone)
            assert preference(dispatcher, region, [replica for replica in pair if replica != gone]) == left
        firsts.add(order[0].name)
    assert firsts == {replica.name for replica in pair}


def test_return_delays_are_spread_over_the_period() -> None:
    random, seconds = Random(2), [0] * 60
    for _ in range(136):
        seconds[return_delay_us(random) // SECOND_US] += 1
    assert max(seconds) <= 9, "of 136 in 60 s"


@given(st.lists(st.integers(0, 2_000_000), min_size=1, max_size=60), st.integers(1, 20))
@settings(max_examples=60, deadline=None)
def test_catch_up_queue_serves_in_order_and_within_its_bounds(sizes: list[int], max_concurrent: int) -> None:
    queue = CatchUpQueue[int](max_concurrent, 4_000_000)
    for key, size in enumerate(sizes):
        assert queue.enqueue(key, size)
    now, served = 0, list[int]()
    while (wakeup := queue.next_wakeup_us(now)) is not None:
        assert wakeup >= now
        now = wakeup
        overdue = queue.remove_overdue(now)
        started = queue.start_ready(now)
        assert overdue or started, "woken up without anything to do"
        assert queue.active_count <= max_concurrent
        served += started
        for key in started:
            assert (
                now >= sum(sizes[:key]) * SECOND_US // 4_000_000 - key
            ), "more bytes per second than the limit"
            if key % 3:  # each third receives nothing, and keeps its turn until the limit
                queue.finish(key)
    assert served == list(range(len(sizes)))


def test_redirecting_replica_is_not_retried_within_the_hold() -> None:
    first, second, third = REPLICAS[:3]
    selection = ReplicaSelection((first, second, third))
    assert selection.is_preferred and list(selection.preferred_to_current()) == []
    selection.mark_redirected(1_000.0)
    selection.advance()
    selection.advance()
    assert selection.current == third and list(selection.preferred_to_current()) == [first, second]
    assert not selection.may_try(first, 1_000.0 + REDIRECT_HOLD_S - 1) and selection.may_try(second, 1_000.0)
    assert selection.may_try(first, 1_000.0 + REDIRECT_HOLD_S)
    selection.advance()
    assert selection.current == first
    selection.advance()
    selection.restart()
    assert selection.is_preferred
