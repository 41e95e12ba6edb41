"""`hoistplank keys`: the keys that sign tokens, through their lives."""

from __future__ import annotations

import json
from pathlib import Path

import click

from hoistplank.authorization.certificates import format_time
from hoistplank.authorization.credential_files import locked
from hoistplank.authorization.errors import AuthorizationError
from hoistplank.authorization.key_lifecycle import KeyEvent
from hoistplank.authorization.key_ring import KeyRing
from hoistplank.cli.failure import fail
from hoistplank.cli.key_options import RING_OPTION, now_us


@click.group()
def keys() -> None:
    """Keys that sign tokens: made, published, signing, verifying, retired.

    \b
    A change of keys without a refused caller:
      hoistplank keys make next           a private key, known to nobody
      hoistplank keys publish next        in the key set; wait until all dispatchers tell its generation
      hoistplank keys sign-with next      new tokens are signed with it, old ones stand
      hoistplank keys retire old          once the last of its tokens has expired
    """


@keys.command()
@click.argument("kid")
@click.option("--alg", type=click.Choice(["EdDSA", "ES256"]), default="EdDSA", show_default=True)
@RING_OPTION
def make(kid: str, alg: str, folder: Path) -> None:
    """Make a private key called KID; nobody knows of it until it is published."""
    try:
        with locked(folder):
            KeyRing(folder).make(kid, alg, now_us())
    except (AuthorizationError, OSError) as error:
        fail(str(error))
    click.echo(f"made {kid}")


def _apply(folder: Path, kid: str, event: KeyEvent) -> None:
    try:
        with locked(folder):
            state = KeyRing(folder).apply(kid, event, now_us())
    except (AuthorizationError, OSError) as error:
        fail(str(error))
    click.echo(f"{kid} is {state}")


@keys.command()
@click.argument("kid")
@RING_OPTION
def publish(kid: str, folder: Path) -> None:
    """Put KID into the key set, so that everyone has it before the first token is signed with it."""
    _apply(folder, kid, KeyEvent.PUBLISH)


@keys.command(name="sign-with")
@click.argument("kid")
@RING_OPTION
def sign_with(kid: str, folder: Path) -> None:
    """Sign new tokens with KID; the key that signed until now goes on verifying."""
    _apply(folder, kid, KeyEvent.SIGN)


@keys.command()
@click.argument("kid")
@RING_OPTION
def retire(kid: str, folder: Path) -> None:
    """Have KID's tokens refused from now on, and its private half removed."""
    _apply(folder, kid, KeyEvent.RETIRE)


@keys.command(name="list")
@RING_OPTION
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
def listed(folder: Path, as_json: bool) -> None:
    """List the ring's keys and their states."""
    try:
        entries = KeyRing(folder).entries()
    except AuthorizationError as error:
        fail(str(error))
    for entry in entries:
        since = format_time(entry.since_us)
        row = {"kid": entry.kid, "state": entry.state, "since": since}
        click.echo(json.dumps(row) if as_json else f"{entry.kid:<24} {entry.state:<10} since {since}")
