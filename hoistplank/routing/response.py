"""Responses to the requests of a FastCGI client."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from hoistplank.protocol import fastcgi

# The shortest time that is sent as X-Pushback-Ms, whose unit is a millisecond.
MIN_RETRY_AFTER_US = 1_000


class RequestRefusal(NamedTuple):
    """A refusal of a request: the HTTP status, a short reason and the time after which to retry."""

    status: int
    reason: str
    retry_after_us: int


class ResponseSink(Protocol):
    """The receiver of an encoded response: the session of the client that awaits it."""

    def send_response(self, response: FastCgiResponse, data: bytes) -> None:
        """Sends `data`, unless the request was aborted or already answered."""


class FastCgiResponse:
    """The response to one request of a client's connection; the first call sends it.

    `number` is the request's FastCGI number, `keep_connection` its FCGI_KEEP_CONN flag.
    """

    __slots__ = ("keep_connection", "number", "sink")

    def __init__(self, sink: ResponseSink, number: int, keep_connection: bool) -> None:
        self.sink = sink
        self.number = number
        self.keep_connection = keep_connection

    def succeed(self, body: bytes, *, unchanged: bool) -> None:
        """Sends 200 with the object, or without a body if the client's copy is `unchanged`."""
        if unchanged:
            self.send(200, (("X-Valid", "1"),), b"")
        else:
            self.send(200, (), body)

    def reject(self, retry_after_us: int) -> None:
        """Sends 503: nothing was done, and the client may retry after that time."""
        self.send(503, retry_after_fields(retry_after_us), b"")

    def fail(self) -> None:
        """Sends 502: the request failed, and may have taken effect."""
        self.send(502, (), b"")

    def refuse(self, refusal: RequestRefusal, max_retry_after_us: int) -> None:
        """Sends the refusal's status and reason, with a retry time of at most `max_retry_after_us`."""
        fields = [("X-Refusal", refusal.reason)]
        if refusal.status == 401:
            fields.append(("WWW-Authenticate", "Bearer"))  # RFC 6750 section 3
        fields += retry_after_fields(min(refusal.retry_after_us, max_retry_after_us))
        self.send(refusal.status, tuple(fields), b"")

    def send(self, status: int, fields: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Sends a response with these header fields in addition to the usual ones."""
        self.sink.send_response(self, fastcgi.encode_response(self.number, status, fields, body))


def retry_after_fields(retry_after_us: int) -> tuple[tuple[str, str], ...]:
    """Returns the header field for the time after which to retry; none if it is below a millisecond."""
    if retry_after_us < MIN_RETRY_AFTER_US:
        return ()
    return (("X-Pushback-Ms", str(retry_after_us // 1000)),)
