"""Processes that end with the one that started them, however that one ended."""

from __future__ import annotations

import ctypes
import os
import signal
from collections.abc import Callable

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def with_parent() -> Callable[[], None]:
    """For `preexec_fn`: the kernel kills the child once the caller's process is gone (prctl(2), Linux).

    Danger: a rig that is killed ends none of its children by itself, and a stopped one would stand for ever.
    """
    parent = os.getpid()

    def asked() -> None:
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:
            os.kill(os.getpid(), signal.SIGKILL)  # the parent was gone before this was asked for

    return asked
