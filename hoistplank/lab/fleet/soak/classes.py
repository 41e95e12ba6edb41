"""The traffic classes of a run of the soak, drawn from its seed: each effect and scope, with short times."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

PAGE_DEADLINE_S, BOOKING_DEADLINE_S, BOOKING_WINDOW_S = 1.5, 3.0, 3.0
SHORT_DEADLINES_S = (0.3, 0.4, 0.7)
WINDOWS_S = (0.15, 0.3, 3.0)
OBJECTIVE_SHARE = 0.7  # of the deadline


@dataclass(frozen=True, slots=True)
class SoakClass:
    """A traffic class; `semantics` in the words of the settings, `share` of the requests."""

    name: str
    semantics: str
    scope: str
    window_s: float
    deadline_s: float
    is_cached: bool
    share: float

    @property
    def is_idempotent(self) -> bool:
        """Whether its requests may be repeated and refused freely."""
        return self.semantics == "idempotent"

    @property
    def is_keyed(self) -> bool:
        """Whether its requests carry an idempotency key."""
        return self.semantics == "deduplicated"

    def settings(self) -> dict[str, Any]:
        """Returns it as the dispatcher's settings have it."""
        return {
            "name": self.name,
            "target": self.deadline_s * OBJECTIVE_SHARE,
            "aim_stretch": 2.0,
            "give_up": self.deadline_s,
            "semantics": self.semantics,
            "group": self.scope,
            "dedup_window": self.window_s,
            "gain": 1.0 if self.is_idempotent else 3.0,
        }


PAGE = SoakClass("page", "idempotent", "all", 0.0, PAGE_DEADLINE_S, True, 0.3)
BOOKING = SoakClass("booking", "deduplicated", "all", BOOKING_WINDOW_S, BOOKING_DEADLINE_S, False, 0.1)


def draw_classes(seed: int) -> tuple[SoakClass, ...]:
    """Returns the classes of a seed: the same each time."""
    random = Random(f"classes {seed}")

    def drawn(name: str, semantics: str, scope: str, share: float, *, is_cached: bool) -> SoakClass:
        window_s = random.choice(WINDOWS_S) if semantics == "deduplicated" else 0.0
        deadline_s = random.choice(SHORT_DEADLINES_S)
        return SoakClass(name, semantics, scope, window_s, deadline_s, is_cached, share)

    return (
        PAGE,
        BOOKING,
        drawn("order", "at_most_once", "all", 0.3, is_cached=False),
        drawn("ticket", "at_most_once", "all", 0.1, is_cached=True),
        drawn("payment", "deduplicated", "all", 0.1, is_cached=False),
        drawn("zone-vote", "deduplicated", "zone", 0.05, is_cached=True),
        drawn("cell-vote", "deduplicated", "cell", 0.05, is_cached=True),
    )
