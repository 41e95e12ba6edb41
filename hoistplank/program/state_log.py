"""Logs changes of the endpoint list's standing and, at an interval, the counts of requests."""

from __future__ import annotations

import asyncio
from typing import Protocol

import structlog

from hoistplank.decision.list_confirmation import ListStanding
from hoistplank.routing.clock import MIN_STEP_US
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.request_counts import RequestCounts
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.listener import Listener

log = structlog.get_logger()

COUNTS_INTERVAL_S = 10.0


class ObservedProgram(Protocol):
    """The parts of the program that `StateLog` reads."""

    router_task: RouterTask
    endpoint_watcher: EndpointWatcher
    listener: Listener


class StateLog:
    """Compares the program's state at each `update` with the last one; logs nothing per request."""

    def __init__(self, program: ObservedProgram) -> None:
        self._program = program
        self._standing = ListStanding.UNWATCHED
        self._vouched = True
        self._clock_step_us = 0
        self._standing_since = self._counts_logged_at = asyncio.get_running_loop().time()
        self._counts_logged: dict[str, dict[str, int]] = RequestCounts().breakdown()

    def update(self) -> None:
        """Logs what has changed since the last call, and the counts once the interval has passed."""
        router_task, now = self._program.router_task, asyncio.get_running_loop().time()
        standing = router_task.router.parts.list_confirmation.standing(router_task.clock.now())
        if standing is not self._standing:
            self._log_standing(standing, now)
        self._log_vouching()
        self._log_clock_step()
        if now - self._counts_logged_at >= COUNTS_INTERVAL_S:
            self._counts_logged_at = now
            self._log_counts()

    def _log_standing(self, standing: ListStanding, now: float) -> None:
        before, self._standing = self._standing, standing
        lasted_ms = round((now - self._standing_since) * 1_000)
        self._standing_since = now
        waiting = len(self._program.router_task.router.waiting)
        log.info(
            "endpoint list",
            standing=standing.value,
            before=before.value,
            lasted_ms=lasted_ms,
            waiting=waiting,
            **self.list_fields(),
        )

    def _log_vouching(self) -> None:
        """Logs that the list became too old for new connections to hosts, or is recent again."""
        router_task = self._program.router_task
        identity = router_task.router.parts.process_identity
        vouched = identity.vouches_for_addresses(router_task.clock.now())
        if vouched is self._vouched:
            return
        self._vouched = vouched
        if vouched:
            log.info("endpoint list recent again", **self.list_fields())
        else:
            verified = identity.verified_hosts()
            log.warning(
                "endpoint list too old for new connections", verified_hosts=verified, **self.list_fields()
            )

    def _log_clock_step(self) -> None:
        step_us = self._program.router_task.clock.step_us()
        if abs(step_us - self._clock_step_us) >= MIN_STEP_US:
            log.warning(
                "wall clock stepped", step_ms=step_us // 1_000, before_ms=self._clock_step_us // 1_000
            )
            self._clock_step_us = step_us

    def _log_counts(self) -> None:
        router_task = self._program.router_task
        breakdown = router_task.counts.breakdown()
        if breakdown != self._counts_logged:
            self._counts_logged = breakdown
            log.info(
                "counts",
                **breakdown,
                standstills=router_task.standstills.count,
                failed_accepts=self._program.listener.failed_accepts,
                **self.list_fields(),
            )

    def list_fields(self) -> dict[str, int]:
        """Returns the log fields of the endpoint list: the number of the last event, the count of listed
        hosts, and the time since the change log last confirmed that nothing is missing (-1: it never did)."""
        watcher = self._program.endpoint_watcher
        age_ms = -1
        if watcher.confirmed_at:
            age_ms = round((asyncio.get_running_loop().time() - watcher.confirmed_at) * 1_000)
        hosts = len(self._program.router_task.endpoints.by_host)
        return {"list_last": watcher.last_seq, "list_hosts": hosts, "list_age_ms": age_ms}
