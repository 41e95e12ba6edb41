"""What a path does to streams and datagrams under any conditions."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.lab.fleet.path_conditions import (
    UNIMPAIRED,
    DatagramDirection,
    PathConditions,
    StreamDirection,
    chance,
)
from hoistplank.lab.model.world_settings import SECOND_US

SPANS = st.integers(0, 300_000)


CONDITIONS = st.builds(
    PathConditions,
    delay_us=SPANS,
    spread_us=SPANS,
    rate=st.sampled_from([0.0, 1e4, 1e6]),
    silent=st.booleans(),
)


STEPS = st.lists(st.tuples(st.integers(0, 200_000), st.integers(0, 5_000), CONDITIONS), max_size=30)


@given(STEPS, st.integers(0, 99))
def test_a_stream_keeps_its_order_and_loses_nothing_whatever_the_terms(
    steps: list[tuple[int, int, PathConditions]], seed: int
) -> None:
    stream, now, came = StreamDirection[int](UNIMPAIRED, chance(seed, "a>b")), 0, list[tuple[int, int]]()
    for n, (wait, size, conditions) in enumerate(steps):
        now += wait
        came += stream.set_conditions(now, conditions)
        came += stream.push(now, size, n)
    came += stream.set_conditions(now + 1, UNIMPAIRED)
    assert [item for _, item in came] == list(range(len(steps))) and stream.held() == 0
    times = [at for at, _ in came]
    assert times == sorted(times)


def test_a_rate_bounds_a_stream_and_a_silence_holds_it() -> None:
    stream = StreamDirection[str](PathConditions(rate=1e6), chance(1, "a>b"))
    assert stream.push(0, 500_000, "a") == [(500_000, "a")]
    assert stream.push(0, 500_000, "b") == [(1_000_000, "b")]
    stream.set_conditions(1_000_000, PathConditions(silent=True))
    assert stream.push(1_200_000, 7, "c") == [] and stream.held() == 7
    assert stream.set_conditions(3_000_000, UNIMPAIRED) == [(3_000_000, "c")]


def test_datagrams_are_lost_doubled_late_and_changed_by_their_shares_and_their_seed() -> None:
    def played(conditions: PathConditions, seed: int = 1) -> list[tuple[int, bytes]]:
        direction = DatagramDirection(conditions, chance(seed, "d0~d1/there"))
        return [pair for n in range(2_000) for pair in direction.push(n, n.to_bytes(4, "big"))]

    assert len(played(PathConditions(loss=0.4))) == pytest.approx(1_200, abs=80)
    assert len(played(PathConditions(double=0.3))) == pytest.approx(2_600, abs=80)
    late = [
        at for at, data in played(PathConditions(tardy=0.2, tardy_us=2 * SECOND_US)) if at >= 2 * SECOND_US
    ]
    assert len(late) == pytest.approx(400, abs=60)
    changed = [
        data for n, (_, data) in enumerate(played(PathConditions(flip=0.5))) if data != n.to_bytes(4, "big")
    ]
    assert len(changed) == pytest.approx(1_000, abs=80) and all(len(data) == 4 for data in changed)
    jumbled = played(PathConditions(jumble=0.5, jumble_us=1_000))
    assert [at for at, _ in jumbled] != sorted(at for at, _ in jumbled)
    assert played(PathConditions(silent=True)) == []
    assert (
        played(PathConditions(loss=0.4))
        == played(PathConditions(loss=0.4))
        != played(PathConditions(loss=0.4), 2)
    )
    # Another share leaves all other draws as they were: the same ones are lost.
    first, second = (
        ({data for _, data in played(PathConditions(loss=0.2, double=share))}) for share in (0.0, 0.9)
    )
    assert first == second
