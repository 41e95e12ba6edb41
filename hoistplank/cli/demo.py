"""`hoistplank demo`: a small deployment on loopback, ten seconds of requests, a drain in between."""

from __future__ import annotations

import asyncio
import json
import secrets
import ssl
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import TextIO

import click
from hdrh.histogram import HdrHistogram

from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.wire import FastCgiClient, connect

RATE = 120.0  # requests a second: a small part of what a core carries
THINGS = 300


async def _play(place: Deployment, seconds: float, seed: int) -> dict[str, object]:
    chance, began = Random(seed), time.monotonic()
    times, statuses, out = HdrHistogram(1, 60_000_000, 3), Counter[int](), dict[int, float]()
    clients = [await place.client() for _ in range(4)]

    async def read(client: FastCgiClient) -> None:
        while True:
            number, status, _, _ = await client.read_answer()
            times.record_value(max(1, int((time.monotonic() - out.pop(number)) * 1e6)))
            statuses[status] += 1

    readers = [asyncio.create_task(read(client), name="reader") for client in clients]
    drained, number = place.caches[0], 0
    drained_at = 0.0
    try:
        while (now := time.monotonic() - began) < seconds:
            if not drained_at and now > seconds / 2:
                place.set_state(drained, "draining")
                drained_at = time.time()
            number += 1
            books = number % 30 == 0
            # Few objects are wanted often, most seldom.
            object_key = f"{int(THINGS * chance.random() ** 3):016x}"
            fields = {"HTTP_X_SUBJECT": object_key, "HTTP_X_CORRELATION_ID": f"{number:016x}"}
            if books:
                fields["HTTP_X_OPERATION_KEY"] = f"{chance.getrandbits(128):032x}"
            out[number % 60_000 + 1] = time.monotonic()
            clients[number % 4].send(number % 60_000 + 1, "booking" if books else "page", fields)
            await asyncio.sleep(max(0.0, number / RATE - (time.monotonic() - began)))
        until = time.monotonic() + 3
        while out and time.monotonic() < until:
            await asyncio.sleep(0.01)
    finally:
        for task in readers:
            task.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
        for client in clients:
            client.writer.close()
    notes = Counter(note for server in place.servers for _, _, note in server.answers)
    return {
        "visits": number,
        "answered": sum(statuses.values()),
        "served": statuses[200],
        "from": {server.uid: len(server.answers) for server in place.servers},
        "how": dict(notes),
        "ms": {f"p{q:g}": round(times.get_value_at_percentile(q) / 1e3, 1) for q in (50, 99)},
        "drained": drained.uid,
        "to it 250 ms after the drain": sum(at > drained_at + 0.25 for at, _, _ in drained.answers),
    }


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

    async def scene() -> dict[str, object]:
        with tempfile.TemporaryDirectory() as folder:
            async with Deployment(Path(folder)) as place:
                if not as_json:
                    click.echo(
                        f"dispatcher at 127.0.0.1:{place.address[1]}, log at 127.0.0.1:{place.log_port}"
                    )
                    for server in place.servers:
                        click.echo(f"  {server.uid:<10} {server.kind:<7} 127.0.0.1:{server.port}")
                told = await _play(place, seconds, seed)
                if stay:
                    click.echo(
                        f"still up, with {place.configuration}; send a request from another shell:\n"
                        f"  hoistplank request 127.0.0.1:{place.address[1]} page\nCtrl-C ends it"
                    )
                    await asyncio.Event().wait()
                return told

    try:
        told = asyncio.run(scene())
    except KeyboardInterrupt:
        return
    good = told["served"] == told["visits"] and told["to it 250 ms after the drain"] == 0
    if as_json:
        click.echo(json.dumps(told))
    else:
        for name, value in told.items():
            click.echo(f"{name:>30}: {value}")
    raise SystemExit(0 if good else 1)


@click.command("visit")
@click.argument("address")
@click.argument("class_name", metavar="CLASS")
@click.option("--object", "object_key", default=f"{7:016x}", show_default=True, help="16 hex digits.")
@click.option("--group", type=click.IntRange(0, 255), default=0, show_default=True)
@click.option("--key", default="", help="The operation key of a booking, 32 hex digits.")
@click.option("--token-file", type=click.File("r"), help="The caller's token; - for standard input.")
@click.option("--ca", type=click.Path(exists=True), help="Speak TLS, and trust this CA (PEM).")
@click.option(
    "--cert", type=click.Path(exists=True), help="The client's certificate and key in one file (PEM)."
)
def request(
    address: str,
    class_name: str,
    object_key: str,
    group: int,
    key: str,
    token_file: TextIO | None,
    ca: str | None,
    cert: str | None,
) -> None:
    """Send one request to a dispatcher at ADDRESS and tell the answer. Exit code 1: it was not served."""
    fields = {
        "HTTP_X_SUBJECT": object_key,
        "HTTP_X_TAG": str(group),
        "HTTP_X_CORRELATION_ID": secrets.token_hex(8),
    }
    if key:
        fields["HTTP_X_OPERATION_KEY"] = key
    if token_file is not None:
        fields["HTTP_AUTHORIZATION"] = f"Bearer {token_file.read().strip()}"
    context = ssl.create_default_context(cafile=ca) if ca else None
    if context is not None and cert:
        context.load_cert_chain(cert)
    host, _, port = address.rpartition(":")

    async def scene() -> tuple[int, int, bytes, bytes]:
        client = await connect((host, int(port)), context)
        client.send(1, class_name, fields)
        return await asyncio.wait_for(client.read_answer(), 5)

    try:
        _, status, head, body = asyncio.run(scene())
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as wrong:
        raise click.ClickException(
            f"no answer from {address}: {str(wrong) or type(wrong).__name__}"
        ) from None
    click.echo(head.decode("latin-1").replace("\r\n", "\n"))
    click.echo(f"{len(body)} bytes")
    raise SystemExit(0 if status == 200 else 1)
