"""What the commands on keys and tokens have in common."""

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
    help="The folder with the ring.",
)


def now_us() -> int:
    """The time, in microseconds of the Unix clock."""
    return time.time_ns() // 1_000
