"""Carries out a run: every role's steps one after another, with progress, into one list of measurements."""

from __future__ import annotations

import gc
from collections.abc import Callable, Sequence
from dataclasses import replace

from hoistplank.lab.scale import (
    role_cache_host,
    role_change_log,
    role_control_replica,
    role_control_service,
    role_data_path,
    role_dispatcher,
    role_operator,
    role_replica_follower,
    role_replica_service,
    role_requests,
)
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Step
from hoistplank.lab.scale.role_control_service import ControlParts


def steps(parts: ControlParts, effort: Effort) -> list[Step]:
    """All steps of a run; a quick one leaves out those that only a whole one can afford."""
    found = [
        *role_dispatcher.STEPS,
        *role_requests.STEPS,
        *role_change_log.STEPS,
        *role_control_replica.STEPS,
        *role_replica_service.STEPS,
        *role_replica_follower.STEPS,
        *role_control_service.steps(parts),
        *role_operator.STEPS,
        *role_cache_host.STEPS,
        *role_data_path.STEPS,
    ]
    return [step for step in found if not (effort.is_quick and step.whole_only)]


def titled(chosen: Sequence[Step], part: str) -> list[Step]:
    """The steps whose title holds a text."""
    return [step for step in chosen if part in step.title]


def carried_out(
    chosen: Sequence[Step], effort: Effort, run: str, began: Callable[[Step], None]
) -> list[Measurement]:
    """The measurements of the steps, each with the run's name; `began` is told of each step as it begins."""
    found: list[Measurement] = []
    # What is imported by now is no garbage: a collection before each measurement need not look through it.
    gc.collect()
    gc.freeze()
    try:
        for step in chosen:
            began(step)
            found += [replace(one, run=run) for one in step.measure(effort)]
    finally:
        gc.unfreeze()
    return found
