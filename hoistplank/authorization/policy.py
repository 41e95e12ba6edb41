"""The settings of `(callers …)` that authentication uses."""

from __future__ import annotations

from dataclasses import dataclass

ANONYMOUS_TENANT = "anyone"  # name in the operator file of the tenant of callers without credentials


@dataclass(frozen=True, slots=True)
class AuthenticationPolicy:
    """Authentication settings of the operator file; times in microseconds, rates per second."""

    allow_anonymous: bool = False
    clock_skew_us: int = 30_000_000
    max_lifetime_us: int = 86_400_000_000
    max_token_bytes: int = 4_096
    token_cache_size: int = 20_000
    signature_checks: float = 600.0
    signature_checks_per_source: float = 60.0
