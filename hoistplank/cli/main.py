"""The `hoistplank` command. Exit codes: 0 success, 1 an error or a failed check, 2 unusable input."""

from __future__ import annotations

import json
import os
import sys
from importlib import metadata

try:
    import click
except ModuleNotFoundError:
    # The platform installs no click: it serves by `python -m hoistplank`, which doesn't need it.
    sys.exit("hoistplank: the command line needs 'click': pip install -r requirements-service.txt")

from hoistplank.cli.lazy import LazyGroup

VERSION_WHEN_NOT_INSTALLED = "0.2.0 (not installed)"
REPORTED_LIBRARIES = (
    "uvloop",
    "structlog",
    "msgspec",
    "click",
    "lark",
    "cryptography",
    "joserfc",
    "httptools",
)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A request router for caches that fill from parents and an origin.

    \b
    Try it:        hoistplank demo
    Check a file:  hoistplank check deploy/operator.sexp
    Serve:         EDGE_CONFIG=config.json hoistplank run --operator deploy/operator.sexp
    """


@main.command()
@click.option("--config", envvar="EDGE_CONFIG", help="The platform's JSON file; default: EDGE_CONFIG.")
@click.option(
    "--operator", envvar="HOISTPLANK_OPERATOR", help="The operator file; default: HOISTPLANK_OPERATOR."
)
@click.option(
    "--log",
    "log_format",
    type=click.Choice(["lines", "json"]),
    help="Log format; default: that of the operator file.",
)
def run(config: str | None, operator: str | None, log_format: str | None) -> None:
    """Run a dispatcher in the foreground.

    SIGTERM drains it (exit code 0), SIGHUP reloads both files. Exit code 2: a file is missing or invalid.
    """
    variables = {"EDGE_CONFIG": config, "HOISTPLANK_OPERATOR": operator, "HOISTPLANK_LOG": log_format}
    os.environ.update({name: value for name, value in variables.items() if value})
    from hoistplank.__main__ import main as serve

    sys.exit(serve())


@main.command()
@click.option(
    "--json", "as_json", is_flag=True, help="Print a JSON object, with the versions of the libraries."
)
def version(as_json: bool) -> None:
    """Print the version."""
    own = _installed_version("hoistplank") or VERSION_WHEN_NOT_INSTALLED
    if not as_json:
        click.echo(f"hoistplank {own}")
        return
    libraries = {name: _installed_version(name) or None for name in REPORTED_LIBRARIES}
    click.echo(json.dumps({"hoistplank": own, "python": sys.version.split()[0], **libraries}))


def _installed_version(distribution: str) -> str:
    try:
        return metadata.version(distribution)
    except metadata.PackageNotFoundError:
        return ""


if __name__ == "__main__":
    main()
