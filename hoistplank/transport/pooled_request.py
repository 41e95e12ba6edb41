"""What goes over a pooled connection, and the ways in which it can end without an answer."""

from __future__ import annotations

import enum
from typing import Protocol


class RequestFailure(enum.StrEnum):
    """How a request ended without an answer. All but the last two prove that it never ran."""

    REFUSED = "refused"  # the cache host's machine turned the connection down
    CONNECT_TIMED_OUT = "not up"  # no connection in time
    NOT_WRITTEN = "unwritten"  # the connection ended before the request was written whole
    WITHHELD = "withheld"  # it was not to begin any more when its turn came
    CONNECTION_LOST = "broken"  # the connection ended after it was written
    # The connection ended after it was written, and that says nothing of the host: it ended inside an answer
    # or by bytes that can't be read, or another request on it stands for the loss already.
    ANSWER_SPOILED = "spoilt"


class PooledRequest(Protocol):
    """A request that the pool sends; it hears once how it ended, unless its answer came."""

    id: str

    def may_begin(self) -> bool:
        """Called just before its first byte is written; False: it is left out, and fails as WITHHELD."""

    def encode(self) -> bytes:
        """Called once it may begin: its bytes, as they are to be written now."""

    def failed(self, failure: RequestFailure, /) -> None:
        """It has ended without an answer."""
