"""FastCGI for the load tool, made for speed: requests patched into a template, answers scanned, no
objects a record.
"""

from __future__ import annotations

import struct

from hoistplank.protocol import fastcgi

ID, OBJECT_NUMBER, KEY = b"0123456789abcdef", b"fedcba9876543210", b"00112233445566778899aabbccddeeff"
NUMBER = struct.Struct(">H")


class Template:
    """A whole request of one traffic class and one token, with the places of what changes from request to
    request."""

    def __init__(
        self,
        class_name: str,
        deadline_ms: int,
        keyed: bool,
        token: str = "",
        fields: dict[str, str] | None = None,
    ):
        pairs = {
            "SCRIPT_NAME": f"/api/v2/{class_name}",
            "HTTP_X_DEADLINE_MS": str(deadline_ms),
            **(fields or {}),
            **({"HTTP_AUTHORIZATION": f"Bearer {token}"} if token else {}),
        }
        params = b"".join(fastcgi.encode_pair(name.encode(), value.encode()) for name, value in pairs.items())
        params += fastcgi.encode_pair(b"HTTP_X_CORRELATION_ID", ID) + fastcgi.encode_pair(
            b"HTTP_X_SUBJECT", OBJECT_NUMBER
        )
        params += fastcgi.encode_pair(b"HTTP_X_OPERATION_KEY", KEY) if keyed else b""
        records = [
            fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 1)),
            fastcgi.encode_record(fastcgi.PARAMS, 1, params),
            fastcgi.encode_record(fastcgi.PARAMS, 1),
            fastcgi.encode_record(fastcgi.STDIN, 1),
        ]
        self.data = b"".join(records)
        self.numbers, at = [], 0
        for row in records:
            self.numbers.append(at + 2)
            at += len(row)
        self.id, self.object_number = self.data.index(ID), self.data.index(OBJECT_NUMBER)
        self.key = self.data.index(KEY) if keyed else -1

    def encode(self, number: int, id: int, object_number: int) -> bytes:
        """One request; its operation key, where it has one, is its id twice."""
        data = bytearray(self.data)
        for at in self.numbers:
            NUMBER.pack_into(data, at, number)
        data[self.id : self.id + 16] = b"%016x" % id
        data[self.object_number : self.object_number + 16] = b"%016x" % object_number
        if self.key >= 0:
            data[self.key : self.key + 32] = b"%016x%016x" % (id, id)
        return bytes(data)


class Answers:
    """Scans what comes back: for each whole answer its number and status. Raises ValueError on what
    is no record.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.status: dict[int, int] = {}

    def feed(self, data: bytes) -> list[tuple[int, int]]:
        if self.rest:
            data = self.rest + data
        found: list[tuple[int, int]] = []
        at, size = 0, len(data)
        while size - at >= 8:
            version, kind, number, length, padding = fastcgi.HEADER.unpack_from(data, at)
            if version != 1:
                raise ValueError(f"a record of version {version}")
            stop = at + 8 + length + padding
            if stop > size:
                break
            if kind == fastcgi.STDOUT and length and number not in self.status:
                head = data[at + 8 : at + 8 + length]
                self.status[number] = int(head[8:11]) if head.startswith(b"Status: ") else 0
            elif kind == fastcgi.END_REQUEST:
                found.append((number, self.status.pop(number, 0)))
            at = stop
        self.rest = data[at:]
        return found
