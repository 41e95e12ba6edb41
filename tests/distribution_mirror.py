"""Simple model of a dispatcher's copy of the distributed state."""

from __future__ import annotations

from hoistplank.distribution.follower_state import FollowerState, Verdict
from hoistplank.distribution.messages import (
    ALL_OBJECTS_BUCKET,
    ReplicatedEvent,
    read_replica_line,
)
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.protocol.changelog import Fleet, Target

SECOND_US = 1_000_000


HORIZON_US = 60 * SECOND_US


UIDS, KEYS = ("a", "b", "c"), ("o", "p", "q")


class Mirror:
    """A dispatcher's state: everything for which `FollowerState` returns APPLY, applied at once."""

    def __init__(self) -> None:
        self.follower = FollowerState()
        self.hosts: dict[str, Target] = {}
        self.updated_at: dict[str, Version] = {}  # uid -> the newest version at which it was received
        self.purges: dict[str | int, float] = {}
        self.configuration: str | None = None

    def receive_event(self, now: int, event: ReplicatedEvent) -> Verdict:
        verdict = self.follower.receive(now, event)
        if verdict is Verdict.APPLY:
            self.apply(event)
        return verdict

    def apply(self, event: ReplicatedEvent) -> None:
        if event.fleet is not None:
            if event.fleet.all:
                self.hosts = {}
                self.updated_at = {uid: max(event.version, self.updated_at.get(uid, NOTHING)) for uid in UIDS}
            for target in event.fleet.targets:
                self.updated_at[target.uid] = max(event.version, self.updated_at.get(target.uid, NOTHING))
                self.hosts.pop(target.uid, None)
                if target.state != "gone":
                    self.hosts[target.uid] = target
        if event.invalidate is not None:
            key = event.invalidate.object or event.invalidate.bucket
            self.purges[key] = max(event.invalidate.time, self.purges.get(key, 0.0))
        if self.follower.is_new_configuration(event) and event.configuration is not None:
            self.configuration = event.configuration.text
            self.follower.mark_configuration_applied(event.version)

    def floor(self, key: str | int) -> float:
        return max(self.purges.get(key, 0.0), self.purges.get(ALL_OBJECTS_BUCKET, 0.0))

    def connect_to(self, now: int, replica: ReplicatedState, lines: int | None = None) -> list[Verdict]:
        """Opens a new connection to a replica, which breaks after `lines` lines, if given."""
        self.follower.connection_opened(now)
        sent = replica.lines_since(self.follower.resume_at)[:lines]
        return [self.receive_line(now, line) for line in sent]

    def receive_line(self, now: int, line: bytes) -> Verdict:
        event = read_replica_line(line.strip())
        assert isinstance(event, ReplicatedEvent)
        verdict = self.receive_event(now, event)
        self.follower.mark_applied(self.follower.received)
        return verdict


def target(uid: str, state: str = "ready", boot_ms: float = 1, hint: float = 1.0) -> Target:
    return Target(uid, "127.0.0.1:1", state=state, boot_ms=boot_ms, capacity_hint=hint)


def listed(*uids: str) -> Fleet:
    return Fleet(all=True, targets=[target(uid) for uid in uids])
