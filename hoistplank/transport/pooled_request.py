"""A request on a pooled connection, and the ways in which it can end without an answer."""

from __future__ import annotations

import enum
from typing import Protocol

from hoistplank.transport.transmission import Transmission, Undelivered


class RequestFailure(enum.StrEnum):
    """The reason why a request that may have run ended without an answer."""

    CONNECTION_LOST = "broken"  # the connection ended after it was written
    # Likewise, without counting against the host: the connection ended inside an answer or by malformed
    # input, or the loss is already counted for another request on it.
    ANSWER_SPOILED = "spoilt"


class PooledRequest(Protocol):
    """A request to be sent by the pool. If it ends without an answer, either `undelivered` or `failed` is
    called, once."""

    id: str
    transmission: Transmission  # kept up to date by the connection that writes it

    def may_begin(self) -> bool:
        """Called just before its first byte is written; on False it is withdrawn."""

    def encode(self) -> bytes:
        """Returns the bytes to write; called after `may_begin` has returned True."""

    def may_continue(self) -> bool:
        """Called before each further part of it is written, also if it has ended; on False its connection is
        ended instead, so that it never arrives whole."""

    def undelivered(self, proof: Undelivered, /) -> None:
        """Called when the request has ended and never ran."""

    def failed(self, failure: RequestFailure, /) -> None:
        """Called when the request has ended and may have run."""
