"""Asks a control replica for its status."""

from __future__ import annotations

import asyncio

import msgspec

from hoistplank.distribution.messages import RequestLine, StatusRequest, VersionFields, encode
from hoistplank.distribution.status import StatusAnswer
from hoistplank.distribution.versions import Version
from hoistplank.protocol.errors import ProtocolError

ANSWER_S = 5.0
MOST_ANSWER = 16_777_216  # bytes: a row for each of 8,192 dispatchers, with its refusal


async def ask(address: tuple[str, int], version: Version | None = None) -> StatusAnswer:
    """The status of the replica at `address`, and of the change `version`.

    Raises OSError or ProtocolError."""
    wanted = VersionFields(*version) if version is not None else None
    async with asyncio.timeout(ANSWER_S):
        reader, writer = await asyncio.open_connection(*address, limit=MOST_ANSWER)
        try:
            writer.write(encode(RequestLine(status=StatusRequest(wanted))))
            line = await reader.readline()
        except ValueError as wrong:
            raise ProtocolError(f"the answer can't be read: {wrong}") from None
        finally:
            writer.close()
    if not line:
        raise ProtocolError("the connection was closed without an answer")
    try:
        return msgspec.json.decode(line, type=StatusAnswer)
    except msgspec.MsgspecError as wrong:
        raise ProtocolError(f"the answer can't be read: {wrong}") from None
