"""The Router with the truth of the simulated world in place of its estimates: an upper bound."""

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


def _serves(world: World, host: Host) -> bool:
    """Whether a host is up and quick, as the world knows it."""
    server: Server | None = world.servers.get(host.name)
    if server is None or server.phase != UP or server.paused_until > world.events.now:
        return False
    return server.slowdown < 2 and server.link.capacity > 0.5 * server.capacity and server.loss_share < 0.3


class TrueHealth(NoEjection):
    """A host may be used while it truly serves."""

    def __init__(self, hosts: HostTable, slow_start: SlowStart, world: World) -> None:
        super().__init__(hosts, slow_start)
        self.world = world

    def is_usable(self, now_us: int, host: Host) -> bool:  # noqa: ARG002 (overrides)
        """Whether it is listed up and truly serves."""
        return host.is_up and _serves(self.world, host)


class TrueStalls(StallDetector):
    """Finds at once what went to a host, or waits for a source, that does not serve."""

    def __init__(self, health: HealthTracker, overload: OverloadGuard, world: World) -> None:
        super().__init__(health, overload)
        self.world = world

    def is_stalled(self, now_us: int, attempt: Attempt) -> bool:  # noqa: ARG002 (overrides)
        """Whether the client has left, or the awaited host does not serve."""
        return attempt.request.closed or not _serves(self.world, attempt.awaited_host())


def seer(settings: RouterSettings, seed: int, world: World) -> Router:
    """The module with the truth in place of its guesses of who serves and who is slow.

    Tried before: a plain hash that avoids what is broken (0.91 for the hash's 0.98 where a fifth of the hosts
    reset answers, since whole ranges of objects move away), and the link's true fullness in place of the
    module's limit on fills (0.953 for 0.977 on a calm day: the limit also spares the parents' places for
    fills).
    """

    return Router(
        settings,
        seed,
        PartTypes(
            health=lambda hosts, slow_start: TrueHealth(hosts, slow_start, world),
            stalls=lambda health, overload: TrueStalls(health, overload, world),
        ),
    )
