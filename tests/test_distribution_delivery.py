"""Events of the change log reach every dispatcher through control replicas, and are in force there."""

from __future__ import annotations

from hoistplank.cli.distribution import format_change_status
from tests.distribution_rig import Relay, Rig, at, fetch_status
from tests.helpers import until
from tests.scene_runner import run_scene


def test_purge_host_change_and_configuration_reach_all_dispatchers() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.publish_hosts(1, whole=True, a="ready", b="ready")
            each = [rig.start_dispatcher(f"d{number}") for number in range(3)]
            await until(lambda: all(one.in_force == at(1) for one in each))
            rig.publish_purge(2, "ab")
            rig.publish_hosts(3, b="draining")
            rig.log.publish_configuration(4, "(log)")
            await until(lambda: all(one.in_force == at(4) for one in each))
            for one in each:
                assert one.receiver.purges == ["ab"] and one.receiver.hosts == {"a": "ready", "b": "draining"}
                assert one.configurations == [(at(4), "(log)")] and not one.receiver.is_list_unconfirmed
            for replica in rig.replicas:
                # Replicas report their dispatchers' acknowledgements to each other each 0.1 s.
                await until(lambda replica=replica: replica.table.change_status(at(4)).in_force == 3)  # type: ignore[misc]
                status = await fetch_status(replica.address, at(4))
                assert status.change is not None
                assert (status.change.in_force, status.change.total, status.change.missing) == (3, 3, [])
                assert status.configuration.to_version() == at(4) == status.version.to_version()

    run_scene(scene(), limit_s=60)


def test_refused_configuration_is_missing_only_at_the_refusing_dispatcher() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            each = [rig.start_dispatcher(f"d{number}") for number in range(4)]
            each[2].refuses = "narrow"
            rig.log.publish_configuration(2, "wide")
            await until(lambda: all(one.in_force == at(2) for one in each))
            rig.log.publish_configuration(3, "narrow")
            rig.publish_purge(4, "ab")
            await until(lambda: all(one.in_force == at(4) for one in each))
            assert [one.configurations[-1][1] for one in each] == [
                "wide" if one is each[2] else "narrow" for one in each
            ]
            for replica in rig.replicas:
                await until(lambda replica=replica: replica.table.change_status(at(4)).in_force == 4)  # type: ignore[misc]
                status = await fetch_status(replica.address, at(3))
                assert status.change is not None
                assert (status.change.in_force, status.change.total) == (3, 4)
                (row,) = status.change.missing
                assert row.dispatcher == "d2" and row.version.to_version() == at(2)
                assert row.refused.startswith("configuration 7/3:1:1: the form 'bad'")

    run_scene(scene(), limit_s=60)


def test_burst_of_configurations_ends_with_the_newest_in_force_everywhere() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            each = [rig.start_dispatcher(f"d{number}") for number in range(5)]
            await until(lambda: all(one.in_force == at(1) for one in each))
            for number in range(2, 62):
                rig.log.publish_configuration(
                    number, f"change {number}" + (" bad" if number % 7 == 0 else "")
                )
            rig.publish_purge(62, "ab")
            await until(lambda: all(one.in_force == at(62) for one in each))
            for one in each:
                applied = [version for version, _ in one.configurations]
                assert applied[-1] == at(61) and applied == sorted(set(applied))
                assert one.receiver.purges == ["ab"]
                assert one.follower.state.acknowledgement().refusal is None
            for replica in rig.replicas:
                await until(lambda replica=replica: replica.table.change_status(at(62)).in_force == 5)  # type: ignore[misc]
                status = await fetch_status(replica.address)
                assert (status.configurations.in_force, status.configurations.missing) == (5, [])

    run_scene(scene(), limit_s=60)


def test_large_single_event_waits_for_its_turn_and_arrives_whole() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            relay = await Relay(rig.addresses[0]).start()
            one = rig.start_dispatcher("d1", [relay.address])
            await until(lambda: one.in_force == at(1))
            relay.cut()
            rig.log.publish_configuration(2, "x" * 1_000_000)
            await until(lambda: rig.replicas[0].state.version == at(2))
            relay.restore()
            await until(lambda: one.in_force == at(2))
            assert [len(text) for _, text in one.configurations] == [1_000_000]

    run_scene(scene(), limit_s=60)


def test_unreadable_configuration_is_not_forwarded_and_its_status_has_the_reason() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            one = rig.start_dispatcher("d1")
            rig.log.publish_configuration(2, "good")
            rig.log.publish({"seq": 3, "configuration": {"text": 5}})
            rig.log.publish({"seq": 4, "configuration": "x" * 1_100_000})
            rig.publish_purge(5, "ab")
            await until(lambda: rig.replicas[0].table.change_status(at(5)).in_force == 1)
            assert one.configurations == [(at(2), "good")] and one.receiver.purges == ["ab"]
            for number, reason in (
                (3, "Expected `str`, got `int` - at `$.text`"),
                (4, "Expected `object`, got `str`"),
            ):
                status = await fetch_status(rig.addresses[0].address, at(number))
                assert status.change is not None and status.change.unreadable == reason
                assert (status.change.in_force, status.change.total) == (0, 1)
                assert format_change_status(status.change).endswith(reason)

    run_scene(scene(), limit_s=60)
