"""Distribution with real processes: replicas and dispatchers are started, stopped, suspended and killed."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from hoistplank.distribution.status import StatusResponse
from hoistplank.distribution.versions import Version
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost, serve
from tests.distribution_rig import EPOCH, fetch_status
from tests.helpers import configuration
from tests.scene_runner import run_scene

LEVELS = "(levels (retries {}))"
PATIENCE_S = 30.0


def at(number: int) -> Version:
    return Version(EPOCH, number)


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [int(one.getsockname()[1]) for one in sockets]
    for one in sockets:
        one.close()
    return ports


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 4\r\nwell\r\n".encode()


class Process:
    """One process of the program, with the lines that it logs."""

    def __init__(self, arguments: tuple[str, ...], environment: dict[str, str]) -> None:
        self.arguments, self.environment = arguments, environment
        self.lines: list[dict[str, Any]] = []
        self.process: asyncio.subprocess.Process | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._line_added = asyncio.Condition()

    async def start(self) -> Process:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.arguments,
            env={"HOISTPLANK_LOG": "json", "PATH": os.environ.get("PATH", ""), **self.environment},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader_task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            async with self._line_added:
                self.lines.append(json.loads(line))
                self._line_added.notify_all()

    async def wait_for_log_line(self, matches: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Returns the first log line that matches, waiting for it if necessary."""
        async with asyncio.timeout(PATIENCE_S), self._line_added:
            await self._line_added.wait_for(lambda: any(matches(line) for line in self.lines))
        return next(line for line in self.lines if matches(line))

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_for_exit(self) -> int:
        assert self.process is not None and self._reader_task is not None
        async with asyncio.timeout(PATIENCE_S):
            code = await self.process.wait()
            await self._reader_task
        return code

    async def close(self) -> None:
        assert self.process is not None and self._reader_task is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reader_task


class Fleet:
    """Two replicas and some dispatchers as processes, around a change log and cache hosts in this one."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log = FakeChangeLog(EPOCH)
        self.replica_ports = free_ports(2)
        self.listen: dict[str, int] = {}
        self.processes: list[Process] = []
        self.targets: list[dict[str, Any]] = []
        self.log_port = 0

    async def prepare(self) -> None:
        self.log_port = await serve(self.log.serve_connection)
        for uid, model in (("a", "box"), ("o", "origin")):
            self.targets.append(
                endpoint_entry(uid, model, await serve(ScriptedCacheHost(served).serve_connection))
            )
        self.log.publish(fleet_event(1, self.targets, whole=True))

    async def start_replica(self, index: int) -> Process:
        folder = self.folder / "replica"
        folder.mkdir(exist_ok=True)
        configuration(folder, changelog=f"127.0.0.1:{self.log_port}")
        other = 1 - index
        arguments = (
            "hoistplank.cli.main",
            "control",
            "replica",
            *("--config", str(folder / "config.json")),
            *("--listen", f"127.0.0.1:{self.replica_ports[index]}"),
            *("--name", f"c{index + 1}", "--region", "east"),
            *("--peer", f"c{other + 1}=127.0.0.1:{self.replica_ports[other]}"),
        )
        return await self._start(Process(arguments, {}))

    async def start_dispatcher(self, name: str, extra_settings: str = "") -> Process:
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        self.listen[name] = self.listen.get(name) or free_ports(1)[0]
        known = {"seq": 1, "results": [fleet_event(1, self.targets, whole=True)]}
        configuration(folder, name=name, listen=f"127.0.0.1:{self.listen[name]}", known=known)
        rows = "".join(
            f' (replica c{index + 1} (endpoint "127.0.0.1:{port}") (region east))'
            for index, port in enumerate(self.replica_ports)
        )
        (folder / "op.sexp").write_text(
            f"{LEVELS.format(0.5)}\n(distribution (region east){extra_settings}{rows})\n"
        )
        environment = {
            "EDGE_CONFIG": str(folder / "config.json"),
            "HOISTPLANK_OPERATOR": str(folder / "op.sexp"),
        }
        process = await self._start(Process(("hoistplank",), environment))
        await process.wait_for_log_line(lambda line: line.get("phase") == "serving")
        return process

    async def _start(self, process: Process) -> Process:
        self.processes.append(process)
        return await process.start()

    async def wait_in_force(self, index: int, version: Version, count: int) -> StatusResponse:
        """Returns the replica's status once the change is in force at `count` dispatchers."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                try:
                    status = await fetch_status(("127.0.0.1", self.replica_ports[index]), version)
                except (OSError, msgspec.DecodeError):
                    await asyncio.sleep(0.05)
                    continue
                if status.change is not None and status.change.in_force == count:
                    return status
                await asyncio.sleep(0.05)

    async def health(self, name: str) -> tuple[int, str]:
        client = FastCgiClient(*await asyncio.open_connection("127.0.0.1", self.listen[name]))
        client.send(1, "", script="/-/healthy")
        _, status, _, body = await asyncio.wait_for(client.read_answer(), PATIENCE_S)
        client.writer.close()
        return status, body.decode()

    async def wait_until_serving(self, name: str) -> None:
        """Returns once a request is answered 200: a busy machine makes the dispatcher shed some."""
        async with asyncio.timeout(PATIENCE_S):
            while (await self._request_page(name)) != 200:
                await asyncio.sleep(0.05)

    async def _request_page(self, name: str) -> int:
        client = FastCgiClient(*await asyncio.open_connection("127.0.0.1", self.listen[name]))
        client.send(1, "page")
        _, status, head, _ = await asyncio.wait_for(client.read_answer(), PATIENCE_S)
        client.writer.close()
        assert status == 200 or (status == 503 and b"X-Pushback-Ms" in head), head
        return status


@asynccontextmanager
async def running_fleet(folder: Path) -> AsyncIterator[Fleet]:
    fleet = Fleet(folder)
    await fleet.prepare()
    try:
        yield fleet
    finally:
        for process in fleet.processes:
            await process.close()


async def run_command(*arguments: str) -> tuple[int, str, str]:
    """Runs a command; returns its exit code, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hoistplank.cli.main", "control", *arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, errors = await process.communicate()
    return process.returncode or 0, out.decode(), errors.decode()


def test_processes_converge_and_the_status_command_shows_it(tmp_path: Path) -> None:
    """Covers a replica that is killed during a change and started again."""

    async def scene() -> None:
        async with running_fleet(tmp_path) as fleet:
            first = await fleet.start_replica(0)
            await fleet.start_replica(1)
            for name in ("d0", "d1", "d2"):
                await fleet.start_dispatcher(name)
            fleet.log.publish({"seq": 2, "invalidate": {"object": "00" * 8, "time": 1.0}})
            fleet.log.publish_configuration(3, LEVELS.format(0.25))
            await fleet.wait_in_force(0, at(3), 3)
            await fleet.wait_in_force(1, at(3), 3)
            both = [word for port in fleet.replica_ports for word in ("--replica", f"127.0.0.1:{port}")]
            code, out, _ = await run_command("status", *both)
            assert (
                code == 0
                and f"configuration {at(3)}: in force at 3 of 3" in out
                and "c2 (east): at 7/3" in out
            )
            # Killed during a change and restarted: nothing is lost, and both replicas know the whole state.
            fleet.log.publish_configuration(4, LEVELS.format("often"))
            first.send(signal.SIGKILL)
            fleet.log.publish({"seq": 5, "invalidate": {"object": "22" * 8, "time": 1.0}})
            await fleet.wait_in_force(1, at(5), 3)
            code, out, _ = await run_command("status", *both, "--version", str(at(4)))
            assert code == 1 and "in force at 0 of 3; missing: d" in out and "no answer" in out
            assert f"refused: configuration {at(4)}:1:18: 'often', expected" in out
            await fleet.start_replica(0)
            status = await fleet.wait_in_force(0, at(5), 3)
            assert status.configurations.in_force == 0 and status.events.in_force == 3
            for name in fleet.listen:
                assert await fleet.health(name) == (200, "")
                await fleet.wait_until_serving(name)
            code, out, _ = await run_command("status", *both, "--json")
            answers = [json.loads(line) for line in out.splitlines()]
            assert code == 1 and [answer["replica"] for answer in answers] == ["c1", "c2"]

    run_scene(scene(), limit_s=60)


def test_commands_report_unusable_arguments(tmp_path: Path) -> None:
    async def scene() -> None:
        configuration(tmp_path)
        config = ("--config", str(tmp_path / "config.json"), "--name", "c1")
        for arguments, message in (
            (("replica", *config, "--listen", "192.0.2.1:18100"), "only a loopback address is served"),
            (("replica", *config, "--peer", "c2"), "--peer c2: is not NAME=HOST:PORT"),
            (("replica", *config, "--peer", "c2=here"), "'here' is no address with a port"),
            (("status", "--replica", "127.0.0.1:9", "--version", "7"), "--version 7: is not EPOCH/NUMBER"),
        ):
            code, _, errors = await run_command(*arguments)
            assert code == 2 and message in errors, (arguments, errors)
        code, _, errors = await run_command("status", "--replica", "127.0.0.1:9")
        assert code == 1 and "127.0.0.1:9: no answer" in errors

    run_scene(scene(), limit_s=60)


def test_resumed_dispatcher_marks_its_list_stale(tmp_path: Path) -> None:
    """A dispatcher suspended for longer than the silence limit missed a purge and a configuration.

    Its first answer after resuming must report the stale list, and the status must list it as missing.
    """

    async def scene() -> None:
        async with running_fleet(tmp_path) as fleet:
            await fleet.start_replica(0)
            await fleet.start_replica(1)
            frozen = await fleet.start_dispatcher("d0", " (silence 3s)")
            await fleet.start_dispatcher("d1")
            fleet.log.publish_configuration(2, LEVELS.format(0.25))
            await fleet.wait_in_force(0, at(2), 2)
            frozen.send(signal.SIGSTOP)
            fleet.log.publish({"seq": 3, "invalidate": {"object": "00" * 8, "time": 1.0}})
            fleet.log.publish_configuration(4, LEVELS.format(0.75))
            status = await fleet.wait_in_force(0, at(4), 1)
            assert status.change is not None
            assert [row.dispatcher for row in status.change.missing] == ["d0"]
            # Requested during the suspension: it is the first request answered after resuming.
            asking = asyncio.create_task(fleet.health("d0"))
            while (await fleet.wait_in_force(0, at(4), 1)).change.missing[0].heard_ago_us < 8_000_000:  # type: ignore[union-attr]
                await asyncio.sleep(0.1)
            frozen.send(signal.SIGCONT)
            status_code, detail = await asking
            assert status_code == 200 and detail == f"no control replica heard; in force: {at(2)}"
            await fleet.wait_in_force(0, at(4), 2)
            await frozen.wait_for_log_line(
                lambda line: line.get("event") == "configuration applied" and line["version"] == "7/4"
            )

    run_scene(scene(), limit_s=60)


def test_configuration_arriving_with_sigterm_is_applied_whole_or_not_at_all(tmp_path: Path) -> None:
    """The configuration is large enough to be still read at the signal; the dispatcher exits with code 0."""

    async def scene() -> None:
        async with running_fleet(tmp_path) as fleet:
            await fleet.start_replica(0)
            leaving = await fleet.start_dispatcher("d0")
            await fleet.start_dispatcher("d1")
            await fleet.wait_in_force(0, at(1), 2)
            padding = "\n".join("; " + "x" * 76 for _ in range(12_000))
            fleet.log.publish_configuration(2, LEVELS.format(0.25) + "\n" + padding)
            leaving.send(signal.SIGTERM)
            assert await leaving.wait_for_exit() == 0
            applied = [line for line in leaving.lines if line.get("event") == "configuration applied"]
            assert not [line for line in leaving.lines if line.get("level") == "error"]
            status = await fleet.wait_in_force(0, at(2), 1 + len(applied))
            assert status.change is not None and status.change.total == 2
            # After a restart it receives the configuration whole.
            again = await fleet.start_dispatcher("d0")
            await again.wait_for_log_line(lambda line: line.get("event") == "configuration applied")
            await fleet.wait_in_force(0, at(2), 2)

    run_scene(scene(), limit_s=60)
