"""Commands, arguments and options: each that an earlier text had is there, with its limits and default."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import pytest

from hoistplank.cli.main import main
from tests.fixture_files import as_json, fixture_json

ADDED = {"hoistplank request": "hoistplank visit"}  # a second name beside the earlier one
NEW = {"hoistplank lab soak"}  # commands that had no earlier form
ROOT = Path(__file__).resolve().parents[1]
COMMANDS: dict[str, dict[str, Any]] = fixture_json("cli.json")


def commands(command: click.Command, path: str) -> Iterator[tuple[str, click.Command]]:
    yield path, command
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            inner = command.get_command(context, name)
            assert inner is not None
            yield from commands(inner, f"{path} {name}")


def limits(kind: click.ParamType) -> dict[str, Any]:
    found = {name: getattr(kind, name, None) for name in ("choices", "min", "max")}
    return {
        name: list(value) if name == "choices" else value
        for name, value in found.items()
        if value is not None
    }


def plain(default: Any) -> Any:
    """An option's default as JSON has it; a path in the repository as seen from there."""
    if not isinstance(default, Path):
        return default
    return str(default.relative_to(ROOT) if default.is_relative_to(ROOT) else default)


def described(command: click.Command) -> dict[str, Any]:
    arguments = [row for row in command.params if isinstance(row, click.Argument)]
    options = [row for row in command.params if isinstance(row, click.Option)]
    return {
        "arguments": [{"required": a.required, "values": a.nargs, **limits(a.type)} for a in arguments],
        "options": {
            " ".join([*o.opts, *o.secondary_opts]): {
                "flag": o.is_flag,
                "many": o.multiple,
                "required": o.required,
                **limits(o.type),
                # That of `--workers` is the number of the machine's cores.
                **({} if "--workers" in o.opts else {"default": plain(o.default)}),
            }
            for o in options
        },
    }


FOUND = dict(commands(main, "hoistplank"))


def test_the_commands_are_those_that_were_and_those_added_since() -> None:
    assert set(FOUND) == {*COMMANDS, *ADDED, *NEW}


@pytest.mark.parametrize("added, earlier", ADDED.items())
def test_a_second_name_of_a_command_is_the_same_command(added: str, earlier: str) -> None:
    assert as_json(described(FOUND[added])) == as_json(COMMANDS[earlier])


@pytest.mark.parametrize("path", COMMANDS)
def test_a_command_has_the_arguments_and_options_that_it_had(path: str) -> None:
    assert as_json(described(FOUND[path])) == as_json(COMMANDS[path])
