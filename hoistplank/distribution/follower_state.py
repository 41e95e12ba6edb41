"""A dispatcher's side of the distribution: decides on a replica's lines and tracks what is in force.

Decision logic: no I/O, no clock; times are whole microseconds. Nothing older ever replaces what is newer,
whoever sends it. The version in force advances only when everything up to it has been applied; within a
catch-up that is at its end.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import ClassVar, TypeAlias

from hoistplank.distribution.messages import (
    MAX_REASON_CHARACTERS,
    Acknowledgement,
    Refusal,
    ReplicatedEvent,
    VersionFields,
)
from hoistplank.distribution.silence import SILENCE_US, SilenceDetector
from hoistplank.distribution.versions import NOTHING, Version


class Verdict(enum.Enum):
    """The decision on a received line."""

    APPLY = "apply"
    HEARTBEAT = "heartbeat"  # nothing to apply
    BEHIND = "behind"  # from a replica that is behind this dispatcher: never applied
    GAP = "gap"  # events are missing before it: reconnect and resume from `resume_at`


class Phase(enum.Enum):
    """The state of a connection to a replica."""

    LIVE = "live"  # single events and heartbeats
    CATCHING_UP = "catching up"
    SKIPPING = "skipping"  # a catch-up from a replica that is behind this dispatcher


class LineKind(enum.Enum):
    """The kinds of lines that a replica sends."""

    HEARTBEAT = "heartbeat"
    EVENT = "event"
    BEGIN = "begin"  # of a catch-up
    PART = "part"
    END = "end"

    @classmethod
    def of(cls, event: ReplicatedEvent) -> LineKind:
        """The kind of a line."""
        if event.catch_up is not None:
            return cls(event.catch_up.value)
        return cls.HEARTBEAT if event.is_heartbeat else cls.EVENT


# Processes a line in one phase and returns its verdict.
_Transition: TypeAlias = "Callable[[FollowerState, ReplicatedEvent], Verdict]"


class FollowerState:
    """The versions that a dispatcher holds, over all its connections to replicas in this incarnation."""

    def __init__(self, silence_us: int = SILENCE_US, configuration_version: Version = NOTHING) -> None:
        self.silence = SilenceDetector(silence_us)
        self.received = NOTHING  # everything up to it was returned to the caller to be applied
        self._phase = Phase.LIVE
        self._in_force = NOTHING  # everything up to it is applied and its configurations are decided
        self._newest_part = NOTHING  # newest version returned to be applied, also in an interrupted catch-up
        # The versions strictly between these belong to a catch-up that is not applied yet.
        self._catch_up_after = NOTHING
        self._catch_up_end = NOTHING
        self._configuration = configuration_version
        self._refusal: Refusal | None = None
        self._undecided = NOTHING  # the newest configuration that was returned to be applied
        self._applied = NOTHING  # applied, except for a configuration that is undecided

    @property
    def resume_at(self) -> Version:
        """The version up to which everything is in force, for `FollowRequest.resume_at`."""
        return self._in_force

    def connection_opened(self, now_us: int) -> None:
        """Starts a new connection to a replica: lines on it are sent later than now."""
        self._phase = Phase.LIVE
        self.silence.connection_opened(now_us)

    def receive(self, now_us: int, event: ReplicatedEvent) -> Verdict:
        """Returns the verdict on a line that was read at `now_us`.

        An event with the verdict APPLY counts as received.
        """
        self.silence.line_read(now_us)
        return self._TRANSITIONS[self._phase, LineKind.of(event)](self, event)

    # Transitions, by the state table at the end of this class.

    def _gap(self, event: ReplicatedEvent) -> Verdict:  # noqa: ARG002 one signature for all transitions
        return Verdict.GAP

    def _ignore(self, event: ReplicatedEvent) -> Verdict:  # noqa: ARG002 one signature for all transitions
        return Verdict.HEARTBEAT

    def _skip(self, event: ReplicatedEvent) -> Verdict:  # noqa: ARG002 one signature for all transitions
        return Verdict.BEHIND

    def _live_heartbeat(self, event: ReplicatedEvent) -> Verdict:
        if event.version < self._newest:
            return Verdict.BEHIND
        if event.version == self.received:
            self.silence.heartbeat_confirmed()
            return Verdict.HEARTBEAT
        if not self._continues(event):
            return Verdict.GAP
        self.received = event.version
        return Verdict.HEARTBEAT

    def _live_event(self, event: ReplicatedEvent) -> Verdict:
        if event.version < self._newest or event.version == self.received:
            return Verdict.BEHIND
        if not self._continues(event):
            return Verdict.GAP
        self.received = event.version
        return self._apply(event)

    def _begin_catch_up(self, event: ReplicatedEvent) -> Verdict:
        if event.after > 0 and not self._continues(event):
            return Verdict.GAP
        # An interrupted catch-up may have delivered changes that this replica does not have yet.
        if event.version < self._newest:
            self._phase = Phase.SKIPPING
            return Verdict.BEHIND
        self._phase = Phase.CATCHING_UP
        return Verdict.HEARTBEAT

    def _end_skipped(self, event: ReplicatedEvent) -> Verdict:  # noqa: ARG002 one signature for all transitions
        self._phase = Phase.LIVE
        return Verdict.BEHIND

    def _end_catch_up(self, event: ReplicatedEvent) -> Verdict:
        self._phase = Phase.LIVE
        if event.version < self._newest:
            return Verdict.GAP
        if self._in_force >= self._catch_up_end:
            self._catch_up_after = self.received
        # Otherwise an earlier catch-up is not applied yet: both count as one.
        self._catch_up_end = event.version
        self.received = event.version
        return Verdict.HEARTBEAT

    def _apply(self, event: ReplicatedEvent) -> Verdict:
        self._newest_part = max(self._newest_part, event.version)
        if self.is_new_configuration(event):
            self._undecided = event.version
        return Verdict.APPLY

    @property
    def _newest(self) -> Version:
        return max(self.received, self._newest_part)

    def _continues(self, event: ReplicatedEvent) -> bool:
        """Returns True if nothing is missing between what was received and this line."""
        is_same_epoch = event.epoch == self.received.epoch
        return is_same_epoch and 0 < event.after <= self.received.number

    # Versions in force.

    def is_new_configuration(self, event: ReplicatedEvent) -> bool:
        """Returns True if an event's configuration is newer than all that were applied or refused."""
        return event.configuration is not None and event.version > self._decided

    @property
    def _decided(self) -> Version:
        refused = self._refusal.version.to_version() if self._refusal is not None else NOTHING
        return max(self._configuration, refused)

    def mark_configuration_applied(self, version: Version) -> None:
        """Records that this configuration is in force."""
        if version > self._decided:
            self._configuration = version
            self._refusal = None
            self._advance()

    def mark_configuration_refused(self, version: Version, reason: str) -> None:
        """Records that this configuration can't be used; the one in force stays."""
        if version > self._decided:
            self._refusal = Refusal(VersionFields(*version), reason[:MAX_REASON_CHARACTERS])
            self._advance()

    def mark_applied(self, version: Version) -> None:
        """Records that everything is applied that had been received when `received` was `version`.

        Versions inside a catch-up change nothing: an early part does not hold all events up to its number.
        """
        is_inside = self._catch_up_after < version < self._catch_up_end
        if version <= self.received and not is_inside:
            self._applied = max(self._applied, version)
            self._advance()

    def _advance(self) -> None:
        """Advances the version in force to the applied one, once the newest configuration is decided."""
        if self._undecided <= self._decided:
            self._in_force = max(self._in_force, self._applied)

    def acknowledgement(self) -> Acknowledgement:
        """Returns the acknowledgement to send; no version in it ever decreases."""
        return Acknowledgement(
            VersionFields(*self._in_force), VersionFields(*self._configuration), self._refusal
        )

    def is_silent(self, now_us: int) -> bool:
        """Returns True if no up-to-date replica was heard for longer than the limit, or ever."""
        return self.silence.is_silent(now_us)

    # The state table, after the methods that it names.
    _TRANSITIONS: ClassVar[dict[tuple[Phase, LineKind], _Transition]] = {
        (Phase.LIVE, LineKind.HEARTBEAT): _live_heartbeat,
        (Phase.LIVE, LineKind.EVENT): _live_event,
        (Phase.LIVE, LineKind.BEGIN): _begin_catch_up,
        (Phase.LIVE, LineKind.PART): _gap,
        (Phase.LIVE, LineKind.END): _gap,
        (Phase.CATCHING_UP, LineKind.HEARTBEAT): _ignore,
        (Phase.CATCHING_UP, LineKind.EVENT): _gap,
        (Phase.CATCHING_UP, LineKind.BEGIN): _begin_catch_up,
        (Phase.CATCHING_UP, LineKind.PART): _apply,
        (Phase.CATCHING_UP, LineKind.END): _end_catch_up,
        (Phase.SKIPPING, LineKind.HEARTBEAT): _ignore,
        (Phase.SKIPPING, LineKind.EVENT): _gap,
        (Phase.SKIPPING, LineKind.BEGIN): _begin_catch_up,
        (Phase.SKIPPING, LineKind.PART): _skip,
        (Phase.SKIPPING, LineKind.END): _end_skipped,
    }
