"""One run of the soak: its servers, its change log, its dispatchers, and the faults of its plan in time."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from hoistplank.fakes.cache_host import ServerDirectory
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import fleet_event
from hoistplank.fakes.wire import serve
from hoistplank.lab.fleet.soak.clients import OBJECTS
from hoistplank.lab.fleet.soak.dispatcher import SoakDispatcher
from hoistplank.lab.fleet.soak.plan import RUN_S, Fault, FaultKind, SoakPlan
from hoistplank.lab.fleet.soak.server import RecordingServer
from hoistplank.lab.fleet.soak.truth import RIG_SLACK_S, TOLD_AT_LATEST_S, Rule, Truth

CACHES, PARENTS = 8, 3
LEAST_CACHES, LEAST_PARENTS = 3, 1  # that stay up, whatever the plan says
RATE, CROWDED_RATE = 30.0, 20.0  # requests a second and dispatcher
PURGE_GRACE_S = 1.0
CROWDED_PIECE_BYTES, CROWDED_PURGES = 512, 60
SHORT_IO_BYTES = (60, 600)
CELLS = 3
LAST_ANSWERS_S = 3.2  # after the last request
LATE_TICK_S = 0.02
# The rig's own lateness, at its most, beyond which a run proves nothing: the checkers allow for so much.
MAX_LATE_S = RIG_SLACK_S


class SoakResult(NamedTuple):
    """What came of a run."""

    seed: int
    is_crowded: bool
    dispatchers: int
    faults: dict[str, int]
    counts: dict[str, int]
    violations: list[str]
    late_ms: int  # the rig's lateness at its most

    @property
    def is_void(self) -> bool:
        """Whether the rig itself was too late for the run to prove anything."""
        return self.late_ms > MAX_LATE_S * 1e3


class SoakRun:
    """Everything of one run. `build`: a faulty build, "" for the program as it is."""

    def __init__(self, plan: SoakPlan, folder: Path, build: str = "") -> None:
        self.plan, self.folder, self.build = plan, folder, build
        self.random = Random(plan.seed)
        self.truth = Truth()
        self.directory = ServerDirectory()
        self.change_log, self.seq = FakeChangeLog(), 0
        self.servers: list[RecordingServer] = []
        self.dispatchers: list[SoakDispatcher] = []
        self._lateness: list[float] = []
        self._tasks: set[asyncio.Task[None]] = set()

    # The world.

    async def _add_server(self, uid: str, kind: str, boot_ms: int = 0) -> RecordingServer:
        cell = len(self.servers) % CELLS
        server = RecordingServer(uid, kind, cell, self.directory, self.truth, self.random)
        server.boot_ms = boot_ms
        self.servers.append(server)
        await server.start()
        return server

    def known(self) -> dict[str, Any]:
        """The list and the purges as of now, as a configuration has them."""
        listed = [server.entry() for server in self.servers if server.state != "gone"]
        purges = [event for event in self.change_log.events if "invalidate" in event]
        return {"seq": self.seq, "results": [*purges, fleet_event(self.seq, listed, whole=True)]}

    def _publish(self, **event: Any) -> None:
        self.seq += 1
        self.change_log.publish({"seq": self.seq, **event})

    def _publish_state(self, server: RecordingServer, state: str) -> None:
        server.state = state
        if state != "ready":
            self.truth.drained_at.setdefault(server.uid, time.monotonic())
        self._publish(fleet={"rev": self.seq + 1, "all": False, "targets": [server.entry()]})

    def _may_leave(self, target: int) -> RecordingServer | None:
        """A host that may drain or go: enough of its kind stay."""
        ready = [server for server in self.servers if server.state == "ready" and server.kind != "origin"]
        counts = {kind: sum(server.kind == kind for server in ready) for kind in ("box", "parent")}
        least = {"box": LEAST_CACHES, "parent": LEAST_PARENTS}
        free = [server for server in ready if counts[server.kind] > least[server.kind]]
        return free[target % len(free)] if free else None

    # Faults.

    async def _strike(self, fault: Fault) -> None:
        dispatcher = self.dispatchers[fault.target % len(self.dispatchers)]
        self.truth.counts[f"fault: {fault.kind.value}"] += 1
        handlers: dict[FaultKind, Callable[[Fault, SoakDispatcher], Awaitable[None]]] = {
            FaultKind.CRASH: self._crash,
            FaultKind.RETIRE: self._retire,
            FaultKind.SIGNALS: self._signals,
            FaultKind.FREEZE: self._freeze,
            FaultKind.DRAIN: self._drain,
            FaultKind.REPLACE: self._replace,
            FaultKind.PURGE: self._purge,
            FaultKind.SLOW_LOG: self._slow_log,
            FaultKind.CROWDED_LOG: self._crowded_log,
            FaultKind.SILENT_LOG: lambda fault, struck: struck.silence_log(fault.length_s),
            FaultKind.REFUSED_LOG: lambda fault, struck: struck.refuse_log(fault.length_s),
            FaultKind.CLOCK: self._clock,
            FaultKind.CALLS: self._calls,
            FaultKind.SHORT_IO: self._short_io,
            FaultKind.FAILING_HOST: self._failing_host,
        }
        await handlers[fault.kind](fault, dispatcher)

    async def _crash(self, fault: Fault, dispatcher: SoakDispatcher) -> None:
        if dispatcher.is_running():
            known = self.known()
            await dispatcher.crash()
            await asyncio.sleep(fault.length_s)
            await dispatcher.start(known)

    async def _retire(self, _fault: Fault, dispatcher: SoakDispatcher) -> None:
        if dispatcher.is_running():
            await dispatcher.retire()
            await dispatcher.start(self.known())

    async def _signals(self, _fault: Fault, dispatcher: SoakDispatcher) -> None:
        for _ in range(4):
            if dispatcher.is_running():
                dispatcher.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.03)

    async def _freeze(self, fault: Fault, dispatcher: SoakDispatcher) -> None:
        if dispatcher.is_running():
            await dispatcher.freeze(fault.length_s)

    async def _drain(self, fault: Fault, _dispatcher: SoakDispatcher) -> None:
        server = self._may_leave(fault.target)
        if server is not None:
            self._publish_state(server, "draining")

    async def _replace(self, fault: Fault, _dispatcher: SoakDispatcher) -> None:
        server = self._may_leave(fault.target)
        if server is not None:
            self._publish_state(server, "gone")
            name = f"{server.kind}-{len(self.servers)}"
            added = await self._add_server(name, server.kind, int(time.time() * 1e3))
            self._publish_state(added, "ready")

    async def _purge(self, fault: Fault, _dispatcher: SoakDispatcher) -> None:
        object_key = f"{fault.target % OBJECTS:016x}"
        made_ms, now = int(time.time() * 1e3), time.monotonic()
        told_s = max(each.sight.told_at(now) - now for each in self.dispatchers)
        told_s = TOLD_AT_LATEST_S if told_s > 0 else 0.0
        until = time.time() + told_s + PURGE_GRACE_S + RIG_SLACK_S
        self.directory.purged[object_key] = (made_ms, until)
        self._publish(invalidate={"object": object_key, "time": made_ms})

    async def _slow_log(self, fault: Fault, dispatcher: SoakDispatcher) -> None:
        dispatcher.proxy.answer_delay_s = fault.amount
        await dispatcher.cut_log()
        await asyncio.sleep(fault.length_s)
        dispatcher.proxy.answer_delay_s = 0.0

    async def _crowded_log(self, fault: Fault, dispatcher: SoakDispatcher) -> None:
        proxy = dispatcher.proxy
        proxy.piece_bytes, proxy.piece_pause_s = CROWDED_PIECE_BYTES, fault.amount
        await dispatcher.cut_log()
        for number in range(CROWDED_PURGES):
            self._publish(invalidate={"object": f"ff{number:014x}", "time": int(time.time() * 1e3)})
        await asyncio.sleep(fault.length_s)
        proxy.piece_bytes, proxy.piece_pause_s = 65_536, 0.0

    async def _clock(self, fault: Fault, dispatcher: SoakDispatcher) -> None:
        dispatcher.set_plan(msgspec.structs.replace(dispatcher.plan, clock_step_s=fault.amount))

    async def _calls(self, fault: Fault, dispatcher: SoakDispatcher) -> None:
        failures = {fault.call: list(fault.errors)}
        dispatcher.set_plan(msgspec.structs.replace(dispatcher.plan, failures=failures))
        await asyncio.sleep(fault.length_s)
        dispatcher.set_plan(msgspec.structs.replace(dispatcher.plan, failures={}))

    async def _short_io(self, fault: Fault, dispatcher: SoakDispatcher) -> None:
        max_io_bytes = SHORT_IO_BYTES[fault.target % len(SHORT_IO_BYTES)]
        dispatcher.set_plan(msgspec.structs.replace(dispatcher.plan, max_io_bytes=max_io_bytes))
        await asyncio.sleep(fault.length_s)
        dispatcher.set_plan(msgspec.structs.replace(dispatcher.plan, max_io_bytes=0))

    async def _failing_host(self, fault: Fault, _dispatcher: SoakDispatcher) -> None:
        server = self.servers[fault.target % len(self.servers)]
        server.failing_share = fault.amount
        await asyncio.sleep(fault.length_s)
        server.failing_share = 0.0

    # From start to end.

    async def play(self) -> SoakResult:
        """Plays the plan."""
        lateness = asyncio.create_task(self._measure_lateness(), name="lateness")
        try:
            await self._begin()
            began = time.monotonic()
            rate = CROWDED_RATE if self.plan.is_crowded else RATE
            for dispatcher in self.dispatchers:
                self._spawn(dispatcher.clients.run(rate, RUN_S))
            for fault in self.plan.faults:
                await asyncio.sleep(max(0.0, began + fault.at_s - time.monotonic()))
                self._spawn(self._strike(fault))
            await self._settle()
            await asyncio.sleep(LAST_ANSWERS_S)
            await self._end()
        finally:
            lateness.cancel()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await asyncio.gather(*(dispatcher.close() for dispatcher in self.dispatchers))
        return self._result()

    async def _begin(self) -> None:
        await self._add_server("origin-0", "origin")
        for number in range(CACHES):
            await self._add_server(f"box-c{number}", "box")
        for number in range(PARENTS):
            await self._add_server(f"parent-p{number}", "parent")
        self._publish(fleet={"rev": 1, "all": True, "targets": [one.entry() for one in self.servers]})
        log_port = await serve(self.change_log.serve_connection)
        for number in range(self.plan.dispatchers):
            random = Random(self.plan.seed * 1_000 + number)
            dispatcher = SoakDispatcher(
                number,
                self.folder,
                log_port,
                self.truth,
                random,
                self.build,
                self.plan.classes,
            )
            self.dispatchers.append(dispatcher)
            await dispatcher.proxy.listen()
        await asyncio.gather(*(dispatcher.start(self.known()) for dispatcher in self.dispatchers))

    async def _settle(self) -> None:
        """Waits for what was spawned; an error in it is the rig's own, and ends the run."""
        while self._tasks:
            done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                self._tasks.discard(task)
                task.result()

    async def _end(self) -> None:
        """All dispatchers retire; then what is owed is counted."""
        for dispatcher in self.dispatchers:
            dispatcher.check()
        running = [dispatcher for dispatcher in self.dispatchers if dispatcher.is_running()]
        await asyncio.gather(*(dispatcher.retire() for dispatcher in running))
        now = time.monotonic()
        self.truth.finish(now)
        for request_id in self.directory.stale_answers:
            self.truth.broke(Rule.PURGE, now, f"{request_id} got a copy older than its purge")
        for server in self.servers:
            for key, runs in server.runs_by_key.items():
                if len(runs) > 1:
                    self.truth.broke(Rule.EFFECT, now, f"the effect of {key} ran {len(runs)} times")

    async def _measure_lateness(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(LATE_TICK_S)
            self._lateness.append(time.monotonic() - began - LATE_TICK_S)

    def _spawn(self, work: Any) -> None:
        self._tasks.add(asyncio.ensure_future(work))

    def _result(self) -> SoakResult:
        counts = {name: count for name, count in self.truth.counts.items() if not name.startswith("fault: ")}
        faults = {
            name.removeprefix("fault: "): count
            for name, count in self.truth.counts.items()
            if name.startswith("fault: ")
        }
        return SoakResult(
            self.plan.seed,
            self.plan.is_crowded,
            self.plan.dispatchers,
            faults,
            counts,
            [f"{row.rule.value}: {row.description}" for row in self.truth.violations],
            round(max(self._lateness, default=0.0) * 1e3),
        )
