"""The scale run's accounting of delays, against a plain count."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoistplank.lab.scale.replay import CHANGE, PURGE, RENEWAL
from hoistplank.lab.scale.run_delays import NEVER, quantiles
from tests.scale_rig import deliveries


def test_delay_is_that_of_the_last_dispatcher() -> None:
    made = deliveries()
    made.told(0, 1, PURGE, 100)
    made.told(0, 2, CHANGE, 200)
    made.acknowledged(0, 0, 2, 210)
    made.acknowledged(1, 0, 1, 130)
    made.acknowledged(1, 0, 2, 260)
    made.acknowledged(2, 0, 1, 150)
    found = made.delays()
    assert [(row.kind, row.last_us, row.last, row.awaited) for row in found.events] == [
        (PURGE, 110, "d0", 3),
        (CHANGE, NEVER, "d2", 3),
    ]
    assert found.of(CHANGE).never == 1
    assert found.stragglers({PURGE: 105, CHANGE: 1_000}, 0) == {"d0": 1, "d2": 1}
    assert found.returns == []


def test_who_can_not_be_reached_is_awaited_only_once_it_is_back() -> None:
    made = deliveries(2)
    made.told(0, 1, PURGE, 100)
    made.acknowledged(0, 0, 1, 101)
    made.acknowledged(1, 0, 1, 102)
    made.unreachable(1, 150)
    made.told(0, 2, PURGE, 200)
    made.acknowledged(0, 0, 2, 205)
    made.reachable(1, 300, False)
    made.told(0, 3, PURGE, 310)
    made.acknowledged(0, 0, 3, 311)
    made.acknowledged(1, 0, 2, 340)
    made.acknowledged(1, 0, 3, 350)
    found = made.delays()
    assert [(row.last_us, row.last, row.awaited) for row in found.events] == [
        (2, "d1", 2),
        (5, "d0", 1),
        (40, "d1", 2),
    ]
    assert [(row.name, row.begin_us, row.took_us) for row in found.returns] == [("d1", 300, 40)]


def test_a_restarted_one_needs_all_again_and_one_that_missed_nothing_does_not() -> None:
    made = deliveries(2)
    made.told(0, 1, PURGE, 100)
    for number in range(2):
        made.acknowledged(number, 0, 1, 101)
        made.unreachable(number, 200)
        made.reachable(number, 300, number == 0)
    assert [(row.name, row.took_us) for row in made.delays().returns] == [("d0", NEVER)]
    made.acknowledged(0, 0, 1, 333)
    assert [(row.name, row.took_us) for row in made.delays().returns] == [("d0", 33)]


def test_who_had_an_event_by_a_moment_is_counted() -> None:
    made = deliveries(2)
    made.acknowledged(0, 0, 2, 100)
    made.acknowledged(0, 0, 1, 110)  # another life of it
    made.acknowledged(1, 1, 1, 120)
    assert [made.having(0, 2, at) for at in (99, 100, 115, 120)] == [0, 1, 1, 2]
    assert (made.having(1, 1, 119), made.having(1, 1, 120)) == (0, 1)


def test_an_epoch_goes_before_numbers() -> None:
    made = deliveries(1)
    made.told(0, 9, PURGE, 100)
    made.acknowledged(0, 0, 9, 101)
    made.told(1, 1, RENEWAL, 200)
    made.acknowledged(0, 0, 12, 210)  # of the old epoch: no sign of the new one
    made.acknowledged(0, 1, 1, 230)
    assert [row.last_us for row in made.delays().events] == [1, 30]


@st.composite
def histories(draw: st.DrawFn) -> tuple[list[int], list[list[tuple[int, int]]]]:
    """When each event was told, and for each dispatcher when it acknowledged which number."""
    told = sorted(draw(st.lists(st.integers(0, 50), min_size=1, max_size=6)))
    acknowledged = []
    for _ in range(draw(st.integers(1, 3))):
        moments = sorted(draw(st.lists(st.integers(0, 80), max_size=6)))
        numbers = sorted(draw(st.integers(1, len(told))) for _ in moments)
        acknowledged.append(list(zip(moments, numbers, strict=True)))
    return told, acknowledged


@given(histories())
def test_delays_are_those_of_a_plain_count(history: tuple[list[int], list[list[tuple[int, int]]]]) -> None:
    told, acknowledged = history
    made = deliveries(len(acknowledged))
    for number, at in enumerate(told, 1):
        made.told(0, number, PURGE, at)
    for dispatcher, rows in enumerate(acknowledged):
        for at, number in rows:
            made.acknowledged(dispatcher, 0, number, at)
    plain = []
    for number, at in enumerate(told, 1):
        reached = [[when for when, held in rows if held >= number] for rows in acknowledged]
        plain.append(max(NEVER if not whens else whens[0] - at for whens in reached))
    assert [row.last_us for row in made.delays().events] == [max(-1, value) for value in plain]


def test_quantiles_count_apart_what_never_came() -> None:
    found = quantiles([1_000 * n for n in range(1, 101)] + [NEVER] * 2)
    assert (found.many, found.p50, found.max, found.never) == (102, 50.5, 100.0, 2)
