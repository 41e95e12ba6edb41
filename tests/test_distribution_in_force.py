"""What a replica knows to be in force, and followers that say nothing, too much or read nothing."""

from __future__ import annotations

import asyncio
import socket

from hoistplank.distribution.dispatcher_session import MAX_PENDING_BYTES
from hoistplank.distribution.messages import (
    Acknowledgement,
    FollowRequest,
    RequestLine,
    VersionFields,
    encode,
)
from hoistplank.distribution.versions import NOTHING, Version
from tests.distribution_rig import EPOCH, Rig, asked, at
from tests.helpers import until
from tests.scene_runner import run_scene


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

    run_scene(scene(), limit_s=60)


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

    run_scene(scene(), limit_s=60)


def test_nothing_is_acknowledged_before_the_owners_turn() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.hosts(1, whole=True, a="ready")
            one = rig.dispatcher("d1")
            table = rig.replicas[0].table
            await until(lambda: table.change_status(at(1)).in_force == 1)
            one.owner.is_halted = True
            rig.purge(2, "ab")
            rig.log.publish_configuration(3, "new")
            await until(lambda: one.owner.purges == ["ab"] and one.configurations != [])
            rows = table.revision
            await until(lambda: table.revision > rows + 1)  # two more heartbeats of the dispatcher
            assert one.in_force == at(1) and table.change_status(at(2)).in_force == 0
            one.owner.turn()
            await until(lambda: table.change_status(at(3)).in_force == 1)

    run_scene(scene(), limit_s=60)


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
                rig.log.publish_configuration(number, "x" * 200_000)
                await until(lambda: replica.table.change_status(at(number)).in_force >= 1)  # noqa: B023
                most = max(most, *(session.connection.unsent_bytes for session in replica.sessions.values()))
                assert number < 200
            assert replica.slow_readers == 1 and most <= MAX_PENDING_BYTES + 210_000
            status = await asked(replica.address)
            assert [row.dispatcher for row in status.events.missing] == ["deaf"]
            assert not status.events.missing[0].connected
            deaf.close()

    run_scene(scene(), limit_s=60)
