"""`hoistplank keys`: the life cycle of the keys that sign tokens."""

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
    """Manage the keys that sign tokens: made, published, signing, verifying, retired.

    \b
    To rotate keys without refusing a caller:
      hoistplank keys make next           create a private key, not yet in the key set
      hoistplank keys publish next        publish it; wait until all dispatchers report its generation
      hoistplank keys sign-with next      sign new tokens with it; old tokens stay valid
      hoistplank keys retire old          remove the old key once the last of its tokens has expired
    """


@keys.command()
@click.argument("kid")
@click.option("--alg", type=click.Choice(["EdDSA", "ES256"]), default="EdDSA", show_default=True)
@RING_OPTION
def make(kid: str, alg: str, folder: Path) -> None:
    """Make a private key named KID; it is not in the key set until it is published."""
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
    """Add KID to the key set, so that every verifier has it before the first token is signed with it."""
    _apply(folder, kid, KeyEvent.PUBLISH)


@keys.command(name="sign-with")
@click.argument("kid")
@RING_OPTION
def sign_with(kid: str, folder: Path) -> None:
    """Sign new tokens with KID; tokens of the previous signing key are still verified."""
    _apply(folder, kid, KeyEvent.SIGN)


@keys.command()
@click.argument("kid")
@RING_OPTION
def retire(kid: str, folder: Path) -> None:
    """Refuse the tokens of KID from now on, and remove its private key."""
    _apply(folder, kid, KeyEvent.RETIRE)


@keys.command(name="list")
@RING_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def list_keys(folder: Path, as_json: bool) -> None:
    """List the keys of the ring and their states."""
    try:
        entries = KeyRing(folder).entries()
    except AuthorizationError as error:
        fail(str(error))
    for entry in entries:
        since = format_time(entry.since_us)
        row = {"kid": entry.kid, "state": entry.state, "since": since}
        click.echo(json.dumps(row) if as_json else f"{entry.kid:<24} {entry.state:<10} since {since}")
