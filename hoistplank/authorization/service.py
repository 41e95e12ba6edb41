"""Runs authorization in a dispatcher: admits requests, watches the credential files, and runs the TLS
listener and the admin server in addition to the plain listener."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol

import structlog

from hoistplank.authorization.authorizer import Authorizer, ClassRules
from hoistplank.authorization.credential_files import CredentialFileError
from hoistplank.authorization.credential_loader import REVOCATION_FILE, REVOCATION_LIST, CredentialLoader
from hoistplank.authorization.expiry_warnings import ExpiryWarnings
from hoistplank.authorization.fair_share import open_limit
from hoistplank.authorization.identity import Caller, CertificateIdentity, Credentials
from hoistplank.authorization.key_sets import Issuer
from hoistplank.authorization.permissions import BOOK, READ
from hoistplank.authorization.policy_compiler import compile_settings
from hoistplank.authorization.rejection import Rejection
from hoistplank.authorization.revocation_files import append_revocation
from hoistplank.authorization.revocations import Revocation
from hoistplank.authorization.settings import AdminSettings, AuthorizationSettings, TlsSettings
from hoistplank.authorization.tls_connections import TlsConnections
from hoistplank.authorization.tls_listener import ANONYMOUS_PREFIX, HandshakeCounts, TlsListener
from hoistplank.decision.settings import IDEMPOTENT, RouterSettings
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.schema import Section
from hoistplank.routing.attempts import Request
from hoistplank.routing.clock import Clock, WallClock
from hoistplank.routing.frontend import Frontend
from hoistplank.routing.response import RequestRefusal
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.descriptor_budget import DescriptorBudget

log = structlog.get_logger()

ListenerSettings = TlsSettings | AdminSettings

ADMIN_SERVER = "control front"  # name of the source of revocations that operators make on the admin server
# The files are read again at least this often, so that a new key is known when a client retries a token that
# was signed with it (`authenticator.UNKNOWN_KEY_RETRY_US`).
MAX_POLL_INTERVAL_S = 0.25


class Dispatcher(Protocol):
    """The part of the program that the service uses."""

    router_task: RouterTask
    frontend: Frontend
    descriptors: DescriptorBudget


def _class_rules(site: RouterSettings) -> dict[str, ClassRules]:
    return {
        row.name: ClassRules(
            right=READ if row.semantics == IDEMPOTENT else BOOK,
            key_hold_us=row.deadline_us + row.deduplication_window_us,
        )
        for row in site.traffic_classes
    }


def _listeners(
    before: AuthorizationSettings, after: AuthorizationSettings
) -> tuple[tuple[str, ListenerSettings | None, ListenerSettings | None], ...]:
    """Returns the listener forms in two generations; a listener can't be added, removed or moved while the
    program runs."""
    return ("tls", before.tls, after.tls), ("control", before.admin, after.admin)


def _issuers(settings: AuthorizationSettings) -> dict[str, Issuer]:
    """Returns the issuers by name, without their keys."""
    return {issuer.name: Issuer(issuer.name, issuer.audience) for issuer in settings.issuers}


class AuthorizationService:
    """The authorization service of a dispatcher. Raises ConfigurationError if the files that the section
    names can't be used."""

    def __init__(self, section: Section, file: str, site: RouterSettings, clock: Clock | None = None) -> None:
        self.file, self.site, self.clock = file, site, clock or WallClock()
        self.generation = 1
        # Paths in the operator file are relative to its folder.
        self.settings = compile_settings(section, Path(file).parent, self.generation)
        self.dispatcher: Dispatcher | None = None
        self.tls_listener: TlsListener | None = None
        self._class_rules = _class_rules(site)
        self._expiry_warnings = ExpiryWarnings()
        now = self.clock.now()
        settings = self.settings
        self.authorizer = Authorizer(settings.tenants, _issuers(settings), settings.policy, now)
        self.tls = TlsConnections(settings.tls, self.authorizer, self.clock)
        self.loader = CredentialLoader(
            settings, self.authorizer.authenticator, self.tls, self.clock, self.disconnect_revoked
        )
        self.loader.load_all(now)

    # Requests.

    def admit(
        self, identity: Any, fields: dict[str, str], request: Request, peer: str
    ) -> RequestRefusal | None:
        """Counts a request as open and sets its caller, or returns why it is not admitted."""
        router_task, authorizer = self.router_task, self.authorizer
        # REMOTE_ADDR is trusted from a web server, but not from a TLS client without a certificate.
        source = peer if peer.startswith(ANONYMOUS_PREFIX) else fields.get("REMOTE_ADDR") or peer
        outcome = authorizer.admit(
            router_task.clock.now(),
            Credentials(identity, fields.get("HTTP_AUTHORIZATION", ""), source),
            request,
            self._class_rules[request.class_name],
            open_limit(
                router_task.admission.max_open_requests(request.class_name),
                authorizer.limiter.total_open,
                router_task.lag_us,
            ),
        )
        if isinstance(outcome, Rejection):
            return RequestRefusal(outcome.status, outcome.reason, outcome.retry_after_us)
        request.caller = outcome
        return None

    def ended(self, request: Request) -> None:
        """Releases a request that has ended, if it was admitted."""
        if isinstance(request.caller, Caller):
            self.authorizer.release(request.caller)

    # Tasks.

    def attach(self, dispatcher: Dispatcher) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Returns the tasks to run in addition to the program's own, by name; starts to listen at once."""
        self.dispatcher, self.router_task = dispatcher, dispatcher.router_task
        self.loader.polling = True
        parts: list[tuple[str, Coroutine[Any, Any, None]]] = [("callers' files", self._watch_files())]
        if self.settings.tls is not None:
            self.tls_listener = TlsListener(
                self.settings.tls, self.tls, dispatcher.frontend, dispatcher.descriptors
            )
            parts += self.tls_listener.parts()
        if self.settings.admin is not None:
            from hoistplank.authorization.admin_server import AdminServer

            self.authorizer.records_groups = True
            self.admin_server = AdminServer(self, self.settings.admin, dispatcher)
            parts += self.admin_server.parts()
        self._log_state()
        return parts

    async def _watch_files(self) -> None:
        while True:
            await asyncio.sleep(min(MAX_POLL_INTERVAL_S, self.settings.poll_interval_s))
            await self.loader.poll()
            self._expiry_warnings.check(self.tls.state, self.clock.now())

    def _log_state(self) -> None:
        authenticator = self.authorizer.authenticator
        log.info(
            "authorization settings in force",
            generation=self.generation,
            tenants=len(authenticator.tenants.by_name),
            keys={name: issuer.generation for name, issuer in authenticator.issuers.items()},
            revocations=authenticator.revocations.generation,
        )

    @property
    def handshakes(self) -> HandshakeCounts:
        """Outcomes of handshakes of the TLS listener."""
        return self.tls_listener.counts if self.tls_listener is not None else HandshakeCounts()

    def close(self) -> None:
        """Closes connections whose handshake is not complete."""
        if self.tls_listener is not None:
            self.tls_listener.close()

    # Reload.

    def prepare_reload(self, section: Section) -> Callable[[], None]:
        """Reads and checks everything that another section names; raises ConfigurationError. Returns a
        function that puts it in force at once."""
        fresh_settings = compile_settings(section, Path(self.file).parent, self.generation)
        for form, before, after in _listeners(self.settings, fresh_settings):
            # The running tasks of a listener need its settings, which must not disappear.
            if (before is None) != (after is None):
                found = f"'({form} …)' added or removed while the program runs"
                location = section.location_of(form)
                raise ConfigurationError(
                    [Diagnostic(location, found, "the form present or absent as at the start")]
                )
        fresh = AuthorizationService(section, self.file, self.site, self.clock)
        return lambda: self._take_over(section, fresh)

    def _take_over(self, section: Section, fresh: AuthorizationService) -> None:
        now = self.clock.now()
        self.generation += 1
        before = self.settings
        settings = compile_settings(section, Path(self.file).parent, self.generation)
        for form, old, new in _listeners(before, settings):
            if old is not None and new is not None and old.listen != new.listen:
                log.warning("changed setting ignored until restart", key=f"callers {form} listen")
        self.settings, self.tls.settings = settings, settings.tls
        if self.tls_listener is not None and settings.tls is not None:
            self.tls_listener.settings = settings.tls
        self.loader.use_settings(settings)
        for source, read in zip(self.loader.sources, fresh.loader.sources, strict=True):
            source.last_seen = read.last_seen
        self.authorizer.configure(settings.tenants, settings.policy, now)
        self._take_over_credentials(fresh, now)
        self._log_state()
        self.disconnect_revoked()

    def _take_over_credentials(self, fresh: AuthorizationService, now: int) -> None:
        current, read = self.authorizer.authenticator, fresh.authorizer.authenticator
        issuers = {}
        for name, issuer in read.issuers.items():
            known = current.issuers.get(name)
            # An unchanged key stays the same object, so tokens that it verified stay in the token cache.
            issuers[name] = (
                issuer if known is None else known.with_key_set(issuer.key_set, now, issuer.audience)
            )
        current.replace_issuers(issuers)
        current.revocations.copy_source(REVOCATION_FILE, read.revocations)
        current.revocations.copy_source(REVOCATION_LIST, read.revocations)
        self.tls.state = fresh.tls.state

    # Revocation.

    def disconnect_revoked(self) -> None:
        """Closes connections whose certificate is no longer accepted, once their open requests are
        answered."""
        if self.dispatcher is None:
            return
        for session in list(self.dispatcher.frontend.sessions):
            identity = session.identity
            if not isinstance(identity, CertificateIdentity) or session.is_closing:
                continue
            if self.authorizer.check_certificate(identity) is not None:
                session.close_when_idle()
        if self.settings.admin is not None:
            self.admin_server.disconnect_revoked()

    def revoke(self, revocation: Revocation) -> None:
        """Puts a revocation of the admin server in force at once. Raises InvalidRevocationError if there are
        too many."""
        in_force = self.authorizer.authenticator.revocations
        in_force.add(ADMIN_SERVER, revocation)
        log.info(
            "revocation in force",
            kind=revocation.kind,
            value=revocation.value,
            generation=in_force.generation,
        )
        self.disconnect_revoked()

    async def persist(self, revocation: Revocation) -> str:
        """Appends a revocation to the revocation file, for all dispatchers that read it; returns the reason
        of a failure, or an empty string."""
        file = self.settings.revocation_file
        if file is None:
            return "no revocation file is configured: the revocation is lost when this process ends"
        try:
            await asyncio.to_thread(append_revocation, file.path, revocation)
        except CredentialFileError as error:
            log.error("revocation can't be written to file", wrong=str(error))  # noqa: TRY400 (the text suffices)
            return "the revocation file can't be written: the revocation is lost when this process ends"
        return ""
