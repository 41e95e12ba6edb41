"""The store: damaged files never yield a damaged state, and a slow or failing disk never blocks a caller."""

from __future__ import annotations

import errno
import os
import shutil
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.cli.main import main
from hoistplank.store import frames
from hoistplank.store.background_writer import BackgroundWriter
from hoistplank.store.errors import FolderError, FolderLockedError, FrameError, FrameFault
from hoistplank.store.folder import StateFolder
from hoistplank.store.schemas import (
    PersistedChange,
    PersistedHost,
    PersistedList,
    PersistedPurge,
    RemovalHistory,
    apply_changes,
    decode_record,
    encode_record,
    merge_changes,
)
from tests.fixture_files import FIXTURES


def host(uid: str, since: int = 1, state: str = "ready") -> PersistedHost:
    return PersistedHost(uid, "127.0.0.1:5050", "z1", "box", 0, 100.0, 0.0, state, since)


def persisted_list(*uids: str, last_contact_us: int = 1) -> PersistedList:
    return PersistedList(
        "127.0.0.1:1",
        last_contact_us,
        1,
        [host(uid) for uid in uids],
        RemovalHistory(1.0, 2.0, 3),
        [PersistedPurge("t", 0, 4)],
    )


def host_names(state: PersistedList | None) -> list[str]:
    return [] if state is None else [row.uid for row in state.hosts]


@given(st.lists(st.binary(max_size=60), max_size=5), st.data())
def test_decoding_stops_at_the_first_truncated_or_damaged_frame(
    contents: list[bytes], data: st.DataObject
) -> None:
    whole = [frames.encode_frame(2, 2, content) for content in contents]
    encoded = b"".join(whole)
    cut = data.draw(st.integers(0, len(encoded)))
    found = frames.decode_frames(encoded[:cut])
    whole_frames = sum(1 for n in range(len(whole)) if sum(map(len, whole[: n + 1])) <= cut)
    assert [frame.content for frame in found.frames] == contents[:whole_frames]
    assert bool(found.fault) == (found.valid_bytes != cut)
    if encoded:
        at, bit = data.draw(st.integers(0, len(encoded) - 1)), 1 << data.draw(st.integers(0, 7))
        damaged = encoded[:at] + bytes((encoded[at] ^ bit,)) + encoded[at + 1 :]
        found = frames.decode_frames(damaged)
        before = sum(1 for n in range(len(whole)) if sum(map(len, whole[: n + 1])) <= at)
        assert [frame.content for frame in found.frames] == contents[:before] and found.fault


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_wholly_or_report_a_fault(data: bytes) -> None:
    found = frames.decode_frames(data)
    assert found.valid_bytes == len(data) or found.fault


CHANGES = st.builds(
    lambda at, listed, removed: PersistedChange(
        at, at, [host(uid, at) for uid in listed if uid not in removed], removed
    ),
    st.integers(1, 99),
    st.lists(st.sampled_from("abcdef"), unique=True),
    st.lists(st.sampled_from("abcdef"), unique=True),
)


@given(st.lists(CHANGES, max_size=6))
def test_merged_changes_have_the_effect_of_changes_applied_one_by_one(changes: list[PersistedChange]) -> None:
    one = persisted_list("a", "b")
    all_of_them: PersistedChange | None = None
    for change in changes:
        one = apply_changes(one, change)
        all_of_them = change if all_of_them is None else merge_changes(all_of_them, change)
    if all_of_them is not None:
        at_once = apply_changes(persisted_list("a", "b"), all_of_them)
        assert {row.uid: row for row in at_once.hosts} == {row.uid: row for row in one.hosts}
        assert at_once.last_contact_us == one.last_contact_us


def test_snapshot_and_its_changes_are_loaded(tmp_path: Path) -> None:
    folder = StateFolder(tmp_path)
    folder.lock()
    folder.snapshot(persisted_list("a", "b"))
    folder.append(PersistedChange(7, 2, [host("c")], ["a"]))
    folder.close()
    loaded = StateFolder(tmp_path).load()
    assert (
        host_names(loaded.state) == ["b", "c"]
        and loaded.state is not None
        and loaded.state.last_contact_us == 7
    )


@pytest.mark.parametrize(
    "damage, suffix",
    [
        (lambda data: b"", "frames"),
        (lambda data: data[:-3], "cut-short"),
        (lambda data: b"PK" + data[2:], "no-frame"),
        (lambda data: data[:40] + bytes((data[40] ^ 1,)) + data[41:], "checksum"),
        (lambda data: frames.encode_frame(2, 1, b"\xc1"), "content"),
    ],
)
def test_damaged_snapshot_is_renamed_and_the_previous_one_is_loaded(
    tmp_path: Path, damage: Callable[[bytes], bytes], suffix: str
) -> None:
    folder = StateFolder(tmp_path)
    folder.snapshot(persisted_list("a"))
    folder.append(PersistedChange(5, 2, [host("b")]))
    folder.snapshot(persisted_list("a", "b", "c"))
    folder.append(PersistedChange(6, 3, [host("d")]))
    folder.close()
    file = tmp_path / "list-0000000002.snap"
    file.write_bytes(damage(file.read_bytes()))
    loaded = StateFolder(tmp_path).load()
    # The changes of the damaged generation are applied after those of the previous one. Only "c", which is in
    # the damaged snapshot alone, is lost.
    assert host_names(loaded.state) == ["a", "b", "d"] and loaded.notes
    assert (tmp_path / f"list-0000000002.snap.{suffix}").exists()


def test_torn_log_tail_is_truncated_and_later_changes_are_loaded(tmp_path: Path) -> None:
    folder = StateFolder(tmp_path)
    folder.snapshot(persisted_list("a"))
    folder.append(PersistedChange(5, 2, [host("b")]))
    folder.append(PersistedChange(6, 3, [host("c")]))
    folder.close()
    log = tmp_path / "list-0000000001.log"
    log.write_bytes(log.read_bytes()[:-5])
    again = StateFolder(tmp_path)
    assert host_names(again.load().state) == ["a", "b"]
    again.append(PersistedChange(7, 4, [host("d")]))
    again.close()
    assert host_names(StateFolder(tmp_path).load().state) == ["a", "b", "d"]


def test_files_of_format_1_are_loaded(tmp_path: Path) -> None:
    for suffix in ("snap", "log"):
        shutil.copy(FIXTURES / "store-formats" / f"format-1.{suffix}", tmp_path / f"list-0000000001.{suffix}")
    loaded = StateFolder(tmp_path).load()
    assert (
        host_names(loaded.state) == ["b"]
        and loaded.state is not None
        and loaded.state.history == RemovalHistory()
    )
    assert not loaded.notes


def test_files_of_format_2_are_loaded_and_reencoded_byte_for_byte(tmp_path: Path) -> None:
    """The fixtures predate the current attribute names: guards against renamed fields in stored files."""
    for suffix in ("snap", "log"):
        fixture = FIXTURES / "store-formats" / f"format-2.{suffix}"
        shutil.copy(fixture, tmp_path / f"list-0000000001.{suffix}")
        data = fixture.read_bytes()
        sequence = frames.decode_frames(data)
        assert sequence.fault is None
        assert b"".join(encode_record(decode_record(frame)) for frame in sequence.frames) == data
    loaded = StateFolder(tmp_path).load()
    assert loaded.state == PersistedList(
        "127.0.0.1:1",
        10,
        2,
        [
            PersistedHost("b", "127.0.0.1:5050", "z1", "box", 3, 100.0, 1234.5, "draining", 17),
            PersistedHost("c", "127.0.0.1:5050", "z1", "box", 3, 100.0, 1234.5, "ready", 17),
        ],
        RemovalHistory(2.0, 3.0, 9),
        [PersistedPurge("page/1", 0, 4), PersistedPurge("", 9, 5), PersistedPurge("page/2", 0, 8)],
    )
    assert loaded.changes == 2 and not loaded.notes


def test_file_of_a_newer_format_is_left_unchanged_and_reported(tmp_path: Path) -> None:
    StateFolder(tmp_path).snapshot(persisted_list("a"))
    newer = tmp_path / "list-0000000002.snap"
    newer.write_bytes(data := frames.encode_frame(9, 1, b"who knows"))
    folder = StateFolder(tmp_path)
    loaded = folder.load()
    assert host_names(loaded.state) == ["a"] and loaded.has_newer_format and "newer format" in loaded.notes[0]
    folder.snapshot(persisted_list("b"))
    assert newer.read_bytes() == data and (tmp_path / "list-0000000003.snap").exists()


def test_second_writer_waits_until_the_first_releases_the_lock(tmp_path: Path) -> None:
    one, two, reports = StateFolder(tmp_path), StateFolder(tmp_path), list[str]()
    one.lock()
    with pytest.raises(FolderLockedError, match="another process"):
        two.lock()
    writer = BackgroundWriter(two, reports.append, 0.0)
    writer.start(persisted_list("a"))
    writer.add(PersistedChange(2, 2, [host("b")]))
    time.sleep(0.1)
    assert len(reports) == 1 and not two.generations()
    one.close()  # the first writer ends, and the second one takes the lock
    until(lambda: bool(two.generations()))
    writer.stop()
    assert host_names(StateFolder(tmp_path).load().state) == ["a", "b"]


def until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_slow_disk_blocks_no_caller_and_superseded_states_are_never_written(tmp_path: Path) -> None:
    release, begun = threading.Event(), threading.Event()

    def slow_sync(file: int) -> None:
        begun.set()
        release.wait(5)

    writer = BackgroundWriter(StateFolder(tmp_path, slow_sync), lambda text: None, 0.0)
    writer.start(None)
    writer.replace(persisted_list("a"))
    begun.wait(5)
    longest = 0.0
    for n in range(300):
        began = time.perf_counter()
        writer.add(PersistedChange(n, n, [host(f"h{n % 7}")]))
        longest = max(longest, time.perf_counter() - began)
    writer.replace(persisted_list("z", last_contact_us=500))
    writer.add(PersistedChange(600, 5, [host("y")]))
    release.set()
    writer.stop(5)
    assert longest < 0.05 and writer.status.writes <= 3
    assert host_names(StateFolder(tmp_path).load().state) == ["z", "y"]


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_disk_failure_is_reported_once_and_so_is_its_end(
    tmp_path: Path, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk_failing, reports = threading.Event(), list[str]()

    def sync(file: int) -> None:
        if disk_failing.is_set():
            raise OSError(error_number, os.strerror(error_number))

    monkeypatch.setattr("hoistplank.store.background_writer.FAILURE_RETRY_INTERVAL_S", 0.01)
    writer = BackgroundWriter(StateFolder(tmp_path, sync), reports.append, 0.0)
    writer.start(None)
    writer.replace(persisted_list("a"))
    until(lambda: writer.status.writes == 1)
    disk_failing.set()
    for n in range(5):
        writer.add(PersistedChange(n + 2, n, [host(f"h{n}")]))
        time.sleep(0.01)
    until(lambda: writer.status.failures > 2)
    disk_failing.clear()
    until(lambda: writer.status.persisted_us == 6)
    writer.stop()
    assert len(reports) == 2 and os.strerror(error_number) in reports[0]
    assert host_names(StateFolder(tmp_path).load().state) == ["a", "h0", "h1", "h2", "h3", "h4"]


class FailingFolder(StateFolder):
    """A folder whose next call of one kind fails with the given error."""

    def __init__(self, path: Path, call: str, error: Exception) -> None:
        super().__init__(path)
        self.call, self.errors = call, [error]

    def fail_once(self, call: str) -> None:
        if call == self.call and self.errors:
            raise self.errors.pop()

    def lock_descriptor(self, file: int) -> None:
        self.fail_once("lock")
        super().lock_descriptor(file)

    def generations(self) -> dict[int, set[str]]:
        self.fail_once("generations")
        return super().generations()

    def snapshot(self, state: PersistedList) -> None:
        self.fail_once("snapshot")
        super().snapshot(state)


FAILURES: dict[str, Exception] = {
    "lock": OSError(errno.EIO, os.strerror(errno.EIO)),
    "generations": FolderError(Path("state"), "can't be read (Input/output error)"),
    "snapshot": FrameError(FrameFault.TOO_LONG),
}


@pytest.mark.parametrize("call", FAILURES)
def test_writer_survives_a_transient_failure_and_writes_what_is_pending(
    tmp_path: Path, call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a writing thread that ends on an error: nothing more would be written, and nothing would
    report it. What is pending must be written once the failure is over."""
    monkeypatch.setattr("hoistplank.store.background_writer.FAILURE_RETRY_INTERVAL_S", 0.01)
    monkeypatch.setattr("hoistplank.store.background_writer.LOCK_RETRY_INTERVAL_S", 0.01)
    reports = list[str]()
    folder = FailingFolder(tmp_path, call, FAILURES[call])
    writer = BackgroundWriter(folder, reports.append, 0.0)
    writer.start(None)
    writer.replace(persisted_list("a"))
    until(lambda: writer.status.writes == 1)
    writer.stop()
    assert not folder.errors and reports
    assert host_names(StateFolder(tmp_path).load().state) == ["a"]


def test_state_command_shows_verifies_and_exports_a_folder(tmp_path: Path) -> None:
    def call(*arguments: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, ["state", *arguments])
        return done.exit_code, done.stdout

    assert call("show", str(tmp_path / "none"))[0] == 2 and call("show", str(tmp_path))[0] == 1
    folder = StateFolder(tmp_path)
    folder.snapshot(persisted_list("a", "b"))
    folder.close()
    assert '"hosts":2' in call("show", "--json", str(tmp_path))[1] and call("verify", str(tmp_path)) == (
        0,
        "",
    )
    assert len(call("export", str(tmp_path))[1].splitlines()) == 4
    (tmp_path / "list-0000000002.snap").write_bytes(b"x")
    code, out = call("verify", str(tmp_path))
    assert (
        code == 1
        and "list-0000000002.snap: cut short" in out
        and (tmp_path / "list-0000000002.snap").exists()
    )
