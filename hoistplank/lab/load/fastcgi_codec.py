"""A fast FastCGI codec for the load tool.

Requests are patched into a template; responses are scanned without an object for each record.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from hoistplank.protocol import fastcgi

# Placeholders in a template, replaced in each request; their lengths are those of the hexadecimal values.
REQUEST_ID_PLACEHOLDER = b"0123456789abcdef"
OBJECT_PLACEHOLDER = b"fedcba9876543210"
KEY_PLACEHOLDER = b"00112233445566778899aabbccddeeff"
STREAM_ID = struct.Struct(">H")
STREAM_ID_OFFSET = 2  # of the request id within a record's header
STATUS_FIELD = b"Status: "
STATUS_END = len(STATUS_FIELD) + 3


class RequestTemplate:
    """An encoded request of one traffic class and token, with the offsets of the fields that vary."""

    def __init__(
        self,
        class_name: str,
        deadline_ms: int,
        *,
        keyed: bool,
        token: str = "",
        fields: dict[str, str] | None = None,
    ) -> None:
        text_fields = {
            "SCRIPT_NAME": f"/api/v2/{class_name}",
            "HTTP_X_DEADLINE_MS": str(deadline_ms),
            **(fields or {}),
        }
        if token:
            text_fields["HTTP_AUTHORIZATION"] = f"Bearer {token}"
        pairs = [(name.encode(), value.encode()) for name, value in text_fields.items()]
        pairs.append((b"HTTP_X_CORRELATION_ID", REQUEST_ID_PLACEHOLDER))
        pairs.append((b"HTTP_X_SUBJECT", OBJECT_PLACEHOLDER))
        if keyed:
            pairs.append((b"HTTP_X_OPERATION_KEY", KEY_PLACEHOLDER))
        records = _encode_records(b"".join(fastcgi.encode_pair(name, value) for name, value in pairs))
        self._data = b"".join(records)
        self._stream_id_offsets = _stream_id_offsets(records)
        self._request_id_offset = self._data.index(REQUEST_ID_PLACEHOLDER)
        self._object_offset = self._data.index(OBJECT_PLACEHOLDER)
        self._key_offset = self._data.index(KEY_PLACEHOLDER) if keyed else None

    def encode(self, stream_id: int, request_id: int, object_number: int) -> bytes:
        """Encode one request; its idempotency key, where it has one, is its request id twice."""
        data = bytearray(self._data)
        for offset in self._stream_id_offsets:
            STREAM_ID.pack_into(data, offset, stream_id)
        data[self._request_id_offset : self._request_id_offset + 16] = b"%016x" % request_id
        data[self._object_offset : self._object_offset + 16] = b"%016x" % object_number
        if self._key_offset is not None:
            data[self._key_offset : self._key_offset + 32] = b"%016x%016x" % (request_id, request_id)
        return bytes(data)


def _encode_records(parameters: bytes) -> list[bytes]:
    return [
        fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 1)),
        fastcgi.encode_record(fastcgi.PARAMS, 1, parameters),
        fastcgi.encode_record(fastcgi.PARAMS, 1),
        fastcgi.encode_record(fastcgi.STDIN, 1),
    ]


def _stream_id_offsets(records: list[bytes]) -> list[int]:
    offsets, record_start = [], 0
    for record in records:
        offsets.append(record_start + STREAM_ID_OFFSET)
        record_start += len(record)
    return offsets


class ScannedResponse(NamedTuple):
    """A complete response; `status` is 0 if it had none."""

    stream_id: int
    status: int


class ResponseScanner:
    """Finds the complete responses in the bytes of one connection, however they are split."""

    def __init__(self) -> None:
        self._incomplete = b""
        self._statuses: dict[int, int] = {}

    def feed(self, data: bytes) -> list[ScannedResponse]:
        """Return the responses that `data` completes. Raises ValueError on an invalid FastCGI record."""
        if self._incomplete:
            data = self._incomplete + data
        responses: list[ScannedResponse] = []
        start, size = 0, len(data)
        while size - start >= fastcgi.HEADER.size:
            version, kind, stream_id, length, padding = fastcgi.HEADER.unpack_from(data, start)
            if version != 1:
                raise ValueError(f"FastCGI record of version {version}, expected 1")
            content = start + fastcgi.HEADER.size
            end = content + length + padding
            if end > size:
                break
            if kind == fastcgi.STDOUT and length and stream_id not in self._statuses:
                self._statuses[stream_id] = _status(data[content : content + min(length, STATUS_END)])
            elif kind == fastcgi.END_REQUEST:
                responses.append(ScannedResponse(stream_id, self._statuses.pop(stream_id, 0)))
            start = end
        self._incomplete = data[start:]
        return responses


def _status(head: bytes) -> int:
    return int(head[len(STATUS_FIELD) : STATUS_END]) if head.startswith(STATUS_FIELD) else 0
