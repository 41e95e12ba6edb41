"""Reloads (SIGHUP) during the start, while serving and during the drain."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from hoistplank.fakes.settings import SETTINGS, endpoint_entry, fleet_event
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost, serve
from hoistplank.program.phase import Phase
from tests.dispatcher_scene import (
    served,
    silent,
)
from tests.helpers import Running, configuration, until
from tests.scene_runner import run_scene


@pytest.mark.parametrize("times", [1, 3])
def test_reload_switches_to_the_new_change_log_without_interrupting_requests(
    tmp_path: Path, times: int
) -> None:
    async def scene() -> None:
        requested_positions: list[int] = []

        async def new_change_log(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requested_positions.append(int((await reader.readline()).split()[1]))
            events = [{"seq": seq, "invalidate": {"bucket": seq, "time": 1}} for seq in (2, 3)]
            writer.write(b"".join(json.dumps(event).encode() + b"\n" for event in events) + b"3\n")
            await reader.read()

        cache_host = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(tmp_path, {"a": cache_host, "o": ScriptedCacheHost(silent)}) as dispatcher:
            dispatcher.publish_event({"seq": 2, "invalidate": {"bucket": 2, "time": 1}})
            watcher = dispatcher.service.endpoint_watcher
            await until(lambda: watcher.last_seq == 2)
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1", "HTTP_X_DEADLINE_MS": "900"})
            await until(lambda: bool(cache_host.requests))
            file = tmp_path / "config.json"
            valid_file = json.loads(file.read_text())
            file.write_text("{")  # an invalid file changes nothing
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: not dispatcher.service.reload_requested.is_set())
            assert watcher.address[1] != 9
            # Keys that can't change while running are logged and ignored; the others take effect.
            valid_file |= {
                "changelog": f"127.0.0.1:{await serve(new_change_log)}",
                "listen": "127.0.0.1:1",
                "seed": "8",
            }
            file.write_text(json.dumps(valid_file))
            for _ in range(times):
                os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: watcher.last_seq == 3)
            assert requested_positions == [2] and dispatcher.service.phase is Phase.SERVING
            assert (await dispatcher.ask(2, "page"))[0] == 200
            assert (await dispatcher.client.read_answer())[:2] == (1, 503)

    run_scene(scene())


class StatusReader:
    """Reads a client's answers as they arrive, and asserts that no request is answered twice."""

    def __init__(self, client: FastCgiClient) -> None:
        self.statuses = dict[int, int]()  # by request number
        self._task = asyncio.create_task(self._read(client), name="answers")

    async def _read(self, client: FastCgiClient) -> None:
        while True:
            number, status, _, _ = await client.read_answer()
            assert number not in self.statuses, "a request is answered once"
            self.statuses[number] = status

    async def stop(self) -> None:
        """Stops reading; a second answer to a request raises here."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError, asyncio.IncompleteReadError):
            await self._task


async def send_pages_until_one_is_attempted(
    client: FastCgiClient, answers: StatusReader, cache_host: ScriptedCacheHost, first: int
) -> int:
    """Sends requests one after another, numbered from `first`, until the host has one; returns its number.

    A dispatcher that is delayed by its machine, or is just reloading its configuration, rejects requests
    before any attempt. A client then sends another one.
    """
    for number in range(first, first + 20):
        client.send(number, "page", {"HTTP_X_DEADLINE_MS": "900"})
        await until(lambda: bool(cache_host.requests) or number in answers.statuses)  # noqa: B023 (awaited at once)
        if cache_host.requests:
            return number
        assert answers.statuses[number] == 503
        await asyncio.sleep(0.02)
    raise AssertionError("none of 20 requests was attempted")


def test_process_survives_sighup_at_any_moment_and_exits_within_its_deadlines(tmp_path: Path) -> None:
    """Sends SIGHUP to a real process during the start, while serving and during the drain, and SIGTERM while
    a request is open. Guards against a SIGHUP that ends the process before its handler is installed."""

    async def scene() -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        cache_host = ScriptedCacheHost(silent)
        known = {
            "seq": 1,
            "results": [
                fleet_event(
                    1, [endpoint_entry("a", "box", await serve(cache_host.serve_connection))], whole=True
                )
            ],
        }
        short_classes = copy.deepcopy(SETTINGS["classes"])
        for traffic_class in short_classes:
            traffic_class["give_up"] = 0.9
        configuration(tmp_path, listen=listen, known=known, **{"settings.classes": short_classes})
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "import hoistplank.__main__ as m, sys, os, signal\n"
            "from hoistplank.program import configuration\n"
            "read = configuration.read_configuration\n"
            "def reread(env):\n"
            "    configuration.read_configuration = read\n"
            "    os.kill(os.getpid(), signal.SIGHUP)\n    return read(env)\n"
            "configuration.read_configuration = reread\nsys.exit(m.main())",
            env={"EDGE_CONFIG": str(tmp_path / "config.json"), "EDGE_LISTEN": listen},
            stdout=asyncio.subprocess.PIPE,
        )
        assert program.stdout is not None
        while b"serving" not in (line := await program.stdout.readline()):
            assert line
        program.send_signal(signal.SIGHUP)
        client = FastCgiClient(*await asyncio.open_connection(*listen.split(":")))
        client.send(1, "booking", {"HTTP_X_DEADLINE_MS": "900", "HTTP_X_OPERATION_KEY": "5c0f" * 8})
        answers = StatusReader(client)
        sent = await send_pages_until_one_is_attempted(client, answers, cache_host, first=2)
        assert sent not in answers.statuses
        terminated_at = asyncio.get_running_loop().time()
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGHUP)
        await until(lambda: sorted(answers.statuses) == list(range(1, sent + 1)))
        assert await program.wait() == 0 and asyncio.get_running_loop().time() - terminated_at < 0.9 + 0.7
        await answers.stop()
        assert b"configuration read again" in await program.stdout.read()

    run_scene(scene())
