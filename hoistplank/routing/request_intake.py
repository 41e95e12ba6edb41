"""Decides on a request that has come whole: health check, parse, authorize, admit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hoistplank.decision.settings import RouterSettings
from hoistplank.protocol.fastcgi import FastCgiRequest
from hoistplank.routing.attempts import Request
from hoistplank.routing.request_parsing import RequestParser
from hoistplank.routing.response import FastCgiResponse, RequestRefusal
from hoistplank.routing.router_task import RouterTask

HEALTH_PATH = "/-/healthy"


class Authorizer(Protocol):
    """Decides whether a caller's request may be accepted; a dispatcher without one accepts them all."""

    def admit(
        self, identity: object, fields: dict[str, str], request: Request, peer: str
    ) -> RequestRefusal | None:
        """Counts the request as open, or returns why it is refused. `identity` is what the connection's
        handshake has proven, `peer` the connection's remote address."""

    def ended(self, request: Request) -> None:
        """A request that was admitted has had its answer, or its client is gone; called once for each."""


class RequestIntake:
    """What stands between a whole request and the router task; shared by all client sessions."""

    def __init__(
        self,
        router_task: RouterTask,
        settings: RouterSettings,
        is_ready: Callable[[], bool],
        authorizer: Authorizer | None,
    ) -> None:
        self.router_task = router_task
        self.is_ready = is_ready
        self.health_detail: Callable[[], str] = str  # the body of a health answer
        self.authorizer = authorizer
        self.parser = RequestParser(settings)
        self.max_retry_after_us = (
            settings.rules.max_retry_after_us if settings.rules.may_send_retry_after else 0
        )

    def answer_health_check(self, response: FastCgiResponse) -> None:
        """200 while this dispatcher is to get requests, else 503."""
        detail = self.health_detail().encode()
        response.send(200 if self.is_ready() else 503, (), detail)

    def parse(
        self, response: FastCgiResponse, fields: dict[str, str], received: FastCgiRequest, unread_for_us: int
    ) -> Request:
        """The request of these fields, which came `unread_for_us` ago; raises ProtocolError on one that can't
        be used."""
        received_us = self.router_task.clock.now() - unread_for_us
        request = self.parser.parse(received_us, response, fields, bytes(received.body))
        received.body, received.params = bytearray(), bytearray()
        return request

    def authorize(
        self,
        authorizer: Authorizer,
        request: Request,
        response: FastCgiResponse,
        fields: dict[str, str],
        identity: object,
        peer: str,
    ) -> bool:
        """Whether the caller may have it and the core has capacity; else the request has had its answer."""
        refusal = authorizer.admit(identity, fields, request, peer)
        if refusal is not None:
            response.refuse(refusal, self.max_retry_after_us)
            return False
        if not self.router_task.admits(request.class_name, is_authorized=True):
            authorizer.ended(request)
            response.reject(self.router_task.retry_after_us)
            return False
        return True

    def ended(self, request: Request) -> None:
        """A request that was handed to the router task has had its answer, or its client is gone."""
        if self.authorizer is not None:
            self.authorizer.ended(request)


def is_health_check(fields: dict[str, str]) -> bool:
    """Whether the request asks for this dispatcher's own health."""
    return fields.get("SCRIPT_NAME", "") + fields.get("PATH_INFO", "") == HEALTH_PATH
