"""Relays as processes: what they carry, hold, reset and refuse."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from random import Random

import pytest

from hoistplank.fakes.deployment import free_port
from hoistplank.lab.fleet.relay_messages import PathAction
from hoistplank.lab.fleet.relay_pool import RelayPool


def relayed(scene: Callable[[RelayPool, int], Awaitable[None]]) -> None:
    """A scene with one relay process and a server that echoes."""

    async def whole() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while data := await reader.read(65_536):
                    writer.write(data)
                    await writer.drain()
            except ConnectionError:
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relays = RelayPool()
        await relays.start(1, 3)
        try:
            await scene(relays, int(server.sockets[0].getsockname()[1]))
        finally:
            await relays.stop()
            server.close()
        assert all(relay.process.returncode == 0 for relay in relays.relays)

    asyncio.run(asyncio.wait_for(whole(), 30))


async def opened(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", port)


async def silent(reader: asyncio.StreamReader, length: float = 0.3) -> bool:
    """Whether nothing comes for so long, not even an end."""
    try:
        await asyncio.wait_for(reader.read(1), length)
    except TimeoutError:
        return True
    return False


def test_a_relay_carries_holds_one_direction_and_goes_on() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        reader, writer = await opened(port)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        # What goes there is heard, what comes back is not.
        relays.set_conditions(["d0>c0-0"], True, silent=True)
        await relays.statistics()
        writer.write(b"two")
        assert await silent(reader)
        relays.set_conditions(["d0>c0-0"], True, silent=False)
        assert await reader.readexactly(3) == b"two"
        relays.set_conditions(["d0>c0-0"], False, delay_us=200_000)
        await relays.statistics()
        began = time.monotonic()
        writer.write(b"six")
        assert await reader.readexactly(3) == b"six" and time.monotonic() - began >= 0.19

    relayed(scene)


def test_a_relay_resets_refuses_and_lets_connections_die_without_a_word() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        reader, writer = await opened(port)
        writer.write(b"up")
        await reader.readexactly(2)
        relays.apply(["d0>c0-0"], PathAction.DEADEN)
        await relays.statistics()
        writer.write(b"dead")
        assert await silent(reader)
        fresh, other = await opened(port)
        other.write(b"new")
        assert await fresh.readexactly(3) == b"new"
        relays.apply(["d0>c0-0"], PathAction.SHUT)
        await relays.statistics()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await fresh.readexactly(1)
        with pytest.raises(ConnectionRefusedError):
            await opened(port)
        relays.apply(["d0>c0-0"], PathAction.OPEN)
        await relays.statistics()
        again, last = await opened(port)
        last.write(b"back")
        assert await again.readexactly(4) == b"back"

    relayed(scene)


def test_a_party_that_is_gone_resets_what_the_relay_holds_for_it() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        # Nobody listens there: what was accepted breaks.
        port = await relays.open_stream_path("d0>c0-1", free_port(), 0)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            reader, writer = await opened(port)
            writer.write(b"anybody")
            await reader.readexactly(1)
        # A process that dies while bytes for it wait out a delay.
        child = subprocess.Popen(
            [
                sys.executable,
                "-c",
                "import socket,sys\ns=socket.create_server(('127.0.0.1',0))\n"
                "print(s.getsockname()[1],flush=True)\nc,_=s.accept()\nc.recv(1)\nc.sendall(b'k')\nsys.stdin.read()",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None
        port = await relays.open_stream_path("d0>c0-2", int(child.stdout.readline()), 0)
        reader, writer = await opened(port)
        writer.write(b"x")
        assert await reader.readexactly(1) == b"k"
        relays.set_conditions(["d0>c0-2"], False, delay_us=300_000)
        await relays.statistics()
        writer.write(b"held")
        child.kill()
        child.wait()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)

    relayed(scene)


def test_both_ends_that_close_at_once_leave_no_connection_behind() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        async def brief(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        closing = await asyncio.start_server(brief, "127.0.0.1", 0)
        port = await relays.open_stream_path("d0>c0-0", int(closing.sockets[0].getsockname()[1]), 0)
        for _ in range(40):
            _, writer = await opened(port)
            writer.close()
        for _ in range(100):
            found = await relays.relays[0].statistics()
            if not found.connections:
                break
            await asyncio.sleep(0.05)
        assert found.connections == 0
        closing.close()

    relayed(scene)


def test_datagrams_pass_between_two_parties_each_way_by_itself() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        loop, ends = asyncio.get_running_loop(), []
        for _ in range(2):
            end = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            end.bind(("127.0.0.1", 0))
            end.setblocking(False)
            ends.append(end)
        one, other = ends
        ports = await relays.open_datagram_path("d0~d1", one.getsockname()[1], other.getsockname()[1], 0)
        await loop.sock_sendto(one, b"hello", ("127.0.0.1", ports[0]))
        data, sender = await loop.sock_recvfrom(other, 100)
        # It comes from where the receiver knows the sender: an answer finds its way.
        assert data == b"hello" and sender[1] == ports[1]
        relays.set_conditions(["d0~d1"], True, loss=1.0)
        await relays.statistics()
        await loop.sock_sendto(other, b"lost", ("127.0.0.1", ports[1]))
        await loop.sock_sendto(one, b"there", ("127.0.0.1", ports[0]))
        assert await loop.sock_recv(other, 100) == b"there"
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(loop.sock_recv(one, 100), 0.2)
        for end in ends:
            end.close()

    relayed(scene)


def test_a_stream_through_a_relay_keeps_its_order_whatever_delays_are_drawn() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        reader, writer = await opened(port)
        sent = b"".join(n.to_bytes(4, "big") for n in range(3_000))
        relays.set_conditions(["d0>c0-0"], False, delay_us=900, spread_us=2_500)
        relays.set_conditions(["d0>c0-0"], True, spread_us=1_700)
        for at in range(0, len(sent), 12):
            writer.write(sent[at : at + 12])
            if at % 60 == 0:
                await asyncio.sleep(0.0007)
            if at == 6_000:
                # What still waits out its delay must not be overtaken once nothing is set any more.
                relays.set_conditions(["d0>c0-0"], False, delay_us=0, spread_us=0)
                relays.set_conditions(["d0>c0-0"], True, spread_us=0)
        assert await asyncio.wait_for(reader.readexactly(len(sent)), 10) == sent

    relayed(scene)


def test_a_party_that_stands_still_stops_its_sender_and_loses_nothing() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        relays.set_conditions(["d0>c0-0"], True, silent=True)
        await relays.statistics()
        reader, writer = await opened(port)
        sent = Random(3).randbytes(40_000_000)

        async def send() -> None:
            for at in range(0, len(sent), 100_000):
                writer.write(sent[at : at + 100_000])
                await writer.drain()

        sending = asyncio.ensure_future(send())
        await asyncio.wait([sending], timeout=0.5)
        assert not sending.done()  # the relay holds some of it and reads no more
        relays.set_conditions(["d0>c0-0"], True, silent=False)
        assert await asyncio.wait_for(reader.readexactly(len(sent)), 10) == sent
        await sending

    relayed(scene)
