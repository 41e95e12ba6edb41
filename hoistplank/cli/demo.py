"""`hoistplank demo`: a small deployment on loopback that serves ten seconds of requests during a drain."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import click
import msgspec
from hdrh.histogram import HdrHistogram

from hoistplank.fakes.cache_host import FakeCacheServer
from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.wire import FastCgiClient

RATE = 120.0  # requests per second: a small part of the capacity of a core
OBJECTS = 300
CONNECTIONS = 4
BOOKING_EVERY = 30  # requests
REQUEST_NUMBERS = 60_000  # FastCGI request ids, used in turn
LAST_ANSWERS_TIMEOUT_S = 3.0  # after the last request
DRAIN_NOTICE_S = 0.25  # after which a draining host must receive no more requests
OK = 200
MAX_LATENCY_US = 60_000_000


class DemoResult(msgspec.Struct):
    """The outcome of all requests; the field names are those that the command prints."""

    sent: int = msgspec.field(name="visits")
    answered: int
    served: int
    by_server: dict[str, int] = msgspec.field(name="from")
    by_cache_status: dict[str, int] = msgspec.field(name="how")
    latency_ms: dict[str, float] = msgspec.field(name="ms")
    drained: str
    after_drain: int = msgspec.field(name="to it 250 ms after the drain")

    def is_success(self) -> bool:
        """True if all requests were served, and none by the drained host once the drain had to be known."""
        return self.served == self.sent and self.after_drain == 0


class DemoRun:
    """Sends requests to a deployment for `seconds`, and drains a cache host halfway through."""

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        self.deployment, self.seconds = deployment, seconds
        self.random = Random(seed)
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.statuses = Counter[int]()
        self.sent_at_s: dict[int, float] = {}  # of requests without an answer, by request number
        self.drained: FakeCacheServer = deployment.caches[0]
        self.drained_at = 0.0  # Unix time
        self.all_answered = asyncio.Event()

    async def run(self) -> DemoResult:
        """Sends the requests, waits for the last answers and returns the result."""
        clients = [await self.deployment.client() for _ in range(CONNECTIONS)]
        readers = [asyncio.create_task(self._read(client), name="reader") for client in clients]
        try:
            sent = await self._send_all(clients)
            if self.sent_at_s:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(LAST_ANSWERS_TIMEOUT_S):
                        await self.all_answered.wait()
        finally:
            for reader in readers:
                reader.cancel()
            await asyncio.gather(*readers, return_exceptions=True)
            for client in clients:
                client.writer.close()
        return self._result(sent)

    async def _read(self, client: FastCgiClient) -> None:
        while True:
            number, status, _, _ = await client.read_answer()
            elapsed_us = int((time.monotonic() - self.sent_at_s.pop(number)) * 1e6)
            self.latencies_us.record_value(max(1, elapsed_us))
            self.statuses[status] += 1
            if not self.sent_at_s:
                self.all_answered.set()

    async def _send_all(self, clients: list[FastCgiClient]) -> int:
        """Sends requests at an even rate; returns their number."""
        began, sent = time.monotonic(), 0
        while (elapsed := time.monotonic() - began) < self.seconds:
            if not self.drained_at and elapsed > self.seconds / 2:
                self.deployment.set_state(self.drained, "draining")
                self.drained_at = time.time()
            sent += 1
            self._send(clients[sent % CONNECTIONS], sent)
            await asyncio.sleep(max(0.0, sent / RATE - (time.monotonic() - began)))
        return sent

    def _send(self, client: FastCgiClient, index: int) -> None:
        # A few objects are requested often, most of them seldom.
        object_key = f"{int(OBJECTS * self.random.random() ** 3):016x}"
        fields = {"HTTP_X_SUBJECT": object_key, "HTTP_X_CORRELATION_ID": f"{index:016x}"}
        is_booking = index % BOOKING_EVERY == 0
        if is_booking:
            fields["HTTP_X_OPERATION_KEY"] = f"{self.random.getrandbits(128):032x}"
        number = index % REQUEST_NUMBERS + 1
        self.sent_at_s[number] = time.monotonic()
        self.all_answered.clear()
        client.send(number, "booking" if is_booking else "page", fields)

    def _result(self, sent: int) -> DemoResult:
        servers = self.deployment.servers
        percentiles = {f"p{q:g}": self.latencies_us.get_value_at_percentile(q) for q in (50, 99)}
        deadline = self.drained_at + DRAIN_NOTICE_S
        return DemoResult(
            sent=sent,
            answered=sum(self.statuses.values()),
            served=self.statuses[OK],
            by_server={server.uid: len(server.answers) for server in servers},
            by_cache_status=dict(Counter(note for server in servers for _, _, note in server.answers)),
            latency_ms={name: round(value / 1e3, 1) for name, value in percentiles.items()},
            drained=self.drained.uid,
            after_drain=sum(at > deadline for at, _, _ in self.drained.answers),
        )


def _describe(deployment: Deployment) -> None:
    click.echo(f"dispatcher at 127.0.0.1:{deployment.address[1]}, log at 127.0.0.1:{deployment.log_port}")
    for server in deployment.servers:
        click.echo(f"  {server.uid:<10} {server.kind:<7} 127.0.0.1:{server.port}")


async def _run_demo(seconds: float, seed: int, *, stay: bool, describe: bool) -> DemoResult:
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(Path(folder)) as deployment:
            if describe:
                _describe(deployment)
            result = await DemoRun(deployment, seconds, seed).run()
            if stay:
                click.echo(
                    f"still running with {deployment.configuration}; send a request from another shell:\n"
                    f"  hoistplank request 127.0.0.1:{deployment.address[1]} page\nPress Ctrl-C to stop it."
                )
                await asyncio.Event().wait()
            return result


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 600), default=10, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--stay", is_flag=True, help="Keep running until Ctrl-C, and print how to send a request.")
@click.option("--json", "as_json", is_flag=True, help="Print the result as one JSON object.")
def demo(seconds: float, seed: int, stay: bool, as_json: bool) -> None:
    """Start a change log, three cache hosts, a parent, an origin and a dispatcher on loopback; send requests
    and drain a cache host.

    Exit code 1: a request was not served, or the drained host received one too late.
    """
    try:
        result = asyncio.run(_run_demo(seconds, seed, stay=stay, describe=not as_json))
    except KeyboardInterrupt:
        return
    rows = msgspec.to_builtins(result)
    if as_json:
        click.echo(json.dumps(rows))
    else:
        for name, value in rows.items():
            click.echo(f"{name:>30}: {value}")
    sys.exit(0 if result.is_success() else 1)
