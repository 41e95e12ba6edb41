"""The processor time of a start: a real process from exec to 200 on the health path."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

import pytest

from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import FastCgiClient, serve
from tests.helpers import configuration
from tests.scene_runner import run_scene

# Nine in ten dispatchers must be ready within 10 s, and the smallest share of a core to expect is a tenth.
MAX_CPU_S = 1.0


def cpu_time_s(process: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / float(os.sysconf("SC_CLK_TCK"))


@pytest.mark.parametrize("discovery", ["up", "down", "silent"])
def test_start_uses_less_than_the_maximum_processor_time(tmp_path: Path, discovery: str) -> None:
    async def scene() -> None:
        with socket.socket() as free, socket.socket() as not_listening:
            free.bind(("127.0.0.1", 0))
            not_listening.bind(("127.0.0.1", 0))  # bound, but not listening
            listen = f"127.0.0.1:{free.getsockname()[1]}"
            port = not_listening.getsockname()[1]
            if discovery == "up":
                port = await serve(FakeChangeLog().serve_connection)
            elif discovery == "silent":
                not_listening.listen(1)
            free.close()
            hosts = [endpoint_entry(f"h{n}", "box", 9) for n in range(200)]
            known = {"seq": 1, "results": [fleet_event(1, hosts, whole=True)]}
            configuration(tmp_path, listen=listen, known=known, changelog=f"127.0.0.1:{port}")
            program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hoistplank",
                env={"EDGE_CONFIG": str(tmp_path / "config.json")},
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                assert program.stdout is not None
                while b"serving" not in (line := await program.stdout.readline()):
                    assert line
                client = FastCgiClient(*await asyncio.open_connection(*listen.split(":")))
                client.send(1, "", script="/-/healthy")
                assert (await client.read_answer())[1] == 200
                assert cpu_time_s(program.pid) < MAX_CPU_S
            finally:
                program.kill()
                await program.wait()

    run_scene(scene())
