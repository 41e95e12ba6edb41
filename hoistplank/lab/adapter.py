"""Runs a policy of the lab as an adapter of the simulator: `python -m hoistplank.lab.adapter POLICY`.

Used only to check that the lab ranks policies as the simulator does (`docs/lab.md`).
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
    """Runs the policy named on the command line over standard input and output."""
    try:
        factory: Any = policy(sys.argv[1] if len(sys.argv) > 1 else "module")
    except UnknownPolicyError as error:
        print(f"adapter: {error}", file=sys.stderr)
        return 2

    def make(settings: RouterSettings, seed: int) -> Router:
        return cast(Router, factory(settings, seed, None))

    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    for reply in Hosting(make).process(source):
        sys.stdout.write(reply if reply.endswith("\n") else reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
