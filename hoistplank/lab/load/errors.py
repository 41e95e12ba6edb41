"""Errors of the load tool."""

from __future__ import annotations


class LoadError(Exception):
    """A load run that could not be carried out; the text says why."""


class LoadPlanError(LoadError, ValueError):
    """A schedule or a traffic mix that can't be used; the text says what was found and what was expected."""
