"""`hoistplank check` and `hoistplank fmt`: validate and format an operator file."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import click

from hoistplank.cli.failure import UNUSABLE_INPUT, fail


@click.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print errors as JSON, one object per line.")
def check(file: str, as_json: bool) -> None:
    """Check an operator FILE; each error is printed with its line, its column and what was expected.

    Exit code 0: the file is valid. 2: it is not. Other files that it refers to are not opened.
    """
    from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
    from hoistplank.program.sections import load_file

    def as_line(diagnostic: Diagnostic) -> str:
        location, found, expected = diagnostic
        row = {**location._asdict(), "found": found, "expected": expected}
        return json.dumps(row) if as_json else str(diagnostic)

    try:
        load_file(file)
    except ConfigurationError as error:
        for diagnostic in error.diagnostics:
            click.echo(as_line(diagnostic), err=not as_json)
        sys.exit(UNUSABLE_INPUT)
    click.echo(json.dumps({"file": file, "good": True}) if as_json else f"{file}: good")


@click.command()
@click.argument("file", type=click.Path())
@click.option("--check", "only", is_flag=True, help="Write nothing; exit code 1 if the file would change.")
@click.option("--stdout", "out", is_flag=True, help="Write to standard output and leave the file unchanged.")
def fmt(file: str, only: bool, out: bool) -> None:
    """Format an operator FILE in the standard layout; comments stay in place."""
    from hoistplank.operator_configuration.errors import ConfigurationError
    from hoistplank.operator_configuration.formatter import format_document
    from hoistplank.operator_configuration.parser import parse

    path = Path(file)
    try:
        data = path.read_bytes()
        formatted = format_document(parse(data, file)).encode()
    except OSError as error:
        fail(f"{file}: can't be read ({error.strerror})")
    except ConfigurationError as error:
        fail(str(error))
    if out:
        click.echo(formatted.decode(), nl=False)
    elif only:
        sys.exit(int(formatted != data))
    elif formatted != data:
        _replace(path, formatted)


def _replace(path: Path, data: bytes) -> None:
    """Replaces the file by a rename: an interrupted write in place would lose half of the operator file."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.write_bytes(data)
    temporary.chmod(path.stat().st_mode & 0o777)
    temporary.replace(path)
