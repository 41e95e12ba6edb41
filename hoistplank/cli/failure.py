"""Exit of commands on unusable input."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

UNUSABLE_INPUT = 2  # exit code


def fail(message: str) -> NoReturn:
    """Prints the message on standard error and exits with code 2, for input that can't be used."""
    click.echo(f"hoistplank: {message}", err=True)
    sys.exit(UNUSABLE_INPUT)
