"""Selects the replica that a dispatcher follows, and decides if a preferred one may be tried again."""

from __future__ import annotations

from collections.abc import Sequence

from hoistplank.distribution.assignment import ReplicaAddress

# Without it, a dispatcher that its preferred replica rejects for load would leave its current replica each
# minute, only to be rejected again.
REDIRECT_HOLD_S = 120.0


class ReplicaSelection:
    """A position in a dispatcher's order of replicas. Times are those of the event loop (s)."""

    def __init__(self, order: Sequence[ReplicaAddress]) -> None:
        self.order = order
        self.position = 0
        self._redirected_at: dict[str, float] = {}  # by replica: when it last rejected this dispatcher

    @property
    def current(self) -> ReplicaAddress:
        """The replica that is followed or being tried."""
        return self.order[self.position]

    @property
    def is_preferred(self) -> bool:
        """True if the current replica is the first of the order."""
        return self.position == 0

    def restart(self) -> None:
        """Selects the first replica again."""
        self.position = 0

    def advance(self) -> None:
        """Selects the next replica, and after the last the first."""
        self.position = (self.position + 1) % len(self.order)

    def mark_redirected(self, now_s: float) -> None:
        """Records that the current replica rejected this dispatcher."""
        self._redirected_at[self.current.name] = now_s

    def preferred_to_current(self) -> Sequence[ReplicaAddress]:
        """Returns the replicas that precede the current one in the order."""
        return self.order[: self.position]

    def may_try(self, replica: ReplicaAddress, now_s: float) -> bool:
        """Returns True if a replica has not rejected this dispatcher within the last REDIRECT_HOLD_S."""
        return now_s - self._redirected_at.get(replica.name, -REDIRECT_HOLD_S) >= REDIRECT_HOLD_S
