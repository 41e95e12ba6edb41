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
from hoistplank.store.background_writer import Keeper
from hoistplank.store.folder import Folder, Taken
from hoistplank.store.schemas import History, KeptChange, KeptHost, KeptList, KeptPurge, applied, merged
from tests.fixture_files import FIXTURES


def host(uid: str, since: int = 1, state: str = "ready") -> KeptHost:
    return KeptHost(uid, "127.0.0.1:5050", "z1", "box", 0, 100.0, 0.0, state, since)


def kept(*uids: str, heard: int = 1) -> KeptList:
    return KeptList(
        "127.0.0.1:1", heard, 1, [host(uid) for uid in uids], History(1.0, 2.0, 3), [KeptPurge("t", 0, 4)]
    )


def names(state: KeptList | None) -> list[str]:
    return [] if state is None else [row.uid for row in state.hosts]


@given(st.lists(st.binary(max_size=60), max_size=5), st.data())
def test_frames_are_read_up_to_the_first_that_is_not_whole(
    contents: list[bytes], data: st.DataObject
) -> None:
    whole = [frames.framed(2, 2, content) for content in contents]
    text = b"".join(whole)
    cut = data.draw(st.integers(0, len(text)))
    found = frames.read(text[:cut])
    good = sum(1 for n in range(len(whole)) if sum(map(len, whole[: n + 1])) <= cut)
    assert [frame.content for frame in found.frames] == contents[:good]
    assert bool(found.fault) == (found.whole != cut)
    if text:
        at, bit = data.draw(st.integers(0, len(text) - 1)), 1 << data.draw(st.integers(0, 7))
        spoilt = text[:at] + bytes((text[at] ^ bit,)) + text[at + 1 :]
        found = frames.read(spoilt)
        before = sum(1 for n in range(len(whole)) if sum(map(len, whole[: n + 1])) <= at)
        assert [frame.content for frame in found.frames] == contents[:before] and found.fault


@given(st.binary(max_size=300))
def test_any_bytes_are_frames_or_told(data: bytes) -> None:
    found = frames.read(data)
    assert found.whole == len(data) or found.fault


CHANGES = st.builds(
    lambda at, came, gone: KeptChange(at, at, [host(uid, at) for uid in came if uid not in gone], gone),
    st.integers(1, 99),
    st.lists(st.sampled_from("abcdef"), unique=True),
    st.lists(st.sampled_from("abcdef"), unique=True),
)


@given(st.lists(CHANGES, max_size=6))
def test_changes_merged_are_changes_applied_one_by_one(changes: list[KeptChange]) -> None:
    one = kept("a", "b")
    all_of_them: KeptChange | None = None
    for change in changes:
        one = applied(one, change)
        all_of_them = change if all_of_them is None else merged(all_of_them, change)
    if all_of_them is not None:
        at_once = applied(kept("a", "b"), all_of_them)
        assert {row.uid: row for row in at_once.hosts} == {row.uid: row for row in one.hosts}
        assert at_once.heard_us == one.heard_us


def test_a_state_and_its_changes_come_back(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    folder.lock()
    folder.snapshot(kept("a", "b"))
    folder.append(KeptChange(7, 2, [host("c")], ["a"]))
    folder.close()
    loaded = Folder(tmp_path).load()
    assert names(loaded.state) == ["b", "c"] and loaded.state is not None and loaded.state.heard_us == 7


@pytest.mark.parametrize(
    "spoil, name",
    [
        (lambda data: b"", "frames"),
        (lambda data: data[:-3], "cut-short"),
        (lambda data: b"PK" + data[2:], "no-frame"),
        (lambda data: data[:40] + bytes((data[40] ^ 1,)) + data[41:], "checksum"),
        (lambda data: frames.framed(2, 1, b"\xc1"), "content"),
    ],
)
def test_a_spoilt_snapshot_is_set_aside_and_the_one_before_is_read(
    tmp_path: Path, spoil: Callable[[bytes], bytes], name: str
) -> None:
    folder = Folder(tmp_path)
    folder.snapshot(kept("a"))
    folder.append(KeptChange(5, 2, [host("b")]))
    folder.snapshot(kept("a", "b", "c"))
    folder.append(KeptChange(6, 3, [host("d")]))
    folder.close()
    file = tmp_path / "list-0000000002.snap"
    file.write_bytes(spoil(file.read_bytes()))
    loaded = Folder(tmp_path).load()
    # The changes of the spoilt generation follow on those of the one before: "c" alone, in the snapshot, is
    # lost.
    assert names(loaded.state) == ["a", "b", "d"] and loaded.notes
    assert (tmp_path / f"list-0000000002.snap.{name}").exists()


def test_a_torn_tail_is_cut_and_what_comes_next_is_read(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    folder.snapshot(kept("a"))
    folder.append(KeptChange(5, 2, [host("b")]))
    folder.append(KeptChange(6, 3, [host("c")]))
    folder.close()
    log = tmp_path / "list-0000000001.log"
    log.write_bytes(log.read_bytes()[:-5])
    again = Folder(tmp_path)
    assert names(again.load().state) == ["a", "b"]
    again.append(KeptChange(7, 4, [host("d")]))
    again.close()
    assert names(Folder(tmp_path).load().state) == ["a", "b", "d"]


def test_files_of_the_first_format_are_read(tmp_path: Path) -> None:
    for what in ("snap", "log"):
        shutil.copy(FIXTURES / "store-format-1" / f"format-1.{what}", tmp_path / f"list-0000000001.{what}")
    loaded = Folder(tmp_path).load()
    assert names(loaded.state) == ["b"] and loaded.state is not None and loaded.state.history == History()
    assert not loaded.notes


def test_a_newer_format_is_left_alone_and_told(tmp_path: Path) -> None:
    Folder(tmp_path).snapshot(kept("a"))
    newer = tmp_path / "list-0000000002.snap"
    newer.write_bytes(data := frames.framed(9, 1, b"who knows"))
    folder = Folder(tmp_path)
    loaded = folder.load()
    assert names(loaded.state) == ["a"] and loaded.newer and "newer format" in loaded.notes[0]
    folder.snapshot(kept("b"))
    assert newer.read_bytes() == data and (tmp_path / "list-0000000003.snap").exists()


def test_a_folder_has_one_writer(tmp_path: Path) -> None:
    one, two, told = Folder(tmp_path), Folder(tmp_path), list[str]()
    one.lock()
    with pytest.raises(Taken, match="another process"):
        two.lock()
    keeper = Keeper(two, told.append, 0.0)
    keeper.start(kept("a"))
    keeper.add(KeptChange(2, 2, [host("b")]))
    time.sleep(0.1)
    assert len(told) == 1 and not two.files()
    one.close()  # the first one ends: the second takes over by itself
    until(lambda: bool(two.files()))
    keeper.end()
    assert names(Folder(tmp_path).load().state) == ["a", "b"]


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

    keeper = Keeper(Folder(tmp_path, slow), lambda text: None, 0.0)
    keeper.start(None)
    keeper.put(kept("a"))
    begun.wait(5)
    longest = 0.0
    for n in range(300):
        began = time.perf_counter()
        keeper.add(KeptChange(n, n, [host(f"h{n % 7}")]))
        longest = max(longest, time.perf_counter() - began)
    keeper.put(kept("z", heard=500))
    keeper.add(KeptChange(600, 5, [host("y")]))
    release.set()
    keeper.end(5)
    assert longest < 0.05 and keeper.written.writes <= 3
    assert names(Folder(tmp_path).load().state) == ["z", "y"]


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_that_fails_costs_two_lines_and_comes_back(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    broken, told = threading.Event(), list[str]()

    def sync(file: int) -> None:
        if broken.is_set():
            raise OSError(number, os.strerror(number))

    monkeypatch.setattr("hoistplank.store.background_writer.AFTER_FAULT_S", 0.01)
    keeper = Keeper(Folder(tmp_path, sync), told.append, 0.0)
    keeper.start(None)
    keeper.put(kept("a"))
    until(lambda: keeper.written.writes == 1)
    broken.set()
    for n in range(5):
        keeper.add(KeptChange(n + 2, n, [host(f"h{n}")]))
        time.sleep(0.01)
    until(lambda: keeper.written.faults > 2)
    broken.clear()
    until(lambda: keeper.written.at_us == 6)
    keeper.end()
    assert len(told) == 2 and os.strerror(number) in told[0]
    assert names(Folder(tmp_path).load().state) == ["a", "h0", "h1", "h2", "h3", "h4"]


def test_operators_look_at_it(tmp_path: Path) -> None:
    def call(*words: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, ["state", *words])
        return done.exit_code, done.stdout

    assert call("show", str(tmp_path / "none"))[0] == 2 and call("show", str(tmp_path))[0] == 1
    folder = Folder(tmp_path)
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
