"""A process of relays: `python -m hoistplank.lab.fleet.relay`, told what to do a JSON line at a time.

Each path between two parties has a name. Of streams, the near party connects to the port of that path and
the relay connects to the far one; of datagrams both parties have a port of the relay for each other. It ends
with its standard input, so that nothing is left when the rig is gone.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from hoistplank.fakes.deployment import held_port
from hoistplank.lab.fleet.path_conditions import (
    UNIMPAIRED,
    DatagramDirection,
    PathConditions,
    StreamDirection,
    chance,
)

MOST_HELD = 512 * 1024  # bytes of one direction that wait; beyond it the sender is read no more, as by TCP
TICK_S = 0.02
END, RESET = b"", None  # of a stream: its orderly end, and its breaking off
Piece = bytes | None


def now_us() -> int:
    return time.monotonic_ns() // 1_000


class Side(asyncio.Protocol):
    """One of the two connections of a joint."""

    def __init__(self, joint: Joint, near: bool) -> None:
        self.joint, self.near = joint, near
        self.transport: asyncio.Transport | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.joint.made(self)

    def data_received(self, data: bytes) -> None:
        self.joint.came(self, data)

    def eof_received(self) -> bool:
        self.joint.came(self, END)
        return True  # the other direction may still go on

    def pause_writing(self) -> None:
        """This party reads too slowly, or stands still: the other one is read no more, as by TCP."""
        self.joint.filled(self, True)

    def resume_writing(self) -> None:
        self.joint.filled(self, False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.joint.came(self, RESET if exc is not None else END)
        self.joint.gone()

    def break_off(self) -> None:
        """A reset, no orderly end."""
        if self.transport is not None and not self.ended:
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError, AttributeError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Lane:
    """One direction of a joint: what came in, in its order, each piece until its time.

    Danger: with a timer a piece, two of one millisecond may go off in the wrong order and garble a stream.
    """

    def __init__(self, joint: Joint, source: Side, to: Side, back: bool) -> None:
        self.joint, self.source, self.to = joint, source, to
        self.direction = StreamDirection[Piece](joint.path.conditions[back], joint.path.chances[back])
        self.queue: deque[tuple[int, Piece]] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.waits = 0  # bytes that were taken in and not yet handed on
        self.full = self.still = False  # the receiver takes no more; the sender is not read

    def came(self, piece: Piece) -> None:
        now, size = now_us(), len(piece or b"")
        if piece:
            self.joint.path.count(size)
            to = self.to.transport
            if to is not None and not self.to.ended and not self.queue and self.direction.idle(now):
                # Nothing is set on this direction, and nothing waits there: most of what passes.
                return to.write(piece)
            self.waits += size
        self.queue.extend(self.direction.push(now, size, piece))
        self.pump()

    def set_conditions(self, conditions: PathConditions) -> None:
        self.queue.extend(self.direction.set_conditions(now_us(), conditions))
        self.pump()

    def pump(self) -> None:
        """Hands on what is due; a party that is not connected yet finds it all then."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.queue and self.to.transport is not None and not (self.joint.over or self.joint.dead):
            at, piece = self.queue[0]
            late = now_us() - at
            if late < 0:
                self.timer = asyncio.get_running_loop().call_later(-late / 1e6, self.pump)
                break
            self.queue.popleft()
            self.joint.path.late(late)
            self.waits -= len(piece or b"")
            self.joint.hand(self.to, piece)
        self.mind()

    def mind(self) -> None:
        """Reads its sender no more while too much waits or the receiver is full, as TCP's window would."""
        still = self.full or self.waits > (MOST_HELD // 2 if self.still else MOST_HELD)
        transport = self.source.transport
        if still != self.still and transport is not None and not transport.is_closing():
            self.still = still
            if still:
                transport.pause_reading()
            else:
                transport.resume_reading()


class Joint:
    """A connection through a path. `dead`: it stays up on both sides, and nothing comes through any more."""

    def __init__(self, path: StreamPath) -> None:
        self.path, self.dead, self.over = path, False, False
        self.ends = 0  # directions that have come to their orderly end
        self.near, self.far = Side(self, True), Side(self, False)
        self.there = Lane(self, self.near, self.far, False)
        self.back = Lane(self, self.far, self.near, True)

    def made(self, side: Side) -> None:
        if side.near:
            self.path.joints[self] = None
            self.path.spawn(self._connect())
        else:
            self.there.pump()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.far, "127.0.0.1", self.path.target)
        except OSError:
            # Danger: the near side has written already; to it this is a connection that broke, which proves
            # nothing of what ran. The rig shuts the path of a party that is gone, so that it is refused.
            self.over = True
            self.near.break_off()

    def came(self, side: Side, piece: Piece) -> None:
        if not (self.dead or self.over):
            (self.there if side.near else self.back).came(piece)

    def conditions_changed(self) -> None:
        """The conditions of the path have changed."""
        self.there.set_conditions(self.path.conditions[0])
        self.back.set_conditions(self.path.conditions[1])

    def hand(self, to: Side, piece: Piece) -> None:
        """Hands a piece to a side that is connected."""
        assert to.transport is not None
        if to.ended or piece is RESET:
            # Danger: what it holds for a party that has died can't arrive; the sender learns it as a reset.
            self.close()
        elif piece == END:
            with contextlib.suppress(OSError, RuntimeError):
                to.transport.write_eof()
            self.ends += 1
            if self.ends >= 2:
                # Danger: a transport whose both directions have ended stays open until it is told.
                for side in (self.near, self.far):
                    if side.transport is not None:
                        side.transport.close()
        else:
            to.transport.write(piece)

    def filled(self, side: Side, full: bool) -> None:
        """Whether a side takes no more for now."""
        lane = self.back if side.near else self.there
        lane.full = full
        lane.mind()

    def gone(self) -> None:
        """One side has ended: with both ended, or one that nothing can be sent to, it is over."""
        if self.near.ended and (self.far.ended or self.far.transport is None):
            self.close()

    def close(self) -> None:
        """Resets what is still up; both ends may close at once, so that this comes twice."""
        if not self.over:
            self.over = True
            self.near.break_off()
            self.far.break_off()
        if self.near.ended and (self.far.ended or self.far.transport is None):
            self.path.joints.pop(self, None)


@dataclass(eq=False)
class StreamPath:
    """A path of streams between two parties, near and far."""

    name: str
    target: int
    seed: int
    office: Office
    port: int = 0
    conditions: list[PathConditions] = field(default_factory=lambda: [UNIMPAIRED, UNIMPAIRED])  # there, back
    joints: dict[Joint, None] = field(default_factory=dict)
    server: asyncio.Server | None = None
    kept: socket.socket | None = None  # holds the port while nothing listens on it

    def __post_init__(self) -> None:
        self.chances = [chance(self.seed, f"{self.name}/there"), chance(self.seed, f"{self.name}/back")]

    def spawn(self, work: Any) -> None:
        self.office.spawn(work)

    def count(self, size: int) -> None:
        self.office.chunks += 1
        self.office.carried += size

    def late(self, lag_us: int) -> None:
        self.office.lags.record_value(max(1, lag_us))

    async def open(self) -> int:
        if self.server is None:
            if self.kept is None:
                self.kept = held_port()
                self.port = int(self.kept.getsockname()[1])
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                lambda: Joint(self).near, "127.0.0.1", self.port, reuse_port=True
            )
        return self.port

    def shut(self) -> None:
        """The far party is gone: refused, and what is open breaks."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for joint in list(self.joints):
            joint.close()

    def set_conditions(self, back: bool, **values: Any) -> None:
        self.conditions[int(back)] = self.conditions[int(back)].changed(**values)
        for joint in list(self.joints):
            joint.conditions_changed()

    def deaden(self) -> None:
        for joint in self.joints:
            joint.dead = True


class Mouth(asyncio.DatagramProtocol):
    """One of the two ports of a datagram path: where the one party finds the other."""

    def __init__(self, path: DatagramPath, back: bool) -> None:
        self.path, self.back = path, back
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.path.came(data, self.back)

    def error_received(self, exc: Exception) -> None:
        """A party that does not listen: its datagrams are lost, as on a network."""


class DatagramPath:
    """Datagrams between two parties; each has a port here that stands for the other."""

    def __init__(self, name: str, near: int, far: int, seed: int, office: Office) -> None:
        self.name, self.near, self.far, self.office = name, near, far, office
        self.mouths = Mouth(self, False), Mouth(self, True)
        chances = chance(seed, f"{name}/there"), chance(seed, f"{name}/back")
        self.directions = DatagramDirection(UNIMPAIRED, chances[0]), DatagramDirection(UNIMPAIRED, chances[1])

    async def open(self) -> tuple[int, int]:
        """The ports: of the far party as the near one sees it, and the reverse."""
        loop, ports = asyncio.get_running_loop(), []
        for mouth in self.mouths:
            made = await loop.create_datagram_endpoint(lambda it=mouth: it, ("127.0.0.1", 0))  # type: ignore[misc]
            ports.append(int(made[0].get_extra_info("sockname")[1]))
        return ports[0], ports[1]

    def came(self, data: bytes, back: bool) -> None:
        now, loop = now_us(), asyncio.get_running_loop()
        self.office.chunks += 1
        for at, copy in self.directions[int(back)].push(now, data):
            if at <= now:
                self._send(copy, back)
            else:
                loop.call_later((at - now) / 1e6, self._send, copy, back)

    def _send(self, data: bytes, back: bool) -> None:
        # It comes from the port by which the receiver knows the sender.
        transport = self.mouths[0 if back else 1].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self.near if back else self.far))

    def set_conditions(self, back: bool, **values: Any) -> None:
        direction = self.directions[int(back)]
        direction.conditions = direction.conditions.changed(**values)


class Command(msgspec.Struct, forbid_unknown_fields=True):
    """One line: what is done to which paths. `conditions`: what changes, in one direction."""

    do: str
    paths: list[str] = []
    target: int = 0
    near: int = 0
    back: bool = False
    conditions: dict[str, Any] = {}


class Office:
    """All paths of this process, and what it is told to do with them."""

    def __init__(self, seed: int) -> None:
        self.seed, self.chunks, self.carried = seed, 0, 0
        self.streams: dict[str, StreamPath] = {}
        self.datagrams: dict[str, DatagramPath] = {}
        self.lags = HdrHistogram(1, 10_000_000, 2)
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def obey(self, command: Command) -> dict[str, Any] | None:
        """Carries one command out; an answer where one is due."""
        do, streams = command.do, [self.streams[name] for name in command.paths if name in self.streams]
        if do == "stream":
            path = self.streams[command.paths[0]] = StreamPath(
                command.paths[0], command.target, self.seed, self
            )
            return {"port": await path.open()}
        if do == "datagrams":
            made = DatagramPath(command.paths[0], command.near, command.target, self.seed, self)
            self.datagrams[made.name] = made
            return {"ports": await made.open()}
        if do == "stats":
            return {
                "chunks": self.chunks,
                "bytes": self.carried,
                "cpu_s": time.process_time(),
                "late_us": {str(p): self.lags.get_value_at_percentile(p) for p in (50, 99, 100)},
                "joints": sum(len(path.joints) for path in self.streams.values()),
            }
        for path in streams:
            if do == "target":
                path.target = command.target
            elif do == "open":
                await path.open()
            elif do == "shut":
                path.shut()
            elif do == "deaden":
                path.deaden()
            elif do == "set_conditions":
                path.set_conditions(command.back, **command.conditions)
        for name in command.paths:
            if do == "set_conditions" and name in self.datagrams:
                self.datagrams[name].set_conditions(command.back, **command.conditions)
        return None

    async def tick(self) -> None:
        """The loop's own lateness counts as the relays': what comes in waits as long as this timer does."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK_S)
            self.lags.record_value(max(1, int((time.monotonic() - began - TICK_S) * 1e6)))


async def serve(seed: int) -> None:
    office, loop = Office(seed), asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    office.spawn(office.tick())
    while line := await reader.readline():
        told = await office.obey(msgspec.json.decode(line, type=Command))
        if told is not None:
            os.write(1, msgspec.json.encode(told) + b"\n")
    for task in office.tasks:
        task.cancel()


def main() -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
