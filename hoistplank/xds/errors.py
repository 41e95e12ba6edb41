"""The exceptions of this package."""

from __future__ import annotations


class XdsError(Exception):
    """The base of all exceptions of this package."""


class InvalidRequestError(XdsError):
    """A request of a follower is invalid; the text says why. Only that follower's stream is ended."""
