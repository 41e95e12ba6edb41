"""State folders written by an earlier version load unchanged, and the same state is written byte for byte."""

from __future__ import annotations

import shutil
from pathlib import Path

import msgspec

from hoistplank.store.folder import StateFolder
from hoistplank.store.schemas import PersistedChange, PersistedList
from tests.fixture_files import FIXTURES, as_json, fixture_json


def test_state_folder_of_an_earlier_version_is_loaded_whole(tmp_path: Path) -> None:
    expected = fixture_json("store.json")
    shutil.copytree(FIXTURES / "store", tmp_path / "state")
    loaded = StateFolder(tmp_path / "state").load()
    assert loaded.notes == []
    assert (loaded.generation, loaded.changes) == (expected["generation"], expected["changes"])
    assert as_json(msgspec.to_builtins(loaded.state)) == as_json(expected["state"])


def test_same_state_and_changes_are_written_byte_for_byte(tmp_path: Path) -> None:
    written = fixture_json("store.json")["written"]
    folder = StateFolder(tmp_path)
    folder.snapshot(msgspec.convert(written["first"], PersistedList))
    for change in written["changes"]:
        folder.append(msgspec.convert(change, PersistedChange))
    folder.close()
    for name in ("list-0000000001.snap", "list-0000000001.log"):
        assert (tmp_path / name).read_bytes() == (FIXTURES / "store" / name).read_bytes(), name
