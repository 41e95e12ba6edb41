"""A real dispatcher process beside the hollow ones of a pairing."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hoistplank.fakes.deployment import dispatcher_environment, free_port
from hoistplank.fakes.wire import connect
from hoistplank.lab.backends.parent_death import kill_on_parent_death_preexec
from hoistplank.lab.scale.fleet import DispatcherSite, Fleet
from hoistplank.lab.scale.run_paths import REPLICAS
from hoistplank.lab.scale.run_replicas import processor_s

READY_S = 30.0


LIFETIME_S = 300.0


@dataclass(slots=True)
class RealDispatcher:
    """A `hoistplank run` process that follows a door of the log."""

    number: int
    folder: Path
    process: asyncio.subprocess.Process | None = None
    address: tuple[str, int] = field(default=("127.0.0.1", 0))

    async def start(
        self, fleet: Fleet, seat: DispatcherSite, port: int, known: dict[str, Any], through: str
    ) -> None:
        """`port`: of the log, or of a control replica. Raises RuntimeError where it does not come up."""
        self.address = ("127.0.0.1", free_port())
        configuration = self.folder / f"real-{self.number}.json"
        written = {
            "name": f"real-{self.number}",
            "listen": f"127.0.0.1:{self.address[1]}",
            "changelog": f"127.0.0.1:{port}",
            "seed": f"{self.number:x}",
            "limits": {"sockets": 256, "memory_mb": 192},
            "settings": fleet.settings(seat, LIFETIME_S),
            "known": known,
        }
        configuration.write_text(json.dumps(written))
        environment = dispatcher_environment(configuration)
        if through == REPLICAS:
            operator = self.folder / f"real-{self.number}.sexp"
            operator.write_text(f"(distribution (region r0) (replica c0 (endpoint 127.0.0.1:{port})))")
            environment["HOISTPLANK_OPERATOR"] = str(operator)
        with (self.folder / f"real-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "hoistplank.cli.main", "run"),
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=kill_on_parent_death_preexec(),
                start_new_session=True,
            )
        await self._serves()

    async def _serves(self) -> None:
        assert self.process is not None
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1):
                    client = await connect(self.address)
                    client.send(1, "", script="/-/healthy")
                    status = (await client.read_answer())[1]
                client.writer.close()
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"real dispatcher {self.number} did not come up")

    def cpu_s(self) -> float:
        """Processor time of the process, in seconds."""
        assert self.process is not None
        return processor_s(self.process.pid)

    async def stop(self) -> None:
        """End the process."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(8):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
