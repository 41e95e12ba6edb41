"""A policy of the lab on the simulator's wire: `python -m hoistplank.lab.adapter POLICY`.

For one question only: whether the lab ranks policies as the bench does (`docs/lab.md`).
"""

from __future__ import annotations

import io
import sys
from typing import Any, cast

from hoistplank.benchlink.hosting import Hosting
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.lab.policies import policy
from hoistplank.lab.policy import UnknownPolicyError


def main() -> int:
    """Play the policy of the command line on standard input and output."""
    try:
        made: Any = policy(sys.argv[1] if len(sys.argv) > 1 else "module")
    except UnknownPolicyError as error:
        print(f"adapter: {error}", file=sys.stderr)
        return 2

    def make(site: RouterSettings, seed: int) -> Router:
        return cast(Router, made(site, seed, None))

    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    for reply in Hosting(make).process(source):
        sys.stdout.write(reply if reply.endswith("\n") else reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
