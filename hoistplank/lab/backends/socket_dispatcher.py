"""A real dispatcher process of a day on sockets: its change log, configuration and client connections."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from typing import TYPE_CHECKING, Any

from hoistplank.decision.events import Endpoint
from hoistplank.fakes.deployment import dispatcher_environment, free_port
from hoistplank.fakes.wire import FastCgiClient, connect
from hoistplank.lab.backends.parent_death import kill_on_parent_death_preexec
from hoistplank.lab.backends.server_port import ServerPort
from hoistplank.lab.model.clients import FAILED, REJECTED, SERVED, UNREACHABLE, Request
from hoistplank.lab.model.world_settings import SECOND_US

if TYPE_CHECKING:
    from hoistplank.lab.backends.sockets import SocketDay


CONNECTIONS = 8  # connections of the front to each dispatcher
READY_S = 15.0
HEALTH_CHECK_INTERVAL_S = 0.02
HEALTH_CHECK_TIMEOUT_S = 1.0
SHOWN_OUTPUT = 2_000  # characters of a process's output in an error
WIRE_STATE = {"up": "ready", "draining": "draining", "gone": "gone"}


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

    # Events of the world.

    def _publish(self, event: dict[str, Any]) -> None:
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
        """Publish hosts in its change log."""
        # a lost log it finds out by itself, what is kept it was started with
        if form not in ("failed", "kept"):
            rows = [self._target(row) for row in entries]
            self._publish({"fleet": {"rev": self.seq + 1, "all": form == "whole", "targets": rows}})

    def purge(self, object_key: str, group: int, made: int) -> None:
        """Publish a purge, made at `made` (us of the world), in its change log."""
        what: dict[str, Any] = {"object": object_key} if object_key else {"bucket": group}
        self._publish({"invalidate": {"time": self._unix_ms(made), **what}})

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
        """Send a client's request over the next of its connections, opening it if need be."""
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
        """Kill the process; its clients' connections are gone with it."""
        self.alive = False
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        self.open.clear()
        self.waiting.clear()
        self.clients = [None] * CONNECTIONS
        self.day.entry_closed(self)

    def restart(self) -> None:
        """Start a new process under the same name."""
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
        """Start the dispatcher with the current endpoint list, and wait until it serves.

        Raises RuntimeError with its last lines of output if it doesn't.
        """
        self.port = free_port()
        file = self.day.folder / f"dispatcher-{self.number}.json"
        file.write_text(json.dumps(self._configuration()))
        environment = dispatcher_environment(file)
        log = self.day.folder / f"dispatcher-{self.number}.log"
        with log.open("ab") as output:
            process = self.process = await asyncio.create_subprocess_exec(
                *self.day.command(self),
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=kill_on_parent_death_preexec(),
            )
        until = time.monotonic() + READY_S
        while time.monotonic() < until and process.returncode is None:
            if await self._is_healthy() and await self._stays():
                self.entry = await self.day.entry_port_for(self)
                self.alive = True
                # Danger: it may have been given up by the front while it started, and clients would never
                # come to it again.
                self.day.world.load_balancer.dispatcher_restarted(self)
                return
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
        raise RuntimeError(f"the dispatcher did not come up: {log.read_text()[-SHOWN_OUTPUT:]}")

    def _configuration(self) -> dict[str, Any]:
        """The process's configuration file, by the platform's names."""
        day = self.day
        targets = [self._target(row) for row in day.world.host_entries()]
        return {
            "name": f"lab-{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "changelog": f"127.0.0.1:{self.log_port}",
            "seed": f"{day.world.streams.seed * 100 + self.number * 10 + self.runs:x}",
            "limits": {"sockets": 1_024, "memory_mb": 192},
            "settings": day.world.settings.dispatcher_settings(self.zone, self.number),
            "known": {
                "seq": self.seq,
                "results": [{"seq": self.seq, "fleet": {"rev": 1, "all": True, "targets": targets}}],
            },
        }

    async def _is_healthy(self) -> bool:
        status = 0
        # Danger: where another took the port meanwhile, who listens there may never answer.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                client = await connect(("127.0.0.1", self.port))
                client.send(1, "", script="/-/healthy")
                status = (await client.read_answer())[1]
            client.writer.close()
        return status == 200

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
                self._answered(request.id, status, head)
        except (OSError, asyncio.IncompleteReadError):
            pass
        if self.clients[at] is client and self.alive:
            # Another takes its place once there is something to send; what was open on it has ended.
            self.clients[at] = None
            for key in [key for key in self.open if key[0] == at]:
                request = self.open.pop(key)
                self.day.world.clients.answered(request.id, UNREACHABLE)

    def _answered(self, request_id: str, status: int, head: bytes) -> None:
        world = self.day.world
        world.rules.answers.answered(world.events.now, request_id)
        if status == 200:
            world.clients.answered(request_id, SERVED, note=self.notes.pop(request_id, 0))
            return
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        wait_us = int(fields.get("X-Pushback-Ms", 0)) * 1_000
        world.clients.answered(request_id, REJECTED if status == 503 else FAILED, wait_us)

    async def stop(self) -> None:
        """Ends the process and all that was opened for it."""
        self.alive = False
        if self.process is not None and self.process.returncode is None:
            # Danger: a process that a scene has left stopped never sees the end that it is asked for.
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(8):
                    await self.process.wait()
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
