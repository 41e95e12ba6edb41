"""How much of one request the system has taken, from its queue to its last byte."""

from __future__ import annotations

import enum


class TransmissionState(enum.StrEnum):
    """The states of a transmission. In `SENDING` and `WRITTEN` the whole request may be at its host."""

    WAITING = "waiting"  # the system has no byte of it
    SENDING = "sending"  # handed to the system, which may have taken any part of it
    PARTLY_WRITTEN = "partly written"  # the system has its first bytes, and not its last
    WRITTEN = "written"  # the system has all of it


class Transmission:
    """The transmission of one request over one connection; it outlives both.

    The message writer reports each step: `begin` before the request is handed to the system, and what the
    system has taken after that.
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = TransmissionState.WAITING

    def begin(self) -> None:
        """The request is about to be handed to the system."""
        self.state = TransmissionState.SENDING

    def not_taken(self) -> None:
        """The system has taken no byte of it: it waits to be handed over again."""
        self.state = TransmissionState.WAITING

    def partly_taken(self) -> None:
        """The system has taken a part of it; the rest follows while the connection stands."""
        self.state = TransmissionState.PARTLY_WRITTEN

    def taken(self) -> None:
        """The system has taken all of it."""
        self.state = TransmissionState.WRITTEN
