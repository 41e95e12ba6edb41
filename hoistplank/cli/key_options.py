"""Options and functions shared by the commands on keys and tokens."""

from __future__ import annotations

import time
from pathlib import Path

import click

RING_OPTION = click.option(
    "--ring",
    "folder",
    type=click.Path(path_type=Path),
    default=Path("ring"),
    show_default=True,
    help="Folder of the key ring.",
)


def now_us() -> int:
    """Returns the Unix time in microseconds."""
    return time.time_ns() // 1_000
