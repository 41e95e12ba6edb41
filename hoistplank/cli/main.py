"""The `hoistplank` command. Exit codes: 0 done, 1 something broke or a check failed, 2 what was given can't
be used."""

from __future__ import annotations

import importlib
import importlib.util
import json
import os
import sys
from importlib import metadata
from pathlib import Path
from typing import Any

try:
    import click
except ModuleNotFoundError:
    # The platform's own install: it serves by `python -m hoistplank`, which needs none of this.
    sys.exit("hoistplank: the command line needs 'click': pip install -r requirements-service.txt")

LATER = {
    "keys": ("hoistplank.cli.keys", "keys"),
    "token": ("hoistplank.cli.keys", "token"),
    "revoke": ("hoistplank.cli.keys", "revoke"),
    "state": ("hoistplank.cli.state", "state"),
    "lab": ("hoistplank.cli.lab", "lab"),
    "control": ("hoistplank.cli.control", "control"),
    "demo": ("hoistplank.cli.demo", "demo"),
    "visit": ("hoistplank.cli.demo", "request"),
}
EXTRA = "pip install -r requirements-service.txt"
NEEDS = {"lab": ("rich", "numpy", "pyarrow", "matplotlib"), "control": ("grpc", "envoy", "google")}
EXTRAS = {"lab": f"{EXTRA} -r requirements-lab.txt", "control": f"{EXTRA} -r requirements-xds.txt"}


def _there(module: str) -> bool:
    try:
        return importlib.util.find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def _lacking(name: str, why: str) -> click.Command:
    """Stands for a command whose libraries are not installed: the others and the help go on without them."""

    def refuse(args: tuple[str, ...]) -> None:
        raise click.ClickException(f"'{name}' {why}")

    words = click.Argument(["args"], nargs=-1, type=click.UNPROCESSED)
    settings = {"ignore_unknown_options": True, "help_option_names": []}
    return click.Command(name, settings, refuse, [words], help=why, short_help=why)


class Lazy(click.Group):
    """Imports a subsystem's commands when one of them is called, so that a light command stays light."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted({*super().list_commands(ctx), *LATER})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name in LATER:
            module, name = LATER[cmd_name]
            missing = next((need for need in NEEDS.get(cmd_name, ()) if not _there(need)), "")
            if missing:
                return _lacking(cmd_name, f"needs '{missing}': {EXTRAS[cmd_name]}")
            try:
                found = getattr(importlib.import_module(module), name)
            except ModuleNotFoundError as wrong:
                return _lacking(cmd_name, f"needs '{wrong.name}': {EXTRAS.get(cmd_name, EXTRA)}")
            assert isinstance(found, click.Command)
            return found
        return super().get_command(ctx, cmd_name)


def fail(message: str) -> None:
    """What was given can't be used: a line on standard error, exit code 2."""
    click.echo(f"hoistplank: {message}", err=True)
    sys.exit(2)


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A request router for caches that fill from parents and an origin.

    \b
    Try it:        hoistplank demo
    Check a file:  hoistplank check deploy/operator.sexp
    Serve:         EDGE_CONFIG=config.json hoistplank run --operator deploy/operator.sexp
    """


@main.command()
@click.option("--config", envvar="EDGE_CONFIG", help="The platform's JSON file; EDGE_CONFIG else.")
@click.option(
    "--operator", envvar="HOISTPLANK_OPERATOR", help="The operator's file; HOISTPLANK_OPERATOR else."
)
@click.option(
    "--log", "form", type=click.Choice(["lines", "json"]), help="The form of the log; the file's else."
)
def run(config: str | None, operator: str | None, form: str | None) -> None:
    """Run a dispatcher in the foreground.

    SIGTERM drains it (exit code 0), SIGHUP has both files read again. Exit code 2: a file can't be used.
    """
    for name, value in (("EDGE_CONFIG", config), ("HOISTPLANK_OPERATOR", operator), ("HOISTPLANK_LOG", form)):
        if value:
            os.environ[name] = value
    from hoistplank.__main__ import main as serve

    sys.exit(serve())


@main.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Faults as JSON, an object a line.")
def check(file: str, as_json: bool) -> None:
    """Check an operator's FILE; each fault is told with its line, its column and what was expected.

    Exit code 0: it can be used. 2: it can't. The files that it names are not opened.
    """
    from hoistplank.operator_configuration.errors import ConfigurationError
    from hoistplank.program.sections import load

    try:
        load(file)
    except ConfigurationError as wrong:
        for fault in wrong.diagnostics:
            place = fault.location
            row: dict[str, Any] = {
                "file": place.file,
                "line": place.line,
                "column": place.column,
                "found": fault.found,
                "expected": fault.expected,
            }
            click.echo(json.dumps(row) if as_json else str(fault), err=not as_json)
        sys.exit(2)
    click.echo(json.dumps({"file": file, "good": True}) if as_json else f"{file}: good")


@main.command()
@click.argument("file", type=click.Path())
@click.option("--check", "only", is_flag=True, help="Change nothing; exit code 1 if the file would change.")
@click.option("--stdout", "out", is_flag=True, help="Write to standard output and leave the file as it is.")
def fmt(file: str, only: bool, out: bool) -> None:
    """Write an operator's FILE in its one layout; comments stay where they are."""
    from hoistplank.operator_configuration.errors import ConfigurationError
    from hoistplank.operator_configuration.formatter import format_document
    from hoistplank.operator_configuration.parser import parse

    path = Path(file)
    try:
        data = path.read_bytes()
        text = format_document(parse(data, file)).encode()
    except OSError as wrong:
        return fail(f"{file}: can't be read ({wrong.strerror})")
    except ConfigurationError as wrong:
        return fail(str(wrong))
    if out:
        click.echo(text.decode(), nl=False)
    elif only:
        sys.exit(int(text != data))
    elif text != data:
        # Danger: cut off in the middle of writing, half of the operator's file would be gone.
        beside = path.with_name(f".{path.name}.{os.getpid()}")
        beside.write_bytes(text)
        beside.chmod(path.stat().st_mode & 0o777)
        beside.replace(path)


@main.command()
@click.option("--json", "as_json", is_flag=True, help="As a JSON object, with the libraries' versions.")
def version(as_json: bool) -> None:
    """Tell the version."""

    def of(name: str) -> str:
        try:
            return metadata.version(name)
        except metadata.PackageNotFoundError:
            return ""

    told = of("hoistplank") or "0.2.0 (not installed)"
    names = ("uvloop", "structlog", "msgspec", "click", "lark", "cryptography", "joserfc", "httptools")
    row = {"hoistplank": told, "python": sys.version.split()[0], **{name: of(name) or None for name in names}}
    click.echo(json.dumps(row) if as_json else f"hoistplank {told}")


if __name__ == "__main__":
    main()
