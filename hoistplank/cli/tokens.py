"""`hoistplank token`: makes signed tokens, and shows their claims."""

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
    """Make signed tokens for callers, or show the claims of one."""


@token.command(name="make")
@click.option("--issuer", required=True, help="Issuer, as in (issuer …) of the operator file.")
@click.option("--audience", required=True, help="Audience, as in its (audience …).")
@click.option("--subject", required=True, help="Subject that the token is for.")
@click.option("--for", "lasts", default="1h", show_default=True, help="Lifetime, such as 15min or 8h.")
@click.option("--jti", default="", help="Identifier by which this token can be revoked.")
@RING_OPTION
def make_token(issuer: str, audience: str, subject: str, lasts: str, jti: str, folder: Path) -> None:
    """Make a token, signed with the signing key of the ring; it is the only line on standard output."""
    lifetime_type = duration("1s", "30d")
    try:
        lifetime_us: int = lifetime_type.parse(Atom(lasts, False, SourceLocation("--for", 1, 1)))
    except ValueError:
        fail(f"--for: '{lasts}', expected {lifetime_type.expected}")
    now = now_us()
    claims = {
        "iss": issuer,
        "aud": audience,
        "sub": subject,
        "iat": now // 1_000_000,
        "exp": (now + lifetime_us) // 1_000_000,
        **({"jti": jti} if jti else {}),
    }
    try:
        click.echo(KeyRing(folder).sign_token(claims))
    except AuthorizationError as error:
        fail(str(error))


@token.command()
@click.option("--json", "as_json", is_flag=True, help="Print a JSON object.")
def show(as_json: bool) -> None:
    """Show the claims of a token on standard input. Its signature is not verified, and it is not printed.

    It is read from standard input, because arguments are visible to other users of the machine.
    """
    text = sys.stdin.read(MAX_INPUT_CHARACTERS).strip()
    try:
        parsed = parse_token(text.removeprefix("Bearer "), MAX_TOKEN_BYTES)
    except InvalidTokenError as error:
        fail(f"invalid token: {error.reason}")
    left_s = (parsed.expires_us - now_us()) // 1_000_000
    row = {
        "alg": parsed.algorithm,
        "kid": parsed.kid,
        "iss": parsed.issuer,
        "aud": list(parsed.audiences),
        "sub": parsed.subject,
        "jti": parsed.jti or None,
        "expires_in_s": left_s,
    }
    click.echo(json.dumps(row) if as_json else "\n".join(f"{name}: {value}" for name, value in row.items()))
