"""`hoistplank token`: makes signed tokens, and shows what they say."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from hoistplank.authorization.errors import AuthorizationError
from hoistplank.authorization.jws import InvalidTokenError, parse_token
from hoistplank.authorization.key_ring import KeyRing
from hoistplank.cli.failure import fail
from hoistplank.cli.key_options import RING_OPTION, now_us
from hoistplank.operator_configuration.errors import SourceLocation
from hoistplank.operator_configuration.syntax import Atom
from hoistplank.operator_configuration.values import duration

MAX_INPUT_CHARACTERS = 65_536
MAX_TOKEN_BYTES = 16_384


@click.group()
def token() -> None:
    """Signed tokens: make one for a caller, or look at what one says."""


@token.command(name="make")
@click.option("--issuer", required=True, help="As (issuer …) in the operator's file.")
@click.option("--audience", required=True, help="As its (audience …).")
@click.option("--subject", required=True, help="Whom the token is for.")
@click.option("--for", "lasts", default="1h", show_default=True, help="How long it stands, as 15min or 8h.")
@click.option("--jti", default="", help="A name by which this one token can be revoked.")
@RING_OPTION
def make_token(issuer: str, audience: str, subject: str, lasts: str, jti: str, folder: Path) -> None:
    """Make a token, signed by the ring's signing key; it is the only line on standard output."""
    kind = duration("1s", "30d")
    try:
        life_us: int = kind.parse(Atom(lasts, False, SourceLocation("--for", 1, 1)))
    except ValueError:
        fail(f"--for: '{lasts}', expected {kind.expected}")
    now = now_us()
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
    except AuthorizationError as error:
        fail(str(error))


@token.command()
@click.option("--json", "as_json", is_flag=True, help="As a JSON object.")
def show(as_json: bool) -> None:
    """Tell what a token on standard input says. Its signature is not checked, and it is not repeated.

    It is read from standard input, since arguments can be seen by others on the machine.
    """
    text = sys.stdin.read(MAX_INPUT_CHARACTERS).strip()
    try:
        found = parse_token(text.removeprefix("Bearer "), MAX_TOKEN_BYTES)
    except InvalidTokenError as error:
        fail(f"the token can't be used: {error.reason}")
    left_s = (found.expires_us - now_us()) // 1_000_000
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
