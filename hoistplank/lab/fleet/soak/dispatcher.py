"""One dispatcher process of the soak, with the paths to it and the faults that strike it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

from hoistplank.fakes.deployment import deployment_settings, dispatcher_environment, free_port
from hoistplank.fakes.fault_proxy import FaultProxy
from hoistplank.fakes.faulty_system import PLAN_VARIABLE, FaultPlan
from hoistplank.fakes.wire import connect
from hoistplank.lab.backends.parent_death import kill_on_parent_death_preexec
from hoistplank.lab.fleet.soak.classes import SoakClass
from hoistplank.lab.fleet.soak.clients import SoakClients
from hoistplank.lab.fleet.soak.truth import LogSight, Rule, Truth

BUILD_VARIABLE = "HOISTPLANK_SOAK_BUILD"  # names a faulty build, for the checkers
COMMAND = ("-m", "hoistplank.lab.fleet.soak.build")
READY_S = 10.0
FRESH_S = 60.0  # a run's copies stay fresh, but for purges
LONGEST_DEADLINE_S = 3.0
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # from SIGTERM, at its earliest
NEW_CONNECTIONS_S = 0.3  # for which the front still sends new connections after SIGTERM
SIGNALS_AFTER_SIGTERM = ((0.05, signal.SIGHUP), (0.1, signal.SIGTERM), (1.5, signal.SIGTERM))
HEALTH_CHECK_S = 0.02
ERRORS_IN_LOG = ("event='task failed'", "event='event loop error unhandled'", "Traceback")


class SoakDispatcher:
    """A real dispatcher process behind a proxy of its own before the change log."""

    def __init__(
        self,
        number: int,
        folder: Path,
        log_port: int,
        truth: Truth,
        random: Random,
        build: str,
        classes: tuple[SoakClass, ...],
    ) -> None:
        self.number, self.folder, self.truth, self.build = number, folder, truth, build
        self.now = time.monotonic
        self.proxy = FaultProxy(log_port)
        self.proxy.on_connection = self._log_asked
        self.sight = truth.sights[number] = LogSight()
        self.classes = classes
        self.clients = SoakClients(number, classes, random, truth, self.now)
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopping = False  # its end is ours
        self.is_ready = False  # whether the process handles signals by now
        self.plan = FaultPlan()
        self.known: dict[str, Any] = {}
        self.starts = 0

    @property
    def plan_file(self) -> Path:
        """The plan of failing calls."""
        return self.folder / f"faults-{self.number}.json"

    @property
    def log_file(self) -> Path:
        """What its processes have logged."""
        return self.folder / f"dispatcher-{self.number}.log"

    # The log's path.

    def _log_asked(self) -> None:
        self.sight.asked(self.now())
        if not self.proxy.is_silent:
            self.sight.regain(self.now())

    async def cut_log(self) -> None:
        """Its connection to the log ends; a new one is accepted."""
        self.sight.lose(self.now())
        await self.proxy.cut()

    async def refuse_log(self, seconds: float) -> None:
        """Nobody listens at the log's address for a time."""
        self.sight.lose(self.now())
        await self.proxy.refuse()
        await asyncio.sleep(seconds)
        await self.proxy.listen()

    async def silence_log(self, seconds: float) -> None:
        """The log's connection stands, and nothing comes over it for a time."""
        self.sight.lose(self.now())
        self.proxy.is_silent = True
        await asyncio.sleep(seconds)
        self.proxy.is_silent = False
        self.sight.regain(self.now())

    # The process.

    def _write_files(self) -> None:
        self.clients.address = ("127.0.0.1", free_port())
        self.starts += 1
        configuration = {
            "name": f"soak-{self.number}",
            "listen": f"127.0.0.1:{self.clients.address[1]}",
            "changelog": f"127.0.0.1:{self.proxy.port}",
            "seed": f"{self.number * 100 + self.starts:x}",
            "limits": {"sockets": 512, "memory_mb": 96},
            "settings": self._settings(),
            "known": self.known,
        }
        (self.folder / f"dispatcher-{self.number}.json").write_text(json.dumps(configuration))
        self.plan.write(self.plan_file)

    def _settings(self) -> dict[str, Any]:
        changes: dict[str, Any] = {
            "classes": [traffic_class.settings() for traffic_class in self.classes],
            "family_info.uncached": [not traffic_class.is_cached for traffic_class in self.classes],
            "family_info.lifetime_by_class": [
                FRESH_S if traffic_class.is_cached else 0.0 for traffic_class in self.classes
            ],
        }
        return deployment_settings(**changes)

    async def start(self, known: dict[str, Any]) -> None:
        """Starts the process with the list `known`, and waits until it is ready."""
        self.known, self.is_stopping, self.is_ready = known, False, False
        self._write_files()
        environment = dispatcher_environment(self.folder / f"dispatcher-{self.number}.json")
        environment[PLAN_VARIABLE] = str(self.plan_file)
        environment[BUILD_VARIABLE] = self.build
        with self.log_file.open("ab") as output:
            process = self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *COMMAND,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=kill_on_parent_death_preexec(),
            )
        # Its clients know the address from before: they come as soon as it listens.
        self.clients.may_connect = True
        await self._wait_until_ready(process)

    async def _wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        until = self.now() + READY_S
        while self.now() < until:
            if process.returncode is not None or self.is_stopping:
                return
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    client = await connect(self.clients.address)
                    client.send(1, "", script="/-/healthy")
                    status = (await client.read_answer())[1]
                    client.writer.close()
                if status == 200:
                    self.is_ready = True
                    self.truth.counts["starts"] += 1
                    return
            await asyncio.sleep(HEALTH_CHECK_S)
        self.truth.broke(Rule.PROCESS, self.now(), f"dispatcher {self.number} not ready within {READY_S} s")

    def is_running(self) -> bool:
        """Whether the process is there and ready, and its end is not begun."""
        process = self.process
        return process is not None and process.returncode is None and self.is_ready and not self.is_stopping

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is there."""
        if self.process is not None:
            _send_signal(self.process, number)

    def set_plan(self, plan: FaultPlan) -> None:
        """Has calls of the process fail, or steps its clock."""
        self.plan = plan
        plan.write(self.plan_file)
        if self.is_ready:
            self.send_signal(signal.SIGUSR1)

    async def crash(self) -> None:
        """SIGKILL."""
        assert self.process is not None
        self.is_stopping, self.clients.may_connect = True, False
        self.truth.excuse(self.number)
        self.process.kill()
        await self.process.wait()
        self.truth.excuse(self.number)

    async def freeze(self, seconds: float) -> None:
        """SIGSTOP for a time; what is open meanwhile may be late."""
        self.truth.excuse(self.number)
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.truth.excuse(self.number)
        self.send_signal(signal.SIGCONT)

    async def retire(self) -> None:
        """SIGTERM, others after it, and SIGKILL at its earliest; clients use open connections until then."""
        process = self.process
        assert process is not None
        self.is_stopping = True
        loop = asyncio.get_running_loop()
        loop.call_later(NEW_CONNECTIONS_S, setattr, self.clients, "may_connect", False)
        process.send_signal(signal.SIGTERM)
        for later_s, number in SIGNALS_AFTER_SIGTERM:
            loop.call_later(later_s, _send_signal, process, number)
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            self.truth.broke(Rule.PROCESS, self.now(), f"dispatcher {self.number} did not end by itself")
        if process.returncode not in (0, -signal.SIGKILL):
            self.truth.broke(
                Rule.PROCESS, self.now(), f"dispatcher {self.number} ended with {process.returncode}"
            )

    def check(self) -> None:
        """At the end of the run: the process has not ended by itself, and has logged no error."""
        process = self.process
        if process is not None and process.returncode is not None and not self.is_stopping:
            self.truth.broke(
                Rule.PROCESS, self.now(), f"dispatcher {self.number} ended with {process.returncode}"
            )
        found = self.log_file.read_text() if self.log_file.exists() else ""
        for error in ERRORS_IN_LOG:
            if error in found:
                self.truth.broke(Rule.PROCESS, self.now(), f"dispatcher {self.number} logged: {error}")

    async def close(self) -> None:
        """Ends whatever is left."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        await self.clients.close()
        await self.proxy.refuse()


def _send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Sends a signal, unless the process has ended."""
    if process.returncode is None:
        process.send_signal(number)
