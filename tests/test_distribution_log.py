"""A change log that is silent or counts anew, and lines that break off on their way."""

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


def test_a_log_that_counts_anew_in_a_new_epoch_replaces_all_that_was() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready", b="ready", c="ready")
            rig.hosts(2, b="draining")
            rig.log.publish_configuration(3, "old")
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
            rig.log.publish_configuration(6, "new")
            await until(lambda: len(one.configurations) == 2)
            assert one.configurations[-1] == (Version(EPOCH + 1, 6), "new")

    run_scene(scene(), limit_s=60)


def test_a_log_that_counts_anew_without_an_epoch_leaves_nobody_sure() -> None:
    """A replica can't tell its events from old ones: it takes none of them, and says that nobody knows."""

    async def scene() -> None:
        async with Rig(replicas=1, epoch=0) as rig:
            rig.hosts(1, whole=True, a="ready")
            rig.purge(2, "ab")
            rig.log.publish_configuration(3, "one")
            one = rig.dispatcher("d1", silence_us=3_000_000)
            await until(lambda: one.in_force == Version(0, 3) and not one.owner.is_blind)
            rig.restart_log(0)
            rig.hosts(1, whole=True, a="ready")
            rig.log.publish_configuration(2, "two")
            replica = rig.replicas[0]
            await until(
                lambda: replica.log_follower.numbering_restarted and replica.log_follower.last_seq == 2,
                patience_s=10,
            )
            await until(lambda: one.owner.is_blind, patience_s=10)
            assert not replica.is_log_current() and replica.state.version == Version(0, 3)
            assert [text for _, text in one.configurations] == ["one"]

    run_scene(scene(), limit_s=60)


def test_while_the_log_is_silent_a_replica_hands_on_what_it_holds_and_says_that_nobody_knows_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene() -> None:
        monkeypatch.setattr("hoistplank.distribution.replica.LOG_SILENCE_US", 300_000)
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            rig.log.publish_configuration(2, "one")
            relay = await Relay(ReplicaAddress("log", "", ("127.0.0.1", rig.log_port))).start()
            replica = rig.start_replica("c2", changelog=relay.address.address[1])
            rig.connect_peers()
            await until(replica.log_follower.is_caught_up)
            relay.cut()
            await until(lambda: not replica.is_log_current())
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

    run_scene(scene(), limit_s=60)


def test_a_replica_that_stood_still_trusts_no_line_that_waited() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            replica = rig.replicas[0]
            await until(replica.log_follower.is_caught_up)
            assert replica.is_log_current()
            replica.clock.offset_ns += 60_000_000_000  # a minute, in which this process did not run
            rig.purge(2, "ab")
            assert not replica.is_log_current()
            await until(lambda: replica.state.version == at(2))
            assert not replica.is_log_current(), "what waited in the buffer says nothing of now"
            await until(replica.is_log_current)

    run_scene(scene(), limit_s=60)


def test_a_line_that_breaks_off_is_asked_for_again_and_never_half_applied() -> None:
    """The replica's end of the connection breaks inside a line, and inside a catch-up."""

    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            for number in range(2, 40):
                rig.purge(number, f"{number:04x}")
            rig.log.publish_configuration(40, "new")
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

    run_scene(scene(), limit_s=60)


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
