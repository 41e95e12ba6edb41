"""The operators' front: HTTP/1.1 over mutual TLS on its own listener. Purge, revoke, look.

A purge goes through the owner's queue like one of the change log. Every refusal says why, as `{"refused":
"…"}`.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import msgspec
import structlog

from hoistplank.authorization.authorizer import Caller, Gate, Identity, Refusal
from hoistplank.authorization.http import BadRequest, HttpRequest, Reader, reply
from hoistplank.authorization.limits import Bucket
from hoistplank.authorization.permissions import ALL_GROUPS, BITS, OPERATE, Tenant
from hoistplank.authorization.revocations import BadRevocation, Revocation
from hoistplank.operator_configuration.schema import Section
from hoistplank.routing.client_session import ConnectionFactory
from hoistplank.routing.clock import Clock
from hoistplank.routing.router_task import Owner, Purged
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.listener import Listener

log = structlog.get_logger()
OBJECT = re.compile(r"[0-9a-f]{16}").fullmatch
MOST_IN, MOST_OUT = 65_536, 1_048_576
SILENT_S = 10.0  # a connection on which nothing comes for so long ends
# Danger: a purge costs fills at every cache; one tenant's script in a loop would empty what all live from.
PURGES_A_SECOND, PURGES_AT_ONCE = 10.0, 50.0


class PurgeBody(msgspec.Struct, forbid_unknown_fields=True):
    """`object`, 16 small hex digits, or `group`, 0 to 255; both where the caller says whose the object is."""

    object: str = ""
    group: int | None = None


class RevokeBody(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    value: str
    issuer: str = ""
    until_us: int = 0


class LevelBody(msgspec.Struct, forbid_unknown_fields=True):
    """`do`: pin, unpin, forbid or allow; `level` by name, "full" for full service; `for_s`: 0 for good."""

    do: str
    level: str = ""
    for_s: float = 0.0


class Answer(msgspec.Struct):
    status: int
    body: dict[str, Any]
    wait_us: int = 0


def refused(status: int, why: str, wait_us: int = 0) -> Answer:
    return Answer(status, {"refused": why}, wait_us)


class AdminClient:
    """One connection of an operator's."""

    def __init__(self, control: Control, sock: socket.socket) -> None:
        self.control, self.reader = control, Reader(control.section["body"])
        self.identity: Identity | None = None
        self.waiting: deque[HttpRequest] = deque()
        self.worker: asyncio.Task[None] | None = None
        self.leaving, self.ending = False, False
        make = control.callers.secured(sock, self._told, lambda: None)
        self.connection = make(sock, self.consume, MOST_IN, MOST_OUT)
        self.born = asyncio.get_running_loop().time()
        self.task = asyncio.get_running_loop().create_task(self.connection.run(), name="control connection")
        self.task.add_done_callback(self._ended)

    def _told(self, identity: Identity | None) -> None:
        self.identity = identity

    def consume(self, buffer: bytearray, start: int, end: int) -> int:
        if self.ending:
            return end  # the rest of what can't be used, from the same read
        try:
            self.waiting.extend(self.reader.feed(bytes(buffer[start:end])))
        except BadRequest as wrong:
            self._answer(refused(wrong.status, str(wrong)), False)
            self.ending = True
            self.connection.stop_reading()
            return end
        if self.waiting and self.worker is None:
            self.worker = asyncio.get_running_loop().create_task(self._work(), name="control requests")
        return end

    async def _work(self) -> None:
        """One after another: answers come in the order of their requests."""
        try:
            while self.waiting and not self.connection.is_closed:
                request = self.waiting.popleft()
                answer = await self.control.answer(self.identity, request)
                self.reader.waiting -= 1
                self._answer(answer, request.keep and not self.leaving)
        finally:
            self.worker = None

    def _answer(self, answer: Answer, keep: bool) -> None:
        self.connection.send(
            reply(answer.status, msgspec.json.encode(answer.body) + b"\n", keep, answer.wait_us)
        )
        if not keep:
            self.connection.close_gracefully(SILENT_S)

    def leave(self) -> None:
        self.leaving = True
        if self.worker is None:
            self.connection.close_gracefully()

    def _ended(self, task: asyncio.Task[BaseException | None]) -> None:
        if self.worker is not None:
            self.worker.cancel()
        self.control.gone(self)


class Program(Protocol):
    """What the control front uses of the program that it is part of."""

    owner: Owner
    descriptors: DescriptorBudget


class Keys(Protocol):
    """What it uses of the callers' service, which stands above it."""

    section: Section
    gate: Gate
    clock: Clock
    handshakes: dict[str, int]

    def secured(
        self, sock: socket.socket, told: Callable[[Identity | None], None], failed: Callable[[], None]
    ) -> ConnectionFactory: ...

    def revoke(self, row: Revocation) -> None: ...

    async def keep(self, row: Revocation) -> str: ...


class Control:
    def __init__(self, callers: Keys, section: Section, host: Program) -> None:
        self.callers, self.section, self.host = callers, section, host
        self.clients: dict[AdminClient, None] = {}
        self.purges: dict[str, Bucket] = {}
        self.listener = Listener(section["listen"], host.descriptors, self._greet)
        self.routes = {
            ("GET", "/v1/tenants"): self._tenants,
            ("GET", "/v1/keys"): self._keys,
            ("GET", "/v1/refusals"): self._refusals,
            ("GET", "/v1/limits"): self._limits,
            ("GET", "/v1/levels"): self._levels,
        }

    def parts(self) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        return [("control listener", self.listener.run()), ("control sweep", self._sweep())]

    def _greet(self, sock: socket.socket, peer: str) -> None:
        if len(self.clients) >= self.section["connections"]:
            # Danger: operators' connections count against the clients' descriptors. The one silent for
            # longest goes.
            min(self.clients, key=lambda one: one.connection.last_read_at).connection.close()
        self.clients[AdminClient(self, sock)] = None

    def gone(self, client: AdminClient) -> None:
        self.clients.pop(client, None)
        self.host.descriptors.release(ConnectionKind.CLIENT)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.25)
            handshake_s = self.callers.section["tls"]["handshake-time"] / 1e6
            for client in list(self.clients):
                unknown = client.identity is None and loop.time() - client.born > handshake_s
                if unknown or loop.time() - client.connection.last_read_at > SILENT_S:
                    client.connection.close()
                else:
                    client.connection.release_buffer()

    def strike(self) -> None:
        for client in list(self.clients):
            if client.identity is not None and self.callers.gate.certificate(client.identity) is not None:
                client.leave()

    async def answer(self, identity: Identity | None, request: HttpRequest) -> Answer:
        """What an operator is answered; nothing that it sends ends more than its own connection."""
        if identity is None:
            return refused(401, "no client certificate")
        caller = self.callers.gate.operator(identity)
        if isinstance(caller, Refusal):
            return refused(caller.status, caller.cause, caller.wait_us)
        look = self.routes.get((request.method, request.path))
        if look is not None:
            return Answer(200, look(caller.tenant))
        try:
            if (request.method, request.path) == ("POST", "/v1/purge"):
                return self._purge(caller, msgspec.json.decode(request.body, type=PurgeBody))
            if (request.method, request.path) == ("POST", "/v1/revoke"):
                return await self._revoke(caller, msgspec.json.decode(request.body, type=RevokeBody))
            if (request.method, request.path) == ("POST", "/v1/levels"):
                return self._level_word(caller, msgspec.json.decode(request.body, type=LevelBody))
        except (msgspec.MsgspecError, RecursionError) as wrong:
            return refused(400, f"the body can't be used: {str(wrong)[:200]}")
        paths = {path for _, path in self.routes} | {"/v1/purge", "/v1/revoke"}
        if request.path in paths:
            return refused(405, f"{request.method[:10]} is not for {request.path}")
        return refused(404, "no such path; there are " + ", ".join(sorted(paths)))

    def _purge(self, caller: Caller, body: PurgeBody) -> Answer:
        if not body.object and body.group is None:
            return refused(400, "neither 'object' nor 'group' is given")
        if body.object and not OBJECT(body.object):
            return refused(400, "'object' is to have 16 small hex digits")
        if body.group is not None and not 0 <= body.group <= 255:
            return refused(400, "'group' is to be from 0 to 255")
        refusal = self.callers.gate.may_purge(caller, body.object, body.group)
        if refusal is not None:
            return refused(refusal.status, refusal.cause)
        now = self.callers.clock.now()
        if len(self.purges) > 1_024:
            self.purges = {
                name: row for name, row in self.purges.items() if name in self.callers.gate.tenants.rows
            }
        bucket = self.purges.setdefault(caller.tenant.name, Bucket(PURGES_A_SECOND, PURGES_AT_ONCE, now))
        wait = bucket.take(now)
        if wait:
            return refused(429, "purges come too fast", wait)
        self.host.owner.tell(
            Purged(
                body.object,
                body.group if body.group is not None and not body.object else 0,
                self.host.owner.clock.now(),
            )
        )
        log.info("purge", tenant=caller.tenant.name, by=caller.name, object_key=body.object, group=body.group)
        return Answer(200, {"purged": body.object or f"group {body.group}", "in_force_within_ms": 1000})

    async def _revoke(self, caller: Caller, body: RevokeBody) -> Answer:
        if not caller.tenant.rights & OPERATE:
            return refused(403, "right")
        try:
            row = Revocation(body.kind, body.issuer, body.value, body.until_us)
            self.callers.revoke(row)
        except BadRevocation as wrong:
            return refused(400, str(wrong))
        kept = await self.callers.keep(row)
        return Answer(
            200,
            {"revoked": row.kind, "generation": self.callers.gate.revoked.generation, "kept": kept or "yes"},
        )

    def _level_word(self, caller: Caller, body: LevelBody) -> Answer:
        levels = getattr(self.host, "levels", None)
        if not caller.tenant.rights & OPERATE:
            return refused(403, "right")
        if levels is None:
            return refused(404, "no levels in the operator's file")
        if not 0 <= body.for_s <= 86_400:
            return refused(400, "'for_s' is to be from 0 to 86400")
        try:
            done = levels.word(
                self.callers.clock.now(), body.do, body.level, int(body.for_s * 1e6), caller.name
            )
        except ValueError as wrong:
            return refused(400, str(wrong))
        return Answer(200, {"done": done, "level": levels.ladder.name})

    def _levels(self, tenant: Tenant) -> dict[str, Any]:
        levels = getattr(self.host, "levels", None)
        if levels is None:
            return {"level": "full", "levels": None}
        found: dict[str, Any] = levels.look(self.callers.clock.now())
        return found

    # What may be looked at: an operator sees all, a tenant itself.

    def _seen(self, tenant: Tenant) -> list[Tenant]:
        rows = self.callers.gate.tenants.rows
        return list(rows.values()) if tenant.rights & OPERATE else [tenant]

    def _tenants(self, tenant: Tenant) -> dict[str, Any]:
        gate = self.callers.gate
        return {
            "generation": gate.tenants.generation,
            "tenants": [
                {
                    "name": row.name,
                    "rights": [word for word, bit in BITS.items() if row.rights & bit],
                    "tracks": sorted(row.classes) if row.classes is not None else "all",
                    "groups": "all" if row.groups == ALL_GROUPS else [g for g in range(256) if row.owns(g)],
                    "taken": account.taken if (account := gate.accounts.rows.get(row.name)) else 0,
                }
                for row in self._seen(tenant)
            ],
        }

    def _keys(self, tenant: Tenant) -> dict[str, Any]:
        gate = self.callers.gate
        return {
            "issuers": [
                {"name": issuer.name, "generation": issuer.generation, "keys": sorted(issuer.keys)}
                for issuer in gate.issuers.values()
            ],
            "revocations": {"generation": gate.revoked.generation, "rows": len(gate.revoked)},
            "handshakes": self.callers.handshakes,
        }

    def _refusals(self, tenant: Tenant) -> dict[str, Any]:
        seen = {row.name for row in self._seen(tenant)} | ({""} if tenant.rights & OPERATE else set())
        return {
            "refusals": [
                {"tenant": name, "cause": cause, "count": count}
                for (name, cause), count in sorted(self.callers.gate.counts.items())
                if name in seen
            ]
        }

    def _limits(self, tenant: Tenant) -> dict[str, Any]:
        gate, now = self.callers.gate, self.callers.clock.now()
        out = []
        for row in self._seen(tenant):
            account = gate.accounts.rows.get(row.name)
            bucket = account.bucket if account is not None else None
            out.append(
                {
                    "tenant": row.name,
                    "weight": row.weight,
                    "rate": row.rate or None,
                    "left": round(bucket.left(now), 1) if bucket is not None else None,
                    "open": account.open if account is not None else 0,
                    "open_visits": row.most_open or None,
                }
            )
        return {"limits": out, "open": gate.accounts.total}
