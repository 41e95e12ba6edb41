"""Errors of operator overrides; their messages are shown to the operator."""

from __future__ import annotations

from collections.abc import Iterable

MAX_QUOTED_LEVEL, MAX_QUOTED_ACTION = 40, 20  # characters of a request repeated in a message


class DegradationError(ValueError):
    """Base of this package's errors."""


class UnknownLevelError(DegradationError):
    """`level` is not one of the known levels."""

    def __init__(self, level: str, known: Iterable[str]) -> None:
        super().__init__(f"unknown level '{level[:MAX_QUOTED_LEVEL]}', expected one of {', '.join(known)}")
        self.level = level


class ForbiddenLevelError(DegradationError):
    """`level` can't be pinned because an operator has forbidden it."""

    def __init__(self, level: str) -> None:
        super().__init__(f"can't pin level '{level}': an operator has forbidden it")
        self.level = level


class FullServiceError(DegradationError):
    """`level` is full service, which can't be forbidden."""

    def __init__(self, level: str) -> None:
        super().__init__(f"level '{level}' is full service and can't be forbidden")
        self.level = level


class UnknownActionError(DegradationError):
    """`action` is not one of the known actions."""

    def __init__(self, action: str, known: Iterable[str]) -> None:
        super().__init__(f"unknown action '{action[:MAX_QUOTED_ACTION]}', expected one of {', '.join(known)}")
        self.action = action
