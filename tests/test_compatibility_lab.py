"""Compatibility of the laboratory's results: Parquet files of an earlier revision are readable, and the same
experiment gives the same rows."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pyarrow.parquet as parquet
import pytest
from click.testing import CliRunner

from hoistplank.cli.lab import lab
from hoistplank.lab import results
from tests.fixture_files import FIXTURES, as_json, fixture_json

RESULTS = FIXTURES / "lab" / "results.parquet"
RUN_COLUMNS = ("revision", "machine", "took_s")  # these differ between two runs of the same revision


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Returns the results folder of the fixture's experiment, run by the revision under test."""
    folder = tmp_path_factory.mktemp("tiny")
    arguments = ["run", str(FIXTURES / "lab" / "tiny.sexp"), "--out", str(folder), "--workers", "2"]
    ran = CliRunner().invoke(lab, arguments)
    assert ran.exit_code == 0, ran.output
    return folder


def without_run_columns(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    kept = [{name: value for name, value in row.items() if name not in RUN_COLUMNS} for row in rows]
    return sorted(kept, key=lambda row: str(row["key"]))


def test_the_columns_equal_those_of_an_earlier_file(played: Path) -> None:
    expected = parquet.read_schema(RESULTS)
    assert parquet.read_schema(played / results.TABLE).equals(expected, check_metadata=True)


def test_the_same_experiment_gives_the_same_rows(played: Path) -> None:
    assert as_json(without_run_columns(results.load(played))) == as_json(
        without_run_columns(results.load(RESULTS))
    )


def test_comparing_an_earlier_file_gives_the_same_output() -> None:
    result = CliRunner().invoke(lab, ["compare", str(RESULTS), "--json"])
    assert result.exit_code == 0
    assert as_json(json.loads(result.output)) == as_json(fixture_json("lab/compare.json"))


def test_a_report_is_written_from_an_earlier_file(tmp_path: Path) -> None:
    page = tmp_path / "report.html"
    result = CliRunner().invoke(lab, ["report", str(RESULTS), "--out", str(page)])
    assert result.exit_code == 0 and "tiny" in page.read_text()
