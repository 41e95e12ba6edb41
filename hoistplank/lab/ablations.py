"""The Router with one defence off: by other parts, or by other settings."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from hoistplank.decision.concurrency import FillLimit
from hoistplank.decision.health import HealthTracker
from hoistplank.decision.herds import HerdTable
from hoistplank.decision.hosts import Host
from hoistplank.decision.parts import DEFAULT_TYPES, PartTypes
from hoistplank.decision.requests import Attempt, Herd, Request
from hoistplank.decision.settings import RouterSettings
from hoistplank.decision.slow_start import SlowStart
from hoistplank.decision.stalls import StallDetector


class NoStallDetector(StallDetector):
    """Nothing that hangs is found: an attempt ends when its host says so or at its deadline."""

    def find_if_due(self, now_us: int, in_flight: Iterable[Attempt]) -> list[Attempt]:  # noqa: ARG002 (overrides)
        """None."""
        return []


class NoHerds(HerdTable):
    """Each request stands alone: nobody is held, joins, or knows where a copy was seen."""

    def join(self, now_us: int, request: Request) -> Herd:
        """A herd of one."""
        request.herd, request.in_herd = Herd(now_us), False
        return request.herd


class NoCooldown(HerdTable):
    """Where a copy was last seen counts for nothing."""

    def copy_holder(self, now_us: int, request: Request, herd: Herd) -> Host | None:  # noqa: ARG002 (overrides)
        """None."""
        return None


class NoSlowStart(SlowStart):
    """A cold host gets what a warm one gets. Breaks rule four, which is the point of it."""

    def fits_budget(self, now_us: int, host: Host, sending_time_us: float) -> bool:  # noqa: ARG002 (overrides)
        """Always."""
        return True


class NoFillLimit(FillLimit):
    """Fills are let go whatever the location's link has under way."""

    def has_capacity(self, now_us: int) -> bool:  # noqa: ARG002 (overrides)
        """Always."""
        return True


class NoEjection(HealthTracker):
    """Neither silence nor lost connections are held against a host."""

    def eject(self, now_us: int, host: Host, min_ejections: int = 1) -> None:
        """Does nothing."""

    def record_loss(self, now_us: int, host: Host, signs: int, sent_us: int) -> None:
        """Does nothing."""


def _one_attempt(settings: RouterSettings) -> RouterSettings:
    return replace(settings, rules=replace(settings.rules, max_attempts=1))


def _no_stale_copies(settings: RouterSettings) -> RouterSettings:
    """Copies past their fresh time are never asked for."""
    return replace(
        settings, traffic_classes=tuple(replace(row, stale_window_us=0) for row in settings.traffic_classes)
    )


# The module with one defence off: by other parts, or by other settings.
WITHOUT_PART: dict[str, PartTypes] = {
    "silence": replace(DEFAULT_TYPES, stalls=NoStallDetector),
    "herds": replace(DEFAULT_TYPES, herds=NoHerds),
    "cooldown": replace(DEFAULT_TYPES, herds=NoCooldown),
    "colds": replace(DEFAULT_TYPES, slow_start=NoSlowStart),
    "room": replace(DEFAULT_TYPES, fills=NoFillLimit),
    "doubt": replace(DEFAULT_TYPES, health=NoEjection),
}
WITHOUT_SETTING: dict[str, Callable[[RouterSettings], RouterSettings]] = {
    "repeats": _one_attempt,
    "old": _no_stale_copies,
}
