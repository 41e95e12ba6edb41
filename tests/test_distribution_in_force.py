"""Acknowledgements that are lost, duplicated or stale, and followers that read nothing."""

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
from tests.distribution_rig import EPOCH, Rig, at, fetch_status
from tests.helpers import until
from tests.scene_runner import run_scene


def test_duplicated_reordered_or_stale_acknowledgements_count_nothing_unapplied() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            address = rig.addresses[0].address
            replica = rig.replicas[0]

            async def connect_as(incarnation: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(encode(RequestLine(follow=FollowRequest("d1", incarnation))))
                return reader, writer

            def send_acknowledgement(writer: asyncio.StreamWriter, number: int) -> None:
                writer.write(
                    encode(RequestLine(acknowledgement=Acknowledgement(VersionFields(EPOCH, number))))
                )

            def acknowledged_version() -> Version:
                status = replica.table.change_status(at(99))
                return status.missing[0].version if status.missing else NOTHING

            await until(replica.log_follower.is_caught_up)
            reader, earlier = await connect_as(1)
            await reader.readline()
            rig.publish_purge(2, "ab")
            rig.publish_purge(3, "cd")
            for number in (3, 3, 1, 2):  # duplicated and out of order
                send_acknowledgement(earlier, number)
            await until(lambda: acknowledged_version() == at(3))
            # The dispatcher restarts with nothing in force, while its earlier connection is still open.
            reader, later = await connect_as(2)
            assert b"catch_up" in await reader.readline() and acknowledged_version() == NOTHING
            send_acknowledgement(earlier, 3)
            send_acknowledgement(later, 1)
            await until(lambda: acknowledged_version() == at(1))
            # The earlier incarnation reconnects, and is rejected with a reason.
            reader, again = await connect_as(1)
            assert b"incarnation 2 of d1 is known" in await reader.readline()
            assert await reader.readline() == b"" and acknowledged_version() == at(1)
            for writer in (earlier, later, again):
                writer.close()

    run_scene(scene(), limit_s=60)


def test_next_acknowledgement_replaces_a_lost_one() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            one = rig.start_dispatcher("d1")
            await until(lambda: rig.replicas[0].table.change_status(at(1)).in_force == 1)
            connection = one.follower.connection
            assert connection is not None
            send, lost = connection.send, list[bytes]()
            connection.send = lambda data, *more: lost.append(data)  # type: ignore[method-assign]
            rig.publish_purge(2, "ab")
            await until(lambda: bool(lost))
            assert rig.replicas[0].table.change_status(at(2)).in_force == 0
            connection.send = send  # type: ignore[method-assign]
            await until(lambda: rig.replicas[0].table.change_status(at(2)).in_force == 1)

    run_scene(scene(), limit_s=60)


def test_nothing_is_acknowledged_before_the_receivers_turn() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            one = rig.start_dispatcher("d1")
            table = rig.replicas[0].table
            await until(lambda: table.change_status(at(1)).in_force == 1)
            one.receiver.is_paused = True
            rig.publish_purge(2, "ab")
            rig.log.publish_configuration(3, "new")
            await until(lambda: one.receiver.purges == ["ab"] and one.configurations != [])
            rows = table.revision
            await until(lambda: table.revision > rows + 1)  # two more heartbeats of the dispatcher
            assert one.in_force == at(1) and table.change_status(at(2)).in_force == 0
            one.receiver.run_pending_turns()
            await until(lambda: table.change_status(at(3)).in_force == 1)

    run_scene(scene(), limit_s=60)


def test_follower_that_reads_nothing_is_disconnected_without_affecting_others() -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            rig.publish_hosts(1, whole=True, a="ready")
            one = rig.start_dispatcher("d1")
            await until(lambda: one.in_force == at(1))
            stalled = socket.socket()
            stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            stalled.connect(rig.addresses[0].address)
            stalled.sendall(
                encode(RequestLine(follow=FollowRequest("stalled", 1, resume_at=VersionFields(EPOCH, 1))))
            )
            replica = rig.replicas[0]
            await until(lambda: "stalled" in replica.sessions)
            number, max_unsent = 1, 0
            while "stalled" in replica.sessions:
                number += 1
                rig.log.publish_configuration(number, "x" * 200_000)
                await until(lambda: replica.table.change_status(at(number)).in_force >= 1)  # noqa: B023
                max_unsent = max(
                    max_unsent, *(session.connection.unsent_bytes for session in replica.sessions.values())
                )
                assert number < 200
            assert replica.slow_readers == 1 and max_unsent <= MAX_PENDING_BYTES + 210_000
            status = await fetch_status(replica.address)
            assert [row.dispatcher for row in status.events.missing] == ["stalled"]
            assert not status.events.missing[0].connected
            stalled.close()

    run_scene(scene(), limit_s=60)
