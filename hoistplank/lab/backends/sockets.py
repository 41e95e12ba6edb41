"""Sockets: the same model as stand-ins on loopback, against real dispatcher processes, in real time.

One task moves the world's agenda on by the machine's clock; each dispatcher reaches every server at a port
set aside for it, so that the world knows who asks. What flows between servers stays in the model. What
loopback can't show: a connection to a silent machine is made at once (the kernel accepts it), so that a
vanished host shows as silence where virtual time shows a connection that is not up in time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hoistplank.decision.events import CacheStatus, Endpoint, Outcome
from hoistplank.fakes.deployment import free_port, reserve_port
from hoistplank.fakes.wire import FastCgiClient, connect
from hoistplank.lab.backends.orphans import with_parent
from hoistplank.lab.model.clients import FAILED, REJECTED, SERVED, UNREACHABLE, Request
from hoistplank.lab.model.faults import FaultInjector, ScheduledFault
from hoistplank.lab.model.objects import purge_group_of
from hoistplank.lab.model.servers import DOWN, Server, ServerRequest
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

CONNECTIONS = 8  # connections of the front to each dispatcher
MAX_LATE_US = 20_000  # the world's own lateness at its 99th percentile, beyond which a day is void
READY_S = 15.0
BODY = b"o" * 64
WIRE_STATUS = {
    Outcome.MISS: "not_here",
    Outcome.OVERLOADED: "overload",
    Outcome.ERROR: "crashed",
}
WIRE_DETAIL = {
    CacheStatus.HIT: "hit",
    CacheStatus.FILLED: "filled",
    CacheStatus.FROM_ORIGIN: "via_origin",
    CacheStatus.JOINED: "joined",
    CacheStatus.STALE: "stale",
    CacheStatus.SOURCE_REFUSED: "src_refused",
    CacheStatus.SOURCE_UNREACHABLE: "src_broke",
    CacheStatus.SOURCE_LACKS: "src_lacks",
    CacheStatus.NOT_STORED: "no_slot",
    CacheStatus.ORIGIN_UNREACHABLE: "origin_failed",
}
WIRE_STATE = {"up": "ready", "draining": "draining", "gone": "gone"}


class RunTooLateError(Exception):
    """The machine was too slow for the day to prove anything; its text and `late_us` say by how much."""

    def __init__(self, late_us: int) -> None:
        super().__init__(
            f"the world ran {late_us // 1000} ms late (99th percentile), {MAX_LATE_US // 1000} are allowed"
        )
        self.late_us = late_us


class ServerPort:
    """A server's listening port for one dispatcher, closed while its process is gone."""

    def __init__(self, day: SocketDay, dispatcher: SocketDispatcher, server: Server) -> None:
        self.day, self.dispatcher, self.server, self.port = day, dispatcher, server, 0
        self.listening: asyncio.Server | None = None
        self.reservation: socket.socket | None = None  # holds the port while the process is gone
        self.writers: dict[asyncio.StreamWriter, None] = {}

    async def open(self) -> None:
        if self.reservation is None:
            self.reservation = reserve_port()
            self.port = int(self.reservation.getsockname()[1])
        self.listening = await asyncio.start_server(self._talk, "127.0.0.1", self.port, reuse_port=True)

    def close(self) -> None:
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for writer in list(self.writers):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        if sock is not None and not writer.is_closing():
            # A process that is killed leaves a reset behind, no orderly end.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        open_requests: dict[str, ServerRequest] = {}
        try:
            while words := (await reader.readline()).decode().split():
                self.day.advance()
                if words[0] == "GET":
                    await reader.readexactly(int(words[3]) + 2)
                    self._get(
                        words[1], dict(p.split("=", 1) for p in words[2].split(",")), writer, open_requests
                    )
                elif words[0] == "DROP" and words[1] in open_requests:
                    self.server.cancel(open_requests.pop(words[1]))
                elif words[0] in ("PING", "LOAD") and self.server.phase == "up":
                    writer.write(f"{words[1]} green - 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass  # the other side is gone, or the day is over
        finally:
            for server_request in open_requests.values():
                self.server.cancel(server_request)
            self.writers.pop(writer, None)
            writer.close()

    def _get(
        self,
        id: str,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        open_requests: dict[str, ServerRequest],
    ) -> None:
        world, now = self.day.world, self.day.world.events.now
        class_index, object_key = self.day.classes[fields["queue"]], fields["path"]
        uncached = world.settings.classes[class_index].uncached
        source = fields.get("parent", "") or ("" if uncached else self.server.uid)
        number = int(object_key, 16)
        drains = world.rules.drains
        drains.attempt(now, self.dispatcher.number, self.server.uid, "host")
        if source not in ("", self.server.uid):
            drains.attempt(now, self.dispatcher.number, source, "source")

        made: ServerRequest

        def end(result: int, note: int, created: int) -> None:
            open_requests.pop(id, None)
            self._end(id, made, now, writer, result, note, created)

        size = world.catalog.size_kb(class_index, number) / world.settings.transfer_kb_s * 1e6
        place = (object_key, int(fields.get("blk", "0")))
        made = server_request = ServerRequest(
            self.dispatcher.number,
            self.dispatcher.zone,
            class_index,
            place,
            purge_group_of(number, world.settings),
            size,
            end,
        )
        server_request.source, server_request.idempotency_key = source, fields.get("uniq", "") or id[:12]
        server_request.cache_rank, server_request.max_age_us = (
            int(fields.get("shelf", "0")),
            int(fields.get("accept", "0")) * 1_000,
        )
        hints = fields.get("hints", "").split("+")
        server_request.may_join, server_request.may_renew = "wait-for" in hints, "background" in hints
        server_request.return_delay_us = world.settings.hub_delay_us if self.server.zone == "hub" else 0
        if self.server.zone == "hub":
            server_request.extra_links = [world.zone_links[self.dispatcher.zone]]
        open_requests[id] = server_request
        world.events.schedule(now + server_request.return_delay_us, self.server.arrive, server_request)

    def _end(
        self,
        id: str,
        server_request: ServerRequest,
        sent: int,
        writer: asyncio.StreamWriter,
        result: int,
        note: int,
        created: int,
    ) -> None:
        world = self.day.world
        if writer.is_closing():
            return
        if result in (Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED):
            self._reset(writer)
            return
        detail = f"detail={WIRE_DETAIL[note]}" if note in WIRE_DETAIL else "-"
        if result == Outcome.CONNECTION_SPOILT:
            writer.write(f"{id} served detail= {len(BODY)}\r\n".encode() + BODY)
        elif result == Outcome.SUCCEEDED:
            if not world.settings.classes[server_request.class_index].uncached:
                world.rules.purges.served(
                    world.events.now,
                    self.dispatcher.number,
                    id,
                    server_request.cache_key[0],
                    server_request.group,
                    sent,
                    created,
                )
            self.dispatcher.notes[id] = note
            dated = self.day.unix_ms(created - self.dispatcher.skew_us)
            head = (
                f"{id} served {detail},digest={server_request.cache_key[0][:8]},dated={dated} {len(BODY)}\r\n"
            )
            writer.write(head.encode() + BODY + b"\r\n")
        else:
            writer.write(f"{id} {WIRE_STATUS.get(result, 'crashed')} {detail} 0\r\n\r\n".encode())


class SocketDispatcher:
    """A real dispatcher process, its change log, and the front's connections to it."""

    def __init__(self, day: SocketDay, number: int, zone: int) -> None:
        self.day, self.number, self.zone = day, number, zone
        self.alive, self.seq, self.runs = False, 1, 0
        self.log: list[dict[str, Any]] = []
        self.server_ports: dict[str, ServerPort] = {}
        self.clients: list[FastCgiClient | None] = [None] * CONNECTIONS
        self.waiting: dict[int, list[tuple[int, str, dict[str, str]]]] = {}  # by line, until it is up
        self.numbers = [0] * CONNECTIONS
        self.open: dict[tuple[int, int], Request] = {}
        self.notes: dict[str, int] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.port = self.log_port = self.turn = 0
        self.reach: dict[str, int] = {}  # at which port it finds each server
        self.entry = 0  # and clients find it
        self.skew_us = 0  # how far its clock is ahead of all others'
        self.log_writers: dict[asyncio.StreamWriter, None] = {}

    # What the world tells.

    def _tell(self, event: dict[str, Any]) -> None:
        self.seq += 1
        self.log.append({"seq": self.seq, **event})
        for writer in self.log_writers:
            if not writer.is_closing():
                writer.write(json.dumps(self.log[-1]).encode() + b"\n")

    def _target(self, row: Endpoint) -> dict[str, Any]:
        return {
            "uid": row.host,
            "endpoint": f"127.0.0.1:{self.reach[row.host]}",
            "az": row.zone,
            "model": row.kind,
            "pod_group": row.cell,
            "state": WIRE_STATE[row.state],
            "capacity_hint": row.units,
            "boot_ms": self._unix_ms(row.started_us) if row.started_us else 0,
        }

    def update_hosts(self, form: str, entries: list[Endpoint]) -> None:
        # a lost log it finds out by itself, what is kept it was started with
        if form not in ("failed", "kept"):
            rows = [self._target(row) for row in entries]
            self._tell({"fleet": {"rev": self.seq + 1, "all": form == "whole", "targets": rows}})

    def purge(self, object_key: str, group: int, made: int) -> None:
        what: dict[str, Any] = {"object": object_key} if object_key else {"bucket": group}
        self._tell({"invalidate": {"time": self._unix_ms(made), **what}})

    def _unix_ms(self, at: int) -> int:
        """A moment of the world by the others' clocks, as this dispatcher is told of it."""
        return self.day.unix_ms(at - self.skew_us)

    def step_clock(self, step_us: int) -> None:
        """A process's own clock can't be set on one machine; all that it is told is dated earlier instead."""
        self.skew_us += step_us

    def freeze(self, length_us: int) -> None:
        """Stopped by a signal, and continued by its number: no other process is touched."""
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(length_us / SECOND_US, self._thaw, process)

    @staticmethod
    def _thaw(process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    def accept(self, request: Request) -> None:
        self.turn += 1
        at = self.turn % CONNECTIONS
        self.numbers[at] = self.numbers[at] % 60_000 + 1
        row = self.day.world.settings.classes[request.class_index]
        left_ms = (request.asked_at + row.deadline_us - self.day.world.events.now) // 1_000
        fields = {
            "HTTP_X_CORRELATION_ID": request.id,
            "HTTP_X_SUBJECT": request.object_key,
            "HTTP_X_CHUNK": str(request.part),
            "HTTP_X_TAG": str(request.group),
            "HTTP_X_DEADLINE_MS": str(max(1, left_ms)),
        }
        if row.semantics == "deduplicated":
            fields["HTTP_X_OPERATION_KEY"] = request.key
        if request.tries > 1:
            fields["HTTP_X_RESENT"] = "1"
        self.open[at, self.numbers[at]] = request
        client = self.clients[at]
        if client is not None:
            client.send(self.numbers[at], row.name, fields)
            return
        rows = self.waiting.setdefault(at, [])
        rows.append((self.numbers[at], row.name, fields))
        if len(rows) == 1:
            self._spawn(self._line(at, self.runs))

    async def _line(self, at: int, runs: int) -> None:
        """Opens a line once there is something to send on it.

        Danger: a dispatcher ends a line that has not spoken within its time, and what was sent just then is
        taken by nobody; a line that speaks at once is never ended so.
        """
        client: FastCgiClient | None = None
        with contextlib.suppress(OSError):
            client = await connect(("127.0.0.1", self.entry))
        rows = self.waiting.pop(at, []) if runs == self.runs else []
        if client is not None and self.alive and runs == self.runs:
            self.clients[at] = client
            for number, class_name, fields in rows:
                client.send(number, class_name, fields)
            self._spawn(self._read(at, client))
            return
        if client is not None:
            client.writer.close()
        for number, _, _ in rows:
            request = self.open.pop((at, number), None)
            if request is not None:
                self.day.world.rules.answers.withdrawn(request.id)
                self.day.world.clients.connection_refused(request.id)

    def client_left(self, request: Request) -> None:
        """Its answer, if one comes, is read and thrown away, as a web server would."""

    def kill(self) -> None:
        self.alive = False
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        self.open.clear()
        self.waiting.clear()
        self.clients = [None] * CONNECTIONS
        self.day.entry_closed(self)

    def restart(self) -> None:
        self.runs += 1
        self._spawn(self.start())

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # The process.

    async def prepare(self) -> None:
        """Ports for it: the ports of all servers and its change log."""
        for server in self.day.world.servers.values():
            server_port = self.server_ports[server.uid] = ServerPort(self.day, self, server)
            await server_port.open()
            self.reach[server.uid] = await self.day.port_for(self, server.uid, server_port.port)
        serving = await asyncio.start_server(self._talk_log, "127.0.0.1", 0)
        port = int(serving.sockets[0].getsockname()[1])
        self.log_port = await self.day.port_for(self, "log", port)

    async def _talk_log(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            since = int((await reader.readline()).split()[1])
            for event in self.log:
                if event["seq"] > since:
                    writer.write(json.dumps(event).encode() + b"\n")
            self.log_writers[writer] = None
            while not writer.is_closing():
                if self.day.world.change_log.is_up:
                    writer.write(f"{self.seq}\n".encode())
                await asyncio.sleep(0.9)
        except (OSError, IndexError, asyncio.CancelledError, ValueError):
            pass  # the other side is gone, or the day is over
        finally:
            self.log_writers.pop(writer, None)
            writer.close()

    async def start(self) -> None:
        """Starts the dispatcher with the list of now; raises RuntimeError with its last lines if it
        doesn't serve.
        """
        day = self.day
        self.port = free_port()
        rows = [self._target(row) for row in day.world.host_entries()]
        file = day.folder / f"dispatcher-{self.number}.json"
        known = {
            "seq": self.seq,
            "results": [{"seq": self.seq, "fleet": {"rev": 1, "all": True, "targets": rows}}],
        }
        file.write_text(
            json.dumps(
                {
                    "name": f"lab-{self.number}",
                    "listen": f"127.0.0.1:{self.port}",
                    "changelog": f"127.0.0.1:{self.log_port}",
                    "seed": f"{day.world.streams.seed * 100 + self.number * 10 + self.runs:x}",
                    "limits": {"sockets": 1_024, "memory_mb": 192},
                    "settings": day.world.settings.dispatcher_settings(self.zone, self.number),
                    "known": known,
                }
            )
        )
        own = ("EDGE_", "HOISTPLANK_")
        environment = {k: v for k, v in os.environ.items() if not k.startswith(own)} | {
            "EDGE_CONFIG": str(file)
        }
        log = day.folder / f"dispatcher-{self.number}.log"
        with log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *day.command(self), env=environment, stdout=out, stderr=out, preexec_fn=with_parent()
            )
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            # Danger: where another took the port meanwhile, who listens there may never answer.
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1):
                    client = await connect(("127.0.0.1", self.port))
                    client.send(1, "", script="/-/healthy")
                    status = (await client.read_answer())[1]
                client.writer.close()
                if status == 200 and await self._stays():
                    self.entry = await day.entry_port_for(self)
                    self.alive = True
                    # Danger: it may have been given up by the front while it started, and clients would never
                    # come to it again.
                    day.world.load_balancer.dispatcher_restarted(self)
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the dispatcher did not come up: {log.read_text()[-2_000:]}")

    async def _stays(self) -> bool:
        """Danger: it may be another process that answers on this port, while ours is about to end."""
        await asyncio.sleep(0.05)
        return self.process is not None and self.process.returncode is None

    async def _read(self, at: int, client: FastCgiClient) -> None:
        try:
            while True:
                number, status, head, _ = await client.read_answer()
                self.day.advance()
                request = self.open.pop((at, number), None)
                if request is None:
                    continue
                self._answered(request, request.id, status, head)
        except (OSError, asyncio.IncompleteReadError):
            pass
        if self.clients[at] is client and self.alive:
            # Another takes its place once there is something to send; what was open on it has ended.
            self.clients[at] = None
            for key in [key for key in self.open if key[0] == at]:
                request = self.open.pop(key)
                self.day.world.clients.answered(request.id, UNREACHABLE)

    def _answered(self, request: Request, id: str, status: int, head: bytes) -> None:
        world = self.day.world
        world.rules.answers.answered(world.events.now, id)
        if status == 200:
            world.clients.answered(id, SERVED, note=self.notes.pop(id, 0))
            return
        told = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        wait_us = int(told.get("X-Pushback-Ms", 0)) * 1_000
        world.clients.answered(id, REJECTED if status == 503 else FAILED, wait_us)

    async def stop(self) -> None:
        """Ends the process and all that was opened for it."""
        self.alive = False
        if self.process is not None and self.process.returncode is None:
            # Danger: a process that a scene has left stopped never sees the end that it is asked for.
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 8)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for client in self.clients:
            if client is not None:
                client.writer.close()
        for server_port in self.server_ports.values():
            server_port.close()
            if server_port.reservation is not None:
                server_port.reservation.close()


class SocketDay:
    """One day on sockets. `play` runs it to its end and leaves the world as it was then."""

    def __init__(self, settings: WorldSettings, seed: int, rows: list[ScheduledFault], folder: Path) -> None:
        self.world, self.folder = World(settings, seed), folder
        self.classes = {row.name: n for n, row in enumerate(settings.classes)}
        FaultInjector(self.world, rows).begin()
        self.dispatchers = [
            self.make_dispatcher(n, n % settings.zones) for n in range(settings.zones * settings.dispatchers)
        ]
        self.world.dispatchers.extend(self.dispatchers)
        self.began_s, self.began_unix_s = 0.0, 0.0
        self.lags: list[int] = []
        self.backend_report: dict[str, Any] = {}  # what the drive has to say of itself at the end

    def make_dispatcher(self, number: int, zone: int) -> SocketDispatcher:
        return SocketDispatcher(self, number, zone)

    def unix_ms(self, at: int) -> int:
        return int(self.began_unix_s * 1_000 + at / 1_000)

    # Where a dispatcher and the others find each other: here each at its own port, with nothing between.

    async def port_for(self, dispatcher: SocketDispatcher, party: str, port: int) -> int:
        """The port at which the dispatcher finds a server, or its change log (`log`)."""
        return port

    def port_changed(self, dispatcher: SocketDispatcher, server: Server, opened: bool) -> None:
        """A server's port for that dispatcher has closed, or is there again."""

    async def entry_port_for(self, dispatcher: SocketDispatcher) -> int:
        """The port at which clients find a dispatcher that has just come up."""
        return dispatcher.port

    def entry_closed(self, dispatcher: SocketDispatcher) -> None:
        """A dispatcher was killed."""

    def command(self, dispatcher: SocketDispatcher) -> list[str]:
        return [sys.executable, "-m", "hoistplank"]

    def advance(self) -> None:
        """Brings the world up to now, before what has just come in is told to it."""
        if self.began_s:
            self.world.events.run_until(int((time.monotonic() - self.began_s) * 1e6))

    async def play(self) -> float:
        """The score; raises TooLate where the machine was too slow, RuntimeError where a dispatcher broke."""
        self.began_unix_s = time.time()
        try:
            await self.begin()
            self.began_s, self.began_unix_s = time.monotonic(), time.time()
            self.world.begin()
            while not self._over():
                await self._turn()
            for dispatcher in self.dispatchers:
                if (
                    dispatcher.process is not None
                    and dispatcher.process.returncode is not None
                    and dispatcher.alive
                ):
                    raise RuntimeError(
                        f"dispatcher {dispatcher.number} ended with {dispatcher.process.returncode}"
                    )
            self.backend_report = await self.finish()
        finally:
            await self.end()
        late = self.late_us()
        if late > MAX_LATE_US:
            raise RunTooLateError(late)
        return self.world.clients.utility.score()

    async def begin(self) -> None:
        """Ports first, then all processes at once."""
        for dispatcher in self.dispatchers:
            await dispatcher.prepare()
        await asyncio.gather(*(dispatcher.start() for dispatcher in self.dispatchers))

    async def finish(self) -> dict[str, Any]:
        """What is to be told of the day while all processes are still there."""
        return {}

    async def end(self) -> None:
        """All processes end, however the day went."""
        await asyncio.gather(*(dispatcher.stop() for dispatcher in self.dispatchers))

    def late_us(self) -> int:
        """The world's own lateness at its 99th percentile."""
        self.lags.sort()
        return self.lags[int(len(self.lags) * 0.99)] if self.lags else 0

    def _over(self) -> bool:
        """All has been asked for and has ended, with half a second for what comes late."""
        world, settings = self.world, self.world.settings
        parts = max((row.parts - 1) * row.part_interval_us for row in settings.classes)
        quiet = (
            world.events.now > settings.end_of_arrivals_us() + parts + SECOND_US // 2
            and not world.clients.open
        )
        return quiet or world.events.now >= (world.last_end_us() if world.clients.open else world.end_us())

    async def _turn(self) -> None:
        agenda = self.world.events
        now = int((time.monotonic() - self.began_s) * 1e6)
        due = agenda.next_time()
        if due is not None and due <= now:
            self.lags.append(now - due)
            agenda.run_until(now)
        for dispatcher in self.dispatchers:
            for server_port in dispatcher.server_ports.values():
                if server_port.server.phase == DOWN and server_port.listening is not None:
                    server_port.close()
                    self.port_changed(dispatcher, server_port.server, False)
                elif server_port.server.phase != DOWN and server_port.listening is None:
                    await server_port.open()
                    self.port_changed(dispatcher, server_port.server, True)
        due = agenda.next_time() or now
        await asyncio.sleep(min(0.002, max(0.0, (due - now) / SECOND_US)))


def play(
    settings: WorldSettings,
    seed: int,
    rows: list[ScheduledFault],
    folder: Path,
    loop: Callable[[], Any] | None = None,
) -> World:
    """A day on sockets in a loop of its own. Raises TooLate and RuntimeError."""
    day = SocketDay(settings, seed, rows, folder)
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(asyncio.wait_for(day.play(), day.world.last_end_us() / SECOND_US + 60))
    return day.world
