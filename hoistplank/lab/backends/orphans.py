"""Processes that end with the one that started them, however that one ended."""

from __future__ import annotations

import ctypes
import os
import signal
from collections.abc import Callable
from functools import partial

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def end_with(parent: int) -> None:
    """The kernel kills the calling process once the process `parent`, which started it, is gone (prctl(2),
    Linux).

    Danger: a rig that is killed ends none of its children by itself, and a stopped one would stand for ever.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        os.kill(os.getpid(), signal.SIGKILL)  # the parent was gone before this was asked for


def with_parent() -> Callable[[], None]:
    """For `preexec_fn`: has the child end with the caller's process.

    Danger: what runs between fork and exec may wait for ever for a lock that another thread of the caller
    held. A caller that has threads, as asyncio's own loop has one for each child, must not use it: there the
    child calls `end_with` by itself.
    """
    return partial(end_with, os.getpid())
