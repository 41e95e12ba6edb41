"""HTTP/1.1 (RFC 9112) as the admin server speaks it: bytes in, requests out, no sockets."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from hoistplank.authorization.errors import AuthorizationError

MAX_HEAD_BYTES = 8_192  # of a request line and its fields together
MAX_PIPELINED = 8  # requests that may come before the first is answered
MAX_PARSER_MESSAGE = 120  # characters
MAX_LENGTH_DIGITS = 12  # read of a Content-Length before it is compared: no length of digits costs more
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
    """What can't be read or is too much: the status to answer, and why. The connection is of no further
    use."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class HttpRequest:
    """A whole request; the names of its fields are in small letters."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes
    keep_alive: bool


class HttpRequestParser:
    """The requests of one connection; `max_body` in bytes. Whoever answers a request counts `unanswered`
    down."""

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
        """A part of the target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field."""
        self._count_head(len(name) + len(value) + 4)
        key = name.decode("latin-1").lower()
        if key in self._fields and key in SINGLE_FIELDS:
            raise BadRequestError(400, f"the field '{key}' stands twice")
        self._fields[key] = value.decode("latin-1")

    def _count_head(self, length: int) -> None:
        self._head_bytes += length
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(431, f"the request's head is longer than {MAX_HEAD_BYTES} bytes")

    def on_headers_complete(self) -> None:
        """The end of the head."""
        length = self._fields.get("content-length", "0")
        if length.isdecimal() and int(length[:MAX_LENGTH_DIGITS]) > self.max_body:
            raise BadRequestError(413, f"the body is longer than {self.max_body} bytes")

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        # Chunked bodies tell no length ahead: they are counted as they come.
        if len(self._body) + len(data) > self.max_body:
            raise BadRequestError(413, f"the body is longer than {self.max_body} bytes")
        self._body += data

    def on_message_complete(self) -> None:
        """The end of a request."""
        try:
            path = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            raise BadRequestError(400, "the target can't be read") from None
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
            raise BadRequestError(429, "too many requests before the first was answered")
        self._begin_request()

    # Called by the connection.

    def feed(self, data: bytes) -> list[HttpRequest]:
        """The requests that became whole; raises BadRequestError."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequestError(400, "no other protocol is spoken here") from None
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, BadRequestError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            message = str(error)[:MAX_PARSER_MESSAGE] or "it is no HTTP/1.1"
            raise BadRequestError(400, message) from None
        complete, self._complete = self._complete, []
        return complete


def encode_response(status: int, body: bytes, *, keep_alive: bool, retry_after_us: int = 0) -> bytes:
    """A whole response; `retry_after_us` becomes Retry-After in whole seconds."""
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
