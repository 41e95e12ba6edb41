"""What stands in frames, and how contents of older formats become those of today. MessagePack by msgspec; no
files.

Formats: 1 held hosts alone; 2 has the history of changes and the purges beside them. A newer one is left
alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from hoistplank.store.frames import BadFrame, Frame, framed

FORMAT = 2
LIST, CHANGE = 1, 2  # kinds of frames: a whole state, and what changed since


class KeptHost(msgspec.Struct, frozen=True):
    """A cache host as the change log told it; `since_us`, when it came into the list, Unix microseconds."""

    uid: str
    endpoint: str
    zone: str
    kind: str
    cell: int
    units: float
    boot_ms: float
    state: str
    since_us: int


class History(msgspec.Struct, frozen=True):
    """How fast hosts went: so many over so much host-time, both halving over `ages.HALF_LIFE_S` (seconds)."""

    went: float = 0.0
    host_seconds: float = 0.0
    at_us: int = 0


class KeptPurge(msgspec.Struct, frozen=True):
    object_key: str = msgspec.field(name="thing")  # the name in stored files
    group: int
    made_us: int


class KeptList(msgspec.Struct, frozen=True):
    """All that is kept: of which log it was, when that was last heard, its hosts, their history, the last
    purges."""

    log: str
    heard_us: int
    rev: int
    hosts: list[KeptHost]
    history: History = History()
    purges: list[KeptPurge] = []


class KeptChange(msgspec.Struct, frozen=True):
    """What one moment brought: hosts that came or changed, names of those gone, purges; and that the log was
    heard."""

    heard_us: int
    rev: int = 0
    hosts: list[KeptHost] = []
    gone: list[str] = []
    purges: list[KeptPurge] = []
    history: History | None = None


TYPES: dict[int, type[KeptList] | type[KeptChange]] = {LIST: KeptList, CHANGE: KeptChange}


def _with_history(content: dict[str, Any]) -> dict[str, Any]:
    """1 to 2: nothing was known of changes and purges."""
    return {"history": msgspec.to_builtins(History()), "purges": [], **content}


# From a format to the next, for each kind; a file goes through all steps from its own on.
STEPS: dict[tuple[int, int], Callable[[dict[str, Any]], dict[str, Any]]] = {
    (1, LIST): _with_history,
    (1, CHANGE): lambda content: content,
}


def packed(value: KeptList | KeptChange) -> bytes:
    """A frame of today's format."""
    return framed(FORMAT, LIST if isinstance(value, KeptList) else CHANGE, msgspec.msgpack.encode(value))


def unpacked(frame: Frame) -> KeptList | KeptChange:
    """A frame's value, whatever its format was; raises BadFrame ('newer format' where it is not ours to
    read)."""
    if frame.format > FORMAT:
        raise BadFrame("newer format")
    try:
        content = msgspec.msgpack.decode(frame.content)
        for format in range(frame.format, FORMAT):
            content = STEPS[format, frame.kind](content)
        kind = TYPES[frame.kind]
        return (
            msgspec.convert(content, KeptList) if kind is KeptList else msgspec.convert(content, KeptChange)
        )
    except (msgspec.MsgspecError, KeyError, TypeError, RecursionError):
        raise BadFrame("content") from None


def applied(held: KeptList, *changes: KeptChange) -> KeptList:
    """A state with some changes more, in their order; one walk over the hosts, however many changes."""
    hosts = {host.uid: host for host in held.hosts}
    heard_us, rev, history, purges = held.heard_us, held.rev, held.history, list(held.purges)
    for change in changes:
        for host in change.hosts:
            hosts[host.uid] = host
        for uid in change.gone:
            hosts.pop(uid, None)
        heard_us, rev, history = change.heard_us, change.rev or rev, change.history or history
        purges += change.purges
    return KeptList(held.log, heard_us, rev, list(hosts.values()), history, purges[-MOST_PURGES:])


MOST_PURGES = 1_000


def merged(first: KeptChange, then: KeptChange) -> KeptChange:
    """Two changes as one: what the later one supersedes is left out."""
    gone = set(then.gone)
    hosts = {host.uid: host for host in first.hosts if host.uid not in gone} | {
        host.uid: host for host in then.hosts
    }
    left = [uid for uid in first.gone if uid not in hosts]
    return KeptChange(
        then.heard_us,
        then.rev or first.rev,
        list(hosts.values()),
        [*left, *(gone - set(left))],
        (first.purges + then.purges)[-MOST_PURGES:],
        then.history or first.history,
    )
