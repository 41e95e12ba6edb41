"""Whether the endpoint list may be acted on: it is confirmed, or nobody can be asked, or the wait is over.

A list is as old as the last moment at which its source was heard. Drains and purges that were published
since count as received, so nothing is sent by a list of which sight was lost for longer than a part of a
drain's grace. An outage of discovery must not stop the fleet either: each wait has a bound.
"""

from __future__ import annotations

from enum import StrEnum

from hoistplank.decision.events import EndpointWatchStage

# Of a drain's grace, how long a list that was confirmed is still acted on once sight of it is lost. The rest
# is for a turn, a connection's first byte and the loop's lag.
CONFIRMED_GRACE_SHARE = 0.6
# How long requests are held by a process that has just started, until any connection is established.
MAX_START_WAIT_US = 3_500_000
# Likewise by one that had a confirmed list: nothing is known to have been missed, as nobody was asked yet.
MAX_CONNECT_WAIT_US = 1_000_000
# Likewise until the first answer, once asked: a log says its number each second, a crowded one later.
MAX_ANSWER_WAIT_US = 3_000_000
# A source that was asked and then gone for so long may be waited for once more.
RENEWED_WAIT_US = 2 * MAX_ANSWER_WAIT_US
NEVER_US = -(10**18)


class ListStanding(StrEnum):
    """How far the endpoint list is to be relied on; the values stand in the log."""

    UNWATCHED = "unwatched"  # no watch was ever reported: the caller vouches for the list
    CONFIRMED = "confirmed"  # the source was heard, and everything up to its number is known
    GRACE = "grace"  # sight was lost a moment ago
    AWAITED = "awaited"  # sight was lost, or never had: attempts are held
    UNREACHABLE = "unreachable"  # nobody listens at the source's address
    UNANSWERED = "unanswered"  # the longest wait is over: the list that is held is acted on


class ListConfirmation:
    """Follows the stages of the watch on the endpoint list; `grace_us` is how long a draining host still
    takes requests."""

    def __init__(self, grace_us: int) -> None:
        self.grace_us = int(grace_us * CONFIRMED_GRACE_SHARE)
        self.stage: EndpointWatchStage | None = None
        self.was_confirmed = False
        self.is_unreachable = False  # nobody listened at the last try
        self.hold_from_us = 0
        self.hold_until_us = 0
        self._awaiting_since_us = NEVER_US  # when the present wait for an answer began

    def observe(self, now_us: int, stage: EndpointWatchStage) -> None:
        """The watch has come to another stage."""
        previous, self.stage = self.stage, stage
        if previous is None:
            self.hold_from_us, self.hold_until_us = now_us, now_us + MAX_START_WAIT_US
        elif previous == EndpointWatchStage.CONFIRMED:
            self.hold_from_us = now_us + self.grace_us
            self.hold_until_us = now_us + MAX_CONNECT_WAIT_US
        if stage == EndpointWatchStage.CONFIRMED:
            self.was_confirmed, self.is_unreachable, self._awaiting_since_us = True, False, NEVER_US
        elif stage == EndpointWatchStage.REFUSED:
            self._on_refused(now_us)
        elif stage == EndpointWatchStage.AWAITING_ANSWER:
            self._on_asked(now_us)

    def _on_refused(self, now_us: int) -> None:
        """Nobody listens. Danger: one that was asked and has gone without an answer may have had a drain to
        tell: what it owes is waited for all the same."""
        if self._awaiting_since_us == NEVER_US or now_us - self._awaiting_since_us > RENEWED_WAIT_US:
            self.is_unreachable = True
            self._awaiting_since_us = NEVER_US

    def _on_asked(self, now_us: int) -> None:
        """The source has been asked, which counts as notified: from now on it owes an answer.

        Asked once more before any answer, the wait is not begun anew: a source that accepts connections and
        says nothing would hold requests for ever.
        """
        was_held = self.standing(now_us) == ListStanding.AWAITED
        self.is_unreachable = False
        if self._awaiting_since_us != NEVER_US:
            return
        self._awaiting_since_us = now_us
        if not was_held:
            self.hold_from_us = now_us + self.grace_us if self.was_confirmed else now_us
        self.hold_until_us = now_us + MAX_ANSWER_WAIT_US

    def standing(self, now_us: int) -> ListStanding:
        """How far the list is to be relied on now."""
        if self.stage is None:
            return ListStanding.UNWATCHED
        if self.stage == EndpointWatchStage.CONFIRMED:
            return ListStanding.CONFIRMED
        if self.is_unreachable:
            return ListStanding.UNREACHABLE
        if now_us < self.hold_from_us:
            return ListStanding.GRACE
        return ListStanding.AWAITED if now_us < self.hold_until_us else ListStanding.UNANSWERED

    def permits_attempts(self, now_us: int) -> bool:
        """Whether anything may be sent by the list that is held."""
        return self.standing(now_us) != ListStanding.AWAITED

    def may_miss_purges(self) -> bool:
        """Whether purges from before the start may be unknown, since the list was never confirmed."""
        return self.stage is not None and not self.was_confirmed
