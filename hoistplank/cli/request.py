"""`hoistplank request` (also `visit`): sends one request to a dispatcher."""

from __future__ import annotations

import asyncio
import secrets
import ssl
import sys
from typing import TextIO

import click

from hoistplank.fakes.wire import connect

TIMEOUT_S = 5
OK = 200


@click.command("request")
@click.argument("address")
@click.argument("class_name", metavar="CLASS")
@click.option(
    "--object", "object_key", default=f"{7:016x}", show_default=True, help="Object key, 16 hex digits."
)
@click.option("--group", type=click.IntRange(0, 255), default=0, show_default=True)
@click.option("--key", default="", help="Operation key of a booking, 32 hex digits.")
@click.option(
    "--token-file", type=click.File("r"), help="File with the caller's token; - for standard input."
)
@click.option("--ca", type=click.Path(exists=True), help="Use TLS, and trust this CA (PEM).")
@click.option("--cert", type=click.Path(exists=True), help="Client certificate and key in one file (PEM).")
def request(  # noqa: PLR0913 (one parameter per option)
    address: str,
    class_name: str,
    object_key: str,
    group: int,
    key: str,
    token_file: TextIO | None,
    ca: str | None,
    cert: str | None,
) -> None:
    """Send one request to a dispatcher at ADDRESS and print the answer. Exit code 1: it was not served."""
    fields = {
        "HTTP_X_SUBJECT": object_key,
        "HTTP_X_TAG": str(group),
        "HTTP_X_CORRELATION_ID": secrets.token_hex(8),
    }
    if key:
        fields["HTTP_X_OPERATION_KEY"] = key
    if token_file is not None:
        fields["HTTP_AUTHORIZATION"] = f"Bearer {token_file.read().strip()}"
    try:
        status, head, body = asyncio.run(_send(address, class_name, fields, _tls_context(ca, cert)))
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as error:
        raise click.ClickException(
            f"no answer from {address}: {str(error) or type(error).__name__}"
        ) from None
    click.echo(head.decode("latin-1").replace("\r\n", "\n"))
    click.echo(f"{len(body)} bytes")
    sys.exit(0 if status == OK else 1)


def _tls_context(ca: str | None, certificate: str | None) -> ssl.SSLContext | None:
    if not ca:
        return None
    context = ssl.create_default_context(cafile=ca)
    if certificate:
        context.load_cert_chain(certificate)
    return context


async def _send(
    address: str, class_name: str, fields: dict[str, str], context: ssl.SSLContext | None
) -> tuple[int, bytes, bytes]:
    """Sends the request; returns the status, the head and the body of the answer."""
    host, _, port = address.rpartition(":")
    client = await connect((host, int(port)), context)
    client.send(1, class_name, fields)
    async with asyncio.timeout(TIMEOUT_S):
        _, status, head, body = await client.read_answer()
    return status, head, body
