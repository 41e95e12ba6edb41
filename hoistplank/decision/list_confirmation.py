"""Decides whether the endpoint list may be used: confirmed, its source unreachable, or a wait over.

A list is as old as the last message from its source. Drains and purges that were published since then count
as received. Drains and purges have a grace time each: nothing is sent by a list whose watch was lost for
longer than a part of a drain's, and no copy is requested that a purge may have invalidated for longer than a
part of a purge's. An outage of discovery must not stop the fleet either: each wait is bounded, and fresh
copies are still served.
"""

from __future__ import annotations

from enum import StrEnum

from hoistplank.decision.events import EndpointWatchStage

# The share of a drain's grace time for which a confirmed list is still used once its watch is lost. The rest
# is for one turn of the event loop, the first byte on a connection and the lag of the loop.
CONFIRMED_GRACE_SHARE = 0.6
# The longest time for which a process that has just started holds requests while it connects to the source.
MAX_START_WAIT_US = 3_500_000
# The same for a process that had a confirmed list: as the source was not asked again, no change is known to
# be missing.
MAX_CONNECT_WAIT_US = 1_000_000
# The same until the first answer, once the source was asked: a change log sends its sequence number each
# second, an overloaded one later.
MAX_ANSWER_WAIT_US = 3_000_000
# A source that was asked and was then gone for this long may be waited for once more.
RENEWED_WAIT_US = 2 * MAX_ANSWER_WAIT_US
NEVER_US = -(10**18)
# The share of a purge's grace time after which copies are bounded once unseen purges count as received. The
# rest is for one turn of the event loop, the first byte on a connection and the lag of the loop.
PURGE_GRACE_SHARE = 0.6
# The maximum age of copies then, as a share of the grace time: a host counts the age when it reads a request.
COPY_AGE_SHARE = 0.9
# Changes of a source that broke off and can't be asked count as received 2 s after the break, those of a
# silent source 4 s after its last message, which is noticed 2.3 s after it at the latest. A start is treated
# like a break.
RECEIVED_AFTER_LOSS_US = 1_500_000
# A change of the list counts as received this long after it was published, whether or not it was.
CHANGES_RECEIVED_US = 7_000_000


class ListStanding(StrEnum):
    """The reliability of the endpoint list; the values are written to the log."""

    UNWATCHED = "unwatched"  # no watch was ever reported: the caller guarantees the list
    CONFIRMED = "confirmed"  # the source sent its sequence number, and all changes up to it are known
    GRACE = "grace"  # the watch was lost a moment ago: the list is still used
    AWAITED = "awaited"  # the watch was lost, or not yet confirmed: attempts are held
    UNREACHABLE = "unreachable"  # the source refuses connections: the list is used as it is
    UNANSWERED = "unanswered"  # the longest wait is over: the list is used as it is


class ListConfirmation:
    """Tracks the stages of the watch on the endpoint list.

    `drain_grace_us`: the time for which a draining host still accepts requests. `purge_grace_us`: the time
    for which a purged copy may still be served; None if the deployment has no such rule.
    """

    def __init__(self, drain_grace_us: int, purge_grace_us: int | None = None) -> None:
        self.grace_us = int(drain_grace_us * CONFIRMED_GRACE_SHARE)
        self.purge_grace_us = purge_grace_us
        self.stage: EndpointWatchStage | None = None
        self.was_confirmed = False
        self.is_unreachable = False  # the last connection attempt was refused
        # The time of the last confirmation, or of the start, once the list is watched and not confirmed.
        self.unconfirmed_since_us: int | None = None
        self.hold_from_us = 0
        self.hold_until_us = 0
        self._awaiting_since_us = NEVER_US  # start of the current wait for an answer
        # The time from which changes that were not seen count as received; None while there are none.
        self._unseen_received_us: int | None = None

    def observe(self, now_us: int, stage: EndpointWatchStage, confirmed_us: int = 0) -> None:
        """Records that the watch entered another stage. `confirmed_us`: the time at which the source last
        confirmed the list; 0 if it never did, or did just now."""
        previous, self.stage = self.stage, stage
        if stage == EndpointWatchStage.CONFIRMED:
            self.unconfirmed_since_us = None
        elif previous is None or previous == EndpointWatchStage.CONFIRMED:
            self.unconfirmed_since_us = confirmed_us or now_us
        if previous is None or previous == EndpointWatchStage.CONFIRMED:
            self._unseen_received_us = now_us + RECEIVED_AFTER_LOSS_US
        if previous is None:
            self.hold_from_us, self.hold_until_us = now_us, now_us + MAX_START_WAIT_US
        elif previous == EndpointWatchStage.CONFIRMED:
            self.hold_from_us = now_us + self.grace_us
            self.hold_until_us = now_us + MAX_CONNECT_WAIT_US
        if stage == EndpointWatchStage.CONFIRMED:
            self.was_confirmed, self.is_unreachable, self._awaiting_since_us = True, False, NEVER_US
            self._unseen_received_us = None
        elif stage == EndpointWatchStage.REFUSED:
            self._on_refused(now_us)
        elif stage == EndpointWatchStage.AWAITING_ANSWER:
            self._on_asked(now_us)

    def _on_refused(self, now_us: int) -> None:
        """Marks the source as unreachable, unless its answer is still awaited.

        A source that was asked and left without an answer may have had a drain to report, which would be
        missed if its answer were not awaited all the same.
        """
        if self._awaiting_since_us == NEVER_US or now_us - self._awaiting_since_us > RENEWED_WAIT_US:
            self.is_unreachable = True
            self._awaiting_since_us = NEVER_US

    def _on_asked(self, now_us: int) -> None:
        """Starts the wait for an answer of the source; from now on its changes count as received.

        The wait doesn't start again if the source is asked once more before any answer: a source that accepts
        connections and never answers would hold requests forever.
        """
        if self._unseen_received_us is None or now_us < self._unseen_received_us:
            self._unseen_received_us = now_us
        was_held = self.standing(now_us) == ListStanding.AWAITED
        self.is_unreachable = False
        if self._awaiting_since_us != NEVER_US:
            return
        self._awaiting_since_us = now_us
        if not was_held:
            self.hold_from_us = now_us + self.grace_us if self.was_confirmed else now_us
        self.hold_until_us = now_us + MAX_ANSWER_WAIT_US

    def standing(self, now_us: int) -> ListStanding:
        """Returns the reliability of the list at this time."""
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
        """Returns True if attempts may be sent by the current list."""
        return self.standing(now_us) != ListStanding.AWAITED

    def vouches_for_addresses(self, now_us: int) -> bool:
        """Returns True while a host that has gone unnoticed need not be known: its address may be another
        host's after that."""
        since_us = self.unconfirmed_since_us
        return since_us is None or now_us < since_us + CHANGES_RECEIVED_US

    def copies_valid_from_us(self, now_us: int) -> int:
        """Returns the time before which copies must not be requested, as a purge that was not seen may have
        invalidated them; 0 for no bound.

        Purges go on while the watch is lost. One that counts as received for longer than its grace time was
        made before that, whenever it was, so younger copies are valid.
        """
        if self._unseen_received_us is None or self.purge_grace_us is None:
            return 0
        if now_us <= self._unseen_received_us + int(self.purge_grace_us * PURGE_GRACE_SHARE):
            return 0
        return max(1, now_us - int(self.purge_grace_us * COPY_AGE_SHARE))

    def may_miss_purges(self) -> bool:
        """Returns True if purges from before the start may be unknown, since the list was never confirmed."""
        return self.stage is not None and not self.was_confirmed
