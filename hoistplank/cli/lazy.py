"""Commands that are imported only when called, and the libraries that they require."""

from __future__ import annotations

import importlib
import importlib.util
from dataclasses import dataclass

import click

SERVICE_EXTRA = "pip install -r requirements-service.txt"


@dataclass(frozen=True, slots=True)
class LazyCommand:
    """The location of a command, the libraries that it requires beside those of the service, and the command
    that installs them."""

    module: str
    attribute: str
    libraries: tuple[str, ...] = ()
    install: str = SERVICE_EXTRA


COMMANDS = {
    "check": LazyCommand("hoistplank.cli.operator_file", "check"),
    "fmt": LazyCommand("hoistplank.cli.operator_file", "fmt"),
    "keys": LazyCommand("hoistplank.cli.keys", "keys"),
    "token": LazyCommand("hoistplank.cli.tokens", "token"),
    "revoke": LazyCommand("hoistplank.cli.revoke", "revoke"),
    "state": LazyCommand("hoistplank.cli.state", "state"),
    "lab": LazyCommand(
        "hoistplank.cli.lab",
        "lab",
        ("rich", "numpy", "pyarrow", "matplotlib"),
        f"{SERVICE_EXTRA} -r requirements-lab.txt",
    ),
    "control": LazyCommand(
        "hoistplank.cli.control",
        "control",
        ("grpc", "envoy", "google"),
        f"{SERVICE_EXTRA} -r requirements-xds.txt",
    ),
    "demo": LazyCommand("hoistplank.cli.demo", "demo"),
    "request": LazyCommand("hoistplank.cli.request", "request"),
    "visit": LazyCommand("hoistplank.cli.request", "request"),  # the previous name, kept for operators
}
CONTROL_EXTRA = COMMANDS["control"].install


def _is_installed(module: str) -> bool:
    try:
        return importlib.util.find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def _unavailable(name: str, reason: str) -> click.Command:
    """Returns a placeholder for a command whose libraries are missing; the help and other commands work."""

    def refuse(args: tuple[str, ...]) -> None:  # noqa: ARG001 (click passes the arguments)
        raise click.ClickException(f"'{name}' {reason}")

    arguments = click.Argument(["args"], nargs=-1, type=click.UNPROCESSED)
    settings = {"ignore_unknown_options": True, "help_option_names": []}
    return click.Command(name, settings, refuse, [arguments], help=reason, short_help=reason)


class LazyGroup(click.Group):
    """Imports a subsystem only when one of its commands is called, so that others start without it."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted({*super().list_commands(ctx), *COMMANDS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns a command by its name, or None."""
        lazy = COMMANDS.get(cmd_name)
        return super().get_command(ctx, cmd_name) if lazy is None else _load(cmd_name, lazy)


def _load(name: str, lazy: LazyCommand) -> click.Command:
    missing = next((library for library in lazy.libraries if not _is_installed(library)), "")
    if missing:
        return _unavailable(name, f"needs '{missing}': {lazy.install}")
    try:
        command = getattr(importlib.import_module(lazy.module), lazy.attribute)
    except ModuleNotFoundError as error:
        return _unavailable(name, f"needs '{error.name}': {lazy.install}")
    assert isinstance(command, click.Command)
    return command
