"""Runs one dispatcher from start to exit: its tasks, phases and signals."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource
import signal
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import structlog

from hoistplank.program.configuration import Configuration, DispatcherConfigurationError, changed_fixed_keys
from hoistplank.program.extension_protocol import Extension, Extensions
from hoistplank.program.graceful_shutdown import GracefulShutdown
from hoistplank.program.phase import Phase
from hoistplank.program.state_log import StateLog
from hoistplank.routing.cache_host_reader import make_answer_reader
from hoistplank.routing.client_memory import herd_memory_bytes
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.frontend import Frontend
from hoistplank.routing.host_prober import HostProber
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.listener import Listener
from hoistplank.transport.pool import Pool, PoolSettings

log = structlog.get_logger()

# The process itself takes some 20 MB, and each connection in use some tens of KB.
MIN_MEMORY_MB = 48
DEFAULT_CONNECT_TIMEOUT_S = 1.0  # to a cache host, where the settings name none
SWEEP_INTERVAL_S = 0.1
LIST_CHECK_INTERVAL_S = 0.02
FAILED_ANSWERS_TIMEOUT_S = 0.5  # for sending the last answers after a task has failed
CLOSED_TASKS_WAIT_S = 0.01  # for the tasks of closed connections to end
# Objects live for one request or for the whole process: fewer, longer collections.
GC_THRESHOLDS = (20_000, 20, 50)


class Service:
    """One dispatcher process: `run` serves until it ends, `phase` is the current phase.

    `reread` reads the configuration file again at a SIGHUP; `early_signals` holds the SIGHUPs that arrived
    before the handler was installed.
    """

    def __init__(
        self,
        configuration: Configuration,
        reread: Callable[[], Configuration],
        early_signals: Sequence[int] = (),
        extensions: Extensions | None = None,
    ) -> None:
        self.configuration, self.extensions = configuration, extensions
        self.phase = Phase.STARTING
        self.exit_code = 0
        self.provisional = False  # True once enough hosts of a persisted list have answered probes
        self.reread, self.early_signals = reread, early_signals
        self.loop = asyncio.get_running_loop()
        self.descriptors = DescriptorBudget(configuration.max_descriptors)
        self.router_task = RouterTask(
            configuration.router_settings,
            configuration.seed,
            Clock(),
            configuration.max_open_requests,
            configuration.load_report_fields,
        )
        self.router_task.pool = self._make_pool()
        self.host_prober = HostProber(self.router_task, self.router_task.pool)
        self.frontend = self._make_frontend()
        herds = self.router_task.router.parts.herds
        herds.max_bytes = herd_memory_bytes(self.frontend.memory.limit_bytes)
        self.endpoint_watcher = self._make_endpoint_watcher()
        self.router_task.standstills.read_pending = self._read_pending
        self.state_log = StateLog(self)
        self.listener = Listener(configuration.listen, self.descriptors, self.frontend.serve)
        self.shutdown = GracefulShutdown(
            self.router_task, self.frontend, self.listener, self._longest_deadline_s()
        )
        # Set by SIGTERM or SIGINT, and by SIGHUP.
        self.terminated, self.reload_requested = asyncio.Event(), asyncio.Event()

    def _longest_deadline_s(self) -> float:
        return max(row.deadline_us for row in self.configuration.router_settings.traffic_classes) / 1e6

    def _make_frontend(self) -> Frontend:
        return Frontend(
            self.router_task,
            self.configuration.router_settings,
            self.descriptors,
            self.configuration.memory_mb,
            lambda: self.phase.is_ready,
            self.extensions.authorizer if self.extensions is not None else None,
        )

    def _make_endpoint_watcher(self) -> EndpointWatcher:
        configuration = self.configuration
        return EndpointWatcher(
            self.router_task,
            configuration.changelog,
            configuration.known,
            Random(configuration.seed),
            configuration.router_settings.rules.shortest_grace_us / 1e6,
        )

    def _read_pending(self) -> None:
        """Reads what the change log and clients waiting for an answer have already sent."""
        self.endpoint_watcher.read_pending()
        self.frontend.read_pending()

    def _make_pool(self) -> Pool:
        configuration = self.configuration
        return Pool(
            self.descriptors,
            PoolSettings(
                max_requests_per_connection=configuration.max_requests_per_connection,
                idle_s=configuration.idle_close_s,
                connect_timeout_s=configuration.router_settings.rules.connect_timeout_us / 1e6
                or DEFAULT_CONNECT_TIMEOUT_S,
                remember_ids_s=self._longest_deadline_s(),
            ),
            make_answer_reader,
            self._log_closed_by_error,
            self.router_task.router.parts.process_identity,
            self.router_task.clock.now,
        )

    def _log_closed_by_error(self, host: str, error: BaseException) -> None:
        self.frontend.rate_limited_log.warning("cache host's connection closed", host=host, wrong=str(error))

    async def run(self) -> int:
        """Serves until SIGTERM and the drain after it, or until a task fails. Returns the exit code."""
        self._handle_signals()
        extensions = self.extensions.enabled if self.extensions is not None else ()
        tasks = self._start_tasks(extensions)
        self.enter(Phase.STARTING)
        self._log_limits()
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            error = task.exception()
            if error is not None:
                # Without the failed task the program would go on accepting requests that it can't answer.
                log.error("task failed", part=task.get_name(), exc_info=error)
                self.exit_code = 1
                await self._fail_open_requests()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._close(extensions)
        self.enter(Phase.STOPPED)
        await asyncio.sleep(CLOSED_TASKS_WAIT_S)
        return self.exit_code

    def _handle_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.terminated.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        if self.early_signals:
            self.reload_requested.set()
        self.loop.set_exception_handler(_log_unhandled)

    def _start_tasks(self, extensions: Sequence[Extension]) -> list[asyncio.Task[None]]:
        """Starts the tasks of the program and of its extensions; the end of any task ends the program."""
        added = [named for extension in extensions for named in extension.attach(self)]
        return [
            self.loop.create_task(coroutine, name=name)
            for name, coroutine in (
                ("router task", self.router_task.run()),
                ("listener", self.listener.run()),
                ("change log", self.endpoint_watcher.run()),
                ("reload", self._reload()),
                ("sweep", self._sweep()),
                ("standstills", self.router_task.standstills.run()),
                ("phases", self._run_phases()),
                *added,
            )
        ]

    def _close(self, extensions: Sequence[Extension]) -> None:
        self.frontend.close()
        for extension in extensions:
            extension.close()
        if self.router_task.pool is not None:
            self.router_task.pool.close()

    # Phases

    def enter(self, phase: Phase) -> None:
        """Changes the phase and logs it with the request counts so far."""
        self.phase = phase
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        log.info(
            "phase",
            phase=phase.value,
            open=self.router_task.requests.open_count,
            peak_descriptors=self.descriptors.peak,
            peak_mb=peak_mb,
            **self.state_log.list_fields(),
            **self.router_task.counts.log_fields(),
        )

    async def _run_phases(self) -> None:
        await self._wait_until(self._may_serve)
        # The known hosts reach the Router before any request: both pass through one queue, in order.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        if not self.endpoint_watcher.has_list and not self.terminated.is_set():
            self.enter(Phase.PROVISIONAL)
            await self._wait_until(lambda: self.endpoint_watcher.has_list)
        if not self.terminated.is_set():
            self.enter(Phase.SERVING)
        await self.terminated.wait()
        self.enter(Phase.DRAINING)
        await self.shutdown.run()

    def _may_serve(self) -> bool:
        """True if there is an endpoint list and the Router permits attempts by it.

        A list alone isn't enough: `known` is as old as the start of this process, and a drain published
        since then counts as received, so a request to such a host would be a fault.
        """
        has_list = self.endpoint_watcher.has_list or self.provisional
        return has_list and self.router_task.router.permits_attempts(self.router_task.clock.now())

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits for the condition or SIGTERM, whichever is first."""
        while not condition() and not self.terminated.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LIST_CHECK_INTERVAL_S):
                    await self.terminated.wait()

    # Tasks beside the phases

    async def _reload(self) -> None:
        """Reads the configuration again at each SIGHUP and follows the change log at the address it names."""
        while True:
            await self.reload_requested.wait()
            self.reload_requested.clear()
            try:
                configuration = self.reread()
                apply_extensions = self.extensions.prepare_reload() if self.extensions is not None else None
            except DispatcherConfigurationError as error:
                # A half-written or invalid file must not end the running dispatcher. The message names the
                # key at fault; a traceback would add nothing.
                log.error("configuration can't be used, the running one stays", wrong=str(error))  # noqa: TRY400
                continue
            if apply_extensions is not None:
                apply_extensions()
            for key in changed_fixed_keys(self.configuration, configuration):
                log.warning("changed setting ignored until restart", key=key)
            log.info("configuration read again", changelog=configuration.file.changelog)
            self.endpoint_watcher.set_address(configuration.changelog)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.state_log.update()
            self.frontend.sweep()
            if self.router_task.pool is not None:
                self.router_task.pool.sweep()
            self.host_prober.tick()

    async def _fail_open_requests(self) -> None:
        """Fails the open requests after a task has failed, as far as that still works."""
        self.router_task.requests.fail_all()
        deadline = self.loop.time() + FAILED_ANSWERS_TIMEOUT_S
        while not self.frontend.all_answers_written() and self.loop.time() < deadline:  # noqa: ASYNC110  no event reports it
            await asyncio.sleep(0.01)

    def _log_limits(self) -> None:
        """Logs the limits derived from the configuration, so that a later refusal can be explained."""
        log.info(
            "resource limits derived",
            **{_descriptors_field(kind): limit for kind, limit in self.descriptors.limits.items()},
            waiting_answers_kb=self.frontend.memory.limit_bytes >> 10,
            open_requests_kb=self.frontend.memory.limit_bytes >> 10,
        )
        if self.configuration.memory_mb < MIN_MEMORY_MB:
            log.warning(
                "memory limit is low: few large answers can wait for slow clients at once",
                memory_mb=self.configuration.memory_mb,
            )


def _descriptors_field(kind: ConnectionKind) -> str:
    return f"{kind.value.replace(' ', '_')}_descriptors"


def _log_unhandled(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Logs an error in a callback, or in a task that nothing awaits."""
    log.error("event loop error unhandled", message=context.get("message"), exc_info=context.get("exception"))
