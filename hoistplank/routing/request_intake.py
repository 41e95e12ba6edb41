"""Handles a request that has arrived completely: health check, parsing, authorization, admission."""

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
    """Decides whether a caller's request is accepted; without one, a dispatcher accepts all requests."""

    def admit(
        self, identity: object, fields: dict[str, str], request: Request, peer: str
    ) -> RequestRefusal | None:
        """Counts the request as open and returns None, or returns the refusal. `identity` is the identity
        proven by the connection's handshake, `peer` the connection's remote address."""

    def ended(self, request: Request) -> None:
        """Ends an admitted request, which was answered or whose client left; called once for each."""


class RequestIntake:
    """Processes complete requests before they reach the router task; shared by all client sessions."""

    def __init__(
        self,
        router_task: RouterTask,
        settings: RouterSettings,
        is_ready: Callable[[], bool],
        authorizer: Authorizer | None,
    ) -> None:
        self.router_task = router_task
        self.is_ready = is_ready
        self.health_detail: Callable[[], str] = str  # returns the body of a health check's answer
        self.authorizer = authorizer
        self.parser = RequestParser(settings)
        self.max_retry_after_us = (
            settings.rules.max_retry_after_us if settings.rules.may_send_retry_after else 0
        )

    def answer_health_check(self, response: FastCgiResponse) -> None:
        """Answers 200 while this dispatcher is ready for requests, otherwise 503."""
        detail = self.health_detail().encode()
        response.send(200 if self.is_ready() else 503, (), detail)

    def parse(
        self, response: FastCgiResponse, fields: dict[str, str], received: FastCgiRequest, unread_for_us: int
    ) -> Request:
        """Returns the request with these fields, which arrived `unread_for_us` ago; raises ProtocolError if
        it is invalid."""
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
        """Returns whether the caller is authorized and the core has capacity; if not, answers the request."""
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
        """Ends a request that was submitted to the router task and answered, or whose client left."""
        if self.authorizer is not None:
            self.authorizer.ended(request)


def is_health_check(fields: dict[str, str]) -> bool:
    """Returns whether the request is a health check of this dispatcher."""
    return fields.get("SCRIPT_NAME", "") + fields.get("PATH_INFO", "") == HEALTH_PATH
