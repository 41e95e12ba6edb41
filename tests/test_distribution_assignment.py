"""Which replica a dispatcher follows, and in which turn it catches up."""

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

S = 1_000_000

REGIONS = ("north", "south", "east", "west", "mid")
REPLICAS = [ReplicaAddress(f"c{number}", region) for number, region in enumerate(REGIONS)]
# 31 sites of 21 to 23 dispatchers
FLEET = [(f"{site}-{i}", REGIONS[site % 5]) for site in range(31) for i in range(22 - (site % 31 == 0) * 2)]


def loads(living: list[ReplicaAddress]) -> list[int]:
    """How many dispatchers each living replica has after all came, one by one, in an order by chance."""
    had = dict.fromkeys((replica.name for replica in living), 0)
    for dispatcher, region in Random(1).sample(FLEET, len(FLEET)):
        for replica in preference(dispatcher, region, REPLICAS):
            if replica.name in had and may_accept(had[replica.name], len(FLEET), len(living)):
                had[replica.name] += 1
                break
    return list(had.values())


def test_a_dead_replicas_dispatchers_spread_evenly() -> None:
    assert len(FLEET) == 680
    for dead in [set[int]()] + [{i} for i in range(5)] + [{i, j} for i in range(5) for j in range(i)]:
        living = [replica for number, replica in enumerate(REPLICAS) if number not in dead]
        had, share = loads(living), 680 / len(living)
        assert sum(had) == 680, "everyone is taken by someone"
        assert max(had) <= load_bound(680, len(living))
        assert 0.9 * share <= min(had) and max(had) <= 1.1 * share + 1, (dead, had)


def test_a_dispatchers_order_begins_in_its_region_and_stands_when_another_goes() -> None:
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


def test_dispatchers_go_back_one_by_one() -> None:
    chance, seconds = Random(2), [0] * 60
    for _ in range(136):
        seconds[return_delay_us(chance) // S] += 1
    assert max(seconds) <= 9, "of 136 in 60 s"


@given(st.lists(st.integers(0, 2_000_000), min_size=1, max_size=60), st.integers(1, 20))
@settings(max_examples=60, deadline=None)
def test_a_fleet_that_comes_back_at_once_is_served_in_order(sizes: list[int], most: int) -> None:
    queue = CatchUpQueue[int](most, 4_000_000)
    for key, size in enumerate(sizes):
        assert queue.enqueue(key, size)
    now, served = 0, list[int]()
    while (then := queue.next_wakeup_us(now)) is not None:
        assert then >= now
        now = then
        lost = queue.remove_overdue(now)
        begun = queue.start_ready(now)
        assert lost or begun, "asked for nothing"
        assert queue.active_count <= most
        served += begun
        for key in begun:
            assert now >= sum(sizes[:key]) * S // 4_000_000 - key, "no more bytes a second than said"
            if key % 3:  # each third takes nothing, and holds its turn until the limit
                queue.finish(key)
    assert served == list(range(len(sizes)))


def test_a_replica_that_rejected_a_dispatcher_is_not_tried_again_for_some_time() -> None:
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
