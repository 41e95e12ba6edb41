"""Loads the Router of an older revision of this project from a checkout."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from pathlib import Path
from typing import Any

import hoistplank
from hoistplank.lab.policy import UnknownPolicyError

# Modules of the interface between a dispatcher and its Router: an older Router runs with the current ones.
INTERFACE = ("actions", "events", "settings")
LOADED_ROUTERS: dict[str, type[Any]] = {}


def load_router(folder: Path, revision: str) -> type[Any]:
    """Returns the Router of a checkout of an older revision; its events and actions must be the current ones.

    Raises UnknownPolicyError if the checkout has no decision package.
    """
    if revision in LOADED_ROUTERS:
        return LOADED_ROUTERS[revision]
    package = "hoistplank.decision"
    file = folder / "hoistplank" / "decision" / "__init__.py"
    if not file.exists():
        raise UnknownPolicyError(f"revision {revision} has no hoistplank/decision")
    current_modules = {
        name: module for name, module in sys.modules.items() if name.split(".")[:2] == package.split(".")
    }
    shared_modules = {f"{package}.{name}" for name in INTERFACE}
    spec = importlib.util.spec_from_file_location(
        package, file, submodule_search_locations=[str(file.parent)]
    )
    assert spec is not None and spec.loader is not None
    try:
        for name in set(current_modules) - shared_modules:
            del sys.modules[name]
        sys.modules[package] = importlib.util.module_from_spec(spec)
        LOADED_ROUTERS[revision] = importlib.import_module(f"{package}.router").Router
    finally:
        for name in [name for name in sys.modules if name.startswith(f"{package}.")]:
            del sys.modules[name]
        sys.modules.update(current_modules)
        hoistplank.decision = current_modules[package]
    return LOADED_ROUTERS[revision]
