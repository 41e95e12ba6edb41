"""A change log that is silent or restarts, and lines that are truncated on the connection."""

from __future__ import annotations

import asyncio

import pytest

from hoistplank.distribution.assignment import ReplicaAddress
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.fakes.wire import serve
from hoistplank.protocol.errors import ProtocolError
from tests.distribution_rig import EPOCH, Relay, Rig, at
from tests.helpers import until
from tests.scene_runner import run_scene


def test_log_restarted_in_a_new_epoch_replaces_the_state() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.publish_hosts(1, whole=True, a="ready", b="ready", c="ready")
            rig.publish_hosts(2, b="draining")
            rig.log.publish_configuration(3, "old")
            one, other = rig.start_dispatcher("d1"), rig.start_dispatcher("d2")
            await until(lambda: one.in_force == at(3) == other.in_force)
            # It counts from 1 again, with a list that predates the drain, and soon passes the number held.
            rig.restart_log(EPOCH + 1)
            rig.publish_hosts(1, whole=True, a="ready", b="ready", d="ready")
            for number in range(2, 6):
                rig.publish_purge(number, f"{number:04x}")
            newest = Version(EPOCH + 1, 5)
            await until(lambda: one.in_force == newest == other.in_force)
            for each in (one, other):
                assert each.receiver.hosts == {"a": "ready", "b": "draining", "d": "ready"}
                assert each.receiver.purges == ["0002", "0003", "0004", "0005"]
                assert each.configurations == [(at(3), "old")]
            rig.log.publish_configuration(6, "new")
            await until(lambda: len(one.configurations) == 2)
            assert one.configurations[-1] == (Version(EPOCH + 1, 6), "new")

    run_scene(scene(), limit_s=60)


def test_log_restarted_without_a_new_epoch_makes_the_list_unconfirmed() -> None:
    """A replica can't distinguish the new events from old ones: it applies none, and sends no heartbeats."""

    async def scene() -> None:
        async with Rig(replicas=1, epoch=0) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            rig.publish_purge(2, "ab")
            rig.log.publish_configuration(3, "one")
            one = rig.start_dispatcher("d1", silence_us=3_000_000)
            await until(lambda: one.in_force == Version(0, 3) and not one.receiver.is_list_unconfirmed)
            rig.restart_log(0)
            rig.publish_hosts(1, whole=True, a="ready")
            rig.log.publish_configuration(2, "two")
            replica = rig.replicas[0]
            await until(
                lambda: replica.log_follower.numbering_restarted and replica.log_follower.last_seq == 2,
                patience_s=10,
            )
            await until(lambda: one.receiver.is_list_unconfirmed, patience_s=10)
            assert not replica.is_log_current() and replica.state.version == Version(0, 3)
            assert [text for _, text in one.configurations] == ["one"]

    run_scene(scene(), limit_s=60)


def test_replica_of_a_silent_log_forwards_its_state_without_heartbeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene() -> None:
        monkeypatch.setattr("hoistplank.distribution.replica.LOG_SILENCE_US", 300_000)
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            rig.log.publish_configuration(2, "one")
            relay = await Relay(ReplicaAddress("log", "", ("127.0.0.1", rig.log_port))).start()
            replica = rig.start_replica("c2", changelog=relay.address.address[1])
            rig.connect_peers()
            await until(replica.log_follower.is_caught_up)
            relay.cut()
            await until(lambda: not replica.is_log_current())
            rig.publish_purge(3, "ab")
            one = rig.start_dispatcher("d1", [rig.addresses[1]])
            await until(lambda: one.in_force == at(2))
            assert one.configurations == [(at(2), "one")] and one.receiver.hosts == {"a": "ready"}
            revision = replica.table.revision
            await until(lambda: replica.table.revision > revision + 1)  # two heartbeats of the dispatcher
            assert one.receiver.is_list_unconfirmed and one.receiver.purges == []
            monkeypatch.undo()
            relay.restore()
            await until(lambda: not one.receiver.is_list_unconfirmed)
            assert one.receiver.purges == ["ab"]

    run_scene(scene(), limit_s=60)


def test_resumed_replica_does_not_trust_pending_lines() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            replica = rig.replicas[0]
            await until(replica.log_follower.is_caught_up)
            assert replica.is_log_current()
            replica.clock.offset_ns += 60_000_000_000  # a minute, in which this process did not run
            rig.publish_purge(2, "ab")
            assert not replica.is_log_current()
            await until(lambda: replica.state.version == at(2))
            assert not replica.is_log_current(), "pending lines prove nothing about the present"
            await until(replica.is_log_current)

    run_scene(scene(), limit_s=60)


def test_truncated_line_is_requested_again_and_never_partly_applied() -> None:
    """The connection from the replica breaks inside a line, and inside a catch-up."""

    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            for number in range(2, 40):
                rig.publish_purge(number, f"{number:04x}")
            rig.log.publish_configuration(40, "new")
            connections = list[int]()

            async def serve_truncated(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                """Forwards the replica's lines, but only a part of them on the first six connections."""
                upstream_reader, upstream_writer = await asyncio.open_connection(*rig.addresses[0].address)
                upstream_writer.write(await reader.readline())
                connections.append(1)
                try:
                    if len(connections) <= 6:
                        writer.write(
                            (await upstream_reader.readexactly(1_500))[: 100 + 220 * len(connections)]
                        )
                        return
                    while data := await upstream_reader.read(65_536):
                        writer.write(data)
                finally:
                    upstream_writer.close()

            await until(rig.replicas[0].log_follower.is_caught_up)
            relay = ReplicaAddress("c1", "east", ("127.0.0.1", await serve(serve_truncated)))
            one = rig.start_dispatcher("d1", [relay])
            await until(lambda: len(connections) == 6)
            assert one.in_force == NOTHING and one.receiver.is_list_unconfirmed
            await until(lambda: one.in_force == at(40))
            assert one.configurations == [(at(40), "new")] and not one.receiver.is_list_unconfirmed
            assert set(one.receiver.purges) == {f"{number:04x}" for number in range(2, 40)}

    run_scene(scene(), limit_s=60)


@pytest.mark.parametrize("cut", range(18))
def test_line_reader_joins_a_line_split_at_any_byte(cut: int) -> None:
    reader, data = LineReader(8), b'{"a":1}\n\n \n{"b":2}'
    buffer, found, start = bytearray(data + b"\n"), list[bytes](), 0
    for end in (cut, len(buffer)):
        start, lines = reader.read(buffer, start, end)
        found += lines
    assert found == [b'{"a":1}', b'{"b":2}'] and start == len(buffer)
    with pytest.raises(ProtocolError, match="longer than 8 bytes"):
        reader.read(bytearray(b"x" * 9), 0, 9)
