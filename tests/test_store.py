"""The store: whatever happens to its files, what is read is whole; whatever the disk does, nobody waits for
it."""

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


def kept(*uids: str, heard: int = 1) -> PersistedList:
    return PersistedList(
        "127.0.0.1:1",
        heard,
        1,
        [host(uid) for uid in uids],
        RemovalHistory(1.0, 2.0, 3),
        [PersistedPurge("t", 0, 4)],
    )


def names(state: PersistedList | None) -> list[str]:
    return [] if state is None else [row.uid for row in state.hosts]


@given(st.lists(st.binary(max_size=60), max_size=5), st.data())
def test_frames_are_read_up_to_the_first_that_is_not_whole(
    contents: list[bytes], data: st.DataObject
) -> None:
    whole = [frames.encode_frame(2, 2, content) for content in contents]
    text = b"".join(whole)
    cut = data.draw(st.integers(0, len(text)))
    found = frames.decode_frames(text[:cut])
    good = sum(1 for n in range(len(whole)) if sum(map(len, whole[: n + 1])) <= cut)
    assert [frame.content for frame in found.frames] == contents[:good]
    assert bool(found.fault) == (found.valid_bytes != cut)
    if text:
        at, bit = data.draw(st.integers(0, len(text) - 1)), 1 << data.draw(st.integers(0, 7))
        spoilt = text[:at] + bytes((text[at] ^ bit,)) + text[at + 1 :]
        found = frames.decode_frames(spoilt)
        before = sum(1 for n in range(len(whole)) if sum(map(len, whole[: n + 1])) <= at)
        assert [frame.content for frame in found.frames] == contents[:before] and found.fault


@given(st.binary(max_size=300))
def test_any_bytes_are_frames_or_told(data: bytes) -> None:
    found = frames.decode_frames(data)
    assert found.valid_bytes == len(data) or found.fault


CHANGES = st.builds(
    lambda at, came, gone: PersistedChange(at, at, [host(uid, at) for uid in came if uid not in gone], gone),
    st.integers(1, 99),
    st.lists(st.sampled_from("abcdef"), unique=True),
    st.lists(st.sampled_from("abcdef"), unique=True),
)


@given(st.lists(CHANGES, max_size=6))
def test_changes_merged_are_changes_applied_one_by_one(changes: list[PersistedChange]) -> None:
    one = kept("a", "b")
    all_of_them: PersistedChange | None = None
    for change in changes:
        one = apply_changes(one, change)
        all_of_them = change if all_of_them is None else merge_changes(all_of_them, change)
    if all_of_them is not None:
        at_once = apply_changes(kept("a", "b"), all_of_them)
        assert {row.uid: row for row in at_once.hosts} == {row.uid: row for row in one.hosts}
        assert at_once.last_contact_us == one.last_contact_us


def test_a_state_and_its_changes_come_back(tmp_path: Path) -> None:
    folder = StateFolder(tmp_path)
    folder.lock()
    folder.snapshot(kept("a", "b"))
    folder.append(PersistedChange(7, 2, [host("c")], ["a"]))
    folder.close()
    loaded = StateFolder(tmp_path).load()
    assert (
        names(loaded.state) == ["b", "c"] and loaded.state is not None and loaded.state.last_contact_us == 7
    )


@pytest.mark.parametrize(
    "spoil, name",
    [
        (lambda data: b"", "frames"),
        (lambda data: data[:-3], "cut-short"),
        (lambda data: b"PK" + data[2:], "no-frame"),
        (lambda data: data[:40] + bytes((data[40] ^ 1,)) + data[41:], "checksum"),
        (lambda data: frames.encode_frame(2, 1, b"\xc1"), "content"),
    ],
)
def test_a_spoilt_snapshot_is_set_aside_and_the_one_before_is_read(
    tmp_path: Path, spoil: Callable[[bytes], bytes], name: str
) -> None:
    folder = StateFolder(tmp_path)
    folder.snapshot(kept("a"))
    folder.append(PersistedChange(5, 2, [host("b")]))
    folder.snapshot(kept("a", "b", "c"))
    folder.append(PersistedChange(6, 3, [host("d")]))
    folder.close()
    file = tmp_path / "list-0000000002.snap"
    file.write_bytes(spoil(file.read_bytes()))
    loaded = StateFolder(tmp_path).load()
    # The changes of the spoilt generation follow on those of the one before: "c" alone, in the snapshot, is
    # lost.
    assert names(loaded.state) == ["a", "b", "d"] and loaded.notes
    assert (tmp_path / f"list-0000000002.snap.{name}").exists()


def test_a_torn_tail_is_cut_and_what_comes_next_is_read(tmp_path: Path) -> None:
    folder = StateFolder(tmp_path)
    folder.snapshot(kept("a"))
    folder.append(PersistedChange(5, 2, [host("b")]))
    folder.append(PersistedChange(6, 3, [host("c")]))
    folder.close()
    log = tmp_path / "list-0000000001.log"
    log.write_bytes(log.read_bytes()[:-5])
    again = StateFolder(tmp_path)
    assert names(again.load().state) == ["a", "b"]
    again.append(PersistedChange(7, 4, [host("d")]))
    again.close()
    assert names(StateFolder(tmp_path).load().state) == ["a", "b", "d"]


def test_files_of_the_first_format_are_read(tmp_path: Path) -> None:
    for what in ("snap", "log"):
        shutil.copy(FIXTURES / "store-formats" / f"format-1.{what}", tmp_path / f"list-0000000001.{what}")
    loaded = StateFolder(tmp_path).load()
    assert (
        names(loaded.state) == ["b"] and loaded.state is not None and loaded.state.history == RemovalHistory()
    )
    assert not loaded.notes


def test_files_of_the_second_format_are_read_and_written_the_same_to_the_byte(tmp_path: Path) -> None:
    """The fixtures were written before the records got their present names: the names in files are older."""
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


def test_a_newer_format_is_left_alone_and_told(tmp_path: Path) -> None:
    StateFolder(tmp_path).snapshot(kept("a"))
    newer = tmp_path / "list-0000000002.snap"
    newer.write_bytes(data := frames.encode_frame(9, 1, b"who knows"))
    folder = StateFolder(tmp_path)
    loaded = folder.load()
    assert names(loaded.state) == ["a"] and loaded.has_newer_format and "newer format" in loaded.notes[0]
    folder.snapshot(kept("b"))
    assert newer.read_bytes() == data and (tmp_path / "list-0000000003.snap").exists()


def test_a_folder_has_one_writer(tmp_path: Path) -> None:
    one, two, told = StateFolder(tmp_path), StateFolder(tmp_path), list[str]()
    one.lock()
    with pytest.raises(FolderLockedError, match="another process"):
        two.lock()
    writer = BackgroundWriter(two, told.append, 0.0)
    writer.start(kept("a"))
    writer.add(PersistedChange(2, 2, [host("b")]))
    time.sleep(0.1)
    assert len(told) == 1 and not two.generations()
    one.close()  # the first one ends: the second takes over by itself
    until(lambda: bool(two.generations()))
    writer.stop()
    assert names(StateFolder(tmp_path).load().state) == ["a", "b"]


def until(true: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 5
    while not true():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_a_slow_disk_holds_up_nobody_and_superseded_states_are_never_written(tmp_path: Path) -> None:
    release, begun = threading.Event(), threading.Event()

    def slow(file: int) -> None:
        begun.set()
        release.wait(5)

    writer = BackgroundWriter(StateFolder(tmp_path, slow), lambda text: None, 0.0)
    writer.start(None)
    writer.replace(kept("a"))
    begun.wait(5)
    longest = 0.0
    for n in range(300):
        began = time.perf_counter()
        writer.add(PersistedChange(n, n, [host(f"h{n % 7}")]))
        longest = max(longest, time.perf_counter() - began)
    writer.replace(kept("z", heard=500))
    writer.add(PersistedChange(600, 5, [host("y")]))
    release.set()
    writer.stop(5)
    assert longest < 0.05 and writer.status.writes <= 3
    assert names(StateFolder(tmp_path).load().state) == ["z", "y"]


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_that_fails_costs_two_lines_and_comes_back(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    broken, told = threading.Event(), list[str]()

    def sync(file: int) -> None:
        if broken.is_set():
            raise OSError(number, os.strerror(number))

    monkeypatch.setattr("hoistplank.store.background_writer.FAILURE_RETRY_INTERVAL_S", 0.01)
    writer = BackgroundWriter(StateFolder(tmp_path, sync), told.append, 0.0)
    writer.start(None)
    writer.replace(kept("a"))
    until(lambda: writer.status.writes == 1)
    broken.set()
    for n in range(5):
        writer.add(PersistedChange(n + 2, n, [host(f"h{n}")]))
        time.sleep(0.01)
    until(lambda: writer.status.failures > 2)
    broken.clear()
    until(lambda: writer.status.persisted_us == 6)
    writer.stop()
    assert len(told) == 2 and os.strerror(number) in told[0]
    assert names(StateFolder(tmp_path).load().state) == ["a", "h0", "h1", "h2", "h3", "h4"]


class FailingFolder(StateFolder):
    """A folder whose next call of one kind fails by an error of the system, or for what it is given."""

    def __init__(self, path: Path, call: str, error: Exception) -> None:
        super().__init__(path)
        self.call, self.errors = call, [error]

    def fail(self, call: str) -> None:
        if call == self.call and self.errors:
            raise self.errors.pop()

    def lock_descriptor(self, file: int) -> None:
        self.fail("lock")
        super().lock_descriptor(file)

    def generations(self) -> dict[int, set[str]]:
        self.fail("generations")
        return super().generations()

    def snapshot(self, state: PersistedList) -> None:
        self.fail("snapshot")
        super().snapshot(state)


FAILURES: dict[str, Exception] = {
    "lock": OSError(errno.EIO, os.strerror(errno.EIO)),
    "generations": FolderError(Path("state"), "can't be read (Input/output error)"),
    "snapshot": FrameError(FrameFault.TOO_LONG),
}


@pytest.mark.parametrize("call", FAILURES)
def test_what_fails_for_a_moment_ends_no_writer(
    tmp_path: Path, call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What was taken on is still owed once the disk is well again; a thread that ended would write nothing,
    and nobody would notice."""
    monkeypatch.setattr("hoistplank.store.background_writer.FAILURE_RETRY_INTERVAL_S", 0.01)
    monkeypatch.setattr("hoistplank.store.background_writer.LOCK_RETRY_INTERVAL_S", 0.01)
    told = list[str]()
    folder = FailingFolder(tmp_path, call, FAILURES[call])
    writer = BackgroundWriter(folder, told.append, 0.0)
    writer.start(None)
    writer.replace(kept("a"))
    until(lambda: writer.status.writes == 1)
    writer.stop()
    assert not folder.errors and told
    assert names(StateFolder(tmp_path).load().state) == ["a"]


def test_operators_look_at_it(tmp_path: Path) -> None:
    def call(*words: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, ["state", *words])
        return done.exit_code, done.stdout

    assert call("show", str(tmp_path / "none"))[0] == 2 and call("show", str(tmp_path))[0] == 1
    folder = StateFolder(tmp_path)
    folder.snapshot(kept("a", "b"))
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
