"""The base of the package's errors."""

from __future__ import annotations


class AuthorizationError(Exception):
    """Something that callers, operators or their files gave can't be used; the text says what and why."""
