"""`hoistplank control replica` and `status`: control replicas, and what is in force at which dispatchers."""

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

LOOPBACK = ("127.", "localhost:", "[::1]:")
# What a copy from before a purge may outlive it by, beside the floors: clocks and paths between replicas.
HORIZON_MARGIN_US = 60_000_000
MAX_NAMED = 20  # missing dispatchers that a person is told by name


def _address(option: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ProtocolError as wrong:
        fail(f"{option} {text}: {wrong}")


def _peer(text: str) -> ReplicaAddress:
    name, equals, endpoint = text.partition("=")
    if not equals or not name:
        fail(f"--peer {text}: is not NAME=HOST:PORT")
    return ReplicaAddress(name, "", _address("--peer", endpoint))


def _version(text: str | None) -> Version | None:
    if text is None:
        return None
    epoch, slash, number = text.partition("/")
    if not slash or not epoch.isdecimal() or not number.isdecimal():
        fail(f"--version {text}: is not EPOCH/NUMBER")
    return Version(int(epoch), int(number))


@click.command()
@click.option("--config", envvar="EDGE_CONFIG", help="The platform's JSON file: change log and settings.")
@click.option("--listen", default="127.0.0.1:18100", show_default=True, help="Where dispatchers connect.")
@click.option("--name", required=True, help="This replica's name, the same after each restart.")
@click.option("--region", default="", help="The region that it stands in.")
@click.option("--peer", "peers", multiple=True, help="Another replica, as NAME=HOST:PORT; several times.")
def replica(config: str | None, listen: str, name: str, region: str, peers: tuple[str, ...]) -> None:
    """Follow the change log and hand its events on to dispatchers until SIGTERM (docs/distribution.md).

    Only loopback addresses are served: there are no certificates yet. Exit code 2: what was given can't be
    used.
    """
    from hoistplank.program.configuration import DispatcherConfigurationError, read_configuration
    from hoistplank.program.logging_setup import configure_logging

    if not listen.startswith(LOOPBACK):
        fail(f"--listen {listen}: without certificates only a loopback address is served")
    if len(peers) >= MAX_REPLICAS:
        fail(f"--peer: {len(peers)} peers, {MAX_REPLICAS - 1} at most")
    try:
        configuration = read_configuration({**os.environ, **({"EDGE_CONFIG": config} if config else {})})
    except DispatcherConfigurationError as wrong:
        fail(str(wrong))
    settings = ReplicaSettings(
        name=name,
        listen=_address("--listen", listen),
        changelog=configuration.changelog,
        purge_horizon_us=configuration.router_settings.purge_hold_us + HORIZON_MARGIN_US,
        region=region,
        peers=tuple(map(_peer, peers)),
        seed=configuration.seed,
    )
    configure_logging(name, os.environ.get("HOISTPLANK_LOG", "lines"))
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(settings))
    except OSError as wrong:
        click.echo(f"hoistplank: can't listen on {listen}: {wrong}", err=True)
        sys.exit(1)


async def _serve(settings: ReplicaSettings) -> None:
    import structlog

    made, ended = ControlReplica(settings), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    host, port = made.address
    log = structlog.get_logger()
    log.info("control replica", name=settings.name, region=settings.region, listen=f"{host}:{port}")
    running = asyncio.create_task(made.run(), name="control replica")
    waiting = asyncio.create_task(ended.wait(), name="signals")
    await asyncio.wait((running, waiting), return_when=asyncio.FIRST_COMPLETED)
    for task in (running, waiting):
        task.cancel()
    await asyncio.gather(running, waiting, return_exceptions=True)
    if not running.cancelled() and running.exception() is not None:
        log.error("broken", exc_info=running.exception())
        sys.exit(1)


class Asked(NamedTuple):
    """A replica's answer, or why there is none."""

    endpoint: str
    answer: StatusResponse | None
    wrong: str


async def _ask_all(endpoints: tuple[str, ...], version: Version | None) -> list[Asked]:
    async def one(endpoint: str) -> Asked:
        try:
            return Asked(endpoint, await request_status(_address("--replica", endpoint), version), "")
        except (OSError, ProtocolError) as wrong:
            return Asked(endpoint, None, str(wrong) or type(wrong).__name__)

    return await asyncio.gather(*map(one, endpoints))


def _text(version: VersionFields) -> str:
    return str(version.to_version())


def _seconds(microseconds: int) -> str:
    return f"{microseconds / 1e6:.0f} s"


def _missing_words(row: MissingRow) -> str:
    if row.refused:
        return f"{row.dispatcher} (refused: {row.refused})"
    words = [f"has {_text(row.version)}"]
    if row.heard_ago_us > 2_000_000:
        words.append(f"unheard for {_seconds(row.heard_ago_us)}")
    if not row.connected:
        words.append("not connected")
    return f"{row.dispatcher} ({', '.join(words)})"


def in_force_words(row: ChangeRow) -> str:
    """As "in force at 678 of 680; missing: d17 (has 3/118, unheard for 12 s), d40 (refused: …)"."""
    words = f"in force at {row.in_force} of {row.total}"
    if row.unreadable:
        return f"{words}; the change log's line can't be used: {row.unreadable}"
    if not row.missing:
        return words
    named = ", ".join(map(_missing_words, row.missing[:MAX_NAMED]))
    rest = len(row.missing) - MAX_NAMED
    return f"{words}; missing: {named}" + (f", and {rest} more" if rest > 0 else "")


def _replica_words(answer: StatusResponse) -> str:
    heard = answer.log_heard_ago_us
    peers = [
        f"{peer.name} {'heard' if peer.heard_ago_us is not None else 'not heard'}" for peer in answer.peers
    ]
    words = [
        f"at {_text(answer.version)}",
        f"configuration {_text(answer.configuration)}",
        f"change log heard {_seconds(heard)} ago" if heard is not None else "change log never heard",
        f"{answer.load.dispatchers} dispatchers, {answer.load.waiting} wait to catch up",
        f"peers: {', '.join(peers) or 'none'}",
    ]
    return f"{answer.replica}{f' ({answer.region})' if answer.region else ''}: {'; '.join(words)}"


def _echo(asked: list[Asked], best: StatusResponse) -> None:
    for one in asked:
        click.echo(_replica_words(one.answer) if one.answer else f"{one.endpoint}: no answer ({one.wrong})")
    if best.change is not None:
        click.echo(f"change {_text(best.change.version)}: {in_force_words(best.change)}")
        return
    click.echo(f"events up to {_text(best.events.version)}: {in_force_words(best.events)}")
    click.echo(f"configuration {_text(best.configurations.version)}: {in_force_words(best.configurations)}")
    unheard = [f"{row.dispatcher} for {_seconds(row.heard_ago_us)}" for row in best.silent]
    if unheard:
        click.echo(f"connected but not heard: {', '.join(unheard[:MAX_NAMED])}")


@click.command()
@click.option("--replica", "replicas", multiple=True, required=True, help="HOST:PORT; several times.")
@click.option("--version", "wanted", help="Of this change alone, as EPOCH/NUMBER.")
@click.option("--json", "as_json", is_flag=True, help="The answers as JSON, an object a line.")
def status(replicas: tuple[str, ...], wanted: str | None, as_json: bool) -> None:
    """Tell what is in force at how many dispatchers, and who is missing.

    Exit code 0: all is in force everywhere. 1: something is missing, or no replica answered.
    """
    asked = asyncio.run(_ask_all(replicas, _version(wanted)))
    answers = [one.answer for one in asked if one.answer is not None]
    if not answers:
        for one in asked:
            click.echo(f"hoistplank: {one.endpoint}: no answer ({one.wrong})", err=True)
        sys.exit(1)
    # The replica that is furthest and knows most dispatchers says most.
    best = max(answers, key=lambda answer: (answer.version.to_version(), answer.events.total))
    if as_json:
        for answer in answers:
            click.echo(msgspec.json.encode(answer).decode())
    else:
        _echo(asked, best)
    rows = [best.change] if best.change is not None else [best.events, best.configurations]
    sys.exit(int(any(row.missing or row.unreadable for row in rows)))
