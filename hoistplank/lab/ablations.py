"""Ablations: the Router with one defence switched off, by a substituted part or by changed settings."""

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
    """Finds no stalled attempt: an attempt ends when its host answers or at its deadline."""

    def find_if_due(self, now_us: int, in_flight: Iterable[Attempt]) -> list[Attempt]:  # noqa: ARG002 (overrides)
        """Returns no attempts."""
        return []


class NoHerds(HerdTable):
    """Puts each request in a herd of its own: none is held or joined, and no copy holder is remembered."""

    def join(self, now_us: int, request: Request) -> Herd:
        """Returns a new herd for this request alone."""
        request.herd, request.in_herd = Herd(now_us), False
        return request.herd


class NoCooldown(HerdTable):
    """Ignores the host on which a copy was last seen."""

    def copy_holder(self, now_us: int, request: Request, herd: Herd) -> Host | None:  # noqa: ARG002 (overrides)
        """Returns None: no copy holder is known."""
        return None


class NoSlowStart(SlowStart):
    """Sends a cold host as much as a warm one, which violates rule four on purpose."""

    def fits_budget(self, now_us: int, host: Host, sending_time_us: float) -> bool:  # noqa: ARG002 (overrides)
        """Returns True."""
        return True


class NoFillLimit(FillLimit):
    """Starts fills regardless of how many the location's link already carries."""

    def has_capacity(self, now_us: int) -> bool:  # noqa: ARG002 (overrides)
        """Returns True."""
        return True


class NoEjection(HealthTracker):
    """Never ejects a host, neither for silence nor for lost connections."""

    def eject(self, now_us: int, host: Host, min_ejections: int = 1) -> None:
        """Does nothing."""

    def record_loss(self, now_us: int, host: Host, signs: int, sent_us: int) -> None:
        """Does nothing."""


def _one_attempt(settings: RouterSettings) -> RouterSettings:
    return replace(settings, rules=replace(settings.rules, max_attempts=1))


def _no_stale_copies(settings: RouterSettings) -> RouterSettings:
    """Returns settings under which no copy past its fresh time is requested."""
    return replace(
        settings, traffic_classes=tuple(replace(row, stale_window_us=0) for row in settings.traffic_classes)
    )


# Ablations by the name after "without-": those that substitute a part, and those that change the settings.
ABLATED_PARTS: dict[str, PartTypes] = {
    "silence": replace(DEFAULT_TYPES, stalls=NoStallDetector),
    "herds": replace(DEFAULT_TYPES, herds=NoHerds),
    "cooldown": replace(DEFAULT_TYPES, herds=NoCooldown),
    "colds": replace(DEFAULT_TYPES, slow_start=NoSlowStart),
    "room": replace(DEFAULT_TYPES, fills=NoFillLimit),
    "doubt": replace(DEFAULT_TYPES, health=NoEjection),
}
ABLATED_SETTINGS: dict[str, Callable[[RouterSettings], RouterSettings]] = {
    "repeats": _one_attempt,
    "old": _no_stale_copies,
}
