"""AcknowledgementTable: no unapplied version counts as in force, in any order of delivery."""

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

SECOND_US = 1_000_000
HOUR_US = 3_600 * SECOND_US


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


def test_change_status_lists_missing_dispatchers_with_version_and_refusal() -> None:
    table = AcknowledgementTable(HOUR_US)
    for number in range(680):
        assert table.register(0, "c1", follow(f"d{number}")) is Registration.ACCEPTED
        assert table.acknowledge(SECOND_US, f"d{number}", 1, in_force(9, 9))
    assert table.acknowledge(2 * SECOND_US, "d7", 1, in_force(10, 9, refused=10))
    for number in range(680):
        if number not in (7, 8):
            assert table.acknowledge(3 * SECOND_US, f"d{number}", 1, in_force(10, 10))
    status = table.change_status(Version(1, 10), ChangeKind.CONFIGURATION)
    assert (status.in_force, status.total) == (678, 680)
    assert status.missing == [
        MissingDispatcher("d7", Version(1, 9), 2 * SECOND_US, True, "no 10"),
        MissingDispatcher("d8", Version(1, 9), SECOND_US, True, ""),
    ]
    assert [row.dispatcher for row in table.change_status(Version(1, 10)).missing] == ["d7", "d8"]
    fleet = table.fleet_status(9 * SECOND_US, Version(1, 10), Version(1, 10), 7 * SECOND_US)
    assert fleet.configuration == status and fleet.connected == 680
    assert [row.dispatcher for row in fleet.silent] == ["d8"], "connected, and silent for 8 s"


def test_stale_incarnation_is_rejected_and_new_one_starts_from_its_version() -> None:
    table = AcknowledgementTable(HOUR_US)
    assert table.register(0, "c1", follow("d", 5, 40)) is Registration.ACCEPTED
    assert table.register(0, "c1", follow("d", 4, 90)) is Registration.STALE_INCARNATION
    assert table.latest_incarnation("d") == 5
    assert not table.acknowledge(0, "d", 4, in_force(90))
    assert not table.acknowledge(0, "e", 1, in_force(90))
    assert table.register(0, "c1", follow("d", 6)) is Registration.ACCEPTED
    assert not table.change_status(Version(1, 1)).in_force, "a new incarnation holds nothing"
    assert not table.acknowledge(0, "d", 5, in_force(90)), "late, from the previous incarnation"
    table.disconnect("d", 5)
    assert table.connected_count() == 1, "the previous incarnation's connection ends late"


def test_late_disconnect_and_outdated_peer_row_change_nothing() -> None:
    table = AcknowledgementTable(HOUR_US)
    table.register(0, "c1", follow("d"))
    table.register(0, "c1", follow("d"))
    table.disconnect("d", 1)
    assert (table.connected_count(), table.connected_count_at("c1")) == (1, 1)
    table.disconnect("d", 1)
    assert table.connected_count() == 0
    assert table.merge_peer_row(SECOND_US, "c2", AcknowledgementRow("d", 1, in_force(5), "north", True, 0))
    assert (table.connected_count_at("c1"), table.connected_count_at("c2")) == (0, 1)
    table.merge_peer_row(SECOND_US, "c3", AcknowledgementRow("d", 1, in_force(3), "north", False, 0))
    assert table.connected_count_at("c2") == 1
    assert table.change_status(Version(1, 5)).in_force == 1
    table.mark_peer_lost("c2")
    assert table.connected_count() == 0


def test_rows_since_returns_changed_rows_of_own_dispatchers() -> None:
    table, peer = AcknowledgementTable(HOUR_US), AcknowledgementTable(HOUR_US)
    for name in ("a", "b", "c"):
        table.register(0, "c1", follow(name))
    table.merge_peer_row(0, "c2", AcknowledgementRow("e", 1, in_force(5)))
    rows = table.rows_since(0, 0)
    assert [row.dispatcher for row in rows] == ["a", "b", "c"]
    revision = table.revision
    table.acknowledge(2 * SECOND_US, "b", 1, in_force(4))
    changed = table.rows_since(3 * SECOND_US, revision)
    assert [(row.dispatcher, row.heard_ago_us) for row in changed] == [("b", SECOND_US)]
    for row in [*rows, *changed, *rows]:
        assert peer.merge_peer_row(3 * SECOND_US, "c1", row)
    assert peer.change_status(Version(1, 4)).in_force == 1 and peer.connected_count_at("c1") == 3


def test_rows_are_bounded_and_removed_after_the_retention() -> None:
    table = AcknowledgementTable(HOUR_US, max_dispatchers=3)
    for name in ("a", "b", "c"):
        assert table.register(0, "c1", follow(name)) is Registration.ACCEPTED
    assert table.register(0, "c1", follow("d")) is Registration.TABLE_FULL
    assert not table.merge_peer_row(0, "c2", AcknowledgementRow("d", 1, in_force(5)))
    assert (
        table.register(0, "c1", follow("a", 2)) is Registration.ACCEPTED
    ), "a known dispatcher is accepted in a full table"
    table.disconnect("b", 1)
    assert table.remove_expired(HOUR_US) == []
    assert table.remove_expired(HOUR_US + 1) == ["b"], "the others are connected, although silent"
    assert table.register(HOUR_US + 1, "c1", follow("d")) is Registration.ACCEPTED
    assert [row.dispatcher for row in table.rows_since(HOUR_US + 1, 0)] == ["c", "a", "d"]


class Step(NamedTuple):
    """A dispatcher's next action, and which of all acknowledgements sent so far is delivered, and where."""

    dispatcher: int
    action: str  # applies, configures, refuses, restarts, or only reports
    delivered_index: int | None
    by_peer: bool


steps = st.builds(
    Step,
    st.integers(0, 2),
    st.sampled_from(("applies", "configures", "refuses", "restarts", "reports")),
    st.none() | st.integers(0, 10**6),
    st.booleans(),
)


class DispatcherModel:
    """The actual state of one dispatcher: its incarnation, and what it has applied."""

    def __init__(self, name: str) -> None:
        self.name, self.incarnation = name, 1
        self.number, self.configuration, self.refused = 0, 0, 0

    def perform(self, action: str) -> None:
        if action == "restarts":
            self.incarnation += 1
            self.number, self.configuration, self.refused = 0, 0, 0
        elif action != "reports":
            self.number += 1
            if action == "configures":
                self.configuration, self.refused = self.number, 0
            if action == "refuses":
                self.refused = self.number

    def row(self) -> AcknowledgementRow:
        acknowledgement = in_force(self.number, self.configuration, self.refused)
        return AcknowledgementRow(self.name, self.incarnation, acknowledgement)


@given(st.lists(steps, max_size=80))
@settings(max_examples=300, deadline=None)
def test_no_delivery_order_counts_an_unapplied_version(walk: list[Step]) -> None:
    table = AcknowledgementTable(HOUR_US)
    fleet = [DispatcherModel(f"d{number}") for number in range(3)]
    sent: list[AcknowledgementRow] = []
    highest_counted = dict[tuple[str, int], tuple[Version, Version]]()
    for model in fleet:
        table.register(0, "c1", FollowRequest(model.name, model.incarnation))
    for now, step in enumerate(walk):
        model = fleet[step.dispatcher]
        model.perform(step.action)
        sent.append(model.row())
        if step.action == "restarts":
            table.register(now, "c1", FollowRequest(model.name, model.incarnation))
        if step.delivered_index is not None:
            row = sent[step.delivered_index % len(sent)]
            if step.by_peer:
                table.merge_peer_row(now, "c2", row)
            else:
                table.acknowledge(now, row.dispatcher, row.incarnation, row.acknowledgement)
        check_counted_versions(table, fleet, highest_counted)


def check_counted_versions(
    table: AcknowledgementTable,
    fleet: list[DispatcherModel],
    highest_counted: dict[tuple[str, int], tuple[Version, Version]],
) -> None:
    highest = Version(1, 1_000)
    events = {row.dispatcher: row for row in table.change_status(highest).missing}
    configurations = {
        row.dispatcher: row for row in table.change_status(highest, ChangeKind.CONFIGURATION).missing
    }
    for model in fleet:
        counted = events[model.name].version, configurations[model.name].version
        assert counted[0] <= Version(1, model.number), "counted, although not applied"
        assert counted[1] <= (Version(1, model.configuration) if model.configuration else NOTHING)
        key = model.name, table.latest_incarnation(model.name) or 0
        assert key[1] == model.incarnation, "the table knows an incarnation that does not exist"
        before = highest_counted.get(key, (NOTHING, NOTHING))
        assert counted[0] >= before[0] and counted[1] >= before[1], "the version in force decreased"
        highest_counted[key] = counted
        if model.refused:
            refused = table.change_status(Version(1, model.refused), ChangeKind.CONFIGURATION)
            assert model.name in [row.dispatcher for row in refused.missing], "counted, although refused"
