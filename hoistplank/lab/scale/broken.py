"""Builds that each break one promise of the scale run, to show that its check fires."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.lab.scale.hollow import BeforeTurn, HollowDispatcher, HollowOwner, ReportingOwner
from hoistplank.routing.clock import Clock
from hoistplank.routing.events import EndpointsUpdated, EndpointWatchFailed, Event, PurgeReceived

DROPS_EVERY = 50  # purges
DROPPED_FIRST = 3  # of each of which this one is dropped: a short run has one as well
WASTED_S = 0.004  # of processor time, for each event
BLOCKED_S = 0.02  # for each event
HOARDED_BYTES = 200_000  # for each event
HELD_S = 3.0
REPEATS = 200


class PurgeDropper:
    """Hands everything on but every 50th purge."""

    def __init__(self, owner: ReportingOwner) -> None:
        self.owner, self.clock, self.purges = owner, owner.clock, 0
        self.before_turn: BeforeTurn | None = None

    def submit(self, event: Event) -> None:
        if isinstance(event, PurgeReceived):
            self.purges += 1
            if self.purges % DROPS_EVERY == DROPPED_FIRST:
                return
        self.owner.submit(event)


class DropsPurges(HollowDispatcher):
    """Loses purges on the way to its Router, and acknowledges them."""

    def hearer(self) -> HollowOwner:
        assert self.owner is not None
        return PurgeDropper(self.owner)


class EarlyHearer:
    """Acknowledges what has come before it is applied."""

    def __init__(self, dispatcher: HollowDispatcher, owner: ReportingOwner) -> None:
        self.dispatcher, self.owner, self.clock = dispatcher, owner, owner.clock
        self.before_turn: BeforeTurn | None = None

    def submit(self, event: Event) -> None:
        self.dispatcher.applied()
        self.owner.submit(event)


class AcknowledgesEarly(HollowDispatcher):
    """Says that it has in force what waits in its queue."""

    def hearer(self) -> HollowOwner:
        assert self.owner is not None
        return EarlyHearer(self, self.owner)


class IdleOwner(ReportingOwner):
    """Takes events from its queue, and tells the Router nothing of them."""

    def _on_purge_received(self, now: int, event: PurgeReceived) -> None: ...

    def _on_endpoints_updated(self, now: int, event: EndpointsUpdated) -> None: ...

    def _on_endpoint_watch_failed(self, now: int, event: EndpointWatchFailed) -> None: ...


class SkipsRouter(HollowDispatcher):
    """Costs less than a real dispatcher: nothing reaches its Router."""

    def make_owner(self, seed: int) -> ReportingOwner:
        return IdleOwner(self.site, seed, Clock(), self.applied)


class WastefulOwner(ReportingOwner):
    """Burns processor time for each event."""

    def submit(self, event: Event) -> None:
        until = time.thread_time() + WASTED_S
        while time.thread_time() < until:
            pass
        super().submit(event)


class WastesTime(HollowDispatcher):
    """Needs more of a core than control may."""

    def make_owner(self, seed: int) -> ReportingOwner:
        return WastefulOwner(self.site, seed, Clock(), self.applied)


class HoardingOwner(ReportingOwner):
    """Keeps a large record of each event for ever."""

    def submit(self, event: Event) -> None:
        self.__dict__.setdefault("hoard", []).append(b"x" * HOARDED_BYTES)
        super().submit(event)


class Hoards(HollowDispatcher):
    """Needs more memory than control may."""

    def make_owner(self, seed: int) -> ReportingOwner:
        return HoardingOwner(self.site, seed, Clock(), self.applied)


class GoesDeaf(HollowDispatcher):
    """Follows nothing after its start, and says so to nobody."""

    def applied(self) -> None: ...


class BlockingOwner(ReportingOwner):
    """Holds the whole process up at each event, as a rig that is too slow would."""

    def submit(self, event: Event) -> None:
        time.sleep(BLOCKED_S)
        super().submit(event)


class StopsTheLoop(HollowDispatcher):
    """Spoils the rig, not the fleet: its delays prove nothing."""

    def make_owner(self, seed: int) -> ReportingOwner:
        return BlockingOwner(self.site, seed, Clock(), self.applied)


HOLLOW: dict[str, type[HollowDispatcher]] = {
    "drops-purges": DropsPurges,
    "acknowledges-early": AcknowledgesEarly,
    "skips-router": SkipsRouter,
    "wastes-time": WastesTime,
    "hoards": Hoards,
    "goes-deaf": GoesDeaf,
    "stops-the-loop": StopsTheLoop,
}


class HoldsBack(FakeChangeLog):
    """Hands each event on some seconds late."""

    def publish(self, event: dict[str, Any]) -> None:
        asyncio.get_running_loop().call_later(HELD_S, super().publish, event)


class RepeatsLines(FakeChangeLog):
    """Tells each event many times over; a follower takes the first and passes over the rest."""

    def _encoded(self, event: dict[str, Any]) -> bytes:
        return super()._encoded(event) * REPEATS


LOGS: dict[str, type[FakeChangeLog]] = {"holds-back": HoldsBack, "repeats-lines": RepeatsLines}
