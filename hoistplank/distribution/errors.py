"""The exceptions of this package."""

from __future__ import annotations


class DistributionError(Exception):
    """The base of all exceptions of this package."""


class RedirectedError(DistributionError):
    """A replica does not accept this dispatcher now; the text is its reason."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConfigurationRefusedError(DistributionError):
    """A configuration can't be used; the text names the key and its position."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
