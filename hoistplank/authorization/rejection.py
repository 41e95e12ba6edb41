"""The reason a caller's request is not admitted, as it is returned to the caller."""

from __future__ import annotations

from typing import NamedTuple

UNAUTHORIZED, FORBIDDEN, TOO_MANY_REQUESTS, UNAVAILABLE = 401, 403, 429, 503


class Rejection(NamedTuple):
    """The HTTP status, the short reason for the `X-Refusal` field, and the time before a retry (microseconds;
    0: none given)."""

    status: int
    reason: str
    retry_after_us: int = 0
