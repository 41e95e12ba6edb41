"""How commands end that can't use what they were given."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

UNUSABLE_INPUT = 2  # exit code


def fail(message: str) -> NoReturn:
    """What was given can't be used: a line on standard error, exit code 2."""
    click.echo(f"hoistplank: {message}", err=True)
    sys.exit(UNUSABLE_INPUT)
