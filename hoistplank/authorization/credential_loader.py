"""Loads the key sets, revocations and certificates that the operator file names, and watches them for
changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import structlog

from hoistplank.authorization import certificates
from hoistplank.authorization.authenticator import Authenticator
from hoistplank.authorization.certificates import TlsState
from hoistplank.authorization.credential_sources import Apply, CredentialSource, Scan
from hoistplank.authorization.errors import AuthorizationError
from hoistplank.authorization.key_set_files import load_key_set
from hoistplank.authorization.key_sets import KeySet
from hoistplank.authorization.revocation_files import load_revocations
from hoistplank.authorization.revocations import Revocation
from hoistplank.authorization.settings import (
    AuthorizationSettings,
    IssuerSettings,
    RevocationFileSettings,
    TlsSettings,
)
from hoistplank.authorization.tls_connections import TlsConnections
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.routing.clock import Clock

log = structlog.get_logger()

# Names of the sources of revocations, also in messages.
REVOCATION_FILE, REVOCATION_LIST = "file", "revocation list"


class CredentialLoader:
    """Holds the credential sources of one generation of settings and applies their contents.

    `on_change` is called after `poll` has applied a change of revocations or certificates.
    """

    def __init__(
        self,
        settings: AuthorizationSettings,
        authenticator: Authenticator,
        tls: TlsConnections,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.authenticator, self.tls = authenticator, tls
        self.clock, self.on_change = clock, on_change
        self.polling = (
            False  # False while the program starts: changes are then neither logged nor reported to on_change
        )
        self.use_settings(settings)

    def use_settings(self, settings: AuthorizationSettings) -> None:
        """Replaces the sources by those of other settings, without reading them."""
        key_sets = {issuer.name: self._key_set_source(issuer) for issuer in settings.issuers}
        sources = list(key_sets.values())
        if settings.revocation_file is not None:
            sources.append(self._revocation_source(settings.revocation_file))
        if settings.tls is not None:
            sources.append(self._certificate_source(settings.tls))
        self.sources, self._key_set_sources = sources, key_sets

    def load_all(self, now: int) -> None:
        """Loads all sources at the start; raises ConfigurationError for those that can't be used."""
        diagnostics = []
        for source in self.sources:
            try:
                source.load(now)
            except AuthorizationError as error:
                diagnostics.append(Diagnostic(source.location, str(error), f"usable {source.name}"))
        if diagnostics:
            raise ConfigurationError(diagnostics)

    async def poll(self) -> None:
        """Checks all sources once and applies those that changed.

        The files are read in a thread, so that a file system that hangs delays no request; a file that can't
        be read costs only a log line.
        """
        began_us = self.clock.now()
        sources = list(self.sources)
        scans = await asyncio.to_thread(_scan_all, sources)
        for source, scan in zip(sources, scans, strict=True):
            if source in self.sources:  # a reload may have replaced it meanwhile
                self._accept(source, scan, began_us)
        self._record_reading(began_us)

    def _accept(self, source: CredentialSource, scan: Scan, read_us: int) -> None:
        error = source.accept(scan, read_us)
        if error is not None:
            # Previous contents stay in force: without them, a file that is half written, missing or of
            # another kind would leave every caller unknown.
            log.error(
                "credential file can't be used, previous contents stay in force",
                what=source.name,
                wrong=str(error),
            )

    def _record_reading(self, read_us: int) -> None:
        """Sets the read time of all usable key sets, changed or not: a key that was requested before and is
        still missing is then unknown for certain."""
        issuers = {}
        for name, issuer in self.authenticator.issuers.items():
            source = self._key_set_sources.get(name)
            usable = source is not None and not source.failed
            issuers[name] = issuer.with_read_time(read_us) if usable else issuer
        self.authenticator.replace_issuers(issuers)

    def _key_set_source(self, issuer: IssuerSettings) -> CredentialSource:
        path, name = issuer.key_set_file, issuer.name

        def read() -> Apply:
            return partial(self._apply_key_set, name, load_key_set(path))

        return CredentialSource(f"keys of {name}", issuer.location, (path,), read)

    def _apply_key_set(self, name: str, key_set: KeySet, read_us: int) -> None:
        issuer = self.authenticator.issuers[name]
        renewed = issuer.with_key_set(key_set, read_us)
        self.authenticator.replace_issuers(self.authenticator.issuers | {name: renewed})
        if self.polling and renewed.generation != issuer.generation:
            log.info(
                "key set replaced", issuer=name, generation=renewed.generation, keys=sorted(renewed.keys)
            )

    def _revocation_source(self, file: RevocationFileSettings) -> CredentialSource:
        def read() -> Apply:
            return partial(self._apply_revocations, load_revocations(file.path))

        return CredentialSource("revocations", file.location, (file.path,), read)

    def _apply_revocations(self, revocations: list[Revocation], read_us: int) -> None:
        in_force = self.authenticator.revocations
        before = in_force.generation
        in_force.replace(REVOCATION_FILE, revocations, read_us)
        if self.polling and in_force.generation != before:
            log.info("revocation file applied", generation=in_force.generation, rows=len(revocations))
            self.on_change()

    def _certificate_source(self, tls: TlsSettings) -> CredentialSource:
        def read() -> Apply:
            return partial(self._apply_certificates, certificates.load_tls(tls.files, self.clock.now()))

        return CredentialSource("certificates", tls.location, tls.files.paths(), read)

    def _apply_certificates(self, state: TlsState, read_us: int) -> None:
        self.tls.state = state
        lists, in_force = state.revocation_lists, self.authenticator.revocations
        in_force.replace(REVOCATION_LIST, list(lists.revocations), read_us)
        if not self.polling:
            return
        words = {"until": certificates.format_time(state.certificate_expires_us)}
        if lists.next_update_us:
            words["crl_until"] = certificates.format_time(lists.next_update_us)
        log.info(
            "certificates and revocation lists applied",
            revoked=len(lists.revocations),
            generation=in_force.generation,
            **words,
        )
        self.on_change()


def _scan_all(sources: list[CredentialSource]) -> list[Scan]:
    return [source.scan() for source in sources]
