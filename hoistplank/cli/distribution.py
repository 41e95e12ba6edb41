"""`hoistplank control replica` and `status`: control replicas, and the changes in force at dispatchers."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import NamedTuple

import click
import msgspec
import uvloop

from hoistplank.cli.failure import fail
from hoistplank.distribution.assignment import ReplicaAddress
from hoistplank.distribution.messages import VersionFields
from hoistplank.distribution.replica import ControlReplica, ReplicaSettings
from hoistplank.distribution.sections import MAX_REPLICAS
from hoistplank.distribution.status import ChangeRow, MissingRow, StatusResponse
from hoistplank.distribution.status_client import request_status
from hoistplank.distribution.versions import Version
from hoistplank.protocol.changelog import parse_address
from hoistplank.protocol.errors import ProtocolError

LOOPBACK_PREFIXES = ("127.", "localhost:", "[::1]:")
# Added to the time for which purges are held: a copy from before a purge may outlive it by this much more, as
# clocks differ and the paths between replicas take time.
HORIZON_MARGIN_US = 60_000_000
MAX_NAMED = 20  # dispatchers listed by name in the text output


def _parse_address(option: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ProtocolError as error:
        fail(f"{option} {text}: {error}")


def _parse_peer(text: str) -> ReplicaAddress:
    name, equals, endpoint = text.partition("=")
    if not equals or not name:
        fail(f"--peer {text}: is not NAME=HOST:PORT")
    return ReplicaAddress(name, "", _parse_address("--peer", endpoint))


def _parse_version(text: str | None) -> Version | None:
    if text is None:
        return None
    epoch, slash, number = text.partition("/")
    if not slash or not epoch.isdecimal() or not number.isdecimal():
        fail(f"--version {text}: is not EPOCH/NUMBER")
    return Version(int(epoch), int(number))


@click.command()
@click.option("--config", envvar="EDGE_CONFIG", help="The platform's JSON file: change log and settings.")
@click.option(
    "--listen", default="127.0.0.1:18100", show_default=True, help="Address that dispatchers connect to."
)
@click.option("--name", required=True, help="Name of this replica, which must not change at a restart.")
@click.option("--region", default="", help="Region of this replica.")
@click.option(
    "--peer", "peers", multiple=True, help="Another replica, as NAME=HOST:PORT; may be given several times."
)
def replica(config: str | None, listen: str, name: str, region: str, peers: tuple[str, ...]) -> None:
    """Follow the change log and forward its events to dispatchers until SIGTERM (docs/distribution.md).

    Only loopback addresses are served, as there are no certificates yet. Exit code 2: invalid options or
    configuration.
    """
    from hoistplank.program.configuration import DispatcherConfigurationError, read_configuration
    from hoistplank.program.logging_setup import configure_logging

    if not listen.startswith(LOOPBACK_PREFIXES):
        fail(f"--listen {listen}: without certificates only a loopback address is served")
    if len(peers) >= MAX_REPLICAS:
        fail(f"--peer: {len(peers)} peers given, expected at most {MAX_REPLICAS - 1}")
    try:
        configuration = read_configuration({**os.environ, **({"EDGE_CONFIG": config} if config else {})})
    except DispatcherConfigurationError as error:
        fail(str(error))
    settings = ReplicaSettings(
        name=name,
        listen=_parse_address("--listen", listen),
        changelog=configuration.changelog,
        purge_horizon_us=configuration.router_settings.purge_hold_us + HORIZON_MARGIN_US,
        region=region,
        peers=tuple(map(_parse_peer, peers)),
        seed=configuration.seed,
    )
    configure_logging(name, os.environ.get("HOISTPLANK_LOG", "lines"))
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(settings))
    except OSError as error:
        click.echo(f"hoistplank: can't listen on {listen}: {error}", err=True)
        sys.exit(1)


async def _serve(settings: ReplicaSettings) -> None:
    import structlog

    control_replica, stopping = ControlReplica(settings), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    host, port = control_replica.address
    log = structlog.get_logger()
    log.info("control replica listening", name=settings.name, region=settings.region, listen=f"{host}:{port}")
    running = asyncio.create_task(control_replica.run(), name="control replica")
    waiting = asyncio.create_task(stopping.wait(), name="signals")
    await asyncio.wait((running, waiting), return_when=asyncio.FIRST_COMPLETED)
    for task in (running, waiting):
        task.cancel()
    await asyncio.gather(running, waiting, return_exceptions=True)
    if not running.cancelled() and running.exception() is not None:
        log.error("task failed", exc_info=running.exception())
        sys.exit(1)


class StatusReply(NamedTuple):
    """The answer of a replica to a status request, or the reason why there is none."""

    endpoint: str
    answer: StatusResponse | None
    failure: str


async def _request_all(endpoints: tuple[str, ...], version: Version | None) -> list[StatusReply]:
    async def request_one(endpoint: str) -> StatusReply:
        try:
            return StatusReply(
                endpoint, await request_status(_parse_address("--replica", endpoint), version), ""
            )
        except (OSError, ProtocolError) as error:
            return StatusReply(endpoint, None, str(error) or type(error).__name__)

    return await asyncio.gather(*map(request_one, endpoints))


def _format_version(version: VersionFields) -> str:
    return str(version.to_version())


def _format_seconds(microseconds: int) -> str:
    return f"{microseconds / 1e6:.0f} s"


def _format_missing(row: MissingRow) -> str:
    if row.refused:
        return f"{row.dispatcher} (refused: {row.refused})"
    words = [f"has {_format_version(row.version)}"]
    if row.heard_ago_us > 2_000_000:
        words.append(f"silent for {_format_seconds(row.heard_ago_us)}")
    if not row.connected:
        words.append("not connected")
    return f"{row.dispatcher} ({', '.join(words)})"


def format_change_status(row: ChangeRow) -> str:
    """Returns a line such as
    "in force at 678 of 680; missing: d17 (has 3/118, silent for 12 s), d40 (refused: …)".
    """
    words = f"in force at {row.in_force} of {row.total}"
    if row.unreadable:
        return f"{words}; the change log's event is invalid: {row.unreadable}"
    if not row.missing:
        return words
    named = ", ".join(map(_format_missing, row.missing[:MAX_NAMED]))
    rest = len(row.missing) - MAX_NAMED
    return f"{words}; missing: {named}" + (f", and {rest} more" if rest > 0 else "")


def _format_replica(answer: StatusResponse) -> str:
    log_age_us = answer.log_heard_ago_us
    peers = [
        f"{peer.name} {'connected' if peer.heard_ago_us is not None else 'not connected'}"
        for peer in answer.peers
    ]
    words = [
        f"at {_format_version(answer.version)}",
        f"configuration {_format_version(answer.configuration)}",
        f"last message of the change log {_format_seconds(log_age_us)} ago"
        if log_age_us is not None
        else "no message of the change log yet",
        f"{answer.load.dispatchers} dispatchers, {answer.load.waiting} waiting to catch up",
        f"peers: {', '.join(peers) or 'none'}",
    ]
    return f"{answer.replica}{f' ({answer.region})' if answer.region else ''}: {'; '.join(words)}"


def _print_status(replies: list[StatusReply], best: StatusResponse) -> None:
    for reply in replies:
        click.echo(
            _format_replica(reply.answer)
            if reply.answer
            else f"{reply.endpoint}: no answer ({reply.failure})"
        )
    if best.change is not None:
        click.echo(f"change {_format_version(best.change.version)}: {format_change_status(best.change)}")
        return
    click.echo(f"events up to {_format_version(best.events.version)}: {format_change_status(best.events)}")
    click.echo(
        f"configuration {_format_version(best.configurations.version)}: "
        f"{format_change_status(best.configurations)}"
    )
    silent = [f"{row.dispatcher} for {_format_seconds(row.heard_ago_us)}" for row in best.silent]
    if silent:
        click.echo(f"connected but silent: {', '.join(silent[:MAX_NAMED])}")


@click.command()
@click.option(
    "--replica",
    "replicas",
    multiple=True,
    required=True,
    help="Address of a replica, as HOST:PORT; may be given several times.",
)
@click.option("--version", "wanted", help="Report on this change only, as EPOCH/NUMBER.")
@click.option("--json", "as_json", is_flag=True, help="Print the answers as JSON, one object per line.")
def status(replicas: tuple[str, ...], wanted: str | None, as_json: bool) -> None:
    """Show at how many dispatchers the changes are in force, and which dispatchers are missing.

    Exit code 0: all changes are in force everywhere. 1: a dispatcher is missing, or no replica answered.
    """
    replies = asyncio.run(_request_all(replicas, _parse_version(wanted)))
    answers = [reply.answer for reply in replies if reply.answer is not None]
    if not answers:
        for reply in replies:
            click.echo(f"hoistplank: {reply.endpoint}: no answer ({reply.failure})", err=True)
        sys.exit(1)
    # The replica with the latest version and, of those, the most dispatchers has the most complete status.
    best = max(answers, key=lambda answer: (answer.version.to_version(), answer.events.total))
    if as_json:
        for answer in answers:
            click.echo(msgspec.json.encode(answer).decode())
    else:
        _print_status(replies, best)
    rows = [best.change] if best.change is not None else [best.events, best.configurations]
    sys.exit(int(any(row.missing or row.unreadable for row in rows)))
