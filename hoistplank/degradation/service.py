"""Degradation in a dispatcher: evaluates the levels periodically, submits their effects to the router task,
and logs each change with its reason and the requests rejected since the previous change."""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import structlog

from hoistplank.degradation import sections
from hoistplank.degradation.errors import UnknownActionError
from hoistplank.degradation.levels import LevelChange
from hoistplank.degradation.observer import SignalObserver
from hoistplank.degradation.settings import DegradationSettings
from hoistplank.degradation.status import DegradationStatus, degradation_status
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import Configuration
from hoistplank.routing.client_memory import resident_bytes
from hoistplank.routing.events import DegradationChanged
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.descriptor_budget import DescriptorBudget

log = structlog.get_logger()

MAX_REPORTED_CHANGES = 64  # the latest ones


class Dispatcher(Protocol):
    """The parts of the dispatcher that degradation uses."""

    router_task: RouterTask
    descriptors: DescriptorBudget


class OverrideAction(enum.StrEnum):
    """Operator overrides, by their names in `POST /v1/levels`."""

    PIN = "pin"
    UNPIN = "unpin"
    FORBID = "forbid"
    ALLOW = "allow"


def resident_share(memory_mb: int) -> float:
    """Returns the resident memory of this process as a share of `memory_mb`, or 0 if it can't be read."""
    return resident_bytes() / (memory_mb << 20)


class DegradationService:
    """Runs degradation: created before the dispatcher listens, and connected to it by `attach`. Raises
    ConfigurationError."""

    def __init__(self, section: Section, configuration: Configuration) -> None:
        self._configuration = configuration
        self._section = section
        self.settings = self._settings_of(section)
        self.state_machine = self.settings.new_state_machine()
        self._readings = self.settings.new_readings()
        self._changes: deque[LevelChange] = deque(maxlen=MAX_REPORTED_CHANGES)
        self._rejected_at_change = 0
        self._dispatcher: Dispatcher | None = None
        self._observer: SignalObserver | None = None

    def _settings_of(self, section: Section) -> DegradationSettings:
        classes = self._configuration.router_settings.traffic_classes
        return sections.build_settings(section, {row.name: row.semantics for row in classes})

    @property
    def _router_task(self) -> RouterTask:
        assert self._dispatcher is not None, "attach must be called first"
        return self._dispatcher.router_task

    def attach(self, dispatcher: Dispatcher) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Connects the observer to the router task; returns the tasks that the program is to run."""
        self._dispatcher = dispatcher
        utility = {
            row.name: row.priority_weight for row in self._configuration.router_settings.traffic_classes
        }
        self._observer = SignalObserver(self._readings, utility)
        self._router_task.observe_signals(self._observer)
        self._apply_admission_settings()
        self._router_task.submit(DegradationChanged(self.settings.base))
        setattr(dispatcher, "levels", self)  # noqa: B010 - the admin server reads it if it is set
        return [("levels", self._run())]

    def _apply_admission_settings(self) -> None:
        admission = self._router_task.admission.controller
        admission.settings = sections.build_admission_settings(self._section, admission.settings.max_open)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.settings.evaluation_interval_us / 1e6)
            self._evaluate(self._router_task.clock.now())

    def _evaluate(self, now: int) -> None:
        assert self._dispatcher is not None
        assert self._observer is not None
        descriptors = self._dispatcher.descriptors
        descriptor_share = sum(descriptors.held.values()) / max(1, descriptors.total_limit)
        memory_share = resident_share(self._configuration.memory_mb)
        self._observer.record_resources(now, memory_share, descriptor_share)
        change = self.state_machine.evaluate(now, self._readings.all(now))
        if change is not None:
            self._apply_change(change)

    def _apply_change(self, change: LevelChange) -> None:
        self._changes.append(change)
        rejected = self._router_task.counts.rejected
        log.info(
            "degradation level changed",
            level=change.after,
            before=change.before,
            by=change.trigger.value,
            why=change.describe(),
            rejected_meanwhile=rejected - self._rejected_at_change,
            dwell_s=self.state_machine.dwell_us(change.at_us) / 1e6,
        )
        self._rejected_at_change = rejected
        self._submit_effects()

    def _submit_effects(self) -> None:
        self._router_task.submit(DegradationChanged(self.state_machine.effects(self.settings.base)))

    @property
    def level_name(self) -> str:
        """The name of the level in force."""
        return self.state_machine.level_name

    def status(self, now: int) -> DegradationStatus:
        """Returns the report for operators."""
        return degradation_status(
            now,
            self.state_machine,
            self.state_machine.effects(self.settings.base),
            self._readings.all(now),
            self._dispatcher.router_task.admission.controller if self._dispatcher is not None else None,
            self._changes,
        )

    def override(self, now: int, action: str, level: str, duration_us: int, operator: str) -> str:
        """Carries out an operator's pin, unpin, forbid or allow, permanently if the duration is 0. Returns a
        description of it; raises DegradationError if it is not possible."""
        until_us = now + duration_us if duration_us else 0
        change = self._apply_override(now, action, level, until_us)
        log.info("degradation override applied", what=action, level=level, until_us=until_us, by=operator)
        if change is not None:
            self._apply_change(change)
        return f"{action} {level}".strip()

    def _apply_override(self, now: int, action: str, level: str, until_us: int) -> LevelChange | None:
        match action:
            case OverrideAction.PIN:
                return self.state_machine.pin(now, level, until_us)
            case OverrideAction.FORBID:
                return self.state_machine.forbid(now, level, until_us)
            case OverrideAction.UNPIN:
                self.state_machine.unpin()
            case OverrideAction.ALLOW:
                self.state_machine.allow(level)
            case _:
                raise UnknownActionError(action, OverrideAction)
        return None

    def prepare_reload(self, section: Section) -> Callable[[], None]:
        """Checks the section of a reloaded file; raises ConfigurationError. Returns a function that applies
        it and keeps the level in force, if a level of that name still exists."""
        settings = self._settings_of(section)
        machine = settings.new_state_machine()

        def apply_reload() -> None:
            change = machine.resume_from(self._router_task.clock.now(), self.state_machine)
            self._section, self.settings, self.state_machine = section, settings, machine
            self._apply_admission_settings()
            if change is not None:
                self._apply_change(change)
            else:
                self._submit_effects()
            # Observations from before the reload remain valid.
            self._readings.set_half_lives(settings.half_lives_us)

        return apply_reload

    def close(self) -> None:
        """Does nothing: there are no resources beside the task."""
