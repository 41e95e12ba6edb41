"""Which dispatcher has which version in force: nothing that was not applied, at any order of arrival."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.distribution.acknowledgements import AcknowledgementTable, Registration
from hoistplank.distribution.change_status import ChangeKind, MissingDispatcher
from hoistplank.distribution.messages import (
    Acknowledgement,
    AcknowledgementRow,
    FollowRequest,
    Refusal,
    VersionFields,
)
from hoistplank.distribution.versions import NOTHING, Version

S = 1_000_000
HOUR = 3_600 * S


def in_force(number: int, configuration: int = 0, refused: int = 0) -> Acknowledgement:
    refusal = Refusal(VersionFields(1, refused), f"no {refused}") if refused else None
    return Acknowledgement(
        VersionFields(1, number),
        VersionFields(1, configuration) if configuration else VersionFields(),
        refusal,
    )


def follow(dispatcher: str, incarnation: int = 1, number: int = 0) -> FollowRequest:
    return FollowRequest(
        dispatcher, incarnation, "north", VersionFields(1, number) if number else VersionFields()
    )


def test_the_missing_are_named_with_what_they_hold_and_why() -> None:
    table = AcknowledgementTable(HOUR)
    for number in range(680):
        assert table.register(0, "c1", follow(f"d{number}")) is Registration.ACCEPTED
        assert table.acknowledge(S, f"d{number}", 1, in_force(9, 9))
    assert table.acknowledge(2 * S, "d7", 1, in_force(10, 9, refused=10))
    for number in range(680):
        if number not in (7, 8):
            assert table.acknowledge(3 * S, f"d{number}", 1, in_force(10, 10))
    status = table.change_status(Version(1, 10), ChangeKind.CONFIGURATION)
    assert (status.in_force, status.total) == (678, 680)
    assert status.missing == [
        MissingDispatcher("d7", Version(1, 9), 2 * S, True, "no 10"),
        MissingDispatcher("d8", Version(1, 9), S, True, ""),
    ]
    assert [row.dispatcher for row in table.change_status(Version(1, 10)).missing] == ["d7", "d8"]
    fleet = table.fleet_status(9 * S, Version(1, 10), Version(1, 10), 7 * S)
    assert fleet.configuration == status and fleet.connected == 680
    assert [row.dispatcher for row in fleet.silent] == ["d8"], "connected, and silent for 8 s"


def test_an_earlier_start_is_refused_and_a_new_one_begins_with_what_it_says() -> None:
    table = AcknowledgementTable(HOUR)
    assert table.register(0, "c1", follow("d", 5, 40)) is Registration.ACCEPTED
    assert table.register(0, "c1", follow("d", 4, 90)) is Registration.STALE_INCARNATION
    assert table.latest_incarnation("d") == 5
    assert not table.acknowledge(0, "d", 4, in_force(90))
    assert not table.acknowledge(0, "e", 1, in_force(90))
    assert table.register(0, "c1", follow("d", 6)) is Registration.ACCEPTED
    assert not table.change_status(Version(1, 1)).in_force, "a new start holds nothing"
    assert not table.acknowledge(0, "d", 5, in_force(90)), "late, from the start before"
    table.disconnect("d", 5)
    assert table.connected_count() == 1, "the end of the start before's connection is noticed late"


def test_a_connection_that_ends_late_and_a_peers_old_word_change_nothing() -> None:
    table = AcknowledgementTable(HOUR)
    table.register(0, "c1", follow("d"))
    table.register(0, "c1", follow("d"))
    table.disconnect("d", 1)
    assert (table.connected_count(), table.connected_count_at("c1")) == (1, 1)
    table.disconnect("d", 1)
    assert table.connected_count() == 0
    assert table.merge_peer_row(S, "c2", AcknowledgementRow("d", 1, in_force(5), "north", True, 0))
    assert (table.connected_count_at("c1"), table.connected_count_at("c2")) == (0, 1)
    table.merge_peer_row(S, "c3", AcknowledgementRow("d", 1, in_force(3), "north", False, 0))
    assert table.connected_count_at("c2") == 1
    assert table.change_status(Version(1, 5)).in_force == 1
    table.mark_peer_lost("c2")
    assert table.connected_count() == 0


def test_rows_for_a_peer_are_those_that_changed_and_are_this_replicas_own() -> None:
    table, peer = AcknowledgementTable(HOUR), AcknowledgementTable(HOUR)
    for name in ("a", "b", "c"):
        table.register(0, "c1", follow(name))
    table.merge_peer_row(0, "c2", AcknowledgementRow("e", 1, in_force(5)))
    rows = table.rows_since(0, 0)
    assert [row.dispatcher for row in rows] == ["a", "b", "c"]
    seen = table.revision
    table.acknowledge(2 * S, "b", 1, in_force(4))
    changed = table.rows_since(3 * S, seen)
    assert [(row.dispatcher, row.heard_ago_us) for row in changed] == [("b", S)]
    for row in [*rows, *changed, *rows]:
        assert peer.merge_peer_row(3 * S, "c1", row)
    assert peer.change_status(Version(1, 4)).in_force == 1 and peer.connected_count_at("c1") == 3


def test_rows_are_bounded_and_forgotten_after_the_retention() -> None:
    table = AcknowledgementTable(HOUR, max_dispatchers=3)
    for name in ("a", "b", "c"):
        assert table.register(0, "c1", follow(name)) is Registration.ACCEPTED
    assert table.register(0, "c1", follow("d")) is Registration.TABLE_FULL
    assert not table.merge_peer_row(0, "c2", AcknowledgementRow("d", 1, in_force(5)))
    assert table.register(0, "c1", follow("a", 2)) is Registration.ACCEPTED, "a known one has its place"
    table.disconnect("b", 1)
    assert table.remove_expired(HOUR) == []
    assert table.remove_expired(HOUR + 1) == ["b"], "the others are connected, if frozen"
    assert table.register(HOUR + 1, "c1", follow("d")) is Registration.ACCEPTED
    assert [row.dispatcher for row in table.rows_since(HOUR + 1, 0)] == ["c", "a", "d"]


class Step(NamedTuple):
    """What a dispatcher does next, or which of all that it ever said arrives now, and where."""

    dispatcher: int
    act: str  # applies, refuses, restarts, or says
    arrives: int | None
    by_peer: bool


steps = st.builds(
    Step,
    st.integers(0, 2),
    st.sampled_from(("applies", "configures", "refuses", "restarts", "says")),
    st.none() | st.integers(0, 10**6),
    st.booleans(),
)


class Truth:
    """One dispatcher as it is: which start of it, and what it has applied."""

    def __init__(self, name: str) -> None:
        self.name, self.incarnation = name, 1
        self.number, self.configuration, self.refused = 0, 0, 0

    def does(self, act: str) -> None:
        if act == "restarts":
            self.incarnation += 1
            self.number, self.configuration, self.refused = 0, 0, 0
        elif act != "says":
            self.number += 1
            if act == "configures":
                self.configuration, self.refused = self.number, 0
            if act == "refuses":
                self.refused = self.number

    def row(self) -> AcknowledgementRow:
        said = in_force(self.number, self.configuration, self.refused)
        return AcknowledgementRow(self.name, self.incarnation, said)


@given(st.lists(steps, max_size=80))
@settings(max_examples=300, deadline=None)
def test_nothing_counts_that_was_not_applied_at_any_order(walk: list[Step]) -> None:
    table = AcknowledgementTable(HOUR)
    fleet = [Truth(f"d{number}") for number in range(3)]
    said: list[AcknowledgementRow] = []
    best = dict[tuple[str, int], tuple[Version, Version]]()
    for truth in fleet:
        table.register(0, "c1", FollowRequest(truth.name, truth.incarnation))
    for now, step in enumerate(walk):
        truth = fleet[step.dispatcher]
        truth.does(step.act)
        said.append(truth.row())
        if step.act == "restarts":
            table.register(now, "c1", FollowRequest(truth.name, truth.incarnation))
        if step.arrives is not None:
            row = said[step.arrives % len(said)]
            if step.by_peer:
                table.merge_peer_row(now, "c2", row)
            else:
                table.acknowledge(now, row.dispatcher, row.incarnation, row.acknowledgement)
        check_counts(table, fleet, best)


def check_counts(
    table: AcknowledgementTable, fleet: list[Truth], best: dict[tuple[str, int], tuple[Version, Version]]
) -> None:
    highest = Version(1, 1_000)
    events = {row.dispatcher: row for row in table.change_status(highest).missing}
    configurations = {
        row.dispatcher: row for row in table.change_status(highest, ChangeKind.CONFIGURATION).missing
    }
    for truth in fleet:
        counted = events[truth.name].version, configurations[truth.name].version
        assert counted[0] <= Version(1, truth.number), "counted, and not applied"
        assert counted[1] <= (Version(1, truth.configuration) if truth.configuration else NOTHING)
        known = truth.name, table.latest_incarnation(truth.name) or 0
        assert known[1] == truth.incarnation, "a peer tells of no start before it was"
        before = best.get(known, (NOTHING, NOTHING))
        assert counted[0] >= before[0] and counted[1] >= before[1], "in force went back"
        best[known] = counted
        if truth.refused:
            refused = table.change_status(Version(1, truth.refused), ChangeKind.CONFIGURATION)
            assert truth.name in [row.dispatcher for row in refused.missing], "refused, and counted"
