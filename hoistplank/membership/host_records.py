"""Conversions between the change log's targets and persisted hosts. No I/O, no clock."""

from __future__ import annotations

import msgspec

from hoistplank.membership.host_registry import READY
from hoistplank.protocol.changelog import Target
from hoistplank.store.schemas import PersistedHost


def to_persisted(target: Target, now: int, previous: PersistedHost | None) -> PersistedHost:
    """Returns the target in its stored form. `previous` is the stored host of the same name; its `since_us`
    stays as long as its process is the same."""
    same_process = previous is not None and previous.boot_ms == target.boot_ms
    since_us = previous.since_us if previous is not None and same_process else now
    return PersistedHost(
        uid=target.uid,
        endpoint=target.endpoint,
        zone=target.az,
        kind=target.model,
        cell=target.pod_group,
        units=target.capacity_hint,
        boot_ms=target.boot_ms,
        state=target.state,
        since_us=since_us,
    )


def to_target(host: PersistedHost, started_us: int) -> Target:
    """Returns the host as a target that is ready and started at `started_us`."""
    return Target(
        uid=host.uid,
        endpoint=host.endpoint,
        az=host.zone,
        model=host.kind,
        pod_group=host.cell,
        state=READY,
        capacity_hint=host.units,
        boot_ms=started_us / 1_000,
    )


def with_start_time(target: Target, started_us: int) -> Target:
    """Returns the target with `started_us` as its start time."""
    if started_us == int(target.boot_ms * 1_000):
        return target
    return msgspec.structs.replace(target, boot_ms=started_us / 1_000)
