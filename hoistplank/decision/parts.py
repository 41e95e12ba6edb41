"""The parts of a router and how they are connected: each gets those that it uses, without any cycle."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.decision.concurrency import FillLimit, HostLimits
from hoistplank.decision.health import HealthTracker
from hoistplank.decision.herds import HerdTable
from hoistplank.decision.hosts import HostTable
from hoistplank.decision.list_confirmation import ListConfirmation
from hoistplank.decision.overload import OverloadGuard
from hoistplank.decision.process_identity import ProcessIdentity
from hoistplank.decision.purges import PurgeWatermarks
from hoistplank.decision.ranking import HostRanking
from hoistplank.decision.requests import TrafficClassState
from hoistplank.decision.retries import RetryPolicy
from hoistplank.decision.settings import Degradation, RouterSettings
from hoistplank.decision.slow_start import SlowStart
from hoistplank.decision.sources import SourceSelector
from hoistplank.decision.stalls import StallDetector


@dataclass(frozen=True, slots=True)
class PartTypes:
    """The constructors of the replaceable parts; ablation experiments replace one to measure its benefit."""

    slow_start: Callable[[RouterSettings, HostTable, tuple[TrafficClassState, ...]], SlowStart] = SlowStart
    health: Callable[[HostTable, SlowStart], HealthTracker] = HealthTracker
    fills: Callable[[RouterSettings, HealthTracker, tuple[TrafficClassState, ...]], FillLimit] = FillLimit
    herds: Callable[[PurgeWatermarks, HealthTracker], HerdTable] = HerdTable
    stalls: Callable[[HealthTracker, OverloadGuard], StallDetector] = StallDetector


DEFAULT_TYPES = PartTypes()


class Parts:
    """The state of a router except for its open requests; each part holds the state that it changes."""

    def __init__(self, settings: RouterSettings, random: Callable[[], float], types: PartTypes) -> None:
        self.class_states = {row.name: TrafficClassState(row) for row in settings.traffic_classes}
        class_states = tuple(self.class_states.values())
        self.hosts = HostTable(settings)
        rules = settings.rules
        self.list_confirmation = ListConfirmation(rules.drain_grace_us, rules.purge_grace_us)
        self.process_identity = ProcessIdentity(self.list_confirmation)
        self.slow_start = types.slow_start(settings, self.hosts, class_states)
        self.health = types.health(self.hosts, self.slow_start)
        self.host_limits = HostLimits(settings, self.health)
        self.fills = types.fills(settings, self.health, class_states)
        self.purges = PurgeWatermarks(settings.purge_hold_us, self.list_confirmation.copies_valid_from_us)
        self.herds = types.herds(self.purges, self.health)
        self.retries = RetryPolicy(settings, self.process_identity, random)
        self.overload = OverloadGuard(settings)
        self.stalls = types.stalls(self.health, self.overload)
        self.ranking = HostRanking(self.hosts)
        self.sources = SourceSelector(self.ranking, self.health, self.slow_start)

    def apply_degradation(self, degradation: Degradation) -> None:
        """Passes the limits of a degradation level to the parts that enforce them."""
        self.overload.apply_degradation(degradation)
        self.fills.apply_degradation(degradation)
        self.retries.apply_degradation(degradation)
