"""The one thread that writes. Who has something to keep hands it over in microseconds and never waits for a
disk."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.store.folder import Folder, StoreError
from hoistplank.store.schemas import KeptChange, KeptList, applied, merged

PAUSE_S = 0.2  # between writes: what comes meanwhile is merged, so that a list that flaps wears nothing down
AFTER_FAULT_S = 1.0


@dataclass(slots=True)
class Written:
    """How writing fares; read from any thread, written by one."""

    at_us: int = 0  # `heard_us` of the newest state that is on the disk
    writes: int = 0
    faults: int = 0
    wrong: str = ""


class Keeper:
    """Holds at most one whole state and one merged change: what is superseded before it is written never is.

    `complain` is called in the writing thread, once a fault begins and once it is over.
    """

    def __init__(self, folder: Folder, complain: Callable[[str], None], pause_s: float = PAUSE_S) -> None:
        self.folder, self.complain, self.pause_s = folder, complain, pause_s
        self.written = Written()
        self._held: KeptList | None = None  # the state as it will be once all that waits is written
        self._whole = False  # whether it goes out as a snapshot
        self._change: KeptChange | None = None
        self._ready = threading.Condition()
        self._ended = False
        self._thread = threading.Thread(target=self._run, name="keeper", daemon=True)

    def start(self, held: KeptList | None) -> None:
        self._held = held
        self._thread.start()

    def put(self, state: KeptList) -> None:
        """A whole state in place of all before it."""
        with self._ready:
            self._held, self._whole, self._change = state, True, None
            self._ready.notify()

    def add(self, change: KeptChange) -> None:
        """One change to what was put last; nothing to add to: left out."""
        with self._ready:
            if self._held is None:
                return
            self._change = change if self._change is None else merged(self._change, change)
            self._ready.notify()

    def waits(self) -> bool:
        return self._whole or self._change is not None

    def end(self, within_s: float = 1.0) -> None:
        """Writes what waits, if the disk lets it in that time, and ends."""
        with self._ready:
            self._ended = True
            self._ready.notify()
        self._thread.join(within_s)

    def _locked(self) -> bool:
        """Danger: after a quick restart the old process may write on while it drains: until it ends nothing
        is
        written, and then a whole state goes out, as what it wrote is not known here."""
        told = ""
        while True:
            try:
                self.folder.lock()
            except StoreError as wrong:
                if str(wrong) != told:
                    told = str(wrong)
                    self.complain(told)
                with self._ready:
                    if self._ready.wait_for(lambda: self._ended, AFTER_FAULT_S / 2):
                        return False
                continue
            with self._ready:
                self._whole |= self._held is not None and bool(told)
            self.folder.generation = max(self.folder.files(), default=0)
            return True

    def _run(self) -> None:
        if not self._locked():
            return
        while True:
            with self._ready:
                while not (self._ended or self.waits()):
                    self._ready.wait()
                if self._ended and not self.waits():
                    return
                state, whole, change = self._held, self._whole, self._change
                self._whole, self._change = False, None
            assert state is not None
            if change is not None:
                state = applied(state, change)
            try:
                if whole or self.folder.generation == 0 or self.folder.is_long():
                    self.folder.snapshot(state)
                elif change is not None:
                    self.folder.append(change)
            except (OSError, StoreError) as wrong:
                self._failed(state, str(wrong))
                continue
            with self._ready:
                if not self._whole:
                    self._held = state  # nothing newer was put meanwhile; changes that came wait in `_change`
                self.written.at_us, self.written.writes = state.heard_us, self.written.writes + 1
                if self.written.wrong:
                    self.complain("state is kept again")
                    self.written.wrong = ""
                if not self._ended:
                    self._ready.wait_for(lambda: self._ended, self.pause_s)

    def _failed(self, state: KeptList, wrong: str) -> None:
        """Danger: a change that could not be written is missing in the log: a whole state goes next."""
        with self._ready:
            if not self._whole:
                self._held, self._whole = state, True
            self.written.faults += 1
            if wrong != self.written.wrong:
                self.written.wrong = wrong
                self.complain(f"state can't be kept: {wrong}")
            if self._ended:
                self._whole, self._change = False, None
                return
            self._ready.wait_for(lambda: self._ended, AFTER_FAULT_S)
