"""Results of the laboratory: a Parquet file of an earlier text is read alike, and an experiment gives the
same."""

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
OF_THE_RUN = ("revision", "machine", "took_s")  # what differs between two runs of the same text


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The folder of the same experiment, played by the text under test."""
    folder = tmp_path_factory.mktemp("tiny")
    words = ["run", str(FIXTURES / "lab" / "tiny.sexp"), "--out", str(folder), "--workers", "2"]
    ran = CliRunner().invoke(lab, words)
    assert ran.exit_code == 0, ran.output
    return folder


def without_the_run(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    kept = [{name: value for name, value in row.items() if name not in OF_THE_RUN} for row in rows]
    return sorted(kept, key=lambda row: str(row["key"]))


def test_the_columns_are_those_of_the_earlier_file(played: Path) -> None:
    wanted = parquet.read_schema(RESULTS)
    assert parquet.read_schema(played / results.TABLE).equals(wanted, check_metadata=True)


def test_the_same_experiment_gives_the_same_rows(played: Path) -> None:
    assert as_json(without_the_run(results.load(played))) == as_json(without_the_run(results.load(RESULTS)))


def test_an_earlier_file_is_compared_as_it_was() -> None:
    told = CliRunner().invoke(lab, ["compare", str(RESULTS), "--json"])
    assert told.exit_code == 0
    assert as_json(json.loads(told.output)) == as_json(fixture_json("lab/compare.json"))


def test_an_earlier_file_becomes_a_report(tmp_path: Path) -> None:
    page = tmp_path / "report.html"
    told = CliRunner().invoke(lab, ["report", str(RESULTS), "--out", str(page)])
    assert told.exit_code == 0 and "tiny" in page.read_text()
