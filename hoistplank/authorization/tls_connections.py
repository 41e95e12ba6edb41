"""TLS connections whose client certificates are checked against the revocations."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from hoistplank.authorization import certificates
from hoistplank.authorization.authorizer import Authorizer
from hoistplank.authorization.certificates import CertificateRejectedError, TlsState
from hoistplank.authorization.identity import CertificateIdentity
from hoistplank.authorization.settings import TlsSettings
from hoistplank.routing.client_session import ConnectionFactory
from hoistplank.routing.clock import Clock
from hoistplank.transport.tls import TlsConnection

OnVerified = Callable[[CertificateIdentity | None], None]
OnRejected = Callable[[], None]


class TlsConnections:
    """Creates connections with the TLS state in force. `settings` is None if there is no TLS listener."""

    def __init__(self, settings: TlsSettings | None, authorizer: Authorizer, clock: Clock) -> None:
        self.settings, self.authorizer, self.clock = settings, authorizer, clock
        self.state: TlsState | None = None

    def factory(self, on_verified: OnVerified, on_rejected: OnRejected) -> ConnectionFactory:
        """Returns a factory of connections that call `on_verified` with the client's identity after the
        handshake (None: no certificate was presented), or `on_rejected` if the certificate is not
        accepted."""
        assert self.state is not None

        def handshake_done(der: bytes | None) -> None:
            try:
                on_verified(self._identity(der))
            except CertificateRejectedError:
                on_rejected()
                raise

        return partial(TlsConnection, context=self.state.context, on_handshake=handshake_done)

    def _identity(self, der: bytes | None) -> CertificateIdentity | None:
        """Returns the identity of a certificate whose chain was verified; raises CertificateRejectedError if
        the certificate is not accepted."""
        if der is None:
            return None
        assert self.state is not None and self.settings is not None
        expires_us = self.state.revocation_lists.next_update_us
        expired = bool(expires_us) and self.clock.now() >= expires_us
        if expired and self.settings.rejects_when_list_expired:
            # Certificates that were revoked after the list's next update would not be known.
            raise CertificateRejectedError("the revocation list has expired")
        identity = certificates.identity_of(der)
        rejection = self.authorizer.check_certificate(identity)
        if rejection is not None:
            raise CertificateRejectedError(rejection.reason)
        return identity
