"""Replicas that are killed, unreachable or lagging: dispatchers fail over without losing events."""

from __future__ import annotations

import json
from random import Random

import pytest

from hoistplank.distribution.assignment import ReplicaAddress, load_bound
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import serve
from hoistplank.protocol.changelog import Event, Fleet, Snapshot, Target
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.events import (
    Checkpoint,
    EndpointWatchFailed,
    EndpointWatchStage,
    EndpointWatchStageChanged,
)
from tests.distribution_rig import EPOCH, Relay, Rig, at, fetch_status
from tests.helpers import until
from tests.scene_runner import run_scene


def test_replica_killed_during_a_change_loses_nothing() -> None:
    """Dispatchers of the killed replica get the change, which it never sent, from the other one."""

    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.publish_hosts(1, whole=True, a="ready", b="ready")
            first, second = rig.addresses
            each = [
                rig.start_dispatcher("d0", [second]),
                rig.start_dispatcher("d1", [first, second]),
                rig.start_dispatcher("d2"),
            ]
            await until(lambda: all(one.in_force == at(1) for one in each))
            followers = [one for one in each if one.follower.replica.name == "c1"]
            # The first replica receives the change, but can't send it any more.
            for session in rig.replicas[0].sessions.values():
                session.connection.send = lambda *words: None  # type: ignore[method-assign]
            rig.publish_purge(2, "ab")
            rig.publish_hosts(3, b="draining")
            rig.log.publish_configuration(4, "new")
            await until(lambda: rig.replicas[0].state.version == at(4) and each[0].in_force == at(4))
            assert all(one.in_force == at(1) for one in followers)
            await rig.stop_replica(0)
            await until(lambda: all(one.in_force == at(4) for one in each))
            for one in each:
                assert one.receiver.purges == ["ab"] and one.receiver.hosts["b"] == "draining"
                assert one.configurations == [(at(4), "new")]
                assert not one.receiver.is_list_unconfirmed
            # Acknowledgements are limited in rate, so the replica receives them with a delay.
            table = rig.replicas[1].table
            await until(lambda: table.change_status(at(4)).in_force == 3)
            status = await fetch_status(rig.replicas[1].address)
            assert status.events.version.to_version() == at(4)
            assert status.events.in_force == 3 == status.connected and status.load.dispatchers == 3

    run_scene(scene(), limit_s=60)


def test_follower_does_not_reconnect_to_a_replica_for_its_position() -> None:
    """Each new connection costs a replica a turn of catch-up, and its heartbeats confirm the events anyway.

    The state is one in which a watcher of the change log itself reconnects.
    """

    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            dispatcher = rig.start_dispatcher("d0")
            await until(lambda: dispatcher.in_force == at(1))
            follower = dispatcher.follower
            connection = follower.connection
            assert connection is not None and not connection.has_partial_message
            follower.stage, follower.is_current = EndpointWatchStage.AWAITING_ANSWER, True
            follower._first_response_at = follower._connected_at
            follower._unconfirmed_connections, connection.last_read_at = 0, 0.0
            assert EndpointWatcher._should_reconnect_for_position(follower, connection)
            assert not follower._should_reconnect_for_position(connection)

    run_scene(scene(), limit_s=60)


def test_failover_to_a_lagging_replica_keeps_the_newer_state() -> None:
    """The lagging replica must neither replay old events nor confirm that nothing is newer.

    It follows another change log, which lacks the newest events at first.
    """

    async def scene() -> None:
        old_log = FakeChangeLog(EPOCH)
        async with Rig(replicas=1) as rig:
            rig.start_replica("old", changelog=await serve(old_log.serve_connection))
            rig.connect_peers()
            for log in (rig.log, old_log):
                log.publish(
                    fleet_event(1, [endpoint_entry("a", "box", 9), endpoint_entry("b", "box", 9)], whole=True)
                )
                log.publish({"seq": 2, "configuration": {"text": "old"}})
            rig.publish_hosts(3, b="draining")
            rig.log.publish_configuration(4, "new")
            # A replica that has not read its log yet sends a dispatcher on to the other one.
            await until(lambda: [replica.state.version for replica in rig.replicas] == [at(4), at(2)])
            await until(lambda: all(replica.log_follower.is_caught_up() for replica in rig.replicas))
            new, old = rig.addresses
            one = rig.start_dispatcher("d1", [new, old])
            one.follower.selection.order = (new, old)
            one.follower.selection.position = 0
            await until(lambda: one.in_force == at(4))
            event_count = len(one.receiver.events)
            await rig.stop_replica(0)
            await until(lambda: one.follower.replica.name == "old" and one.follower.behind_lines > 1)
            assert rig.replicas[1].state.version == at(2)
            assert one.in_force == at(4) and one.configurations == [(at(4), "new")]
            assert one.receiver.hosts == {"a": "ready", "b": "draining"}
            later = [
                event for event in one.receiver.events[event_count:] if not isinstance(event, Checkpoint)
            ]
            assert EndpointWatchStageChanged(EndpointWatchStage.CONFIRMED) not in later
            changes = [event for event in later if not isinstance(event, EndpointWatchStageChanged)]
            assert all(event == EndpointWatchFailed() for event in changes)
            # A lagging replica does not prove that nothing was missed: in the end the list counts as stale.
            assert one.follower.state.is_silent(one.receiver.clock.now() + 7_000_000)
            # The lagging replica receives the rest, and continues from the version that the dispatcher holds.
            old_log.publish(fleet_event(3, [endpoint_entry("b", "box", 9, "draining")]))
            old_log.publish_configuration(4, "new")
            old_log.publish({"seq": 5, "invalidate": {"object": "ab", "time": 1.0}})
            await until(lambda: one.in_force == at(5))
            assert one.receiver.purges == ["ab"] and one.configurations == [(at(4), "new")]

    run_scene(scene(), limit_s=60)


def test_catch_up_after_a_partition_sends_only_content_still_valid() -> None:
    """After 60 configurations and 14,000 purges, only the last configuration and the newest purge of each
    object are sent."""
    seed = 5

    async def scene() -> None:
        random = Random(seed)
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready", b="ready")
            relay = await Relay(rig.addresses[0]).start()
            one = rig.start_dispatcher("d1", [relay.address])
            await until(lambda: one.in_force == at(1))
            relay.cut()
            number, purged_objects = 1, list[str]()
            for change in range(60):
                for _ in range(14_000 // 60):
                    number += 1
                    purged_objects.append(f"{int(random.paretovariate(0.7)) % 5_000:016x}")
                    rig.publish_purge(number, purged_objects[-1])
                number += 1
                rig.log.publish_configuration(number, f"change {change}" + "x" * 20_000)
            number += 1
            rig.publish_hosts(number, b="draining")
            await until(lambda: rig.replicas[0].state.version == at(number), patience_s=20)
            before = relay.forwarded_bytes
            relay.restore()
            await until(lambda: one.in_force == at(number), patience_s=20)
            sent_bytes = relay.forwarded_bytes - before
            objects = set(purged_objects)
            assert [text[:9] for _, text in one.configurations] == ["change 59"], seed
            assert sorted(one.receiver.purges) == sorted(objects), seed
            assert one.receiver.hosts == {"a": "ready", "b": "draining"}
            assert sent_bytes < 110 * len(objects) + 25_000, (seed, sent_bytes, len(objects))
            assert sent_bytes < sum(len(json.dumps(event)) for event in rig.log.events) / 4, (
                seed,
                sent_bytes,
            )

    run_scene(scene(), limit_s=60)


def test_dispatchers_restarted_without_replicas_converge_once_they_return() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            rig.log.publish_configuration(2, "one")
            each = [rig.start_dispatcher(f"d{number}") for number in range(3)]
            await until(lambda: all(one.in_force == at(2) for one in each))
            for index in range(2):
                await rig.stop_replica(index)
            # Without a replica the list is not confirmed, so the Router bounds the age of copies.
            await until(lambda: all(one.follower.stage is not EndpointWatchStage.CONFIRMED for one in each))
            for one in each:
                await one.stop()
            # After a restart, a dispatcher knows the list of its own configuration, and no purges.
            known = Snapshot(1, [Event(1, Fleet(1, True, [Target("a", "127.0.0.1:9")]))])
            again = [
                rig.start_dispatcher(f"d{number}", incarnation=2, known=known, silence_us=300_000)
                for number in range(3)
            ]
            rig.publish_purge(3, "ab")
            rig.log.publish_configuration(4, "two")
            await until(lambda: all(one.follower._is_silence_logged for one in again))
            for one in again:
                assert one.receiver.hosts == {"a": "ready"} and one.receiver.is_list_unconfirmed
                assert one.follower.detail() == "no control replica heard; in force: 0/0"
            for address in list(rig.addresses):
                rig.start_replica(address.name, address.address[1])
            rig.connect_peers()
            await until(lambda: all(one.in_force == at(4) for one in again))
            for one in again:
                assert one.receiver.purges == ["ab"] and one.configurations == [(at(4), "two")]
                await until(lambda one=one: not one.receiver.is_list_unconfirmed)  # type: ignore[misc]
            for replica in rig.replicas[2:]:
                await until(lambda replica=replica: replica.table.change_status(at(4)).in_force == 3)  # type: ignore[misc]

    run_scene(scene(), limit_s=60)


def test_dispatchers_of_a_lost_replica_spread_and_return(monkeypatch: pytest.MonkeyPatch) -> None:
    count, replicas = 60, 3

    async def scene() -> None:
        monkeypatch.setattr("hoistplank.distribution.follower.return_delay_us", lambda random: 200_000)
        monkeypatch.setattr("hoistplank.distribution.replica_selection.REDIRECT_HOLD_S", 0.5)
        async with Rig(replicas) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            await until(lambda: all(replica.log_follower.is_caught_up() for replica in rig.replicas))
            each = [rig.start_dispatcher(f"d{number}") for number in range(count)]
            await until(lambda: all(one.in_force == at(1) for one in each), patience_s=20)
            assert all(len(replica.sessions) <= load_bound(count, replicas) for replica in rig.replicas)
            lost = list(rig.replicas[0].sessions)
            await rig.stop_replica(0)
            rig.publish_purge(2, "ab")
            await until(lambda: all(one.in_force == at(2) for one in each), patience_s=20)
            living = rig.replicas[1:]
            # A dispatcher that returns to its preferred replica is briefly between two connections.
            await until(lambda: sum(len(replica.sessions) for replica in living) == count, patience_s=20)
            assert all(len(replica.sessions) <= load_bound(count, replicas - 1) for replica in living)
            # The replica is back: dispatchers that prefer it return to it, each after a random delay.
            again = rig.start_replica("c1", rig.addresses[0].address[1])
            rig.connect_peers()
            await until(lambda: len(again.sessions) >= len(lost) - 2, patience_s=20)
            rig.publish_purge(3, "cd")
            await until(lambda: all(one.in_force == at(3) for one in each), patience_s=20)

    run_scene(scene(), limit_s=60)


def test_replica_that_lost_the_log_adds_no_host_to_a_newer_configuration() -> None:
    """Guards against work sent to a host that the configuration of a restart no longer names, by the older
    list of a replica that can't reach the change log: its address was another host's by then."""

    async def scene() -> None:
        async with Rig(replicas=0) as rig:
            rig.publish_hosts(1, whole=True, a="ready", b="ready")
            relay = await Relay(ReplicaAddress("log", "east", ("127.0.0.1", rig.log_port))).start()
            replica = rig.start_replica("c1", changelog=relay.address.address[1])
            rig.connect_peers()
            await until(lambda: replica.is_log_current() and replica.state.is_listed)
            relay.cut()
            await until(lambda: not replica.is_log_current())
            hosts = [Target("b", "127.0.0.1:9"), Target("c", "127.0.0.1:9")]
            known = Snapshot(3, [Event(1, Fleet(1, True, hosts))])
            dispatcher = rig.start_dispatcher("d", known=known)
            await until(lambda: "a" in dispatcher.receiver.hosts)
            assert dispatcher.receiver.hosts == {"a": "draining", "b": "ready"}
            assert dispatcher.follower.stage is not EndpointWatchStage.CONFIRMED
            rig.publish_hosts(2, a="gone")
            rig.publish_hosts(3, c="ready")
            relay.restore()
            await until(lambda: dispatcher.receiver.hosts == {"b": "ready", "c": "ready"})

    run_scene(scene(), limit_s=60)


def test_replica_that_follows_the_log_adds_the_hosts_that_the_configuration_lacks() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready", b="ready", c="draining")
            known = Snapshot(1, [Event(1, Fleet(1, True, [Target("b", "127.0.0.1:9")]))])
            dispatcher = rig.start_dispatcher("d", known=known)
            expected = {"a": "ready", "b": "ready", "c": "draining"}
            await until(lambda: dispatcher.receiver.hosts == expected)

    run_scene(scene(), limit_s=60)
