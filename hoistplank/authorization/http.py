"""HTTP/1.1 (RFC 9112) as the control front speaks it: bytes in, requests out, no sockets."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MOST_HEAD = 8_192  # bytes of a request line and its fields together
MOST_WAITING = 8  # requests that may come before the first is answered
PHRASES = {
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


class BadRequest(Exception):
    """What can't be read or is too much: the status to answer, and why. The connection is of no further
    use."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class HttpRequest:
    method: str
    path: str
    fields: dict[str, str]
    body: bytes
    keep: bool


class Reader:
    """The requests of one connection. `most_body` in bytes."""

    def __init__(self, most_body: int) -> None:
        self.most_body = most_body
        self.found: list[HttpRequest] = []
        self.waiting = 0  # requests that were handed out and are not answered
        self._parser = httptools.HttpRequestParser(self)
        self._new()

    def _new(self) -> None:
        self._url, self._body, self._head = b"", bytearray(), 0
        self._fields: dict[str, str] = {}

    # Told by the parser.

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value) + 4)
        key = name.decode("latin-1").lower()
        if key in self._fields and key in ("content-length", "content-type", "host"):
            raise BadRequest(400, f"the field '{key}' stands twice")
        self._fields[key] = value.decode("latin-1")

    def _count(self, more: int) -> None:
        self._head += more
        if self._head > MOST_HEAD:
            raise BadRequest(431, f"the request's head is longer than {MOST_HEAD} bytes")

    def on_headers_complete(self) -> None:
        told = self._fields.get("content-length", "0")
        if told.isdecimal() and int(told[:12]) > self.most_body:
            raise BadRequest(413, f"the body is longer than {self.most_body} bytes")

    def on_body(self, data: bytes) -> None:
        # Chunked bodies tell no length ahead: they are counted as they come.
        if len(self._body) + len(data) > self.most_body:
            raise BadRequest(413, f"the body is longer than {self.most_body} bytes")
        self._body += data

    def on_message_complete(self) -> None:
        try:
            path = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            raise BadRequest(400, "the target can't be read") from None
        self.found.append(
            HttpRequest(
                self._parser.get_method().decode("ascii"),
                path.decode("latin-1"),
                self._fields,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self.waiting += 1
        if self.waiting > MOST_WAITING:
            raise BadRequest(429, "too many requests before the first was answered")
        self._new()

    # Told by the connection.

    def feed(self, data: bytes) -> list[HttpRequest]:
        """The requests that became whole; raises BadRequest."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "no other protocol is spoken here") from None
        except httptools.HttpParserCallbackError as wrong:
            if isinstance(wrong.__context__, BadRequest):
                raise wrong.__context__ from None
            raise
        except httptools.HttpParserError as wrong:
            raise BadRequest(400, str(wrong)[:120] or "it is no HTTP/1.1") from None
        out, self.found = self.found, []
        return out


def reply(status: int, body: bytes, keep: bool, wait_us: int = 0) -> bytes:
    """A whole answer; `wait_us` becomes Retry-After in whole seconds."""
    lines = [
        f"HTTP/1.1 {status} {PHRASES[status]}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Cache-Control: no-store",
        f"Connection: {'keep-alive' if keep else 'close'}",
    ]
    if wait_us:
        lines.append(f"Retry-After: {-(-wait_us // 1_000_000)}")
    return "\r\n".join([*lines, "", ""]).encode("ascii") + body
