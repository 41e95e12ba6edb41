"""The exceptions of this package."""

from __future__ import annotations


class XdsError(Exception):
    """The base of all exceptions of this package."""


class InvalidRequestError(XdsError):
    """What a follower sent can't be used; the text says why. It costs that stream and no other."""
