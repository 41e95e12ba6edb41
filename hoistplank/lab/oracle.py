"""An upper bound: the Router with the true state of the simulated world in place of its estimates."""

from __future__ import annotations

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import Host, HostTable
from hoistplank.decision.overload import OverloadGuard
from hoistplank.decision.parts import PartTypes
from hoistplank.decision.requests import Attempt
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.decision.slow_start import SlowStart
from hoistplank.decision.stalls import StallDetector
from hoistplank.lab.ablations import NoEjection
from hoistplank.lab.model.servers import UP, Server
from hoistplank.lab.model.world import World


def _is_serving(world: World, host: Host) -> bool:
    """Returns True if the host is up and not slowed, according to the world."""
    server: Server | None = world.servers.get(host.name)
    if server is None or server.phase != UP or server.paused_until > world.events.now:
        return False
    return server.slowdown < 2 and server.link.capacity > 0.5 * server.capacity and server.loss_share < 0.3


class TrueHealth(NoEjection):
    """Treats a host as usable exactly while the world says that it serves."""

    def __init__(self, hosts: HostTable, slow_start: SlowStart, world: World) -> None:
        super().__init__(hosts, slow_start)
        self.world = world

    def is_usable(self, now_us: int, host: Host) -> bool:  # noqa: ARG002 (overrides)
        """Returns True if the host is listed as up and serves."""
        return host.is_up and _is_serving(self.world, host)


class TrueStalls(StallDetector):
    """Finds at once each attempt whose host, or the source that it waits for, does not serve."""

    def __init__(self, health: HealthTracker, overload: OverloadGuard, world: World) -> None:
        super().__init__(health, overload)
        self.world = world

    def is_stalled(self, now_us: int, attempt: Attempt) -> bool:  # noqa: ARG002 (overrides)
        """Returns True if the client has left or the awaited host does not serve."""
        return attempt.request.closed or not _is_serving(self.world, attempt.awaited_host())


def oracle_router(settings: RouterSettings, seed: int, world: World) -> Router:
    """Returns a Router that takes from the world which hosts serve and which attempts are stalled.

    Two other oracles score less and are no upper bound. A plain hash that avoids broken hosts moves whole
    ranges of objects away (0.91 against the plain hash's 0.98 where a fifth of the hosts reset answers). The
    link's true utilization in place of the Router's limit on fills (0.953 against 0.977 on a calm day) drops
    a limit that also protects the parents' slots for fills.
    """

    return Router(
        settings,
        seed,
        PartTypes(
            health=lambda hosts, slow_start: TrueHealth(hosts, slow_start, world),
            stalls=lambda health, overload: TrueStalls(health, overload, world),
        ),
    )
