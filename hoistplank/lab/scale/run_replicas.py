"""The control replicas of a scale run: real `hoistplank control replica` processes, one a region."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

from hoistplank.distribution.status import StatusResponse
from hoistplank.distribution.status_client import request_status
from hoistplank.fakes.deployment import free_port
from hoistplank.lab.backends.parent_death import kill_on_parent_death_preexec
from hoistplank.lab.scale.fleet import Fleet
from hoistplank.lab.scale.run_paths import ReplicaPaths
from hoistplank.lab.scale.run_usage import ReplicaSample
from hoistplank.protocol.errors import ProtocolError

READY_S, END_S = 30.0, 8.0
CPU_CLOCK = 2  # of the clock ids that Linux builds from a process's id (clock_getcpuclockid(3))
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1_024


class ReplicaLostError(Exception):
    """A replica did not come up."""


def processor_s(pid: int) -> float:
    """Processor time of another process of ours, by its own clock."""
    return time.clock_gettime((~pid << 3) | CPU_CLOCK)


def replica_name(number: int) -> str:
    return f"c{number}"


class ReplicaProcess:
    """One of them. It may be killed and started again at the same port."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.folder, self.port = number, folder, free_port()
        self.command: list[str] = []
        self.environment: dict[str, str] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.lives = 0

    def configure(self, fleet: Fleet, paths: ReplicaPaths, lifetime_s: float) -> None:
        """Writes its configuration; `paths` are open."""
        file = self.folder / f"{replica_name(self.number)}.json"
        written = {
            "name": replica_name(self.number),
            "listen": "127.0.0.1:0",
            "changelog": f"127.0.0.1:{paths.log_ports[self.number]}",
            "settings": fleet.settings(fleet.seats()[0], lifetime_s),
        }
        file.write_text(json.dumps(written))
        own = ("EDGE_", "HOISTPLANK_")
        self.environment = {name: value for name, value in os.environ.items() if not name.startswith(own)}
        self.environment["EDGE_CONFIG"] = str(file)
        self.command = [sys.executable, "-m", "hoistplank.cli.main", "control", "replica"]
        self.command += ["--name", replica_name(self.number), "--region", f"r{self.number}"]
        self.command += ["--listen", f"127.0.0.1:{self.port}"]
        for (near, far), port in paths.peer_ports.items():
            if near == self.number:
                self.command += ["--peer", f"{replica_name(far)}=127.0.0.1:{port}"]

    async def start(self) -> None:
        """Raises ReplicaLostError where it does not answer in time."""
        self.lives += 1
        with (self.folder / f"{replica_name(self.number)}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                env=self.environment,
                stdout=log,
                stderr=log,
                preexec_fn=kill_on_parent_death_preexec(),
                start_new_session=True,
            )
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            if await self.status() is not None:
                return
            await asyncio.sleep(0.05)
        text = (self.folder / f"{replica_name(self.number)}.log").read_text()[-1_000:]
        raise ReplicaLostError(f"control replica {self.number} did not come up: {text}")

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def status(self) -> StatusResponse | None:
        """What it says of itself and of what is in force; None where it does not answer."""
        try:
            return await request_status(("127.0.0.1", self.port), None)
        except (OSError, ProtocolError):
            return None

    def sample(self, at_us: int) -> ReplicaSample | None:
        if not self.running:
            return None
        assert self.process is not None
        pid = self.process.pid
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
            return ReplicaSample(at_us, self.number, self.lives, processor_s(pid), pages * PAGE_KB)
        except (OSError, IndexError):
            return None  # it has just ended

    async def kill(self) -> None:
        """Its machine is gone."""
        if self.running:
            assert self.process is not None
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        if self.running:
            assert self.process is not None
            self.process.terminate()
            try:
                async with asyncio.timeout(END_S):
                    await self.process.wait()
            except TimeoutError:
                await self.kill()


class Replicas:
    """All of them, with a folder for their files that goes with them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.folder = tempfile.TemporaryDirectory()
        self.each = [ReplicaProcess(number, Path(self.folder.name)) for number in range(fleet.regions)]

    @property
    def ports(self) -> list[int]:
        return [one.port for one in self.each]

    async def start(self, paths: ReplicaPaths, lifetime_s: float) -> None:
        """Raises ReplicaLostError."""
        for one in self.each:
            one.configure(self.fleet, paths, lifetime_s)
        await asyncio.gather(*(one.start() for one in self.each))

    def samples(self, at_us: int) -> list[ReplicaSample]:
        found = [one.sample(at_us) for one in self.each]
        return [row for row in found if row is not None]

    async def stop(self) -> None:
        await asyncio.gather(*(one.stop() for one in self.each))
        self.folder.cleanup()
