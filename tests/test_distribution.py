"""Distribution: the log's events through control replicas to dispatchers, and what is in force there."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Coroutine
from random import Random
from typing import Any

import pytest
import uvloop

from hoistplank.cli.distribution import in_force_words
from hoistplank.distribution.assignment import ReplicaAddress, load_bound
from hoistplank.distribution.dispatcher_session import MAX_PENDING_BYTES
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    Acknowledgement,
    FollowRequest,
    RequestLine,
    VersionFields,
    encode,
)
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.fakes.change_log import ChangeLog
from hoistplank.fakes.settings import listing, target
from hoistplank.fakes.wire import serve
from hoistplank.protocol.changelog import Event, Fleet, Snapshot, Target
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.events import Checkpoint, EndpointWatchFailed
from tests.distribution_rig import EPOCH, Relay, Rig, asked
from tests.helpers import until


def run(scene: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene, 60))


def at(number: int) -> Version:
    return Version(EPOCH, number)


def test_a_purge_a_host_change_and_a_configuration_are_in_force_everywhere() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready", b="ready")
            each = [rig.dispatcher(f"d{number}") for number in range(3)]
            await until(lambda: all(one.in_force == at(1) for one in each))
            rig.purge(2, "ab")
            rig.hosts(3, b="draining")
            rig.log.configure(4, "(log)")
            await until(lambda: all(one.in_force == at(4) for one in each))
            for one in each:
                assert one.owner.purges == ["ab"] and one.owner.hosts == {"a": "ready", "b": "draining"}
                assert one.configurations == [(at(4), "(log)")] and not one.owner.is_blind
            for replica in rig.replicas:
                # A peer hears within a tenth of a second what the dispatchers of the other have in force.
                await until(lambda replica=replica: replica.table.change_status(at(4)).in_force == 3)  # type: ignore[misc]
                status = await asked(replica.address, at(4))
                assert status.change is not None
                assert (status.change.in_force, status.change.total, status.change.missing) == (3, 3, [])
                assert status.configuration.to_version() == at(4) == status.version.to_version()

    run(scene())


def test_a_change_that_one_dispatcher_refuses_is_missing_there_alone_with_its_reason() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready")
            each = [rig.dispatcher(f"d{number}") for number in range(4)]
            each[2].refuses = "narrow"
            rig.log.configure(2, "wide")
            await until(lambda: all(one.in_force == at(2) for one in each))
            rig.log.configure(3, "narrow")
            rig.purge(4, "ab")
            await until(lambda: all(one.in_force == at(4) for one in each))
            assert [one.configurations[-1][1] for one in each] == [
                "wide" if one is each[2] else "narrow" for one in each
            ]
            for replica in rig.replicas:
                await until(lambda replica=replica: replica.table.change_status(at(4)).in_force == 4)  # type: ignore[misc]
                status = await asked(replica.address, at(3))
                assert status.change is not None
                assert (status.change.in_force, status.change.total) == (3, 4)
                (row,) = status.change.missing
                assert row.dispatcher == "d2" and row.version.to_version() == at(2)
                assert row.refused.startswith("configuration 7/3:1:1: the form 'bad'")

    run(scene())


def test_a_replica_killed_in_the_middle_of_a_change_loses_nothing() -> None:
    """One dispatcher has the change, the others follow the dead replica: they get it from the other one."""

    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready", b="ready")
            first, second = rig.addresses
            each = [
                rig.dispatcher("d0", [second]),
                rig.dispatcher("d1", [first, second]),
                rig.dispatcher("d2"),
            ]
            await until(lambda: all(one.in_force == at(1) for one in each))
            followers = [one for one in each if one.follower.replica.name == "c1"]
            # The first replica holds the change, but nothing of it goes out any more.
            for session in rig.replicas[0].sessions.values():
                session.connection.send = lambda *words: None  # type: ignore[method-assign]
            rig.purge(2, "ab")
            rig.hosts(3, b="draining")
            rig.log.configure(4, "new")
            await until(lambda: rig.replicas[0].state.version == at(4) and each[0].in_force == at(4))
            assert all(one.in_force == at(1) for one in followers)
            await rig.stop_replica(0)
            await until(lambda: all(one.in_force == at(4) for one in each))
            for one in each:
                assert one.owner.purges == ["ab"] and one.owner.hosts["b"] == "draining"
                assert one.configurations == [(at(4), "new")]
                assert not one.owner.is_blind
            status = await asked(rig.replicas[1].address)
            assert status.events.in_force == 3 == status.connected and status.load.dispatchers == 3

    run(scene())


def test_a_dispatcher_that_moves_to_an_older_replica_keeps_what_it_has() -> None:
    """The older one is cut off from the log: it tells nothing old again, nor that nothing is newer."""

    async def scene() -> None:
        old_log = ChangeLog(EPOCH)
        async with Rig(replicas=1) as rig:
            rig.start_replica("old", changelog=await serve(old_log.talk))
            rig.connect_peers()
            for log in (rig.log, old_log):
                log.tell(listing(1, [target("a", "box", 9), target("b", "box", 9)], whole=True))
                log.tell({"seq": 2, "configuration": {"text": "old"}})
            rig.hosts(3, b="draining")
            rig.log.configure(4, "new")
            new, old = rig.addresses
            one = rig.dispatcher("d1", [new, old])
            one.follower.selection.order = (new, old)
            one.follower.selection.position = 0
            await until(lambda: one.in_force == at(4))
            told = len(one.owner.events)
            await rig.stop_replica(0)
            await until(lambda: one.follower.replica.name == "old" and one.follower.behind_lines > 1)
            assert rig.replicas[1].state.version == at(2)
            assert one.in_force == at(4) and one.configurations == [(at(4), "new")]
            assert one.owner.hosts == {"a": "ready", "b": "draining"}
            later = [event for event in one.owner.events[told:] if not isinstance(event, Checkpoint)]
            assert all(event == EndpointWatchFailed() for event in later)
            # A replica that lags says nothing of the present: in the end the list counts as stale.
            assert one.follower.state.is_silent(one.owner.clock.now() + 7_000_000)
            # The old one hears the rest, and goes on from what the dispatcher holds.
            old_log.tell(listing(3, [target("b", "box", 9, "draining")]))
            old_log.configure(4, "new")
            old_log.tell({"seq": 5, "invalidate": {"object": "ab", "time": 1.0}})
            await until(lambda: one.in_force == at(5))
            assert one.owner.purges == ["ab"] and one.configurations == [(at(4), "new")]

    run(scene())


def test_acknowledgements_lost_doubled_or_of_an_earlier_life_count_for_nothing_that_was_not_applied() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            address = rig.addresses[0].address
            replica = rig.replicas[0]

            async def life(incarnation: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(encode(RequestLine(follow=FollowRequest("d1", incarnation))))
                return reader, writer

            def says(writer: asyncio.StreamWriter, number: int) -> None:
                writer.write(
                    encode(RequestLine(acknowledgement=Acknowledgement(VersionFields(EPOCH, number))))
                )

            def known() -> Version:
                status = replica.table.change_status(at(99))
                return status.missing[0].version if status.missing else NOTHING

            await until(replica.log_follower.is_caught_up)
            reader, earlier = await life(1)
            await reader.readline()
            rig.purge(2, "ab")
            rig.purge(3, "cd")
            for number in (3, 3, 1, 2):  # doubled, and out of order
                says(earlier, number)
            await until(lambda: known() == at(3))
            # The dispatcher starts anew, with nothing in force, while the earlier connection still stands.
            reader, later = await life(2)
            assert b"catch_up" in await reader.readline() and known() == NOTHING
            says(earlier, 3)
            says(later, 1)
            await until(lambda: known() == at(1))
            # The earlier life comes back, and is refused by name and number.
            reader, again = await life(1)
            assert b"incarnation 2 of d1 is known" in await reader.readline()
            assert await reader.readline() == b"" and known() == at(1)
            for writer in (earlier, later, again):
                writer.close()

    run(scene())


def test_a_lost_acknowledgement_is_made_up_for_by_the_next() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            one = rig.dispatcher("d1")
            await until(lambda: rig.replicas[0].table.change_status(at(1)).in_force == 1)
            connection = one.follower.connection
            assert connection is not None
            send, lost = connection.send, list[bytes]()
            connection.send = lambda data, *more: lost.append(data)  # type: ignore[method-assign]
            rig.purge(2, "ab")
            await until(lambda: bool(lost))
            assert rig.replicas[0].table.change_status(at(2)).in_force == 0
            connection.send = send  # type: ignore[method-assign]
            await until(lambda: rig.replicas[0].table.change_status(at(2)).in_force == 1)

    run(scene())


def test_nothing_is_acknowledged_before_the_owners_turn() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            one = rig.dispatcher("d1")
            table = rig.replicas[0].table
            await until(lambda: table.change_status(at(1)).in_force == 1)
            one.owner.is_halted = True
            rig.purge(2, "ab")
            rig.log.configure(3, "new")
            await until(lambda: one.owner.purges == ["ab"] and one.configurations != [])
            rows = table.revision
            await until(lambda: table.revision > rows + 1)  # two more heartbeats of the dispatcher
            assert one.in_force == at(1) and table.change_status(at(2)).in_force == 0
            one.owner.turn()
            await until(lambda: table.change_status(at(3)).in_force == 1)

    run(scene())


def test_a_follower_that_reads_nothing_is_cut_off_and_costs_no_other() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            one = rig.dispatcher("d1")
            await until(lambda: one.in_force == at(1))
            deaf = socket.socket()
            deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            deaf.connect(rig.addresses[0].address)
            deaf.sendall(
                encode(RequestLine(follow=FollowRequest("deaf", 1, resume_at=VersionFields(EPOCH, 1))))
            )
            replica = rig.replicas[0]
            await until(lambda: "deaf" in replica.sessions)
            number, most = 1, 0
            while "deaf" in replica.sessions:
                number += 1
                rig.log.configure(number, "x" * 200_000)
                await until(lambda: replica.table.change_status(at(number)).in_force >= 1)  # noqa: B023
                most = max(most, *(session.connection.unsent_bytes for session in replica.sessions.values()))
                assert number < 200
            assert replica.slow_readers == 1 and most <= MAX_PENDING_BYTES + 210_000
            status = await asked(replica.address)
            assert [row.dispatcher for row in status.events.missing] == ["deaf"]
            assert not status.events.missing[0].connected
            deaf.close()

    run(scene())


def test_a_line_that_breaks_off_is_asked_for_again_and_never_half_applied() -> None:
    """The replica's end of the connection breaks inside a line, and inside a catch-up."""

    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            for number in range(2, 40):
                rig.purge(number, f"{number:04x}")
            rig.log.configure(40, "new")
            lines = list[int]()

            async def cutting(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                """Passes on what the replica says, but for the connections up to the sixth a part only."""
                far_reader, far_writer = await asyncio.open_connection(*rig.addresses[0].address)
                far_writer.write(await reader.readline())
                lines.append(1)
                try:
                    if len(lines) <= 6:
                        writer.write((await far_reader.readexactly(1_500))[: 100 + 220 * len(lines)])
                        return
                    while data := await far_reader.read(65_536):
                        writer.write(data)
                finally:
                    far_writer.close()

            await until(rig.replicas[0].log_follower.is_caught_up)
            relay = ReplicaAddress("c1", "east", ("127.0.0.1", await serve(cutting)))
            one = rig.dispatcher("d1", [relay])
            await until(lambda: len(lines) == 6)
            assert one.in_force == NOTHING and one.owner.is_blind
            await until(lambda: one.in_force == at(40))
            assert one.configurations == [(at(40), "new")] and not one.owner.is_blind
            assert set(one.owner.purges) == {f"{number:04x}" for number in range(2, 40)}

    run(scene())


def test_a_region_that_was_cut_off_catches_up_from_what_is_still_valid() -> None:
    """60 changes and 14,000 purges meanwhile: one configuration, and each object's newest purge."""
    seed = 5

    async def scene() -> None:
        chance = Random(seed)
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready", b="ready")
            relay = await Relay(rig.addresses[0]).start()
            one = rig.dispatcher("d1", [relay.address])
            await until(lambda: one.in_force == at(1))
            relay.cut()
            number, purged = 1, list[str]()
            for change in range(60):
                for _ in range(14_000 // 60):
                    number += 1
                    purged.append(f"{int(chance.paretovariate(0.7)) % 5_000:016x}")
                    rig.purge(number, purged[-1])
                number += 1
                rig.log.configure(number, f"change {change}" + "x" * 20_000)
            number += 1
            rig.hosts(number, b="draining")
            await until(lambda: rig.replicas[0].state.version == at(number), patience_s=20)
            before = relay.passed
            relay.join()
            await until(lambda: one.in_force == at(number), patience_s=20)
            came = relay.passed - before
            objects = set(purged)
            assert [text[:9] for _, text in one.configurations] == ["change 59"], seed
            assert sorted(one.owner.purges) == sorted(objects), seed
            assert one.owner.hosts == {"a": "ready", "b": "draining"}
            assert came < 110 * len(objects) + 25_000, (seed, came, len(objects))
            assert came < sum(len(json.dumps(event)) for event in rig.log.log) / 4, (seed, came)

    run(scene())


def test_of_a_burst_of_changes_the_newest_is_in_force_everywhere_and_none_goes_back() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready")
            each = [rig.dispatcher(f"d{number}") for number in range(5)]
            await until(lambda: all(one.in_force == at(1) for one in each))
            for number in range(2, 62):
                rig.log.configure(number, f"change {number}" + (" bad" if number % 7 == 0 else ""))
            rig.purge(62, "ab")
            await until(lambda: all(one.in_force == at(62) for one in each))
            for one in each:
                taken = [version for version, _ in one.configurations]
                assert taken[-1] == at(61) and taken == sorted(set(taken))
                assert one.owner.purges == ["ab"]
                assert one.follower.state.acknowledgement().refusal is None
            for replica in rig.replicas:
                await until(lambda replica=replica: replica.table.change_status(at(62)).in_force == 5)  # type: ignore[misc]
                status = await asked(replica.address)
                assert (status.configurations.in_force, status.configurations.missing) == (5, [])

    run(scene())


def test_a_log_that_counts_anew_in_a_new_epoch_replaces_all_that_was() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready", b="ready", c="ready")
            rig.hosts(2, b="draining")
            rig.log.configure(3, "old")
            one, other = rig.dispatcher("d1"), rig.dispatcher("d2")
            await until(lambda: one.in_force == at(3) == other.in_force)
            # It counts from 1 again, with a list from before the drain, and is soon past the number held.
            rig.restart_log(EPOCH + 1)
            rig.hosts(1, whole=True, a="ready", b="ready", d="ready")
            for number in range(2, 6):
                rig.purge(number, f"{number:04x}")
            newest = Version(EPOCH + 1, 5)
            await until(lambda: one.in_force == newest == other.in_force)
            for each in (one, other):
                assert each.owner.hosts == {"a": "ready", "b": "draining", "d": "ready"}
                assert each.owner.purges == ["0002", "0003", "0004", "0005"]
                assert each.configurations == [(at(3), "old")]
            rig.log.configure(6, "new")
            await until(lambda: len(one.configurations) == 2)
            assert one.configurations[-1] == (Version(EPOCH + 1, 6), "new")

    run(scene())


def test_with_all_replicas_down_dispatchers_that_restart_serve_and_agree_again() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready")
            rig.log.configure(2, "one")
            each = [rig.dispatcher(f"d{number}") for number in range(3)]
            await until(lambda: all(one.in_force == at(2) for one in each))
            for index in range(2):
                await rig.stop_replica(index)
            for one in each:
                await one.stop()
            # A start knows the list that its own configuration names, and nothing of what was purged.
            known = Snapshot(1, [Event(1, Fleet(1, True, [Target("a", "127.0.0.1:9")]))])
            again = [
                rig.dispatcher(f"d{number}", incarnation=2, known=known, silence_us=300_000)
                for number in range(3)
            ]
            rig.purge(3, "ab")
            rig.log.configure(4, "two")
            await until(lambda: all(one.follower._is_silence_logged for one in again))
            for one in again:
                assert one.owner.hosts == {"a": "ready"} and one.owner.is_blind
                assert one.follower.detail() == "no control replica heard; in force: 0/0"
            for address in list(rig.addresses):
                rig.start_replica(address.name, address.address[1])
            rig.connect_peers()
            await until(lambda: all(one.in_force == at(4) for one in again))
            for one in again:
                assert one.owner.purges == ["ab"] and one.configurations == [(at(4), "two")]
                await until(lambda one=one: not one.owner.is_blind)  # type: ignore[misc]
            for replica in rig.replicas[2:]:
                await until(lambda replica=replica: replica.table.change_status(at(4)).in_force == 3)  # type: ignore[misc]

    run(scene())


def test_while_the_log_is_silent_a_replica_hands_on_what_it_holds_and_says_that_nobody_knows_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene() -> None:
        monkeypatch.setattr("hoistplank.distribution.replica.LOG_SILENCE_US", 300_000)
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            rig.log.configure(2, "one")
            relay = await Relay(ReplicaAddress("log", "", ("127.0.0.1", rig.log_port))).start()
            replica = rig.start_replica("c2", changelog=relay.address.address[1])
            rig.connect_peers()
            await until(replica.log_follower.is_caught_up)
            relay.cut()
            await until(lambda: not replica.is_log_heard())
            rig.purge(3, "ab")
            one = rig.dispatcher("d1", [rig.addresses[1]])
            await until(lambda: one.in_force == at(2))
            assert one.configurations == [(at(2), "one")] and one.owner.hosts == {"a": "ready"}
            revision = replica.table.revision
            await until(lambda: replica.table.revision > revision + 1)  # heartbeats of the dispatcher
            assert one.owner.is_blind and one.owner.purges == []
            monkeypatch.undo()
            relay.join()
            await until(lambda: not one.owner.is_blind)
            assert one.owner.purges == ["ab"]

    run(scene())


def test_a_single_change_that_is_large_waits_for_its_turn_and_comes_whole() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            relay = await Relay(rig.addresses[0]).start()
            one = rig.dispatcher("d1", [relay.address])
            await until(lambda: one.in_force == at(1))
            relay.cut()
            rig.log.configure(2, "x" * 1_000_000)
            await until(lambda: rig.replicas[0].state.version == at(2))
            relay.join()
            await until(lambda: one.in_force == at(2))
            assert [len(text) for _, text in one.configurations] == [1_000_000]

    run(scene())


def test_a_configuration_of_wrong_types_is_handed_on_to_nobody_and_its_status_says_why() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            one = rig.dispatcher("d1")
            rig.log.configure(2, "good")
            rig.log.tell({"seq": 3, "configuration": {"text": 5}})
            rig.log.tell({"seq": 4, "configuration": "x" * 1_100_000})
            rig.purge(5, "ab")
            await until(lambda: rig.replicas[0].table.change_status(at(5)).in_force == 1)
            assert one.configurations == [(at(2), "good")] and one.owner.purges == ["ab"]
            for number, wrong in (
                (3, "Expected `str`, got `int` - at `$.text`"),
                (4, "Expected `object`, got `str`"),
            ):
                status = await asked(rig.addresses[0].address, at(number))
                assert status.change is not None and status.change.unreadable == wrong
                assert (status.change.in_force, status.change.total) == (0, 1)
                assert in_force_words(status.change).endswith(wrong)

    run(scene())


def test_a_log_that_counts_anew_without_an_epoch_leaves_nobody_sure() -> None:
    """A replica can't tell its events from old ones: it takes none of them, and says that nobody knows."""

    async def scene() -> None:
        async with Rig(replicas=1, epoch=0) as rig:
            rig.hosts(1, whole=True, a="ready")
            rig.purge(2, "ab")
            rig.log.configure(3, "one")
            one = rig.dispatcher("d1", silence_us=3_000_000)
            await until(lambda: one.in_force == Version(0, 3) and not one.owner.is_blind)
            rig.restart_log(0)
            rig.hosts(1, whole=True, a="ready")
            rig.log.configure(2, "two")
            replica = rig.replicas[0]
            await until(
                lambda: replica.log_follower.numbering_restarted and replica.log_follower.last_seq == 2,
                patience_s=10,
            )
            await until(lambda: one.owner.is_blind, patience_s=10)
            assert not replica.is_log_heard() and replica.state.version == Version(0, 3)
            assert [text for _, text in one.configurations] == ["one"]

    run(scene())


def test_a_lost_replicas_dispatchers_spread_and_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    count, replicas = 60, 3

    async def scene() -> None:
        monkeypatch.setattr("hoistplank.distribution.follower.return_delay_us", lambda chance: 200_000)
        monkeypatch.setattr("hoistplank.distribution.replica_selection.REDIRECT_HOLD_S", 0.5)
        async with Rig(replicas) as rig:
            rig.hosts(1, whole=True, a="ready")
            await until(lambda: all(replica.log_follower.is_caught_up() for replica in rig.replicas))
            each = [rig.dispatcher(f"d{number}") for number in range(count)]
            await until(lambda: all(one.in_force == at(1) for one in each), patience_s=20)
            assert all(len(replica.sessions) <= load_bound(count, replicas) for replica in rig.replicas)
            lost = list(rig.replicas[0].sessions)
            await rig.stop_replica(0)
            rig.purge(2, "ab")
            await until(lambda: all(one.in_force == at(2) for one in each), patience_s=20)
            living = rig.replicas[1:]
            # One that looks for its first replica again is between two connections for a moment.
            await until(lambda: sum(len(replica.sessions) for replica in living) == count, patience_s=20)
            assert all(len(replica.sessions) <= load_bound(count, replicas - 1) for replica in living)
            # It comes back: who prefers it goes back to it, after a time by chance.
            again = rig.start_replica("c1", rig.addresses[0].address[1])
            rig.connect_peers()
            await until(lambda: len(again.sessions) >= len(lost) - 2, patience_s=20)
            rig.purge(3, "cd")
            await until(lambda: all(one.in_force == at(3) for one in each), patience_s=20)

    run(scene())


def test_a_replica_that_stood_still_trusts_no_line_that_waited() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            replica = rig.replicas[0]
            await until(replica.log_follower.is_caught_up)
            assert replica.is_log_heard()
            replica.clock.offset_ns += 60_000_000_000  # a minute, in which this process did not run
            rig.purge(2, "ab")
            assert not replica.is_log_heard()
            await until(lambda: replica.state.version == at(2))
            assert not replica.is_log_heard(), "what waited in the buffer says nothing of now"
            await until(replica.is_log_heard)

    run(scene())


@pytest.mark.parametrize("cut", range(18))
def test_lines_cut_anywhere(cut: int) -> None:
    reader, data = LineReader(8), b'{"a":1}\n\n \n{"b":2}'
    buffer, found, start = bytearray(data + b"\n"), list[bytes](), 0
    for end in (cut, len(buffer)):
        start, lines = reader.read(buffer, start, end)
        found += lines
    assert found == [b'{"a":1}', b'{"b":2}'] and start == len(buffer)
    with pytest.raises(ProtocolError, match="longer than 8 bytes"):
        reader.read(bytearray(b"x" * 9), 0, 9)
