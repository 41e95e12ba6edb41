"""Slopes of distribution through control replicas: what the steps measure, and the stand-ins they use."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from hoistplank.cli.lab import lab
from hoistplank.distribution.messages import Acknowledgement, FollowRequest, RequestLine, encode, read_request
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.lab.scale import log_process, role_replica_follower, role_replica_service
from hoistplank.lab.scale.measure import titled
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Step
from hoistplank.lab.scale.requirement_list import REQUIREMENTS
from hoistplank.lab.scale.requirement_list_replica import REPLICA_REQUIREMENTS
from hoistplank.lab.scale.role_control_replica import EPOCH
from hoistplank.lab.scale.slopes import LEAST_SIZES, judge

SMALL = Effort(repeats=1, slow_repeats=1, events=2, divisor=10)


def quantities(found: list[Measurement]) -> dict[str, list[Measurement]]:
    """The measurements by their quantity."""
    rows: dict[str, list[Measurement]] = {}
    for row in found:
        rows.setdefault(row.quantity, []).append(row)
    return rows


@pytest.mark.parametrize(
    "step",
    [*role_replica_follower.STEPS, *role_replica_service.STEPS],
    ids=lambda step: f"{step.role}: {step.title}",
)
def test_a_step_measures_what_slopes_can_be_drawn_from(step: Step) -> None:
    for quantity, rows in quantities(step.measure(SMALL)).items():
        assert len({row.size for row in rows}) >= LEAST_SIZES, quantity
        assert all(row.value > 0 for row in rows), quantity
        line = judge([row.size for row in rows], [row.value for row in rows]).line
        assert line.slope > 0, quantity


def test_every_requirement_on_replicas_is_asked_for_by_the_page() -> None:
    assert set(REPLICA_REQUIREMENTS) <= set(REQUIREMENTS)
    measured = {*role_replica_follower.STEPS, *role_replica_service.STEPS}
    assert {row.role for row in REPLICA_REQUIREMENTS} == {step.role for step in measured}


def test_steps_that_nothing_is_called_like_are_refused(tmp_path: Path) -> None:
    out = tmp_path / "none.parquet"
    found = CliRunner().invoke(lab, ["scale", "slopes", "--only", "no such step", "--out", str(out)])
    assert found.exit_code == 2 and "no step's title contains 'no such step'" in found.output
    assert not out.exists()


def test_only_the_steps_asked_for_are_chosen() -> None:
    chosen = titled([*role_replica_service.STEPS, *role_replica_follower.STEPS], "rows exchanged")
    assert [step.title for step in chosen] == ["replica: rows exchanged with peers"]


# A dispatcher's side.


async def events_acknowledged(count: int) -> list[Acknowledgement]:
    """The acknowledgements of so many purges, each followed alone."""
    path = role_replica_follower.ReplicaPath()
    found: list[Acknowledgement] = []
    try:
        await path.caught_up(role_replica_follower.listed_state())
        for line in role_replica_follower.live_lines(count):
            path.read(line)
            path.follower.acknowledgements.send()
            await asyncio.sleep(0)
            told = read_request(path.far.recv(role_replica_follower.READ_BYTES).strip())
            assert isinstance(told, Acknowledgement)
            found.append(told)
    finally:
        path.close()
    return found


def test_each_purge_is_in_force_when_it_is_acknowledged() -> None:
    found = asyncio.run(events_acknowledged(3))
    assert [row.version.to_version() for row in found] == [Version(EPOCH, number) for number in (2, 3, 4)]


def test_bytes_of_following_are_those_of_the_lines_and_their_acknowledgements() -> None:
    found = asyncio.run(role_replica_follower.follow_events(10))
    assert found.received == sum(map(len, role_replica_follower.live_lines(10)))
    acknowledged = asyncio.run(events_acknowledged(10))
    lines = [encode(RequestLine(acknowledgement=row)) for row in acknowledged]
    assert found.acknowledged == sum(map(len, lines))


def test_a_catch_up_tells_the_last_configuration_alone() -> None:
    hour = role_replica_follower.PURGES_PER_CONFIGURATION
    one, ten = role_replica_follower.state_after(hour), role_replica_follower.state_after(10 * hour)
    assert ten.version.number == 1 + 10 * hour + 10
    for state, purges in ((one, hour), (ten, 10 * hour)):
        events = state.events_since(role_replica_follower.LISTED)
        assert sum(event.configuration is not None for event in events) == 1
        assert sum(event.invalidate is not None for event in events) == purges


def test_purges_of_the_same_object_are_told_once() -> None:
    objects = role_replica_follower.popular_objects(500, seed=1)
    assert objects == role_replica_follower.popular_objects(500, seed=1)
    state = role_replica_follower.state_after(500, objects)
    assert len(state.purges()) == len(set(objects)) < 500


# A replica's followers.


class Sent(asyncio.WriteTransport):
    """Keeps what is written."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, data: object) -> None:
        assert isinstance(data, bytes)
        self.lines.append(data)


def test_a_returning_follower_says_what_it_has_and_acknowledges_what_is_newer() -> None:
    sent, follower = Sent(), role_replica_service.ReturningFollower("d1", 7)
    follower.connection_made(sent)
    asked = read_request(sent.lines[0].strip())
    assert isinstance(asked, FollowRequest) and asked.resume_at.to_version() == Version(0, 7)
    follower.acknowledge()
    told = read_request(sent.lines[1].strip())
    assert isinstance(told, Acknowledgement) and told.version.to_version() == Version(0, 7)
    assert not follower.is_heard
    follower.data_received(b'{"seq":7}\n')
    assert follower.is_heard and len(sent.lines) == 2  # it holds that one
    follower.connection_lost(None)
    follower.acknowledge()
    assert len(sent.lines) == 2


def test_the_log_tells_configurations_of_the_length_asked_for() -> None:
    served = log_process.Served()
    asyncio.run(served.obey(["configure", "3", "30000", "0"]))
    assert served.seq == 3 and len(served.log.events) == 3
    length = len(served.log.events[0]["configuration"]["text"])
    assert 30_000 - len(log_process.COMMENT_LINE) < length <= 30_000


def test_a_follower_that_holds_nothing_gets_all() -> None:
    state = role_replica_follower.state_after(100)
    lines = state.lines_since(NOTHING)
    assert sum(map(len, lines)) > sum(map(len, state.lines_since(role_replica_follower.LISTED)))
