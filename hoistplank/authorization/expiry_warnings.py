"""Warns before certificates and revocation lists expire, while there is time to renew them."""

from __future__ import annotations

import structlog

from hoistplank.authorization import certificates
from hoistplank.authorization.certificates import TlsState

log = structlog.get_logger()

INTERVAL_US = 60_000_000  # between two warnings
LIST_NOTICE_US = 3_600_000_000
CERTIFICATE_NOTICE_US = 86_400_000_000


class ExpiryWarnings:
    """Logs a warning each minute, from the notice time before expiry on."""

    def __init__(self) -> None:
        self._warned_us = 0

    def check(self, state: TlsState | None, now: int) -> None:
        """Warns if a certificate or revocation list has expired or expires soon."""
        if state is None or now - self._warned_us <= INTERVAL_US:
            return
        self._warn("revocation list", state.revocation_lists.next_update_us, LIST_NOTICE_US, now)
        self._warn("server certificate", state.certificate_expires_us, CERTIFICATE_NOTICE_US, now)

    def _warn(self, what: str, expires_us: int, notice_us: int, now: int) -> None:
        if expires_us and now > expires_us - notice_us:
            self._warned_us = now
            until = certificates.format_time(expires_us)
            log.warning(
                "credential expires soon or has expired", what=what, until=until, expired=now >= expires_us
            )
