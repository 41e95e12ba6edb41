"""How much of one request the system has taken, and the proof that its host can't have received it whole."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class TransmissionState(enum.StrEnum):
    """The states of a transmission. In `SENDING` and `WRITTEN` the whole request may be at its host."""

    WAITING = "waiting"  # the system has no byte of it
    SENDING = "sending"  # handed to the system, which may have taken any part of it
    PARTLY_WRITTEN = "partly written"  # the system has its first bytes, and not its last
    WRITTEN = "written"  # the system has all of it
    VOID = "void"  # the system has not all of it, and gets no further byte


class UndeliveredReason(enum.StrEnum):
    """The reason why a request was not delivered."""

    REFUSED = "refused"  # the cache host's machine refused the connection
    CONNECT_TIMED_OUT = "not up"  # the connection was not established in time
    NOT_WRITTEN = "unwritten"  # the connection ended before the whole request was written
    NOT_STARTED = "withheld"  # it was withdrawn before its first byte


class Transmission:
    """The transmission of one request over one connection; it outlives both.

    The message writer reports each step: `begin` before the request is handed to the system, and what the
    system has taken after that. A step that can't follow raises RuntimeError: no step leads out of `VOID` or
    `WRITTEN`. Only `withdraw` and `connection_ended` prove that a request never ran.
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = TransmissionState.WAITING

    @property
    def may_begin(self) -> bool:
        """True if the request still waits to be handed to the system."""
        return self.state is TransmissionState.WAITING

    @property
    def is_written(self) -> bool:
        """True if the system has all of the request."""
        return self.state is TransmissionState.WRITTEN

    def begin(self) -> None:
        """The request is about to be handed to the system."""
        self._advance(TransmissionState.SENDING, TransmissionState.WAITING)

    def not_taken(self) -> None:
        """The system has taken no byte of it: it waits to be handed over again."""
        self._advance(TransmissionState.WAITING, TransmissionState.SENDING)

    def partly_taken(self) -> None:
        """The system has taken a part of it; the rest follows while the connection stands."""
        self._advance(TransmissionState.PARTLY_WRITTEN, TransmissionState.SENDING)

    def taken(self) -> None:
        """The system has taken all of it."""
        self._advance(TransmissionState.WRITTEN, TransmissionState.SENDING, TransmissionState.PARTLY_WRITTEN)

    def _advance(self, state: TransmissionState, *allowed: TransmissionState) -> None:
        if self.state not in allowed:
            raise RuntimeError(f"a transmission that is {self.state} can't become {state}")
        self.state = state

    def withdraw(self, reason: UndeliveredReason) -> Undelivered | None:
        """Prevents that it begins, and returns the proof; None if it has begun and may run.

        A request of which the system has a part is written to its end while its connection stands.
        """
        return self._void((TransmissionState.WAITING, TransmissionState.VOID), reason)

    def connection_ended(self, reason: UndeliveredReason) -> Undelivered | None:
        """Returns the proof that it was not written whole by the end of its connection; None if it may have
        been. Called once the connection writes nothing any more."""
        unwritten = (TransmissionState.WAITING, TransmissionState.PARTLY_WRITTEN, TransmissionState.VOID)
        return self._void(unwritten, reason)

    def _void(self, allowed: tuple[TransmissionState, ...], reason: UndeliveredReason) -> Undelivered | None:
        if self.state not in allowed:
            return None
        self.state = TransmissionState.VOID
        return Undelivered(self, reason)


@dataclass(frozen=True, slots=True)
class Undelivered:
    """The proof that a request never ran: its transmission, which is void.

    Raises ValueError for a transmission that proves nothing.
    """

    transmission: Transmission
    reason: UndeliveredReason

    def __post_init__(self) -> None:
        if self.transmission.state is not TransmissionState.VOID:
            raise ValueError(f"a transmission that is {self.transmission.state} proves nothing")
