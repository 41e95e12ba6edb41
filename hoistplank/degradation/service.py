"""Runs the levels of the operator's file in a dispatcher: takes the readings, evaluates the ladder every
period, tells the Router through the owner's queue, and logs each change with its reason and its cost."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import structlog

from hoistplank.decision.settings import Degradation
from hoistplank.degradation import sections
from hoistplank.degradation.signals import Gauges, Watch
from hoistplank.degradation.state_machine import FULL, Change, Ladder
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import Configuration
from hoistplank.routing.router_task import Owner, Told
from hoistplank.transport.descriptor_budget import DescriptorBudget

log = structlog.get_logger()
KEPT_CHANGES = 64  # the last changes, for the control front
PAGE = os.sysconf("SC_PAGE_SIZE") if hasattr(os, "sysconf") else 4_096


class Host(Protocol):
    owner: Owner
    descriptors: DescriptorBudget


def built(section: Section, configuration: Configuration) -> tuple[Ladder, Gauges, Degradation]:
    """The ladder, the gauges and what holds at full service; raises ConfigurationError."""
    faults: list[Diagnostic] = []
    classes = {row.name: row.semantics for row in configuration.site.traffic_classes}
    sections.classes_known(section, classes, faults)
    made = sections.levels(section, faults)
    ages = sections.ages(section, faults)
    if faults:
        raise ConfigurationError(faults)
    return Ladder(made, section["calm"]), Gauges(ages), Degradation(retry_share=section["retries"])


def resident_share(memory_mb: int) -> float:
    """Resident memory of this process over its limit, from /proc/self/statm; 0 where that can't be read."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * PAGE / (memory_mb << 20)


class LevelsService:
    """Made before anything listens; `attach` sets its parts to work beside the program's own."""

    def __init__(self, section: Section, file: str, configuration: Configuration) -> None:
        self.section, self.file, self.configuration = section, file, configuration
        self.ladder, self.gauges, self.base = built(section, configuration)
        self.changes: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.owner: Owner | None = None
        self.descriptors: DescriptorBudget | None = None
        self.rejected_at_change = 0

    def attach(self, host: Host) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        self.owner, self.descriptors = host.owner, host.descriptors
        utility = {row.name: row.priority_weight for row in self.configuration.site.traffic_classes}
        self.owner.watch = Watch(self.gauges, utility)
        self.owner.admission.bounds = sections.bounds(self.section, self.owner.admission.bounds.most)
        self.owner.tell(Told(self.base))
        setattr(host, "levels", self)  # noqa: B010 - the control front finds it there
        return [("levels", self._run())]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.section["every"] / 1e6)
            assert self.owner is not None
            self.judge(self.owner.clock.now())

    def judge(self, now: int) -> Change | None:
        """Reads what it needs beside the owner's observations and judges; tells the Router of a change."""
        assert self.owner is not None and self.descriptors is not None
        watch = self.owner.watch
        assert watch is not None
        held = sum(self.descriptors.held.values())
        watch.resources(
            now, resident_share(self.configuration.memory_mb), held / max(1, self.descriptors.total_limit)
        )
        change = self.ladder.step(now, self.gauges.readings(now))
        if change is not None:
            self._changed(change)
        return change

    def _changed(self, change: Change) -> None:
        assert self.owner is not None
        self.changes.append(change)
        rejected = self.owner.counts["rejected"]
        log.info(
            "level",
            level=change.after,
            before=change.before,
            by=change.by,
            why=change.why(),
            rejected_meanwhile=rejected - self.rejected_at_change,
            dwell_s=self.ladder.dwell_us(change.at_us, self.ladder.rank) / 1e6,
        )
        self.rejected_at_change = rejected
        self.owner.tell(Told(self.ladder.effects(self.base)))

    # What an operator sees and says.

    def look(self, now: int) -> dict[str, Any]:
        ladder = self.ladder
        readings = {
            name: round(reading.value, 4)
            for name, reading in self.gauges.readings(now).items()
            if reading.value is not None
        }
        effects = ladder.effects(self.base)
        admission = self.owner.admission if self.owner is not None else None
        return {
            "level": ladder.name,
            "state": ladder.state.value,
            "since_us": ladder.since,
            "why": "; ".join(str(cause) for cause in ladder.causes),
            "dwell_s": ladder.dwell_us(now, ladder.rank) / 1e6,
            "levels": [FULL, *(level.name for level in ladder.levels)],
            "effects": {
                "reject": effects.reject,
                "every_part": effects.every_part,
                "old_first": effects.stale_first,
                "fills": effects.fill_share,
                "attempts": effects.max_attempts,
                "retries": effects.retry_share,
            },
            "pinned": {"level": ladder.pin.level, "until_us": ladder.pin.until_us} if ladder.pin else None,
            "forbidden": [{"level": word.level, "until_us": word.until_us} for word in ladder.bans.values()],
            "admission": None
            if admission is None
            else {
                "open_most": round(admission.limit),
                "binding": admission.binding(),
                "pressure": round(admission.pressure, 3),
                "cuts": admission.cuts,
            },
            "readings": readings,
            "changes": [
                {"at_us": row.at_us, "before": row.before, "after": row.after, "by": row.by, "why": row.why()}
                for row in self.changes
            ],
        }

    def word(self, now: int, what: str, level: str, for_us: int, who: str) -> str:
        """An operator's pin, unpin, forbid or allow; returns what was done; raises ValueError with why
        not."""
        until = now + for_us if for_us else 0
        try:
            if what == "pin":
                change = self.ladder.pin_to(now, level, until, who)
            elif what == "forbid":
                change = self.ladder.forbid(now, level, until, who)
            elif what == "unpin":
                self.ladder.unpin(now)
                change = None
            elif what == "allow":
                self.ladder.allow(level)
                change = None
            else:
                raise ValueError(f"'{what[:20]}' is none of pin, unpin, forbid, allow")
        except KeyError:
            known = ", ".join([FULL, *(row.name for row in self.ladder.levels)])
            raise ValueError(f"no level '{level[:40]}'; there are {known}") from None
        log.info("level word", what=what, level=level, until_us=until, by=who)
        if change is not None:
            self._changed(change)
        return f"{what} {level}".strip()

    def prepared(self, section: Section) -> Callable[[], None]:
        """Another file's levels, checked; raises ConfigurationError; the call returned takes them up,
        keeping the level in force where one of its name is still there."""
        ladder, gauges, base = built(section, self.configuration)

        def take() -> None:
            assert self.owner is not None
            now = self.owner.clock.now()
            change = ladder.taken_over(now, self.ladder)
            self.section, self.ladder, self.base = section, ladder, base
            self.owner.admission.bounds = sections.bounds(section, self.owner.admission.bounds.most)
            if change is not None:
                self._changed(change)
            else:
                self.owner.tell(Told(self.ladder.effects(self.base)))
            self.gauges.age_anew(gauges.ages)  # readings go on: what was seen before the reload still holds

        return take

    def close(self) -> None:
        """Nothing is held beside the task."""
