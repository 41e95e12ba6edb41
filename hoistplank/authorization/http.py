"""HTTP/1.1 (RFC 9112) for the admin server: parses requests and encodes responses, without sockets."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from hoistplank.authorization.errors import AuthorizationError

MAX_HEAD_BYTES = 8_192  # request line and fields together
MAX_PIPELINED = 8  # unanswered requests of one connection
MAX_PARSER_MESSAGE = 120  # characters
MAX_LENGTH_DIGITS = 12  # digits of a Content-Length that are converted, so that a long number costs no more
SINGLE_FIELDS = ("content-length", "content-type", "host")
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class BadRequestError(AuthorizationError):
    """Invalid or oversized input, with the response status and the reason. The connection must be closed
    afterwards."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class HttpRequest:
    """A complete request; field names are in lower case."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes
    keep_alive: bool


class HttpRequestParser:
    """Parses the requests of one connection; `max_body` is in bytes. The caller that answers a request
    decrements `unanswered`."""

    def __init__(self, max_body: int) -> None:
        self.max_body = max_body
        self.unanswered = 0
        self._complete: list[HttpRequest] = []
        self._parser = httptools.HttpRequestParser(self)
        self._begin_request()

    def _begin_request(self) -> None:
        self._url, self._body, self._head_bytes = b"", bytearray(), 0
        self._fields: dict[str, str] = {}

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        self._count_head(len(name) + len(value) + 4)
        key = name.decode("latin-1").lower()
        if key in self._fields and key in SINGLE_FIELDS:
            raise BadRequestError(400, f"duplicate header field '{key}'")
        self._fields[key] = value.decode("latin-1")

    def _count_head(self, length: int) -> None:
        self._head_bytes += length
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(431, f"the request head is longer than {MAX_HEAD_BYTES} bytes")

    def on_headers_complete(self) -> None:
        """Checks the declared body length at the end of the head."""
        length = self._fields.get("content-length", "0")
        if length.isdecimal() and int(length[:MAX_LENGTH_DIGITS]) > self.max_body:
            raise BadRequestError(413, f"the body is longer than {self.max_body} bytes")

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        # A chunked body declares no length, so its bytes are counted as they arrive.
        if len(self._body) + len(data) > self.max_body:
            raise BadRequestError(413, f"the body is longer than {self.max_body} bytes")
        self._body += data

    def on_message_complete(self) -> None:
        """Adds the request to the complete ones."""
        try:
            path = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            raise BadRequestError(400, "invalid request target") from None
        self._complete.append(
            HttpRequest(
                method=self._parser.get_method().decode("ascii"),
                path=path.decode("latin-1"),
                fields=self._fields,
                body=bytes(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self.unanswered += 1
        if self.unanswered > MAX_PIPELINED:
            raise BadRequestError(429, "too many unanswered requests on this connection")
        self._begin_request()

    # Called by the connection.

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Returns the requests that are complete; raises BadRequestError."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequestError(400, "protocol upgrades are not supported") from None
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, BadRequestError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            message = str(error)[:MAX_PARSER_MESSAGE] or "not valid HTTP/1.1"
            raise BadRequestError(400, message) from None
        complete, self._complete = self._complete, []
        return complete


def encode_response(status: int, body: bytes, *, keep_alive: bool, retry_after_us: int = 0) -> bytes:
    """Encodes a response; `retry_after_us` becomes Retry-After, rounded up to whole seconds."""
    lines = [
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Cache-Control: no-store",
        f"Connection: {'keep-alive' if keep_alive else 'close'}",
    ]
    if retry_after_us:
        lines.append(f"Retry-After: {-(-retry_after_us // 1_000_000)}")
    return "\r\n".join([*lines, "", ""]).encode("ascii") + body
