"""`hoistplank control`: the xDS control service, what it would tell a follower, and control replicas."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import click

from hoistplank.cli.distribution import replica, status
from hoistplank.cli.main import fail


@click.group()
def control() -> None:
    """Hand the dispatcher's choices to proxies over xDS (docs/xds.md), and the change log's events and
    configurations to dispatchers (docs/distribution.md)."""


control.add_command(replica)
control.add_command(status)


def _credentials(certificate: str | None, key: str | None, clients: str | None) -> Any:
    import grpc

    if not (certificate or key or clients):
        return None
    if not (certificate and key and clients):
        fail("--certificate, --key and --client-ca go together: followers show certificates")
    assert certificate and key and clients
    rows = [(Path(key).read_bytes(), Path(certificate).read_bytes())]
    return grpc.ssl_server_credentials(rows, Path(clients).read_bytes(), require_client_auth=True)


@control.command()
@click.option("--config", envvar="EDGE_CONFIG", help="The platform's JSON file: change log, settings, list.")
@click.option("--listen", default="127.0.0.1:18000", show_default=True, help="Where followers connect.")
@click.option("--certificate", type=click.Path(), help="Chain of this service; followers then need theirs.")
@click.option("--key", type=click.Path(), help="Its private key.")
@click.option("--client-ca", type=click.Path(), help="Who signs followers' certificates.")
@click.option("--look-every", default=10.0, show_default=True, help="Seconds between lines on followers.")
def run(
    config: str | None,
    listen: str,
    certificate: str | None,
    key: str | None,
    client_ca: str | None,
    look_every: float,
) -> None:
    """Follow the change log and serve xDS followers until SIGTERM.

    Without --certificate only loopback addresses are served. Exit code 2: what was given can't be used.
    """
    from hoistplank.program.configuration import BadConfiguration, read
    from hoistplank.program.logging_setup import configure_logging
    from hoistplank.xds.control import Control

    try:
        configuration = read({**os.environ, **({"EDGE_CONFIG": config} if config else {})})
        credentials = _credentials(certificate, key, client_ca)
    except (BadConfiguration, OSError) as wrong:
        return fail(str(wrong))
    if credentials is None and not listen.startswith(("127.", "localhost:", "[::1]:")):
        return fail(f"--listen {listen}: without certificates only a loopback address is served")
    configure_logging(configuration.name, os.environ.get("HOISTPLANK_LOG", "lines"))

    async def serve() -> None:
        import structlog

        log, made, ended = structlog.get_logger(), Control(configuration), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, ended.set)
        port = await made.serve(listen)
        log.info("control service", listen=listen, port=port, hosts=len(made.resources.hosts))
        running = asyncio.create_task(made.run(), name="control")
        while not ended.is_set() and not running.done():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(look_every):
                    await ended.wait()
            rows = made.hub.look()
            behind = sum(kind["behind"] for row in rows for kind in row["types"].values())
            log.info(
                "followers",
                count=len(rows),
                behind=behind,
                refused=sum(r["refused"] for r in rows),
                **made.hub.counts,
            )
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await made.close()

    try:
        asyncio.run(serve())
    except OSError as wrong:
        print(f"hoistplank: can't listen on {listen}: {wrong}", file=sys.stderr)
        sys.exit(1)


async def _told(address: str, zone: str) -> dict[str, Any]:
    """What a follower of all clusters, or of one location's, is told first. Raises TimeoutError and
    grpc.RpcError."""
    import grpc
    from envoy.config.cluster.v3 import cluster_pb2
    from envoy.config.endpoint.v3 import endpoint_pb2
    from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
    from envoy.service.runtime.v3 import rtds_pb2
    from google.protobuf.json_format import MessageToDict

    from hoistplank.xds.resources import CLUSTER, ENDPOINT, PURGES, RUNTIME

    out: asyncio.Queue[Any] = asyncio.Queue()
    found: dict[str, Any] = {}

    async def requests() -> Any:
        while True:
            yield await out.get()

    def ask(kind: str, names: list[str]) -> None:
        node = {"id": "hoistplank-control-dump"}
        out.put_nowait(discovery_pb2.DiscoveryRequest(node=node, type_url=kind, resource_names=names))

    def take(kind: str, values: list[bytes]) -> None:
        if kind == CLUSTER:
            names = sorted(cluster_pb2.Cluster.FromString(value).name for value in values)
            found["clusters"] = [name for name in names if not zone or name == f"caches-{zone}"]
            ask(ENDPOINT, found["clusters"])
        elif kind == ENDPOINT:
            rows = [endpoint_pb2.ClusterLoadAssignment.FromString(value) for value in values]
            found["endpoints"] = {row.cluster_name: MessageToDict(row)["endpoints"] for row in rows}
        elif kind == RUNTIME:
            found["purges"] = MessageToDict(rtds_pb2.Runtime.FromString(values[0]).layer)

    async with grpc.aio.insecure_channel(address) as way, asyncio.timeout(5):
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(way).StreamAggregatedResources(requests())
        ask(CLUSTER, [])
        ask(RUNTIME, [PURGES])
        async for response in call:
            take(response.type_url, [resource.value for resource in response.resources])
            if len(found) == 3 or found.get("clusters") == []:
                break
    return found


@control.command()
@click.argument("address")
@click.option("--zone", default="", help="Show this location's cache hosts only.")
def dump(address: str, zone: str) -> None:
    """What the control service at ADDRESS tells a follower: clusters, hosts, purges, as JSON."""
    import grpc

    try:
        click.echo(json.dumps(asyncio.run(_told(address, zone)), indent=1, sort_keys=True))
    except (grpc.RpcError, TimeoutError) as wrong:
        print(f"hoistplank: no answer from {address}: {type(wrong).__name__}", file=sys.stderr)
        sys.exit(1)
