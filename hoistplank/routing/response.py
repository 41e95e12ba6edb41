"""Answers to the requests of a FastCGI client."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from hoistplank.protocol import fastcgi

# X-Pushback-Ms is for clients that can wait; a shorter time than this is not worth naming.
MIN_RETRY_AFTER_US = 1_000


class RequestRefusal(NamedTuple):
    """Why a request is not accepted: the status, a short reason and how long to stay away."""

    status: int
    reason: str
    retry_after_us: int


class ResponseSink(Protocol):
    """Where a finished response goes: the session of the client that waits for it."""

    def send_response(self, response: FastCgiResponse, data: bytes) -> None:
        """Sends `data`, unless the request was aborted or has had its response."""


class FastCgiResponse:
    """The response to one request of a client's connection; it is sent once, by the first call.

    `number` is the request's FastCGI number, `keep_connection` its FCGI_KEEP_CONN flag.
    """

    __slots__ = ("keep_connection", "number", "sink")

    def __init__(self, sink: ResponseSink, number: int, keep_connection: bool) -> None:
        self.sink = sink
        self.number = number
        self.keep_connection = keep_connection

    def succeed(self, body: bytes, *, unchanged: bool) -> None:
        """200 with the object; `unchanged`: the copy that the client named still holds, and no body goes."""
        if unchanged:
            self.send(200, (("X-Valid", "1"),), b"")
        else:
            self.send(200, (), body)

    def reject(self, retry_after_us: int) -> None:
        """503: nothing was done, and the client may come again after that time."""
        self.send(503, retry_after_fields(retry_after_us), b"")

    def fail(self) -> None:
        """502: the request failed, and may have had its effect."""
        self.send(502, (), b"")

    def refuse(self, refusal: RequestRefusal, max_retry_after_us: int) -> None:
        """The refusal's own status and reason, with a time to stay away of at most `max_retry_after_us`."""
        fields = [("X-Refusal", refusal.reason)]
        if refusal.status == 401:
            fields.append(("WWW-Authenticate", "Bearer"))  # RFC 6750 section 3
        fields += retry_after_fields(min(refusal.retry_after_us, max_retry_after_us))
        self.send(refusal.status, tuple(fields), b"")

    def send(self, status: int, fields: tuple[tuple[str, str], ...], body: bytes) -> None:
        """A response with these header fields beside the usual ones."""
        self.sink.send_response(self, fastcgi.encode_response(self.number, status, fields, body))


def retry_after_fields(retry_after_us: int) -> tuple[tuple[str, str], ...]:
    """The header field that names a time to stay away; none where it is below a millisecond."""
    if retry_after_us < MIN_RETRY_AFTER_US:
        return ()
    return (("X-Pushback-Ms", str(retry_after_us // 1000)),)
