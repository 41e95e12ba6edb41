"""Commands that are imported when they are called, and what they need to be installed."""

from __future__ import annotations

import importlib
import importlib.util
from dataclasses import dataclass

import click

SERVICE_EXTRA = "pip install -r requirements-service.txt"


@dataclass(frozen=True, slots=True)
class LazyCommand:
    """Where a command is, the libraries that must be there beside those of the service, and what installs
    them."""

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
    "visit": LazyCommand("hoistplank.cli.request", "request"),  # the older name, which operators know
}
CONTROL_EXTRA = COMMANDS["control"].install


def _is_installed(module: str) -> bool:
    try:
        return importlib.util.find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def _unavailable(name: str, reason: str) -> click.Command:
    """Stands for a command whose libraries are not installed: the others and the help go on without them."""

    def refuse(args: tuple[str, ...]) -> None:  # noqa: ARG001 (click passes what stood on the command line)
        raise click.ClickException(f"'{name}' {reason}")

    arguments = click.Argument(["args"], nargs=-1, type=click.UNPROCESSED)
    settings = {"ignore_unknown_options": True, "help_option_names": []}
    return click.Command(name, settings, refuse, [arguments], help=reason, short_help=reason)


class LazyGroup(click.Group):
    """Imports a subsystem's commands when one of them is called, so that a light command stays light."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands."""
        return sorted({*super().list_commands(ctx), *COMMANDS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """A command by its name."""
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
