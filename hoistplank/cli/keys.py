"""`hoistplank keys`, tokens and revocations: what an operator does by hand."""

from __future__ import annotations

import json
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import click

from hoistplank.authorization.credential_files import locked
from hoistplank.authorization.errors import AuthorizationError
from hoistplank.authorization.jws import InvalidTokenError, parse_token
from hoistplank.authorization.key_lifecycle import KeyEvent
from hoistplank.authorization.key_ring import KeyRing
from hoistplank.authorization.revocation_files import append_revocation
from hoistplank.authorization.revocations import KINDS, Revocation
from hoistplank.operator_configuration.errors import SourceLocation
from hoistplank.operator_configuration.syntax import Atom
from hoistplank.operator_configuration.values import duration

FOLDER = click.option(
    "--ring",
    "folder",
    type=click.Path(path_type=Path),
    default=Path("ring"),
    show_default=True,
    help="The folder with the ring.",
)


def _now() -> int:
    return time.time_ns() // 1000


def _fail(wrong: Exception) -> None:
    click.echo(f"hoistplank: {wrong}", err=True)
    sys.exit(2)


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
@FOLDER
def make(kid: str, alg: str, folder: Path) -> None:
    """Make a private key called KID; nobody knows of it until it is published."""
    try:
        with locked(folder):
            KeyRing(folder).make(kid, alg, _now())
    except (AuthorizationError, OSError) as wrong:
        return _fail(wrong)
    click.echo(f"made {kid}")


def _move(folder: Path, kid: str, event: KeyEvent) -> None:
    try:
        with locked(folder):
            state = KeyRing(folder).apply(kid, event, _now())
    except (AuthorizationError, OSError) as wrong:
        return _fail(wrong)
    click.echo(f"{kid} is {state}")


@keys.command()
@click.argument("kid")
@FOLDER
def publish(kid: str, folder: Path) -> None:
    """Put KID into the key set, so that everyone has it before the first token is signed with it."""
    _move(folder, kid, KeyEvent.PUBLISH)


@keys.command(name="sign-with")
@click.argument("kid")
@FOLDER
def sign_with(kid: str, folder: Path) -> None:
    """Sign new tokens with KID; the key that signed until now goes on verifying."""
    _move(folder, kid, KeyEvent.SIGN)


@keys.command()
@click.argument("kid")
@FOLDER
def retire(kid: str, folder: Path) -> None:
    """Have KID's tokens refused from now on, and its private half removed."""
    _move(folder, kid, KeyEvent.RETIRE)


@keys.command(name="list")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
def listed(folder: Path, as_json: bool) -> None:
    """List the ring's keys and their states."""
    try:
        entries = KeyRing(folder).entries()
    except AuthorizationError as wrong:
        return _fail(wrong)
    for entry in entries:
        since = datetime.fromtimestamp(entry.since_us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
        row = {"kid": entry.kid, "state": entry.state, "since": since}
        click.echo(json.dumps(row) if as_json else f"{entry.kid:<24} {entry.state:<10} since {since}")


@click.group()
def token() -> None:
    """Signed tokens: make one for a caller, or look at what one says."""


@token.command(name="make")
@click.option("--issuer", required=True, help="As (issuer …) in the operator's file.")
@click.option("--audience", required=True, help="As its (audience …).")
@click.option("--subject", required=True, help="Whom the token is for.")
@click.option("--for", "lasts", default="1h", show_default=True, help="How long it stands, as 15min or 8h.")
@click.option("--jti", default="", help="A name by which this one token can be revoked.")
@FOLDER
def make_token(issuer: str, audience: str, subject: str, lasts: str, jti: str, folder: Path) -> None:
    """Make a token, signed by the ring's signing key; it is the only line on standard output."""
    kind = duration("1s", "30d")
    try:
        life_us: int = kind.parse(Atom(lasts, False, SourceLocation("--for", 1, 1)))
    except ValueError:
        return _fail(ValueError(f"--for: '{lasts}', expected {kind.expected}"))
    now = _now()
    claims = {
        "iss": issuer,
        "aud": audience,
        "sub": subject,
        "iat": now // 1_000_000,
        "exp": (now + life_us) // 1_000_000,
        **({"jti": jti} if jti else {}),
    }
    try:
        click.echo(KeyRing(folder).sign_token(claims))
    except AuthorizationError as wrong:
        _fail(wrong)


@token.command()
@click.option("--json", "as_json", is_flag=True, help="As a JSON object.")
def show(as_json: bool) -> None:
    """Tell what a token on standard input says. Its signature is not checked, and it is not repeated.

    It is read from standard input, since arguments can be seen by others on the machine.
    """
    text = sys.stdin.read(65_536).strip()
    try:
        found = parse_token(text.removeprefix("Bearer "), 16_384)
    except InvalidTokenError as wrong:
        return _fail(ValueError(f"the token can't be used: {wrong.reason}"))
    left_s = (found.expires_us - _now()) // 1_000_000
    row = {
        "alg": found.algorithm,
        "kid": found.kid,
        "iss": found.issuer,
        "aud": list(found.audiences),
        "sub": found.subject,
        "jti": found.jti or None,
        "expires_in_s": left_s,
    }
    click.echo(json.dumps(row) if as_json else "\n".join(f"{name}: {value}" for name, value in row.items()))


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("value")
@click.option("--issuer", default="", help="The token's issuer; for a serial the certificate's, or none.")
@click.option("--until", "days", type=click.IntRange(1, 3_650), help="Days after which it may be forgotten.")
@click.option(
    "--file", type=click.Path(path_type=Path), required=True, help="The file that (revoked …) names."
)
def revoke(kind: str, value: str, issuer: str, days: int | None, file: Path) -> None:
    """Revoke a key, subject, jti, serial or name: dispatchers that read FILE refuse it within a second."""
    until = _now() + days * 86_400_000_000 if days else 0
    try:
        append_revocation(file, Revocation(kind, issuer, value, until))
    except (AuthorizationError, OSError) as wrong:
        return _fail(wrong)
    click.echo(f"revoked {kind} {value}")
