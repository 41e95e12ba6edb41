"""Base class of the package's errors."""

from __future__ import annotations


class AuthorizationError(Exception):
    """Invalid input from a caller, an operator or a file; the text says what is invalid and why."""
