"""The records in frames, encoded as MessagePack by msgspec, and the migration of older formats. No files.

Field names given by `msgspec.field(name=…)` are those of the stored files and must not change. Format 1 holds
hosts only; format 2 adds the removal history and the purges. Records of a newer format are rejected.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import msgspec

from hoistplank.store.errors import FrameError, FrameFault
from hoistplank.store.frames import Frame, encode_frame

CURRENT_FORMAT = 2
MAX_PURGES = 1_000  # of a persisted list; the oldest are dropped first


class FrameKind(enum.IntEnum):
    """The `kind` field of a frame."""

    LIST = 1  # a whole state
    CHANGE = 2  # a change to the state before it


class PersistedHost(msgspec.Struct, frozen=True):
    """A cache host as listed by the change log; `since_us` is the time of its first listing, in Unix
    microseconds."""

    uid: str
    endpoint: str
    zone: str
    kind: str
    cell: int
    units: float
    boot_ms: float
    state: str
    since_us: int


class RemovalHistory(msgspec.Struct, frozen=True):
    """The observed removals and the host time (host-seconds) over which they were observed. Both halve in
    weight over `list_staleness.HALF_LIFE_S`; they are as of `updated_us`, 0 for never."""

    removed: float = msgspec.field(name="went", default=0.0)
    host_seconds: float = 0.0
    updated_us: int = msgspec.field(name="at_us", default=0)


class PersistedPurge(msgspec.Struct, frozen=True):
    """A purge of an object key, or of a purge group if the key is empty; made at `made_us`."""

    object_key: str = msgspec.field(name="thing")
    group: int
    made_us: int


class PersistedList(msgspec.Struct, frozen=True):
    """A whole state: the address of the change log, the time of the last contact with it, its revision, the
    hosts, their removal history and the latest purges."""

    log: str
    last_contact_us: int = msgspec.field(name="heard_us")
    revision: int = msgspec.field(name="rev")
    hosts: list[PersistedHost]
    history: RemovalHistory = RemovalHistory()
    purges: list[PersistedPurge] = []


class PersistedChange(msgspec.Struct, frozen=True):
    """One change of the state: hosts added or updated, names of removed hosts, purges, and the time of the
    last contact with the change log. A revision of 0 or a history of None leaves the previous one."""

    last_contact_us: int = msgspec.field(name="heard_us")
    revision: int = msgspec.field(name="rev", default=0)
    hosts: list[PersistedHost] = []
    removed: list[str] = msgspec.field(name="gone", default_factory=list)
    purges: list[PersistedPurge] = []
    history: RemovalHistory | None = None


def _add_history_and_purges(content: dict[str, Any]) -> dict[str, Any]:
    """Migrates format 1 to 2: adds an empty removal history and no purges."""
    return {"history": msgspec.to_builtins(RemovalHistory()), "purges": [], **content}


# Migrations from a format to the next, by kind; content passes through all steps from its own format on.
MIGRATIONS: dict[tuple[int, int], Callable[[dict[str, Any]], dict[str, Any]]] = {
    (1, FrameKind.LIST): _add_history_and_purges,
    (1, FrameKind.CHANGE): lambda content: content,
}


def encode_record(record: PersistedList | PersistedChange) -> bytes:
    """Encodes a record as a frame of the current format."""
    kind = FrameKind.LIST if isinstance(record, PersistedList) else FrameKind.CHANGE
    return encode_frame(CURRENT_FORMAT, kind, msgspec.msgpack.encode(record))


def decode_record(frame: Frame) -> PersistedList | PersistedChange:
    """Decodes a frame's record and migrates it to the current format; raises FrameError, with NEWER_FORMAT if
    a newer program wrote it."""
    if frame.format > CURRENT_FORMAT:
        raise FrameError(FrameFault.NEWER_FORMAT)
    try:
        content = msgspec.msgpack.decode(frame.content)
        for older_format in range(frame.format, CURRENT_FORMAT):
            content = MIGRATIONS[older_format, frame.kind](content)
        if frame.kind == FrameKind.LIST:
            return msgspec.convert(content, PersistedList)
        if frame.kind == FrameKind.CHANGE:
            return msgspec.convert(content, PersistedChange)
    except (msgspec.MsgspecError, KeyError, TypeError, RecursionError) as error:
        raise FrameError(FrameFault.CONTENT) from error
    raise FrameError(FrameFault.CONTENT)


def apply_changes(state: PersistedList, *changes: PersistedChange) -> PersistedList:
    """Returns the state after the changes, in their order; one pass over the hosts for any number of them."""
    hosts = {host.uid: host for host in state.hosts}
    last_contact_us, revision, history = state.last_contact_us, state.revision, state.history
    purges = list(state.purges)
    for change in changes:
        for host in change.hosts:
            hosts[host.uid] = host
        for uid in change.removed:
            hosts.pop(uid, None)
        last_contact_us = change.last_contact_us
        revision = change.revision or revision
        history = change.history or history
        purges += change.purges
    latest_purges = purges[-MAX_PURGES:]
    return PersistedList(state.log, last_contact_us, revision, list(hosts.values()), history, latest_purges)


def merge_changes(first: PersistedChange, second: PersistedChange) -> PersistedChange:
    """Merges two changes into one with the effect of both in order; drops what the second supersedes."""
    removed_second = set(second.removed)
    hosts = {host.uid: host for host in first.hosts if host.uid not in removed_second}
    hosts |= {host.uid: host for host in second.hosts}
    removed_first = [uid for uid in first.removed if uid not in hosts]
    return PersistedChange(
        second.last_contact_us,
        second.revision or first.revision,
        list(hosts.values()),
        [*removed_first, *(removed_second - set(removed_first))],
        (first.purges + second.purges)[-MAX_PURGES:],
        second.history or first.history,
    )
