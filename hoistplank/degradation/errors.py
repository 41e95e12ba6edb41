"""Errors of the overrides that an operator may ask for; their texts are shown to the operator."""

from __future__ import annotations

from collections.abc import Iterable

SHOWN_LEVEL_CHARACTERS, SHOWN_ACTION_CHARACTERS = 40, 20  # of what an operator sent


class DegradationError(ValueError):
    """Base of this package's errors."""


class UnknownLevelError(DegradationError):
    """`level` is none of `known`."""

    def __init__(self, level: str, known: Iterable[str]) -> None:
        super().__init__(f"no level '{level[:SHOWN_LEVEL_CHARACTERS]}'; there are {', '.join(known)}")
        self.level = level


class ForbiddenLevelError(DegradationError):
    """`level` is forbidden by an operator, and can't be pinned."""

    def __init__(self, level: str) -> None:
        super().__init__(f"level '{level}' is forbidden")
        self.level = level


class FullServiceError(DegradationError):
    """Full service can't be forbidden."""

    def __init__(self, level: str) -> None:
        super().__init__(f"'{level}' can't be forbidden")
        self.level = level


class UnknownActionError(DegradationError):
    """`action` is none of `known`."""

    def __init__(self, action: str, known: Iterable[str]) -> None:
        super().__init__(f"'{action[:SHOWN_ACTION_CHARACTERS]}' is none of {', '.join(known)}")
        self.action = action
