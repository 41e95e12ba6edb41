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


CONNECTIONS = 8  # from the load balancer to each dispatcher
START_TIMEOUT_S = 15.0
HEALTH_CHECK_INTERVAL_S = 0.02
HEALTH_CHECK_TIMEOUT_S = 1.0
MAX_SHOWN_OUTPUT = 2_000  # characters of a process's output in an error
WIRE_STATE = {"up": "ready", "draining": "draining", "gone": "gone"}


class SocketDispatcher:
    """A real dispatcher process, its change log, and the load balancer's connections to it."""

    def __init__(self, day: SocketDay, number: int, zone: int) -> None:
        self.day, self.number, self.zone = day, number, zone
        self.alive, self.seq, self.runs = False, 1, 0
        self.log: list[dict[str, Any]] = []
        self.server_ports: dict[str, ServerPort] = {}
        self.clients: list[FastCgiClient | None] = [None] * CONNECTIONS
        self.waiting: dict[int, list[tuple[int, str, dict[str, str]]]] = {}  # by connection, until it is open
        self.last_request_numbers = [0] * CONNECTIONS
        self.open_requests: dict[tuple[int, int], Request] = {}
        self.cache_statuses: dict[str, int] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.port = self.log_port = self.accepted_requests = 0
        self.server_port_numbers: dict[str, int] = {}  # by server, as this dispatcher reaches them
        self.entry = 0  # the port at which clients reach it
        self.skew_us = 0  # lead of its clock over all others
        self.log_writers: dict[asyncio.StreamWriter, None] = {}

    # Events of the world.

    def _publish(self, event: dict[str, Any]) -> None:
        self.seq += 1
        self.log.append({"seq": self.seq, **event})
        for writer in self.log_writers:
            if not writer.is_closing():
                writer.write(json.dumps(self.log[-1]).encode() + b"\n")

    def _endpoint_row(self, row: Endpoint) -> dict[str, Any]:
        return {
            "uid": row.host,
            "endpoint": f"127.0.0.1:{self.server_port_numbers[row.host]}",
            "az": row.zone,
            "model": row.kind,
            "pod_group": row.cell,
            "state": WIRE_STATE[row.state],
            "capacity_hint": row.units,
            "boot_ms": self._unix_ms(row.started_us) if row.started_us else 0,
        }

    def update_hosts(self, form: str, entries: list[Endpoint]) -> None:
        """Publishes hosts in its change log."""
        # It detects a failed log itself, and it was started with the kept hosts.
        if form not in ("failed", "kept"):
            rows = [self._endpoint_row(row) for row in entries]
            self._publish({"fleet": {"rev": self.seq + 1, "all": form == "whole", "targets": rows}})

    def purge(self, object_key: str, group: int, made: int) -> None:
        """Publishes a purge, made at `made` (us of the world), in its change log."""
        target: dict[str, Any] = {"object": object_key} if object_key else {"bucket": group}
        self._publish({"invalidate": {"time": self._unix_ms(made), **target}})

    def _unix_ms(self, at: int) -> int:
        """Returns a time of the world in Unix milliseconds as sent to this dispatcher: less its skew."""
        return self.day.unix_ms(at - self.skew_us)

    def step_clock(self, step_us: int) -> None:
        """Steps its clock, which can't be set for one process: all times sent to it are shifted back."""
        self.skew_us += step_us

    def freeze(self, length_us: int) -> None:
        """Stops the process by a signal and resumes it later; only this process id is signalled."""
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(length_us / SECOND_US, self._resume, process)

    @staticmethod
    def _resume(process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    def accept(self, request: Request) -> None:
        """Sends a client's request over the next of its connections, which it opens if necessary."""
        self.accepted_requests += 1
        at = self.accepted_requests % CONNECTIONS
        self.last_request_numbers[at] = self.last_request_numbers[at] % 60_000 + 1
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
        self.open_requests[at, self.last_request_numbers[at]] = request
        client = self.clients[at]
        if client is not None:
            client.send(self.last_request_numbers[at], row.name, fields)
            return
        rows = self.waiting.setdefault(at, [])
        rows.append((self.last_request_numbers[at], row.name, fields))
        if len(rows) == 1:
            self._start_task(self._open_connection(at, self.runs))

    async def _open_connection(self, at: int, runs: int) -> None:
        """Opens a connection once there is a request to send on it.

        A dispatcher closes a connection that has sent nothing within its time limit, and a request sent at
        that moment would be lost. A connection that sends at once is never closed for that reason.
        """
        client: FastCgiClient | None = None
        with contextlib.suppress(OSError):
            client = await connect(("127.0.0.1", self.entry))
        rows = self.waiting.pop(at, []) if runs == self.runs else []
        if client is not None and self.alive and runs == self.runs:
            self.clients[at] = client
            for number, class_name, fields in rows:
                client.send(number, class_name, fields)
            self._start_task(self._read_answers(at, client))
            return
        if client is not None:
            client.writer.close()
        for number, _, _ in rows:
            request = self.open_requests.pop((at, number), None)
            if request is not None:
                self.day.world.rules.answers.withdrawn(request.id)
                self.day.world.clients.connection_refused(request.id)

    def client_left(self, request: Request) -> None:
        """Does nothing: an answer that still arrives is read and discarded, as a web server would."""

    def kill(self) -> None:
        """Kills the process, which also ends its clients' connections."""
        self.alive = False
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        self.open_requests.clear()
        self.waiting.clear()
        self.clients = [None] * CONNECTIONS
        self.day.entry_closed(self)

    def restart(self) -> None:
        """Starts a new process under the same name."""
        self.runs += 1
        self._start_task(self.start())

    def _start_task(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # The process.

    async def prepare(self) -> None:
        """Opens the ports at which it reaches all servers and its change log."""
        for server in self.day.world.servers.values():
            server_port = self.server_ports[server.uid] = ServerPort(self.day, self, server)
            await server_port.open()
            self.server_port_numbers[server.uid] = await self.day.port_for(self, server.uid, server_port.port)
        serving = await asyncio.start_server(self._serve_change_log, "127.0.0.1", 0)
        port = int(serving.sockets[0].getsockname()[1])
        self.log_port = await self.day.port_for(self, "log", port)

    async def _serve_change_log(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
            pass  # the peer closed the connection, or the day has ended
        finally:
            self.log_writers.pop(writer, None)
            writer.close()

    async def start(self) -> None:
        """Starts the dispatcher with the current endpoint list and waits until it is healthy.

        Raises RuntimeError with the end of its output if it does not become healthy in time.
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
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until and process.returncode is None:
            if await self._is_healthy() and await self._is_still_running():
                self.entry = await self.day.entry_port_for(self)
                self.alive = True
                # The load balancer may have removed it while it started, and would never send it clients
                # again.
                self.day.world.load_balancer.dispatcher_restarted(self)
                return
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
        raise RuntimeError(f"the dispatcher did not become healthy: {log.read_text()[-MAX_SHOWN_OUTPUT:]}")

    def _configuration(self) -> dict[str, Any]:
        """Returns the content of the process's configuration file, under the platform's names."""
        day = self.day
        targets = [self._endpoint_row(row) for row in day.world.host_entries()]
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
        # Another process may have taken the port meanwhile, and it may never answer.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                client = await connect(("127.0.0.1", self.port))
                client.send(1, "", script="/-/healthy")
                status = (await client.read_answer())[1]
            client.writer.close()
        return status == 200

    async def _is_still_running(self) -> bool:
        """Returns True if the process still runs a moment later.

        Otherwise another process answered on its port, while this one was about to end.
        """
        await asyncio.sleep(0.05)
        return self.process is not None and self.process.returncode is None

    async def _read_answers(self, at: int, client: FastCgiClient) -> None:
        try:
            while True:
                number, status, head, _ = await client.read_answer()
                self.day.advance()
                request = self.open_requests.pop((at, number), None)
                if request is None:
                    continue
                self._handle_answer(request.id, status, head)
        except (OSError, asyncio.IncompleteReadError):
            pass
        if self.clients[at] is client and self.alive:
            # Another connection is opened for the next request; the requests open on this one have failed.
            self.clients[at] = None
            for key in [key for key in self.open_requests if key[0] == at]:
                request = self.open_requests.pop(key)
                self.day.world.clients.answered(request.id, UNREACHABLE)

    def _handle_answer(self, request_id: str, status: int, head: bytes) -> None:
        world = self.day.world
        world.rules.answers.answered(world.events.now, request_id)
        if status == 200:
            world.clients.answered(request_id, SERVED, note=self.cache_statuses.pop(request_id, 0))
            return
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        wait_us = int(fields.get("X-Pushback-Ms", 0)) * 1_000
        world.clients.answered(request_id, REJECTED if status == 503 else FAILED, wait_us)

    async def stop(self) -> None:
        """Ends the process, its connections, ports and tasks."""
        self.alive = False
        if self.process is not None and self.process.returncode is None:
            # A process that a scene left stopped can't handle SIGTERM before it is continued.
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
