"""A reload (SIGHUP) at any moment of a dispatcher's life."""

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
def test_reload_follows_the_new_change_log_and_stops_nothing(tmp_path: Path, times: int) -> None:
    async def scene() -> None:
        asked: list[int] = []

        async def other(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            events = [{"seq": seq, "invalidate": {"bucket": seq, "time": 1}} for seq in (2, 3)]
            writer.write(b"".join(json.dumps(event).encode() + b"\n" for event in events) + b"3\n")
            await reader.read()

        box = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(tmp_path, {"a": box, "o": ScriptedCacheHost(silent)}) as dispatcher:
            dispatcher.tell({"seq": 2, "invalidate": {"bucket": 2, "time": 1}})
            watcher = dispatcher.service.endpoint_watcher
            await until(lambda: watcher.last_seq == 2)
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1", "HTTP_X_DEADLINE_MS": "900"})
            await until(lambda: bool(box.requests))
            file = tmp_path / "config.json"
            good = json.loads(file.read_text())
            file.write_text("{")  # a file that can't be used changes nothing
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: not dispatcher.service.reload_requested.is_set())
            assert watcher.address[1] != 9
            # What can't change is told and left; the rest is taken up all the same.
            good |= {"changelog": f"127.0.0.1:{await serve(other)}", "listen": "127.0.0.1:1", "seed": "8"}
            file.write_text(json.dumps(good))
            for _ in range(times):
                os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: watcher.last_seq == 3)
            assert asked == [2] and dispatcher.service.phase is Phase.SERVING
            assert (await dispatcher.ask(2, "page"))[0] == 200
            assert (await dispatcher.client.read_answer())[:2] == (1, 503)

    run_scene(scene())


class StatusReader:
    """Reads a client's answers as they come."""

    def __init__(self, client: FastCgiClient) -> None:
        self.statuses = dict[int, int]()  # by the request's number
        self._task = asyncio.create_task(self._read(client), name="answers")

    async def _read(self, client: FastCgiClient) -> None:
        while True:
            number, status, _, _ = await client.read_answer()
            assert number not in self.statuses, "a request is answered once"
            self.statuses[number] = status

    async def stop(self) -> None:
        """Ends the reading; an answer that came twice raises here."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError, asyncio.IncompleteReadError):
            await self._task


async def send_pages_until_one_is_tried(
    client: FastCgiClient, answers: StatusReader, box: ScriptedCacheHost, first: int
) -> int:
    """Sends requests one after another, the first numbered `first`, until one is at the host; its number.

    A dispatcher that its machine holds up, or that reads its configuration again just then, rejects what
    comes in before any attempt: a client comes again then.
    """
    for number in range(first, first + 20):
        client.send(number, "page", {"HTTP_X_DEADLINE_MS": "900"})
        await until(lambda: bool(box.requests) or number in answers.statuses)  # noqa: B023 (awaited at once)
        if box.requests:
            return number
        assert answers.statuses[number] == 503
        await asyncio.sleep(0.02)
    raise AssertionError("none of 20 requests was tried")


def test_program_survives_a_reload_at_any_moment_and_ends_by_its_deadlines(tmp_path: Path) -> None:
    """As a process: SIGHUP from its first moments on, and during the drain; SIGTERM with a request open."""

    async def scene() -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        box = ScriptedCacheHost(silent)
        known = {
            "seq": 1,
            "results": [
                fleet_event(1, [endpoint_entry("a", "box", await serve(box.serve_connection))], whole=True)
            ],
        }
        short = copy.deepcopy(SETTINGS["classes"])
        for class_name in short:
            class_name["give_up"] = 0.9
        configuration(tmp_path, listen=listen, known=known, **{"settings.classes": short})
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
        sent = await send_pages_until_one_is_tried(client, answers, box, first=2)
        assert sent not in answers.statuses
        began = asyncio.get_running_loop().time()
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGHUP)
        await until(lambda: sorted(answers.statuses) == list(range(1, sent + 1)))
        assert await program.wait() == 0 and asyncio.get_running_loop().time() - began < 0.9 + 0.7
        await answers.stop()
        assert b"configuration read again" in await program.stdout.read()

    run_scene(scene())
