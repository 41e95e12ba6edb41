"""Errors of the store, all derived from `StoreError`."""

from __future__ import annotations

import enum
from pathlib import Path


class StoreError(Exception):
    """Base class of the errors that this package raises itself."""


class FrameFault(enum.StrEnum):
    """The reason why a frame or a file of frames is unusable; the value may become part of a file's name."""

    TOO_LONG = "too long"
    CUT_SHORT = "cut short"
    NO_FRAME = "no frame"
    LENGTH = "length"
    CHECKSUM = "checksum"
    FRAME_COUNT = "frames"
    KIND = "kind"
    NEWER_FORMAT = "newer format"
    CONTENT = "content"


class FrameError(StoreError):
    """A frame is unusable; `fault` is the reason and the whole message."""

    def __init__(self, fault: FrameFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class FolderError(StoreError):
    """A state folder is unusable: its `path`, and the `reason` as text."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path, self.reason = path, reason


class FolderLockedError(FolderError):
    """Another process holds the folder's lock."""

    def __init__(self, path: Path) -> None:
        super().__init__(
            path, "another process holds the lock of this folder; each dispatcher needs its own folder"
        )
