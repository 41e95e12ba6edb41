"""Errors of the load tool."""

from __future__ import annotations


class LoadError(Exception):
    """A load run failed; the message says why."""


class LoadPlanError(LoadError, ValueError):
    """An invalid schedule or traffic mix; the message says what was found and what was expected."""
