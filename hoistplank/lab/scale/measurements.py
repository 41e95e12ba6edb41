"""Measured points of a capacity run, and the Parquet file that keeps them.

A measurement is one value of one quantity of one role. Where the quantity grows with something (hosts,
followers, purges), `per` names that variable and `size` tells how much of it there was; where it does not, as
with a percentile of a delay, `per` is empty and `size` is 0.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import pyarrow as pa
import pyarrow.parquet as pq

LAYOUT = "1"
_LAYOUT_KEY = b"hoistplank.scale.layout"
_RUN_KEYS = ("run", "revision", "machine", "form")
_KEY_PREFIX = "hoistplank.scale."


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured value. `unit` is of the value; `run` names the run that made it."""

    role: str
    quantity: str
    unit: str
    per: str
    size: float
    value: float
    run: str = ""
    notes: str = ""


@dataclass(frozen=True, slots=True)
class RunInfo:
    """What produced a file: the run's name, the revision measured, the machine, and the whole or quick
    form."""

    run: str
    revision: str
    machine: str
    form: str


class MeasurementsError(Exception):
    """A file of measurements that can't be used; its text names the file and what is wrong with it."""


_FIELDS = (
    pa.field("role", pa.string(), nullable=False),
    pa.field("quantity", pa.string(), nullable=False),
    pa.field("unit", pa.string(), nullable=False),
    pa.field("per", pa.string(), nullable=False),
    pa.field("size", pa.float64(), nullable=False),
    pa.field("value", pa.float64(), nullable=False),
    pa.field("run", pa.string(), nullable=False),
    pa.field("notes", pa.string(), nullable=False),
)


def _schema(info: RunInfo) -> pa.Schema:
    metadata = {_LAYOUT_KEY: LAYOUT.encode()}
    for name in _RUN_KEYS:
        metadata[f"{_KEY_PREFIX}{name}".encode()] = getattr(info, name).encode()
    return pa.schema(_FIELDS, metadata=metadata)


def write(path: Path, measurements: Iterable[Measurement], info: RunInfo) -> None:
    """Writes the file whole or not at all. Raises OSError."""
    rows = [asdict(measurement) for measurement in measurements]
    table = pa.Table.from_pylist(rows, schema=_schema(info))
    path.parent.mkdir(parents=True, exist_ok=True)
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        pq.write_table(table, beside, compression="zstd")
        beside.replace(path)
    finally:
        beside.unlink(missing_ok=True)


def _table(path: Path) -> pa.Table:
    try:
        table = pq.read_table(path)
    except (OSError, pa.ArrowException) as error:
        raise MeasurementsError(f"{path.name} can't be read: {str(error)[:200]}") from None
    found = (table.schema.metadata or {}).get(_LAYOUT_KEY, b"none").decode(errors="replace")
    if found != LAYOUT:
        raise MeasurementsError(
            f"{path.name} has layout {found}, expected {LAYOUT}: run the measurement again"
        )
    for field in _FIELDS:
        index = table.schema.get_field_index(field.name)
        if index < 0:
            raise MeasurementsError(f"{path.name} lacks the column '{field.name}'")
        if table.schema.field(index).type != field.type:
            raise MeasurementsError(f"{path.name}: the column '{field.name}' is no {field.type}")
    return table


def read(path: Path) -> list[Measurement]:
    """All measurements of a file, in its order. Raises MeasurementsError."""
    table = _table(path)
    rows = table.select([field.name for field in _FIELDS]).to_pylist()
    for row in rows:
        if any(value is None for value in row.values()):
            raise MeasurementsError(f"{path.name} holds a row with an empty field")
    return [Measurement(**row) for row in rows]


def read_info(path: Path) -> RunInfo:
    """What produced a file. Raises MeasurementsError."""
    metadata = _table(path).schema.metadata or {}
    values = {}
    for name in _RUN_KEYS:
        values[name] = metadata.get(f"{_KEY_PREFIX}{name}".encode(), b"").decode(errors="replace")
    return RunInfo(**values)


def read_folder(folder: Path) -> list[Measurement]:
    """The measurements of all Parquet files of a folder, by file name. Raises MeasurementsError."""
    found: list[Measurement] = []
    for path in sorted(folder.glob("*.parquet")):
        found += read(path)
    return found


def of_quantity(measurements: Sequence[Measurement], role: str, quantity: str) -> list[Measurement]:
    """Those of one quantity of one role, in their order."""
    return [one for one in measurements if one.role == role and one.quantity == quantity]
