"""`hoistplank demo`: a small deployment on loopback, ten seconds of requests, a drain in between."""

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

RATE = 120.0  # requests a second: a small part of what a core carries
OBJECTS = 300
CONNECTIONS = 4
BOOKING_EVERY = 30  # requests
REQUEST_NUMBERS = 60_000  # of FastCGI, used in turn
LAST_ANSWERS_S = 3.0  # for answers after the last request
DRAIN_NOTICE_S = 0.25  # after which a draining host must get nothing more
OK = 200
MAX_LATENCY_US = 60_000_000


class DemoResult(msgspec.Struct):
    """What came of all requests; the names are those that the command prints."""

    sent: int = msgspec.field(name="visits")
    answered: int
    served: int
    by_server: dict[str, int] = msgspec.field(name="from")
    by_cache_status: dict[str, int] = msgspec.field(name="how")
    latency_ms: dict[str, float] = msgspec.field(name="ms")
    drained: str
    after_drain: int = msgspec.field(name="to it 250 ms after the drain")

    def good(self) -> bool:
        """Whether all requests were served, and none by the drained host after it was told."""
        return self.served == self.sent and self.after_drain == 0


class DemoRun:
    """Sends requests to a deployment for some seconds, and drains a cache host halfway."""

    def __init__(self, deployment: Deployment, seconds: float, seed: int) -> None:
        self.deployment, self.seconds = deployment, seconds
        self.random = Random(seed)
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.statuses = Counter[int]()
        self.sent_at_s: dict[int, float] = {}  # by request number, of those without an answer
        self.drained: FakeCacheServer = deployment.caches[0]
        self.drained_at = 0.0  # Unix time
        self.all_answered = asyncio.Event()

    async def run(self) -> DemoResult:
        """Sends, waits for the last answers and sums up."""
        clients = [await self.deployment.client() for _ in range(CONNECTIONS)]
        readers = [asyncio.create_task(self._read(client), name="reader") for client in clients]
        try:
            sent = await self._send_all(clients)
            if self.sent_at_s:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(LAST_ANSWERS_S):
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
        """Sends at an even pace; returns how many."""
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
        # Few objects are wanted often, most seldom.
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


async def _play(seconds: float, seed: int, *, stay: bool, describe: bool) -> DemoResult:
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(Path(folder)) as deployment:
            if describe:
                _describe(deployment)
            result = await DemoRun(deployment, seconds, seed).run()
            if stay:
                click.echo(
                    f"still up, with {deployment.configuration}; send a request from another shell:\n"
                    f"  hoistplank request 127.0.0.1:{deployment.address[1]} page\nCtrl-C ends it"
                )
                await asyncio.Event().wait()
            return result


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 600), default=10, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--stay", is_flag=True, help="Leave it all up until Ctrl-C, and say how to send a request.")
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def demo(seconds: float, seed: int, stay: bool, as_json: bool) -> None:
    """Start a change log, three cache hosts, a parent, an origin and a dispatcher on loopback; send requests;
    drain one.

    Exit code 1 if a request was not served, or the drained host got one too late.
    """
    try:
        result = asyncio.run(_play(seconds, seed, stay=stay, describe=not as_json))
    except KeyboardInterrupt:
        return
    rows = msgspec.to_builtins(result)
    if as_json:
        click.echo(json.dumps(rows))
    else:
        for name, value in rows.items():
            click.echo(f"{name:>30}: {value}")
    sys.exit(0 if result.good() else 1)
