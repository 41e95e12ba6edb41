"""The routes of the admin server: purge, revoke, change the degradation level, and read-only views.

A purge goes through the router task's queue, as purges of the change log do. Every rejection has the body
`{"refused": "REASON"}`.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import msgspec
import structlog

from hoistplank.authorization import admin_views
from hoistplank.authorization.admin_messages import (
    AdminResponse,
    LevelBody,
    LevelChangedBody,
    NoLevelsBody,
    PurgeBody,
    PurgedBody,
    RevokeBody,
    RevokedBody,
    refusal,
)
from hoistplank.authorization.authorizer import Authorizer
from hoistplank.authorization.http import HttpRequest
from hoistplank.authorization.identity import Caller, CertificateIdentity
from hoistplank.authorization.permissions import OPERATE, Tenant
from hoistplank.authorization.rejection import Rejection
from hoistplank.authorization.revocations import InvalidRevocationError, Revocation
from hoistplank.authorization.tls_listener import HandshakeCounts
from hoistplank.authorization.token_bucket import TokenBucket
from hoistplank.routing.clock import Clock
from hoistplank.routing.events import PurgeReceived
from hoistplank.routing.router_task import RouterTask

log = structlog.get_logger()

OBJECT_KEY = re.compile(r"[0-9a-f]{16}").fullmatch
MAX_GROUP = 255
# Limits the purges of each tenant: every purge causes fills at all caches, so one tenant's script that purges
# in a loop would empty the caches that all tenants share.
PURGES_PER_SECOND, PURGE_BURST = 10.0, 50.0
MAX_PURGE_BUCKETS = 1_024
PURGE_IN_FORCE_MS = 1_000
MAX_LEVEL_S = 86_400
MAX_SHOWN_METHOD = 10  # characters in a message
MAX_SHOWN_PROBLEM = 200


class DegradationControl(Protocol):
    """The part of the degradation service that the routes use, if the dispatcher has one."""

    @property
    def level_name(self) -> str:
        """Name of the level in force."""

    def status(self, now: int) -> msgspec.Struct:
        """Returns the state for operators."""

    def override(self, now: int, action: str, level: str, duration_us: int, operator: str) -> str:
        """Applies an operator's override and returns the action taken; raises ValueError with the reason if
        it can't."""


class Dispatcher(Protocol):
    """The part of the program that the routes use."""

    router_task: RouterTask


class AuthorizationControl(Protocol):
    """The part of the authorization service that the routes use."""

    authorizer: Authorizer
    clock: Clock

    @property
    def handshakes(self) -> HandshakeCounts:
        """Outcomes of TLS handshakes."""

    def revoke(self, revocation: Revocation) -> None:
        """Puts a revocation in force at once; raises InvalidRevocationError."""

    async def persist(self, revocation: Revocation) -> str:
        """Appends it to the revocation file; returns the reason of a failure, or an empty string."""


Handler = Callable[[Caller, bytes], Awaitable[AdminResponse]]
View = Callable[[Tenant], msgspec.Struct | Mapping[str, Any]]


class AdminRoutes:
    """Answers the requests of operators; invalid input closes at most the operator's own connection."""

    def __init__(self, service: AuthorizationControl, dispatcher: Dispatcher) -> None:
        self.service, self.dispatcher = service, dispatcher
        self._purge_buckets: dict[str, TokenBucket] = {}
        self._views: dict[str, View] = {
            "/v1/tenants": lambda viewer: admin_views.tenants(self._authorizer, viewer),
            "/v1/keys": lambda _viewer: admin_views.keys(self._authorizer, self.service.handshakes),
            "/v1/refusals": lambda viewer: admin_views.rejections(self._authorizer, viewer),
            "/v1/limits": lambda viewer: admin_views.limits(
                self._authorizer, viewer, self.service.clock.now()
            ),
            "/v1/levels": lambda _viewer: self._levels(),
        }
        self._commands: dict[str, Handler] = {
            "/v1/purge": self._purge,
            "/v1/revoke": self._revoke,
            "/v1/levels": self._change_level,
        }

    @property
    def _authorizer(self) -> Authorizer:
        return self.service.authorizer

    async def respond(self, identity: CertificateIdentity | None, request: HttpRequest) -> AdminResponse:
        """Returns the response to a request on a connection with the client certificate `identity`."""
        if identity is None:
            return refusal(401, "no client certificate")
        caller = self._authorizer.authenticate_operator(identity)
        if isinstance(caller, Rejection):
            return refusal(*caller)
        view = self._views.get(request.path) if request.method == "GET" else None
        if view is not None:
            return AdminResponse(200, view(caller.tenant))
        command = self._commands.get(request.path) if request.method == "POST" else None
        if command is None:
            return self._no_route(request)
        try:
            return await command(caller, request.body)
        except (msgspec.MsgspecError, RecursionError) as error:
            return refusal(400, f"invalid request body: {str(error)[:MAX_SHOWN_PROBLEM]}")

    def _no_route(self, request: HttpRequest) -> AdminResponse:
        paths = self._views.keys() | self._commands.keys()
        if request.path in paths:
            return refusal(
                405, f"method {request.method[:MAX_SHOWN_METHOD]} is not allowed for {request.path}"
            )
        return refusal(404, "no such path; the paths are " + ", ".join(sorted(paths)))

    async def _purge(self, caller: Caller, data: bytes) -> AdminResponse:
        body = msgspec.json.decode(data, type=PurgeBody)
        problem = _purge_problem(body)
        if problem:
            return refusal(400, problem)
        rejection = self._authorizer.check_purge(caller, body.object_key, body.group)
        if rejection is not None:
            return refusal(rejection.status, rejection.reason)
        wait_us = self._take_purge(caller.tenant)
        if wait_us:
            return refusal(429, "purge rate limit of the tenant exceeded", wait_us)
        router_task = self.dispatcher.router_task
        group = body.group if body.group is not None and not body.object_key else 0
        router_task.submit(PurgeReceived(body.object_key, group, router_task.clock.now()))
        log.info(
            "purge accepted",
            tenant=caller.tenant.name,
            by=caller.name,
            object_key=body.object_key,
            group=body.group,
        )
        return AdminResponse(200, PurgedBody(body.object_key or f"group {body.group}", PURGE_IN_FORCE_MS))

    def _take_purge(self, tenant: Tenant) -> int:
        """Takes a token for a purge of the tenant; returns 0, or the microseconds until one is available."""
        now = self.service.clock.now()
        if len(self._purge_buckets) > MAX_PURGE_BUCKETS:
            known = self._authorizer.tenants.by_name
            self._purge_buckets = {
                name: bucket for name, bucket in self._purge_buckets.items() if name in known
            }
        bucket = self._purge_buckets.setdefault(tenant.name, TokenBucket(PURGES_PER_SECOND, PURGE_BURST, now))
        return bucket.take(now)

    async def _revoke(self, caller: Caller, data: bytes) -> AdminResponse:
        body = msgspec.json.decode(data, type=RevokeBody)
        if not caller.tenant.rights & OPERATE:
            return refusal(403, "right")
        try:
            revocation = Revocation(body.kind, body.issuer, body.value, body.until_us)
            self.service.revoke(revocation)
        except InvalidRevocationError as error:
            return refusal(400, str(error))
        failure = await self.service.persist(revocation)
        generation = self._authorizer.authenticator.revocations.generation
        return AdminResponse(200, RevokedBody(revocation.kind, generation, failure or "yes"))

    @property
    def _degradation(self) -> DegradationControl | None:
        """The degradation service, which sets this attribute if the operator file configures levels."""
        return getattr(self.dispatcher, "levels", None)

    async def _change_level(self, caller: Caller, data: bytes) -> AdminResponse:
        body = msgspec.json.decode(data, type=LevelBody)
        degradation = self._degradation
        if not caller.tenant.rights & OPERATE:
            return refusal(403, "right")
        if degradation is None:
            return refusal(404, "the operator file configures no levels")
        if not 0 <= body.for_s <= MAX_LEVEL_S:
            return refusal(400, f"'for_s' must be from 0 to {MAX_LEVEL_S}")
        now, for_us = self.service.clock.now(), int(body.for_s * 1e6)
        try:
            done = degradation.override(now, body.action, body.level, for_us, caller.name)
        except ValueError as error:
            return refusal(400, str(error))
        return AdminResponse(200, LevelChangedBody(done, degradation.level_name))

    def _levels(self) -> msgspec.Struct | Mapping[str, Any]:
        degradation = self._degradation
        return NoLevelsBody() if degradation is None else degradation.status(self.service.clock.now())


def _purge_problem(body: PurgeBody) -> str:
    """Returns why a purge request is invalid, or an empty string."""
    if not body.object_key and body.group is None:
        return "expected 'object' or 'group', found neither"
    if body.object_key and not OBJECT_KEY(body.object_key):
        return "'object' must be 16 lower-case hex digits"
    if body.group is not None and not 0 <= body.group <= MAX_GROUP:
        return "'group' must be from 0 to 255"
    return ""
