"""Commands, arguments and options: each that an earlier text had is there, with its limits and default."""

from __future__ import annotations

import importlib.util
import os
from collections.abc import Callable, Iterator
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

# Options whose default depends on the machine: command and option, the command's module and name in it, and
# the rule by which the default follows from the number of cores.
DEFAULTS_BY_CORES: dict[tuple[str, str], tuple[str, str, Callable[[int], int]]] = {
    ("hoistplank lab run", "--workers"): ("hoistplank.cli.lab_experiments", "run", lambda cores: cores),
    ("hoistplank lab fleet", "--at-once"): (
        "hoistplank.cli.lab_fleet",
        "fleet",
        lambda cores: max(1, cores // 3),
    ),
    ("hoistplank lab soak", "--at-once"): (
        "hoistplank.cli.lab_soak",
        "soak",
        lambda cores: max(1, cores // 2),
    ),
}


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


def depends_on_cores(path: str, option: click.Option) -> bool:
    return any((path, name) in DEFAULTS_BY_CORES for name in option.opts)


def default_with_cores(module: str, command: str, option: str) -> Any:
    """The option's default in a copy of the module that is executed now."""
    spec = importlib.util.find_spec(module)
    assert spec is not None and spec.loader is not None
    copy = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(copy)
    return next(row.default for row in getattr(copy, command).params if option in row.opts)


def described(command: click.Command, path: str) -> dict[str, Any]:
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
                **({} if depends_on_cores(path, o) else {"default": plain(o.default)}),
            }
            for o in options
        },
    }


FOUND = dict(commands(main, "hoistplank"))


def test_the_commands_are_those_that_were_and_those_added_since() -> None:
    assert set(FOUND) == {*COMMANDS, *ADDED, *NEW}


@pytest.mark.parametrize("added, earlier", ADDED.items())
def test_a_second_name_of_a_command_is_the_same_command(added: str, earlier: str) -> None:
    assert as_json(described(FOUND[added], added)) == as_json(COMMANDS[earlier])


@pytest.mark.parametrize("path", COMMANDS)
def test_a_command_has_the_arguments_and_options_that_it_had(path: str) -> None:
    assert as_json(described(FOUND[path], path)) == as_json(COMMANDS[path])


@pytest.mark.parametrize("cores", [None, 1, 2, 6, 10, 32])
@pytest.mark.parametrize("path, option", DEFAULTS_BY_CORES)
def test_a_default_that_depends_on_the_machine_follows_its_rule(
    monkeypatch: pytest.MonkeyPatch, path: str, option: str, cores: int | None
) -> None:
    module, command, rule = DEFAULTS_BY_CORES[path, option]
    monkeypatch.setattr(os, "cpu_count", lambda: cores)
    assert default_with_cores(module, command, option) == rule(cores or 1)


@pytest.mark.parametrize("path, option", DEFAULTS_BY_CORES)
def test_an_option_with_a_default_by_cores_stands_in_its_command(path: str, option: str) -> None:
    assert any(option in row.opts for row in FOUND[path].params)
