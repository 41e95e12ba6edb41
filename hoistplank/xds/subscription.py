"""The state of one resource type on one follower's stream. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_PENDING_RESPONSES = 4
MAX_ERROR_CHARACTERS = 500


@dataclass(frozen=True, slots=True)
class PendingResponse:
    """A response that has not been accepted or refused yet."""

    versions: dict[str, str]  # by name; "" if the resource is removed
    urgent_since_us: int  # when a drain or a purge in it became due; 0 if it has none


@dataclass(slots=True)
class Subscription:
    """The state of one type on one stream."""

    is_wildcard: bool = False
    names: set[str] = field(default_factory=set)
    unsent: set[str] = field(default_factory=set)  # names of changed resources that are still to be sent
    is_full_response_due: bool = False  # state of the world: a response is due even if nothing changed
    accepted: dict[str, str] = field(default_factory=dict)  # name -> version that the follower holds
    refused: dict[str, str] = field(default_factory=dict)  # name -> version that is not sent again
    pending: dict[str, PendingResponse] = field(default_factory=dict)  # by nonce
    last_nonce: str = ""
    error: str = ""  # of the last refusal, until a response is accepted
    urgent_since_us: int = 0  # when an unsent drain or purge became due; 0 if there is none

    @property
    def can_send_urgent(self) -> bool:
        """True if a drain or a purge is unsent and may be sent now."""
        return self.urgent_since_us > 0 and len(self.pending) < MAX_PENDING_RESPONSES

    def wanted(self, names: set[str]) -> set[str]:
        """Returns those of these names that the follower subscribes to."""
        return names if self.is_wildcard else names & self.names

    def mark_unsent(self, now_us: int, names: set[str], *, urgent: bool) -> None:
        """Marks these names as changed and still to be sent."""
        self.unsent |= names
        if urgent and not self.urgent_since_us:
            self.urgent_since_us = now_us

    def lacks(self, name: str, version: str) -> bool:
        """True if a version has been neither accepted nor refused, so that it is to be sent."""
        return self.accepted.get(name) != version and self.refused.get(name) != version

    def answer(self, nonce: str, error: str) -> bool:
        """Applies the answer to a pending response; returns True if the response was refused (NACK)."""
        response = self.pending.pop(nonce, None)
        if response is None:
            return False
        if error:
            # A refused version that was sent again unchanged would be refused again, without end.
            self.error = error[:MAX_ERROR_CHARACTERS]
            self.refused.update(response.versions)
            return True
        self.error = ""
        for name, version in response.versions.items():
            self.refused.pop(name, None)
            if version:
                self.accepted[name] = version
            else:
                self.accepted.pop(name, None)
        return False

    def urgent_times_us(self) -> list[int]:
        """Returns when each unsent or unanswered drain or purge became due."""
        times = [self.urgent_since_us, *(response.urgent_since_us for response in self.pending.values())]
        return [time for time in times if time]
