"""Reads the newest usable state from a folder's generations; may rename damaged files.

list-0000000012.snap     one frame: a whole state
list-0000000012.log      frames: changes to it, in order
list-0000000009.snap.checksum    a damaged file, renamed with the fault as its suffix
"""

from __future__ import annotations

import contextlib
import os
import re
from dataclasses import dataclass, field
from pathlib import Path

from hoistplank.store import frames, schemas
from hoistplank.store.errors import FolderError, FrameError, FrameFault
from hoistplank.store.frames import Frame
from hoistplank.store.schemas import PersistedChange, PersistedList

SNAPSHOT, LOG = "snap", "log"  # suffixes
match_file_name = re.compile(r"list-(\d{10})\.(snap|log)").fullmatch


@dataclass(slots=True)
class LoadResult:
    """The result of a load: the state or None, the newest generation in the folder, the number of changes
    applied, and a line for each problem."""

    state: PersistedList | None = None
    generation: int = 0
    changes: int = 0
    notes: list[str] = field(default_factory=list)
    has_newer_format: bool = False  # True if the folder has files of a newer format; they stay untouched


def file_of(folder: Path, generation: int, suffix: str) -> Path:
    """Returns the path of a generation's snapshot or log."""
    return folder / f"list-{generation:010d}.{suffix}"


def list_generations(folder: Path) -> dict[int, set[str]]:
    """Returns the generations in a folder, each with the suffixes of its files; raises FolderError."""
    generations: dict[int, set[str]] = {}
    try:
        names = os.listdir(folder)
    except FileNotFoundError:
        return generations
    except OSError as error:
        raise FolderError(folder, f"can't be read ({error.strerror})") from error
    for name in names:
        if matched := match_file_name(name):
            generations.setdefault(int(matched[1]), set()).add(matched[2])
    return generations


class StateReader:
    """Reads one folder once. With `repair`, unreadable snapshots are renamed and torn log tails truncated."""

    def __init__(self, folder: Path, *, repair: bool) -> None:
        self._folder = folder
        self._repair = repair
        self._result = LoadResult()

    def load(self) -> LoadResult:
        """Loads the newest whole snapshot and applies all later changes; raises FolderError."""
        generations = list_generations(self._folder)
        self._result.generation = max(generations, default=0)
        snapshots = (number for number, suffixes in generations.items() if SNAPSHOT in suffixes)
        logs = sorted(number for number, suffixes in generations.items() if LOG in suffixes)
        for generation in sorted(snapshots, reverse=True):
            state = self._read_snapshot(file_of(self._folder, generation, SNAPSHOT))
            if state is None:
                continue
            # The changes of a later generation whose snapshot is damaged are applied after those of this one.
            for number in logs:
                if number >= generation:
                    state = self._replay_log(file_of(self._folder, number, LOG), state)
            self._result.state = state
            break
        return self._result

    def _read_snapshot(self, file: Path) -> PersistedList | None:
        try:
            return _decode_snapshot(file.read_bytes())
        except OSError as error:
            self._result.notes.append(f"{file.name}: can't be read ({error.strerror})")
        except FrameError as error:
            self._result.notes.append(f"{file.name}: {error}")
            if error.fault is FrameFault.NEWER_FORMAT:
                self._result.has_newer_format = True  # not damaged: a newer program may use it again
            elif self._repair:
                with contextlib.suppress(OSError):
                    file.rename(file.with_name(f"{file.name}.{error.fault.replace(' ', '-')}"))
        return None

    def _replay_log(self, file: Path, state: PersistedList) -> PersistedList:
        try:
            data = file.read_bytes()
        except OSError as error:
            self._result.notes.append(f"{file.name}: can't be read ({error.strerror})")
            return state
        sequence = frames.decode_frames(data)
        changes = list[PersistedChange]()
        position = 0
        for frame in sequence.frames:
            try:
                changes.append(_decode_change(frame))
            except FrameError as error:
                self._result.notes.append(f"{file.name}: {error} at byte {position}")
                self._result.has_newer_format |= error.fault is FrameFault.NEWER_FORMAT
                return schemas.apply_changes(state, *changes)
            self._result.changes += 1
            position += frames.HEADER_BYTES + len(frame.content)
        if sequence.fault is not None:
            self._drop_torn_tail(file, sequence, len(data))
        return schemas.apply_changes(state, *changes)

    def _drop_torn_tail(self, file: Path, sequence: frames.FrameSequence, size: int) -> None:
        valid = sequence.valid_bytes
        note = f"{file.name}: {sequence.fault} at byte {valid}, {size - valid} bytes ignored"
        self._result.notes.append(note)
        if self._repair:
            # The next append must follow the last whole frame; behind a torn one it would never be read.
            with contextlib.suppress(OSError):
                os.truncate(file, valid)


def _decode_snapshot(data: bytes) -> PersistedList:
    sequence = frames.decode_frames(data)
    if sequence.fault is not None:
        raise FrameError(sequence.fault)
    if len(sequence.frames) != 1:
        raise FrameError(FrameFault.FRAME_COUNT)
    record = schemas.decode_record(sequence.frames[0])
    if not isinstance(record, PersistedList):
        raise FrameError(FrameFault.KIND)
    return record


def _decode_change(frame: Frame) -> PersistedChange:
    record = schemas.decode_record(frame)
    if not isinstance(record, PersistedChange):
        raise FrameError(FrameFault.KIND)
    return record
