"""How a measurement ends: its JSON line, and an exit code that CI can act on."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any

HOLDS, FAILS, BUSY = 0, 1, 2


def verdict(found: dict[str, Any], of_time: Iterable[str] = (), busy: str = "") -> int:
    """Prints `found`, with `claims` by name, as one JSON object; returns the exit code.

    1 where a claim fails that counts things, or any in a whole run. 2 where `busy` says why the machine could
    not tell, or where only claims `of_time` fail in the quick form, which a busy machine can cause: `.ci/run`
    makes that measurement again, twice at most.
    """
    claims = found.get("claims", {})
    failed = [name for name, holds in claims.items() if not holds]
    found["holds"] = found.get("holds", True) and not failed and not busy
    print(json.dumps(found))
    if busy:
        print(f"too busy to tell: {busy}", file=sys.stderr)
        return BUSY
    if found["holds"]:
        return HOLDS
    if found.get("quick") and failed and set(failed) <= set(of_time):
        print(f"only claims of time fail, a busy machine could do that: {', '.join(failed)}", file=sys.stderr)
        return BUSY
    print(f"fails: {', '.join(failed) or 'see the line above'}", file=sys.stderr)
    return FAILS
