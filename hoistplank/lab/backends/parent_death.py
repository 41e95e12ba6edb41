"""Makes a child process end with its parent, however the parent ends."""

from __future__ import annotations

import ctypes
import os
import signal
from collections.abc import Callable
from functools import partial

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def kill_on_parent_death(parent: int) -> None:
    """Has the kernel kill the calling process once its parent process `parent` is gone (prctl(2), Linux).

    A test rig that is killed can't end its children itself, and a stopped child would stay stopped for ever.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        os.kill(os.getpid(), signal.SIGKILL)  # the parent ended before the call of prctl


def kill_on_parent_death_preexec() -> Callable[[], None]:
    """Returns a `preexec_fn` that has the kernel kill the child once the caller's process is gone.

    A caller with threads must not use it, and asyncio's own event loop has one for each child: code that runs
    between fork and exec may wait for ever for a lock that another thread held. There the child calls
    `kill_on_parent_death` itself.
    """
    return partial(kill_on_parent_death, os.getpid())
