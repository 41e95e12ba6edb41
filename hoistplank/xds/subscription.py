"""One resource type of one follower's stream: what it wants, accepted, refused and is owed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_PENDING_RESPONSES = 4
MAX_ERROR_CHARACTERS = 500


@dataclass(frozen=True, slots=True)
class PendingResponse:
    """A response that waits for its answer."""

    versions: dict[str, str]  # by name; "" if the resource is removed
    urgent_since_us: int  # since when a drain or a purge in it is owed; 0 without one


@dataclass(slots=True)
class Subscription:
    """The state of one type on one stream."""

    is_wildcard: bool = False
    names: set[str] = field(default_factory=set)
    owed: set[str] = field(default_factory=set)
    is_full_response_due: bool = False  # state of the world: an answer is owed even if nothing changed
    accepted: dict[str, str] = field(default_factory=dict)  # name -> version that the follower holds
    refused: dict[str, str] = field(default_factory=dict)  # name -> version that is not sent again
    pending: dict[str, PendingResponse] = field(default_factory=dict)  # by nonce
    last_nonce: str = ""
    error: str = ""  # of the last refusal, until a response is accepted
    urgent_since_us: int = 0  # since when a drain or a purge is owed; 0: none is

    @property
    def can_send_urgent(self) -> bool:
        """Whether a drain or a purge is owed and may be sent now."""
        return self.urgent_since_us > 0 and len(self.pending) < MAX_PENDING_RESPONSES

    def wanted(self, names: set[str]) -> set[str]:
        """Which of these names the follower wants."""
        return names if self.is_wildcard else names & self.names

    def mark_owed(self, now_us: int, names: set[str], *, urgent: bool) -> None:
        """These names changed and are to be sent."""
        self.owed |= names
        if urgent and not self.urgent_since_us:
            self.urgent_since_us = now_us

    def lacks(self, name: str, version: str) -> bool:
        """Whether a version is to be sent: it is neither accepted nor refused."""
        return self.accepted.get(name) != version and self.refused.get(name) != version

    def answer(self, nonce: str, error: str) -> bool:
        """Takes the answer to a pending response; returns whether the response was refused (NACK)."""
        response = self.pending.pop(nonce, None)
        if response is None:
            return False
        if error:
            # Danger: a refused version that is sent again unchanged comes back for ever.
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
        """Since when each drain or purge is owed or unanswered."""
        times = [self.urgent_since_us, *(response.urgent_since_us for response in self.pending.values())]
        return [time for time in times if time]
