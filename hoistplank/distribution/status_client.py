"""Requests the status of a control replica."""

from __future__ import annotations

import asyncio

import msgspec

from hoistplank.distribution.messages import RequestLine, StatusRequest, VersionFields, encode
from hoistplank.distribution.status import StatusResponse
from hoistplank.distribution.versions import Version
from hoistplank.protocol.errors import ProtocolError

TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 16_777_216  # a row for each of 8,192 dispatchers, with its refusal


async def request_status(address: tuple[str, int], version: Version | None = None) -> StatusResponse:
    """Returns the status of a replica, and of the change `version`; raises OSError or ProtocolError."""
    wanted = VersionFields(*version) if version is not None else None
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address, limit=MAX_RESPONSE_BYTES)
        try:
            writer.write(encode(RequestLine(status=StatusRequest(wanted))))
            line = await reader.readline()
        except ValueError as error:
            raise ProtocolError(f"the answer can't be read: {error}") from error
        finally:
            writer.close()
    if not line:
        raise ProtocolError("the connection was closed without an answer")
    try:
        return msgspec.json.decode(line, type=StatusResponse)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"the answer can't be read: {error}") from error
