"""Results on disk: one JSON line for each cell during a run, one Parquet file at its end.

An interrupted run loses at most the cells in progress: the next start truncates an incomplete last line and
doesn't repeat completed cells. The Parquet file is written under a temporary name and renamed.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from hoistplank.lab.experiment import LAYOUT

LINES, TABLE = "cells.jsonl", "results.parquet"
VERSION = b"hoistplank.lab.layout"

_numbers = pa.map_(pa.string(), pa.float64())
SCHEMA = pa.schema(
    [
        ("key", pa.string()),
        ("experiment", pa.string()),
        ("day", pa.string()),
        ("script", pa.string()),
        ("size", pa.int32()),
        ("seed", pa.int32()),
        ("policy", pa.string()),
        ("drive", pa.string()),
        ("seconds", pa.float64()),
        ("rate", pa.float64()),
        ("load", pa.float64()),
        ("revision", pa.string()),
        ("machine", pa.string()),
        ("score", pa.float64()),
        ("asked", pa.list_(pa.float32())),
        ("earned", pa.list_(pa.float32())),
        ("tracks", pa.map_(pa.string(), pa.list_(pa.float64()))),
        ("lost", _numbers),
        ("ends", _numbers),
        ("times", pa.map_(pa.string(), pa.list_(pa.int32()))),
        ("hosts", pa.list_(pa.string())),
        ("loads", pa.list_(pa.list_(pa.float32()))),
        ("happened", pa.list_(pa.struct([("at", pa.float32()), ("what", pa.string())]))),
        ("breaches", pa.list_(pa.string())),
        ("broken", _numbers),
        ("coldest", pa.float32()),
        ("fell", pa.int32()),
        ("events", pa.int64()),
        ("took_s", pa.float32()),
        ("digest", pa.string()),
        ("fleet", pa.string()),  # JSON: further results of a fleet scene (`lab/fleet/metrics.py`)
    ],
    metadata={VERSION: str(LAYOUT).encode()},
)
CELL_COLUMNS = ("day", "size", "seed", "policy", "drive", "seconds", "rate", "load")
MAPS = ("tracks", "lost", "ends", "times", "broken")


class ResultsError(Exception):
    """A results file can't be used; the message names the file and the reason."""


class Journal:
    """The completed cells, a JSON line each, synced to disk one by one.

    `cut` is the number of bytes of an incomplete line that were discarded when the file was opened.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / LINES
        self.rows: dict[str, dict[str, Any]] = {}
        self.cut = 0
        if self.path.exists():
            self._read()
        self._file = self.path.open("ab")

    def _read(self) -> None:
        data, complete_bytes = self.path.read_bytes(), 0
        for line in data.split(b"\n")[:-1]:
            try:
                row = json.loads(line)
                self.rows[row["key"]] = row
            except (ValueError, KeyError, TypeError):
                break
            complete_bytes += len(line) + 1
        self.cut = len(data) - complete_bytes
        if self.cut:
            # The next line would be appended to an incomplete one, and neither could be read.
            with self.path.open("r+b") as file:
                file.truncate(complete_bytes)

    def add(self, row: dict[str, Any]) -> None:
        """Appends a row and keeps it under its key."""
        self.rows[row["key"]] = row
        self._file.write(json.dumps(row).encode() + b"\n")
        self._file.flush()
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def _flat(row: dict[str, Any], experiment: str) -> dict[str, Any]:
    cell = row["cell"]
    flat = {name: row.get(name) for name in SCHEMA.names if name in row}
    flat |= {
        name: cell[name] for name in ("day", "size", "seed", "policy", "drive", "seconds", "rate", "load")
    }
    flat |= {"experiment": experiment, "script": cell["text"]}
    flat["happened"] = [{"at": at, "what": what} for at, what in row["happened"]]
    for name in MAPS:
        flat[name] = list(row[name].items())
    flat["fleet"] = json.dumps(row["fleet"]) if "fleet" in row else None
    return flat


def write(folder: Path, experiment: str, rows: list[dict[str, Any]]) -> Path:
    """Writes all rows as one Parquet file atomically and returns its path."""
    table = pa.Table.from_pylist([_flat(row, experiment) for row in rows], schema=SCHEMA)
    path = folder / TABLE
    temporary = path.with_name(f".{TABLE}.{os.getpid()}")
    pq.write_table(table, temporary, compression="zstd")
    temporary.replace(path)
    return path


def load(path: Path) -> list[dict[str, Any]]:
    """Returns the rows of a results file or its folder, with maps as dictionaries. Raises ResultsError."""
    file = path / TABLE if path.is_dir() else path
    try:
        table = pq.read_table(file)
    except (OSError, pa.ArrowException) as error:
        raise ResultsError(f"{file.name} can't be read: {str(error)[:200]}") from None
    layout = (table.schema.metadata or {}).get(VERSION, b"none").decode()
    if layout != str(LAYOUT):
        raise ResultsError(f"{file.name} has layout {layout}, expected {LAYOUT}: run the experiment again")
    rows: list[dict[str, Any]] = table.to_pylist()
    for row in rows:
        for name in MAPS:
            row[name] = dict(row[name] or [])
        row["fleet"] = json.loads(row["fleet"]) if row["fleet"] else None
    return rows
