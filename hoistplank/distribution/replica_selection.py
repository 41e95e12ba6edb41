"""Which replica a dispatcher follows now, and whether a preferred one may be tried again."""

from __future__ import annotations

from collections.abc import Sequence

from hoistplank.distribution.assignment import ReplicaAddress

# Danger: a dispatcher rejected for load by its preferred replica would leave another each minute for nothing.
REDIRECT_HOLD_S = 120.0


class ReplicaSelection:
    """A position in a dispatcher's order of replicas. Times are those of the event loop (s)."""

    def __init__(self, order: Sequence[ReplicaAddress]) -> None:
        self.order = order
        self.position = 0
        self._redirected_at: dict[str, float] = {}  # by replica: when it last rejected this dispatcher

    @property
    def current(self) -> ReplicaAddress:
        """The replica that is followed or tried."""
        return self.order[self.position]

    @property
    def is_preferred(self) -> bool:
        """Whether the current replica is the first of the order."""
        return self.position == 0

    def restart(self) -> None:
        """Goes back to the first replica."""
        self.position = 0

    def advance(self) -> None:
        """Goes on to the next replica, and from the last to the first."""
        self.position = (self.position + 1) % len(self.order)

    def mark_redirected(self, now_s: float) -> None:
        """The current replica rejected this dispatcher."""
        self._redirected_at[self.current.name] = now_s

    def preferred_to_current(self) -> Sequence[ReplicaAddress]:
        """The replicas that come before the current one in the order."""
        return self.order[: self.position]

    def may_try(self, replica: ReplicaAddress, now_s: float) -> bool:
        """Whether a replica has not rejected this dispatcher lately."""
        return now_s - self._redirected_at.get(replica.name, -REDIRECT_HOLD_S) >= REDIRECT_HOLD_S
