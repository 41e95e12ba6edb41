"""Runs router instances for the simulator, on standard input and output."""

from __future__ import annotations

import io
import sys

from hoistplank.benchlink.hosting import Hosting
from hoistplank.wire_fields import FieldError


def main() -> int:
    """Runs until the input ends; returns 2 if it can't be read, 1 if the output was closed."""
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    try:
        for reply in Hosting().process(source):
            sys.stdout.write(reply + "\n" if not reply.endswith("\n") else reply)
            sys.stdout.flush()
    except (FieldError, UnicodeDecodeError) as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
