"""A cache host, parent or origin of the soak: records the attempts that it receives, and fails some."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

from hoistplank.fakes.cache_host import FILL_ID, FakeCacheServer, PartKey, ServerDirectory, StoredCopy
from hoistplank.fakes.failing_cache_host import AttemptFault, end_attempt
from hoistplank.fakes.settings import endpoint_entry
from hoistplank.lab.fleet.soak.clients import COPY_BYTES
from hoistplank.lab.fleet.soak.effects import HostPlace
from hoistplank.lab.fleet.soak.truth import Truth

WORK_S = 0.01
NEAR_BUDGET_S = (-0.002, 0.0005)  # when most faults of attempts come, from the end of the budget
EARLY_FAULT_SHARE, REFUSAL_SHARE = 0.2, 0.1
# The faults of attempts by weight: an end is more telling than silence.
ATTEMPT_FAULTS = {
    AttemptFault.RESET: 2,
    AttemptFault.HALF_ANSWER: 2,
    AttemptFault.ERROR: 2,
    AttemptFault.ANSWER: 2,
    AttemptFault.STALL: 1,
    AttemptFault.SILENCE: 1,
}


class RecordingServer(FakeCacheServer):
    """A server that records every attempt that it receives, and ends a share of them by faults."""

    def __init__(
        self, uid: str, kind: str, cell: int, directory: ServerDirectory, truth: Truth, random: Random
    ) -> None:
        super().__init__(uid, kind, directory, WORK_S)
        self.copy_bytes, self.cell, self.truth, self.random = COPY_BYTES, cell, truth, random
        self.boot_ms = 0
        self.state = "ready"
        self.failing_share = 0.0  # of its attempts
        truth.effects.places[uid] = HostPlace(self.entry()["az"], self.cell)

    def entry(self) -> dict[str, Any]:
        """The host as the change log lists it."""
        entry = endpoint_entry(self.uid, self.kind, self.port, self.state)
        return entry | {"boot_ms": self.boot_ms, "pod_group": self.cell}

    def write_refusal(self, request_id: str, status: str, writer: asyncio.StreamWriter) -> None:
        """Answers that a request never ran, and records it."""
        self.truth.effects.record_never_ran(request_id, self.uid)
        super().write_refusal(request_id, status, writer)

    async def _answer(
        self, request_id: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if request_id != FILL_ID:
            self.truth.attempt_received(
                time.monotonic(), request_id, self.uid, fields.get("parent", ""), int(fields["budget"])
            )
            if self.random.random() < self.failing_share:
                await self._fail(request_id, int(fields["budget"]) / 1e3, writer)
                return
        await super()._answer(request_id, fields, body, writer)

    def _fresh_copy(self, key: PartKey, fields: dict[str, str]) -> StoredCopy | None:
        """Returns the cached copy; an origin makes each anew."""
        return None if self.kind == "origin" else super()._fresh_copy(key, fields)

    async def _fail(self, request_id: str, budget_s: float, writer: asyncio.StreamWriter) -> None:
        """Ends an attempt by a fault, mostly near the end of its budget."""
        self.truth.counts["failed attempts"] += 1
        after_s = budget_s + self.random.uniform(*NEAR_BUDGET_S)
        if self.random.random() < EARLY_FAULT_SHARE:
            after_s = self.random.uniform(0.0, budget_s)
        await asyncio.sleep(after_s)
        if self.random.random() < REFUSAL_SHARE and not writer.is_closing():
            self.write_refusal(request_id, self.random.choice(("overload", "nobody")), writer)
            return
        fault = self.random.choices(list(ATTEMPT_FAULTS), list(ATTEMPT_FAULTS.values()))[0]
        end_attempt(fault, request_id, writer)
