"""A small deployment on loopback: a change log, cache hosts, a parent, an origin and a real dispatcher."""

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

from hoistplank.fakes.cache_host import FakeCacheServer, ReceivedRequest, ServerDirectory
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import SETTINGS, endpoint_entry, fleet_event
from hoistplank.fakes.wire import FastCgiClient, connect, serve

READY_S = 15.0  # within which a dispatcher must serve
STOP_TIMEOUT_S = 8.0  # from SIGTERM to SIGKILL

LOWEST_PORT = 10_000
PORT_COUNT = 22_000
_port_counter = count()


def reserve_port() -> socket.socket:
    """Return a socket that is bound to a free port of loopback and never listens.

    Connections are refused, and a server may listen on the port with `reuse_port` and close it again. A port
    that no socket is bound to could be taken as the local port of any process's outgoing connection.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation


def free_port() -> int:
    """Return a port that is not in use, below the system's ephemeral ports.

    An ephemeral port could be taken by any process's next connection before the caller listens on it. Each
    process starts the search at a port that depends on its process id, so that processes that search at the
    same time don't all find the same port.
    """
    for _ in range(PORT_COUNT):
        port = LOWEST_PORT + (os.getpid() * 97 + next(_port_counter)) % PORT_COUNT
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port
    raise RuntimeError(f"expected a free port from {LOWEST_PORT} on, found none")


def deployment_settings(**changes: Any) -> dict[str, Any]:
    """Return the small site's settings with a parent; `changes` by dotted paths, as `limits.open_cap`."""
    out = copy.deepcopy(SETTINGS)
    out["family_info"]["second_tier_kind"] = 1
    out["limits"]["open_cap"] = 400
    for path, value in changes.items():
        *parents, last = path.split(".")
        section = out
        for name in parents:
            section = section[name]
        section[last] = value
    return out


def dispatcher_environment(configuration: Path) -> dict[str, str]:
    """Return this process's environment for a dispatcher, without variables that name other files."""
    own_prefixes = ("EDGE_", "HOISTPLANK_")
    environment = {name: value for name, value in os.environ.items() if not name.startswith(own_prefixes)}
    return environment | {"EDGE_CONFIG": str(configuration)}


class Deployment:
    """All servers and one dispatcher process; `folder` holds the dispatcher's configuration and log.

    Use it as an async context manager: the dispatcher is stopped at the end of the context.
    """

    def __init__(
        self,
        folder: Path,
        hosts: int = 3,
        work_s: float = 0.01,
        operator: str = "",
        copy_bytes: int = 20_000,
        command: tuple[str, ...] = ("-m", "hoistplank"),
        **changes: Any,
    ) -> None:
        self.folder, self.operator, self.settings = folder, operator, deployment_settings(**changes)
        self.directory, self.change_log, self.seq = ServerDirectory(), FakeChangeLog(), 1
        self.caches = [FakeCacheServer(f"cache-{n}", "box", self.directory, work_s) for n in range(hosts)]
        self.parent = FakeCacheServer("parent-0", "parent", self.directory, work_s)
        self.origin = FakeCacheServer("origin-0", "origin", self.directory, work_s * 2)
        self.servers = [*self.caches, self.parent, self.origin]
        for server in self.servers:
            server.copy_bytes = copy_bytes
        self.address = ("127.0.0.1", 0)
        self.capacity_hint = 100.0
        self.command = command
        self.extra_environment: dict[str, str] = {}  # for the dispatcher's process
        self.process: asyncio.subprocess.Process | None = None

    def endpoint_entries(self, states: dict[str, str] | None = None) -> list[dict[str, Any]]:
        """Return all servers as the change log lists them; `states`: by uid, of those that are not ready."""
        rows = [
            endpoint_entry(one.uid, one.kind, one.port, (states or {}).get(one.uid, "ready"))
            for one in self.servers
        ]
        return [row | {"capacity_hint": self.capacity_hint} for row in rows]

    def configure(self, known: bool = True, name: str = "demo-0", seed: str = "7f") -> None:
        """Write the dispatcher's configuration, with or without an endpoint list to start from."""
        self.address = ("127.0.0.1", free_port())
        self.configuration = self.folder / f"{name}.json"
        rows = [fleet_event(1, self.endpoint_entries(), whole=True)] if known else []
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
        self.log_port = await serve(self.change_log.serve_connection)
        self.configure()
        await self.start()
        return self

    async def start(self) -> None:
        """Start the dispatcher and wait until it serves.

        Raises RuntimeError with the end of its log if it does not within `READY_S`.
        """
        await self.spawn()
        await self.wait_until_ready()

    async def spawn(self) -> None:
        """Start the dispatcher's process."""
        environment = dispatcher_environment(self.configuration) | self.extra_environment
        if self.operator:
            environment["HOISTPLANK_OPERATOR"] = self.operator
        with (self.folder / "dispatcher.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.command, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait until the dispatcher's health check succeeds.

        Raises RuntimeError with the end of its log if it does not within `READY_S`.
        """
        assert self.process is not None
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await self.client()
                client.send(1, "", script="/-/healthy")
                status = (await client.read_answer())[1]
                client.writer.close()
                if status == 200:
                    return
            await asyncio.sleep(0.02)
        log_text = (self.folder / "dispatcher.log").read_text()[-2_000:]
        raise RuntimeError(f"the dispatcher ended or was not ready in time: {log_text}")

    async def kill(self) -> None:
        """End the dispatcher's process with SIGKILL."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    def caches_received(self) -> list[ReceivedRequest]:
        """Return the requests that any of the cache hosts received."""
        return [received for cache in self.caches for received in cache.received]

    def log_text(self) -> str:
        """Return the log of the dispatcher's processes so far."""
        return (self.folder / "dispatcher.log").read_text()

    async def client(self) -> FastCgiClient:
        """Open a client connection to the dispatcher."""
        return await connect(self.address)

    def publish(self, **event: Any) -> None:
        """Publish an event under the change log's next number."""
        self.seq += 1
        self.change_log.publish({"seq": self.seq, **event})

    def set_state(self, server: FakeCacheServer, state: str) -> None:
        """Publish a server's state: ready, draining or gone."""
        self.publish(
            fleet={
                "rev": self.seq,
                "all": False,
                "targets": [endpoint_entry(server.uid, server.kind, server.port, state)],
            }
        )

    async def reload(self) -> None:
        """Make the dispatcher read its files again."""
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def __aexit__(self, *_: object) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
