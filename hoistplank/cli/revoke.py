"""`hoistplank revoke`: adds a revocation to the revocation file."""

from __future__ import annotations

from pathlib import Path

import click

from hoistplank.authorization.errors import AuthorizationError
from hoistplank.authorization.revocation_files import append_revocation
from hoistplank.authorization.revocations import KINDS, Revocation
from hoistplank.cli.failure import fail
from hoistplank.cli.key_options import now_us

DAY_US = 86_400_000_000


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("value")
@click.option(
    "--issuer", default="", help="Issuer of the token; for a serial, that of the certificate, or none."
)
@click.option(
    "--until", "days", type=click.IntRange(1, 3_650), help="Days after which the revocation may be dropped."
)
@click.option("--file", type=click.Path(path_type=Path), required=True, help="The file named by (revoked …).")
def revoke(kind: str, value: str, issuer: str, days: int | None, file: Path) -> None:
    """Revoke a key, subject, jti, serial or name: dispatchers that read FILE refuse it within a second."""
    until = now_us() + days * DAY_US if days else 0
    try:
        append_revocation(file, Revocation(kind, issuer, value, until))
    except (AuthorizationError, OSError) as error:
        fail(str(error))
    click.echo(f"revoked {kind} {value}")
