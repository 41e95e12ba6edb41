"""Runs the checks of callers in a dispatcher: reads and watches the files that they need, and serves the TLS
listener and the control front beside the plain listener."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Protocol

import structlog

from hoistplank.authorization import certificates, keyfiles, policy_compiler
from hoistplank.authorization.authorizer import Caller, Gate, Identity, Refusal
from hoistplank.authorization.keyfiles import BadFile
from hoistplank.authorization.limits import room
from hoistplank.authorization.revocations import BadRevocation, Revocation
from hoistplank.authorization.token_cache import Issuer, KeySet
from hoistplank.decision.settings import IDEMPOTENT, RouterSettings
from hoistplank.operator_configuration.faults import Fault, Faults
from hoistplank.operator_configuration.schema import Section
from hoistplank.routing.attempts import Request
from hoistplank.routing.client_session import ClientSession, ConnectionFactory
from hoistplank.routing.clock import Clock
from hoistplank.routing.frontend import Frontend
from hoistplank.routing.response import RequestRefusal
from hoistplank.routing.router_task import Owner
from hoistplank.transport.descriptor_budget import DescriptorBudget
from hoistplank.transport.listener import Listener
from hoistplank.transport.tls import TlsConnection

log = structlog.get_logger()

FILE, CRL, FRONT = "file", "revocation list", "control front"  # the sources of revocations
UNKNOWN = "tls "  # before the address of one who showed no certificate
WARN_EVERY_US = 60_000_000
ASK_EVERY_S = 0.25  # for key sets, however many tokens name keys that are not known


class Host(Protocol):
    """What the service uses of the program that it is part of."""

    owner: Owner
    frontend: Frontend
    descriptors: DescriptorBudget


@dataclass(slots=True, eq=False)
class Source:
    """Files that are read together, what reads them, and what takes up what was read."""

    name: str
    paths: tuple[Path, ...]
    load: Callable[[], Any]
    take: Callable[[Any, int], None]
    seen: tuple[Any, ...] = ()
    bad: bool = False  # what stands there now could not be used

    def stamp(self) -> tuple[Any, ...]:
        """What changes when a file does: a whole write makes a new inode even within one tick of its
        clock."""
        out: list[Any] = []
        for path in self.paths:
            try:
                told = os.stat(path)
                out.append((told.st_mtime_ns, told.st_size, told.st_ino, told.st_mode))
            except OSError as wrong:
                out.append(wrong.errno)
        return tuple(out)


class CallersService:
    """One for the program. Raises Faults where the files that the section names can't be used."""

    def __init__(self, section: Section, file: str, site: RouterSettings, clock: Clock | None = None) -> None:
        self.section, self.file, self.site, self.clock = section, file, site, clock or Clock()
        self.folder = Path(file).parent  # the files that it names stand beside it
        self.windows = {
            row.name: row.deadline_us + row.deduplication_window_us for row in site.traffic_classes
        }
        self.books = {row.name for row in site.traffic_classes if row.semantics != IDEMPOTENT}
        self.generation = 1
        self.host: Host | None = None
        now = self.clock.now()
        self.gate = Gate(
            policy_compiler.tenants(section, 1),
            self._issuers(section),
            policy_compiler.terms(section),
            now,
            self._ask,
        )
        self.tls: certificates.Tls | None = None
        self.shaking: dict[ClientSession, float] = {}
        self.handshakes = {"done": 0, "failed": 0, "given up": 0, "refused": 0}
        self._asked, self._warned_at = asyncio.Event(), 0
        self.sources = self._sources(section)
        faults: list[Fault] = []
        for source in self.sources:
            try:
                source.seen = source.stamp()
                source.take(source.load(), now)
            except (BadFile, BadRevocation) as wrong:
                faults.append(self._fault(section, source, wrong))
        if faults:
            raise Faults(faults)

    def _path(self, text: str) -> Path:
        return self.folder / text

    @staticmethod
    def _issuers(section: Section) -> dict[str, Issuer]:
        return {row.title: Issuer(row.title, row["audience"]) for row in section["tokens"]["issuer"]}

    @staticmethod
    def _fault(section: Section, source: Source, wrong: Exception) -> Fault:
        kind, _, title = source.name.partition(" of ")
        place = section.at("tls" if kind == "certificates" else "revoked")
        for row in section["tokens"]["issuer"]:
            if kind == "keys" and row.title == title:
                place = row.at("keys")
        return Fault(place, str(wrong), f"{source.name} that can be used")

    def _sources(self, section: Section) -> list[Source]:
        found = []
        for row in section["tokens"]["issuer"]:
            path = self._path(row["keys"])
            found.append(
                Source(
                    f"keys of {row.title}", (path,), partial(_keys, path), partial(self._take_keys, row.title)
                )
            )
        if section["revoked"] is not None:
            path = self._path(section["revoked"])
            found.append(Source("revocations", (path,), partial(_revoked, path), self._take_revoked))
        tls = section["tls"]
        if tls is not None:
            chain, key = self._path(tls["certificate"]), self._path(tls["key"])
            ca = self._path(tls["client-ca"]) if tls["client-ca"] else None
            crl = self._path(tls["crl"]) if tls["crl"] else None
            load = partial(
                self._load_tls, chain, key, ca, tls["require-certificate"] == "yes", tls["oldest"], crl
            )
            paths = tuple(path for path in (chain, key, ca, crl) if path is not None)
            found.append(Source("certificates", paths, load, self._take_tls))
        return found

    def _load_tls(
        self, chain: Path, key: Path, ca: Path | None, required: bool, oldest: str, crl: Path | None
    ) -> certificates.Tls:
        return certificates.server(chain, key, ca, required, oldest, crl, self.clock.now())

    # What was read is taken up, on the loop.

    def _take_keys(self, name: str, found: KeySet, read_us: int) -> None:
        issuer = self.gate.issuers[name]
        renewed = issuer.renewed(found, read_us)
        self.gate.renew_issuers(self.gate.issuers | {name: renewed})
        if self.host is not None and renewed.generation != issuer.generation:
            log.info("key set", issuer=name, generation=renewed.generation, keys=sorted(renewed.keys))

    def _take_revoked(self, rows: list[Revocation], read_us: int) -> None:
        before = self.gate.revoked.generation
        self.gate.revoked.renew(FILE, rows, read_us)
        if self.host is not None and self.gate.revoked.generation != before:
            log.info("revocations", generation=self.gate.revoked.generation, rows=len(rows))
            self.strike()

    def _take_tls(self, tls: certificates.Tls, read_us: int) -> None:
        self.tls = tls
        self.gate.revoked.renew(CRL, list(tls.crl_rows), read_us)
        if self.host is None:
            return
        log.info(
            "certificates",
            until=certificates.until_text(tls.server_until_us),
            revoked=len(tls.crl_rows),
            generation=self.gate.revoked.generation,
            **({"crl_until": certificates.until_text(tls.crl_until_us)} if tls.crl_until_us else {}),
        )
        self.strike()

    # The files, while the program runs.

    def _ask(self) -> None:
        """A token names a key that is not known: the key sets are looked at soon."""
        self._asked.set()

    async def _watch(self) -> None:
        """Danger: a folder that hangs or is full of faults must cost a log line, never a request: a thread
        looks."""
        while True:
            await asyncio.sleep(min(ASK_EVERY_S, self.section["look-every"] / 1e6))
            self._asked.clear()
            began = self.clock.now()
            looked = await asyncio.to_thread(_look, self.sources)
            for source, stamp, found in looked:
                self._apply(source, stamp, found, began)
            # Read or unchanged, it was looked at: a key that is still not in it is unknown.
            ok = {source.name for source in self.sources if not source.bad}
            self.gate.renew_issuers(
                {
                    name: issuer.looked_at(began) if f"keys of {name}" in ok else issuer
                    for name, issuer in self.gate.issuers.items()
                }
            )
            self._sweep(began)

    def _apply(self, source: Source, stamp: tuple[Any, ...], found: Any, read_us: int) -> None:
        if source not in self.sources or stamp == source.seen:
            return
        source.seen, source.bad = stamp, False
        if not isinstance(found, Exception):
            try:
                source.take(found, read_us)
                return
            except BadRevocation as wrong:
                found = wrong
        # Danger: a key file that is half written, gone or of another kind would leave nobody known.
        source.bad = True
        log.error("can't be used, what is in force stays", what=source.name, wrong=str(found))

    def _sweep(self, now: int) -> None:
        """What time alone brings: what runs out is told while there is time to mend it."""
        if self.tls is None or now - self._warned_at <= WARN_EVERY_US:
            return
        ends = {
            "revocation list": (self.tls.crl_until_us, 3_600),
            "server certificate": (self.tls.server_until_us, 86_400),
        }
        for what, (until, ahead_s) in ends.items():
            if until and now > until - ahead_s * 1_000_000:
                self._warned_at = now
                log.warning("runs out", what=what, until=certificates.until_text(until), expired=now >= until)

    def prepared(self, section: Section) -> Callable[[], None]:
        """All that another section names, read and checked; raises Faults; what is returned takes it up at
        once."""
        for form in ("tls", "control"):
            # Danger: parts that serve a listener would find its figures gone.
            if (self.section[form] is None) != (section[form] is None):
                found = f"'({form} …)' that comes or goes while the program runs"
                raise Faults([Fault(section.at(form), found, "it as it was at the start")])
        fresh = CallersService(section, self.file, self.site, self.clock)

        def take() -> None:
            now = self.clock.now()
            self.generation += 1
            for form in ("tls", "control"):
                old, new = self.section[form], section[form]
                if (old and old["listen"]) != (new and new["listen"]):
                    log.warning("can't change while running", key=f"callers {form} listen")
            issuers = {}
            for name, issuer in fresh.gate.issuers.items():
                held = self.gate.issuers.get(name)
                issuers[name] = issuer if held is None else held.renewed(issuer.held, now, issuer.audience)
            self.section, self.sources = section, self._sources(section)
            for source, read in zip(self.sources, fresh.sources, strict=True):
                source.seen = read.seen
            self.gate.renew(
                policy_compiler.tenants(section, self.generation), policy_compiler.terms(section), now
            )
            self.gate.renew_issuers(issuers)
            self.gate.revoked.replace(FILE, fresh.gate.revoked)
            self.gate.revoked.replace(CRL, fresh.gate.revoked)
            self.tls = fresh.tls
            log.info(
                "callers",
                generation=self.generation,
                tenants=len(self.gate.tenants.rows),
                keys={name: issuer.generation for name, issuer in issuers.items()},
                revocations=self.gate.revoked.generation,
            )
            self.strike()

        return take

    # Requests.

    def admit(
        self, identity: Any, fields: dict[str, str], request: Request, peer: str
    ) -> RequestRefusal | None:
        owner = self.owner
        # A web server's word for where a caller is counts; that of one who only speaks TLS does not.
        source = peer if peer.startswith(UNKNOWN) else fields.get("REMOTE_ADDR") or peer
        found = self.gate.admit(
            owner.clock.now(),
            identity,
            fields.get("HTTP_AUTHORIZATION", ""),
            source,
            request,
            request.class_name in self.books,
            self.windows[request.class_name],
            room(owner.cap(request.class_name), self.gate.accounts.total, owner.lag_us),
        )
        if isinstance(found, Refusal):
            return RequestRefusal(found.status, found.cause, found.wait_us)
        request.caller = found
        return None

    def ended(self, request: Request) -> None:
        caller = request.caller
        if isinstance(caller, Caller):
            self.gate.accounts.give(caller.tenant.name)

    # TLS.

    def attach(self, host: Host) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """The parts to run beside the program's own; listens at once."""
        self.host, self.owner = host, host.owner
        parts: list[tuple[str, Coroutine[Any, Any, None]]] = [("callers' files", self._watch())]
        if self.section["tls"] is not None:
            self.listener = Listener(self.section["tls"]["listen"], host.descriptors, self._greet)
            parts += [("tls listener", self.listener.run()), ("handshakes", self._handshakes())]
        if self.section["control"] is not None:
            from hoistplank.authorization.admin_server import Control

            self.gate.keeps_things = True
            self.control = Control(self, self.section["control"], host)
            parts += self.control.parts()
        log.info(
            "callers",
            generation=self.generation,
            tenants=len(self.gate.tenants.rows),
            keys={name: issuer.generation for name, issuer in self.gate.issuers.items()},
            revocations=self.gate.revoked.generation,
        )
        return parts

    def secured(
        self, sock: socket.socket, told: Callable[[Identity | None], None], failed: Callable[[], None]
    ) -> ConnectionFactory:
        """Makes a connection with TLS that tells who is there, once its handshake has proven it."""
        assert self.tls is not None
        context = self.tls.context

        def shaken(der: bytes | None) -> None:
            try:
                told(self._identity(der))
            except BadFile:
                failed()
                raise

        return partial(TlsConnection, context=context, on_handshake=shaken)

    def _identity(self, der: bytes | None) -> Identity | None:
        """Raises BadFile where a certificate does not stand, though its chain does."""
        if der is None:
            return None
        until = self.tls.crl_until_us if self.tls is not None else 0
        if until and self.clock.now() >= until and self.section["tls"]["expired-crl"] == "refuse":
            # Danger: nobody says any more which certificates were revoked since.
            raise BadFile("the revocation list has expired")
        found = certificates.identity(der)
        refusal = self.gate.certificate(found)
        if refusal is not None:
            raise BadFile(refusal.cause)
        return found

    def _greet(self, sock: socket.socket, peer: str) -> None:
        assert self.host is not None
        holder: list[ClientSession] = []

        def told(found: Identity | None) -> None:
            holder[0].identity = found
            holder[0].peer = peer if found is not None else UNKNOWN + peer
            self.handshakes["done"] += 1
            self.shaking.pop(holder[0], None)

        def failed() -> None:
            self.handshakes["refused"] += 1
            self.shaking.pop(holder[0], None)

        most = self.section["tls"]["handshakes"]
        while len(self.shaking) >= most:
            # Danger: half-open handshakes hold every place. The oldest yields: a usual one needs some ms of
            # it.
            self._give_up(next(iter(self.shaking)))
        session = self.host.frontend.serve(sock, peer, self.secured(sock, told, failed))
        holder.append(session)
        self.shaking[session] = asyncio.get_running_loop().time()

    def _give_up(self, session: ClientSession) -> None:
        del self.shaking[session]
        self.handshakes["given up"] += 1
        session.connection.close()

    async def _handshakes(self) -> None:
        """Ends those that take too long."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.05)
            most_s = self.section["tls"]["handshake-time"] / 1e6
            for session, since in list(self.shaking.items()):
                if session.connection.is_closed:
                    del self.shaking[session]
                    self.handshakes["failed"] += 1
                elif loop.time() - since > most_s:
                    self._give_up(session)

    # Revocation.

    def strike(self) -> None:
        """Connections whose certificate no longer stands end, once what is open on them is answered."""
        if self.host is None:
            return
        for session in list(self.host.frontend.sessions):
            if (
                isinstance(session.identity, Identity)
                and not session.is_closing
                and self.gate.certificate(session.identity) is not None
            ):
                session.close_when_idle()
        if self.section["control"] is not None:
            self.control.strike()

    def revoke(self, row: Revocation) -> None:
        """From the control front: at once here; and into the operators' file, for all that read it."""
        self.gate.revoked.add(FRONT, row)
        log.info("revoked", kind=row.kind, value=row.value, generation=self.gate.revoked.generation)
        self.strike()

    async def keep(self, row: Revocation) -> str:
        """Writes a revocation into the operators' file; why that failed, or nothing."""
        if self.section["revoked"] is None:
            return "no file is named: it is gone with this process"
        try:
            await asyncio.to_thread(keyfiles.append_revocation, self._path(self.section["revoked"]), row)
        except BadFile as wrong:
            log.error("revocation not kept", wrong=str(wrong))
            return "the file can't be written: it is gone with this process"
        return ""

    def close(self) -> None:
        for session in list(self.shaking):
            session.connection.close()


def _keys(path: Path) -> KeySet:
    return keyfiles.parse_keys(path, keyfiles.read_bytes(path))


def _revoked(path: Path) -> list[Revocation]:
    return keyfiles.parse_revoked(path, keyfiles.read_bytes(path))


def _look(sources: list[Source]) -> list[tuple[Source, tuple[Any, ...], Any]]:
    """In a thread: which files changed, and what stands in them now."""
    out = []
    for source in list(sources):
        stamp = source.stamp()
        found: Any = None
        if stamp != source.seen:
            try:
                found = source.load()
            except (BadFile, BadRevocation, OSError) as wrong:
                found = wrong
        out.append((source, stamp, found))
    return out
