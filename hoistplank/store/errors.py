"""Errors of the store, all derived from `StoreError`."""

from __future__ import annotations

import enum
from pathlib import Path


class StoreError(Exception):
    """Base of every error that this package raises itself."""


class FrameFault(enum.StrEnum):
    """Why a frame or a file of frames can't be used; the value may become part of a file's name."""

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
    """A frame that can't be used; `fault` says why, and is the whole text."""

    def __init__(self, fault: FrameFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class FolderError(StoreError):
    """A state folder that can't be used: `path`, and `reason` in words."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path, self.reason = path, reason


class FolderLockedError(FolderError):
    """Another process holds the folder's lock."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "another process keeps its state there; each needs its own folder")
