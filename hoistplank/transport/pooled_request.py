"""A request on a pooled connection, and the ways in which it can end without an answer."""

from __future__ import annotations

import enum
from typing import Protocol

from hoistplank.transport.transmission import Transmission


class RequestFailure(enum.StrEnum):
    """The reason why a request ended without an answer. All but the last two prove that it did not run."""

    REFUSED = "refused"  # the cache host's machine refused the connection
    CONNECT_TIMED_OUT = "not up"  # the connection was not established in time
    NOT_WRITTEN = "unwritten"  # the connection ended before the whole request was written
    NOT_STARTED = "withheld"  # `may_begin` returned False when it was next to be written
    CONNECTION_LOST = "broken"  # the connection ended after it was written
    # The connection ended after it was written, without counting against the host: it ended inside an answer
    # or by malformed input, or the loss is already counted for another request on it.
    ANSWER_SPOILED = "spoilt"


class PooledRequest(Protocol):
    """A request to be sent by the pool; `failed` is called once if it ends without an answer."""

    id: str
    transmission: Transmission  # kept up to date by the connection that writes it

    def may_begin(self) -> bool:
        """Called just before its first byte is written; on False it is not sent and fails as NOT_STARTED."""

    def encode(self) -> bytes:
        """Returns the bytes to write; called after `may_begin` has returned True."""

    def failed(self, failure: RequestFailure, /) -> None:
        """Called when the request has ended without an answer."""
