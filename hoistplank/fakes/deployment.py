"""A small deployment on loopback: change log, three cache hosts, a parent, an origin, and a dispatcher beside
them."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import sys
import time
from itertools import count
from pathlib import Path
from typing import Any, Self

from hoistplank.fakes.cache_host import Directory, Server
from hoistplank.fakes.change_log import ChangeLog
from hoistplank.fakes.settings import SETTINGS, listing, target
from hoistplank.fakes.wire import Client, connected, serve

READY_S = 15.0


FIRST_PORT, PORTS = 10_000, 22_000
_drawn = count()


def held_port() -> socket.socket:
    """A socket bound to a free port of loopback that never listens: connections are refused, and a server may
    take the port with `reuse_port` and leave it again.

    Danger: a port that nobody holds may become the near end of anybody's connection, and is gone.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    held.bind(("127.0.0.1", 0))
    return held


def free_port() -> int:
    """A port that nobody listens on, below those that the system gives away by itself.

    Danger: one of the system's own is taken by anybody's next connection before it is listened on; and two
    processes that draw at a time would draw the same. Each begins where its number puts it.
    """
    for _ in range(PORTS):
        port = FIRST_PORT + (os.getpid() * 97 + next(_drawn)) % PORTS
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port
    raise RuntimeError(f"no free port from {FIRST_PORT} on")


def settings(**changes: Any) -> dict[str, Any]:
    """The small site with a parent, and limits that a load can be played against."""
    out = copy.deepcopy(SETTINGS)
    out["family_info"]["second_tier_kind"] = 1
    out["limits"]["open_cap"] = 400
    for path, value in changes.items():
        *way, last = path.split(".")
        place = out
        for step in way:
            place = place[step]
        place[last] = value
    return out


class Deployment:
    """`folder` holds the dispatcher's configuration and log. Use as an async context; all is gone at its
    end."""

    def __init__(
        self,
        folder: Path,
        hosts: int = 3,
        takes_s: float = 0.01,
        operator: str = "",
        size: int = 20_000,
        command: tuple[str, ...] = ("-m", "hoistplank"),
        **changes: Any,
    ) -> None:
        self.folder, self.operator, self.settings = folder, operator, settings(**changes)
        self.directory, self.changelog, self.seq = Directory(), ChangeLog(), 1
        self.caches = [Server(f"cache-{n}", "box", self.directory, takes_s) for n in range(hosts)]
        self.parent = Server("parent-0", "parent", self.directory, takes_s)
        self.origin = Server("origin-0", "origin", self.directory, takes_s * 2)
        self.servers = [*self.caches, self.parent, self.origin]
        for server in self.servers:
            server.size = size
        self.address = ("127.0.0.1", 0)
        self.log_up, self.units, self.command = True, 100.0, command
        self.process: asyncio.subprocess.Process | None = None

    def targets(self, states: dict[str, str] | None = None) -> list[dict[str, Any]]:
        """All servers as the change log lists them, some in a state other than ready."""
        rows = [
            target(one.uid, one.kind, one.port, (states or {}).get(one.uid, "ready")) for one in self.servers
        ]
        return [row | {"capacity_hint": self.units} for row in rows]

    def configure(self, known: bool = True, name: str = "demo-0", seed: str = "7f") -> None:
        """Writes the dispatcher's configuration, with or without the list of the start."""
        self.address = ("127.0.0.1", free_port())
        self.configuration = self.folder / f"{name}.json"
        rows = [listing(1, self.targets(), whole=True)] if known else []
        self.configuration.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"127.0.0.1:{self.address[1]}",
                    "changelog": f"127.0.0.1:{self.log_port}",
                    "seed": seed,
                    "limits": {"sockets": 1_024, "memory_mb": 192},
                    "settings": self.settings,
                    "known": {"seq": len(rows), "results": rows},
                }
            )
        )

    async def __aenter__(self) -> Self:
        for server in self.servers:
            await server.start()
        self.log_port = await serve(self.changelog.talk)
        self.configure()
        await self.start()
        return self

    async def start(self) -> None:
        """Starts the dispatcher and waits until it serves; raises RuntimeError with its last lines if it
        doesn't."""
        known = ("EDGE_", "HOISTPLANK_")
        environment = {name: value for name, value in os.environ.items() if not name.startswith(known)}
        environment["EDGE_CONFIG"] = str(self.configuration)
        if self.operator:
            environment["HOISTPLANK_OPERATOR"] = self.operator
        with (self.folder / "dispatcher.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.command, env=environment, stdout=log, stderr=log
            )
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await self.client()
                client.send(1, "", script="/-/healthy")
                status = (await client.answer())[1]
                client.writer.close()
                if status == 200:
                    return
            await asyncio.sleep(0.02)
        log_text = (self.folder / "dispatcher.log").read_text()[-2_000:]
        raise RuntimeError(f"the dispatcher did not come up: {log_text}")

    async def client(self) -> Client:
        return await connected(self.address)

    def tell(self, **event: Any) -> None:
        self.seq += 1
        self.changelog.tell({"seq": self.seq, **event})

    def set_state(self, server: Server, state: str) -> None:
        """What the change log says of one from now on: ready, draining or gone."""
        self.tell(
            fleet={
                "rev": self.seq,
                "all": False,
                "targets": [target(server.uid, server.kind, server.port, state)],
            }
        )

    async def reload(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def __aexit__(self, *_: object) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 8)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
