"""A dispatcher's side of the distribution: what of a replica's lines is applied, and what is then in force.

Decision logic: no I/O, no clock; times are whole microseconds. Nothing older ever replaces what is newer,
whoever tells it. What is in force moves only when all up to a version has been applied; within a catch-up
that is its end.
"""

from __future__ import annotations

import enum

from hoistplank.distribution.messages import (
    MAX_REASON_CHARACTERS,
    Acknowledgement,
    CatchUp,
    Refusal,
    ReplicatedEvent,
    VersionFields,
)
from hoistplank.distribution.versions import NOTHING, Version

SILENCE_US = 7_000_000
BURST_US = 500_000  # lines read within this time may have arrived together


class Verdict(enum.Enum):
    """What is done with a line."""

    APPLY = "apply"
    HEARTBEAT = "heartbeat"  # nothing to apply
    BEHIND = "behind"  # from a replica that is not as far as what is held: never applied
    GAP = "gap"  # events are missing before it: the connection is to be made anew, from `resume_at`


class FollowerState:
    """What a dispatcher holds, over all its connections to replicas in this start of it."""

    def __init__(self, silence_us: int = SILENCE_US, configuration_version: Version = NOTHING) -> None:
        self.silence_us = silence_us
        self.told = NOTHING  # all up to it was handed on to be applied
        self._complete = NOTHING  # all up to it is applied
        self._newest_part = NOTHING  # of anything handed on, also of a catch-up that broke off
        self._inside_after = self._inside_until = NOTHING  # of a catch-up that is not applied yet
        self._in_catch_up = False
        self._is_ignoring = False  # a catch-up of a replica that is behind
        self._configuration = configuration_version
        self._refused: Refusal | None = None
        self._undecided = NOTHING  # the newest configuration handed on
        self._claimed = NOTHING  # applied, but for a configuration that is undecided
        self._burst_us: int | None = None  # when the last burst of lines began
        self._proved_us: int | None = None  # what is read now has arrived after this
        self._informed_us: int | None = None  # all that was told by then is known

    # Lines.

    @property
    def resume_at(self) -> Version:
        """What to tell a replica in `FollowRequest.resume_at`: all up to it is in force."""
        return self._complete

    def connection_began(self, now_us: int) -> None:
        """A new connection to a replica: lines on it were sent later than now."""
        self._in_catch_up = self._is_ignoring = False
        self._burst_us = self._proved_us = now_us

    def judge(self, now_us: int, event: ReplicatedEvent) -> Verdict:
        """What is done with a line that was read at `now_us`. An event to be applied counts as handed on."""
        self._read(now_us)
        if event.catch_up is not None:
            return self._judge_catch_up(event, event.catch_up)
        if self._in_catch_up:
            return Verdict.HEARTBEAT if event.is_heartbeat else Verdict.GAP
        version = event.version
        if version < self._newest:
            return Verdict.BEHIND
        if version == self.told:
            return self._informed() if event.is_heartbeat else Verdict.BEHIND
        if event.after == 0 or not self._follows(event):
            return Verdict.GAP
        self.told = version
        return Verdict.HEARTBEAT if event.is_heartbeat else self._hand_on(event)

    @property
    def _newest(self) -> Version:
        return max(self.told, self._newest_part)

    def _follows(self, event: ReplicatedEvent) -> bool:
        """Whether nothing is missing between what was told and this."""
        return event.epoch == self.told.epoch and event.after <= self.told.number

    def _judge_catch_up(self, event: ReplicatedEvent, place: CatchUp) -> Verdict:
        if place is CatchUp.BEGIN:
            if event.after > 0 and not self._follows(event):
                return Verdict.GAP
            self._in_catch_up = True
            # Danger: a catch-up that broke off has told of newer changes than this replica may know.
            self._is_ignoring = event.version < self._newest
            return Verdict.BEHIND if self._is_ignoring else Verdict.HEARTBEAT
        if not self._in_catch_up:
            return Verdict.GAP
        if self._is_ignoring:
            self._in_catch_up = place is not CatchUp.END
            return Verdict.BEHIND
        if place is CatchUp.PART:
            return self._hand_on(event)
        self._in_catch_up = False
        if event.version < self._newest:
            return Verdict.GAP
        self._catch_up_ended(event.version)
        return Verdict.HEARTBEAT

    def _catch_up_ended(self, version: Version) -> None:
        if self._complete >= self._inside_until:  # else an earlier catch-up is not applied yet: both are one
            self._inside_after = self.told
        self._inside_until = self.told = version

    def _hand_on(self, event: ReplicatedEvent) -> Verdict:
        self._newest_part = max(self._newest_part, event.version)
        if self.takes_configuration(event):
            self._undecided = event.version
        return Verdict.APPLY

    # What is in force.

    def takes_configuration(self, event: ReplicatedEvent) -> bool:
        """Whether the configuration of an event is newer than all that were taken up or refused."""
        return event.configuration is not None and event.version > self._decided

    @property
    def _decided(self) -> Version:
        refused = self._refused.version.to_version() if self._refused is not None else NOTHING
        return max(self._configuration, refused)

    def configuration_applied(self, version: Version) -> None:
        """This configuration is in force."""
        if version > self._decided:
            self._configuration, self._refused = version, None
            self._settle()

    def configuration_refused(self, version: Version, reason: str) -> None:
        """This configuration can't be used; the one in force stays."""
        if version > self._decided:
            self._refused = Refusal(VersionFields(*version), reason[:MAX_REASON_CHARACTERS])
            self._settle()

    def applied(self, version: Version) -> None:
        """All that was handed on is applied that had been when `told` was `version`.

        Versions inside a catch-up change nothing: an early part may stand for less than its number says.
        """
        is_inside = self._inside_after < version < self._inside_until
        if version <= self.told and not is_inside:
            self._claimed = max(self._claimed, version)
            self._settle()

    def _settle(self) -> None:
        """What is applied is in force once the newest configuration handed on is decided, too."""
        if self._undecided <= self._decided:
            self._complete = max(self._complete, self._claimed)

    def in_force(self) -> Acknowledgement:
        """The acknowledgement to be sent; no part of it ever goes back."""
        return Acknowledgement(
            VersionFields(*self._complete), VersionFields(*self._configuration), self._refused
        )

    # Silence.

    def _read(self, now_us: int) -> None:
        """A line was read.

        Danger: after a standstill of our own, lines wait that were sent long before, and none of them says
        that nothing was missed since. A line proves no more than that it arrived after the burst of lines
        before it.
        """
        if self._burst_us is None:
            self._burst_us = now_us
        elif now_us - self._burst_us >= BURST_US:
            self._proved_us, self._burst_us = self._burst_us, now_us

    def _informed(self) -> Verdict:
        """A heartbeat that says that nothing is newer than what was told.

        Danger: events and the end of a catch-up come from a replica that does not hear the change log, too.
        """
        if self._proved_us is not None:
            self._informed_us = max(self._proved_us, self._informed_us or 0)
        return Verdict.HEARTBEAT

    def unheard(self, now_us: int) -> bool:
        """Whether nobody who is not behind was heard for longer than the silence allowed, or ever."""
        return self._informed_us is None or now_us - self._informed_us > self.silence_us
