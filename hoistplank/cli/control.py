"""`hoistplank control`: the xDS control service, a dump of its resources, and control replicas."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Awaitable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from hoistplank.cli.control_dump import dump
from hoistplank.cli.distribution import replica, status
from hoistplank.cli.failure import fail

if TYPE_CHECKING:
    import grpc

    from hoistplank.program.configuration import Configuration
    from hoistplank.xds.control import ControlService

LOOPBACK_PREFIXES = ("127.", "localhost:", "[::1]:")


@click.group()
def control() -> None:
    """Serve the dispatcher's routing decisions to proxies over xDS (docs/xds.md), and the events and
    configurations of the change log to dispatchers (docs/distribution.md)."""


control.add_command(replica)
control.add_command(status)
control.add_command(dump)


def _credentials(
    certificate: str | None, key: str | None, client_ca: str | None
) -> grpc.ServerCredentials | None:
    import grpc

    if not (certificate or key or client_ca):
        return None
    if not (certificate and key and client_ca):
        fail("--certificate, --key and --client-ca must be given together, as followers present certificates")
    pairs = [(Path(key).read_bytes(), Path(certificate).read_bytes())]
    return grpc.ssl_server_credentials(pairs, Path(client_ca).read_bytes(), require_client_auth=True)


@control.command()
@click.option(
    "--config", envvar="EDGE_CONFIG", help="The platform's JSON file: change log, settings, endpoint list."
)
@click.option(
    "--listen", default="127.0.0.1:18000", show_default=True, help="Address that followers connect to."
)
@click.option(
    "--certificate",
    type=click.Path(),
    help="Certificate chain of this service; followers then need one, too.",
)
@click.option("--key", type=click.Path(), help="Private key of the certificate.")
@click.option("--client-ca", type=click.Path(), help="CA that signs the certificates of followers.")
@click.option("--look-every", default=10.0, show_default=True, help="Seconds between log lines on followers.")
def run(
    config: str | None,
    listen: str,
    certificate: str | None,
    key: str | None,
    client_ca: str | None,
    look_every: float,
) -> None:
    """Follow the change log and serve xDS followers until SIGTERM.

    Without --certificate only loopback addresses are served. Exit code 2: invalid options or configuration.
    """
    from hoistplank.program.configuration import DispatcherConfigurationError, read_configuration
    from hoistplank.program.logging_setup import configure_logging

    try:
        configuration = read_configuration({**os.environ, **({"EDGE_CONFIG": config} if config else {})})
        credentials = _credentials(certificate, key, client_ca)
    except (DispatcherConfigurationError, OSError) as error:
        fail(str(error))
    if credentials is None and not listen.startswith(LOOPBACK_PREFIXES):
        fail(f"--listen {listen}: without certificates only a loopback address is served")
    configure_logging(configuration.name, os.environ.get("HOISTPLANK_LOG", "lines"))
    try:
        asyncio.run(_serve(configuration, listen, credentials, look_every))
    except OSError as error:
        click.echo(f"hoistplank: can't listen on {listen}: {error}", err=True)
        sys.exit(1)


async def _serve(
    configuration: Configuration, listen: str, credentials: grpc.ServerCredentials | None, look_every_s: float
) -> None:
    import structlog

    from hoistplank.xds.control import ControlService

    service, stopping = ControlService(configuration), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    log = structlog.get_logger()
    running = asyncio.create_task(service.run(), name="control")
    # Until the list is confirmed, hosts that drained before this start would be sent as ready.
    await _wait_for_first(service.wait_until_confirmed(), stopping.wait(), running)
    port = await service.serve(listen, credentials)
    log.info("control service listening", listen=listen, port=port, hosts=len(service.resources.hosts))
    while not stopping.is_set() and not running.done():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(look_every_s):
                await stopping.wait()
        _log_followers(service)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    await service.close()


async def _wait_for_first(*waits: Awaitable[object]) -> None:
    """Waits until one of `waits` completes; cancels those that were not tasks before the call."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task, wait in zip(tasks, waits, strict=True):
            if task is not wait:
                task.cancel()


def _log_followers(service: ControlService) -> None:
    import structlog

    rows = service.broadcaster.status()
    structlog.get_logger().info(
        "follower status",
        count=len(rows),
        behind=sum(subscription.behind for row in rows for subscription in row.types.values()),
        refused=sum(row.refused for row in rows),
        **service.broadcaster.counts.log_fields(),
    )
