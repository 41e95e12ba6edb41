"""Why a caller's request is not admitted, as the answer to it will say."""

from __future__ import annotations

from typing import NamedTuple

UNAUTHORIZED, FORBIDDEN, TOO_MANY_REQUESTS, UNAVAILABLE = 401, 403, 429, 503


class Rejection(NamedTuple):
    """An HTTP status, the short reason that the answer's `X-Refusal` field gives, and how long to stay away
    (microseconds; 0: not said)."""

    status: int
    reason: str
    retry_after_us: int = 0
