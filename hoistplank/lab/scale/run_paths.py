"""Through which relays dispatchers reach what they follow, and what a cut closes.

Paths are relays of the fleet's laboratory, of a site each, not of a dispatcher. `front` carries what
dispatchers send and receive; `back`, where there are replicas, what these and the change log do among each
other. They are kept apart so that each is counted by itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from hoistplank.lab.fleet.relay_messages import PathAction, RelayStatistics
from hoistplank.lab.fleet.relay_pool import RelayPool
from hoistplank.lab.scale.fleet import DispatcherSite, Fleet

FRONT_RELAYS, BACK_RELAYS = 2, 1
LOG, REPLICAS = "log", "replicas"  # what dispatchers follow


@dataclass(frozen=True, slots=True)
class Cut:
    """What is cut off: sites from all else, or whole regions from the others."""

    sites: tuple[int, ...] = ()
    regions: tuple[int, ...] = ()

    def holds(self, seat: DispatcherSite) -> bool:
        """Whether a dispatcher hears nothing new while this is cut."""
        return seat.site in self.sites or seat.region in self.regions


class Paths(Protocol):
    """The paths of a run, once they are open."""

    def ports(self, seat: DispatcherSite) -> list[int]:
        """Where a dispatcher finds what it follows: the log, or each replica in its order."""

    def set_silent(self, cut: Cut, silent: bool) -> None:
        """Nothing comes through any more, and nobody is told; or all does again."""

    def set_refused(self, cut: Cut, refused: bool) -> None:
        """Connections break and are refused; or are taken again."""

    async def statistics(self) -> RelayStatistics:
        """The counters of the relays of `front`. Raises RelayError."""

    async def back_bytes(self) -> int:
        """What those of `back` carried."""

    async def stop(self) -> None:
        """End the relay processes."""


def _set_silent(relays: RelayPool, names: Iterable[str], silent: bool) -> None:
    chosen = list(names)
    for back in (False, True):
        relays.set_conditions(chosen, back, silent=silent)


def _refusal(refused: bool) -> PathAction:
    return PathAction.SHUT if refused else PathAction.OPEN


class LogPaths:
    """Each site's path to the change log."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.front = fleet, RelayPool()
        self.site_ports: list[int] = []

    @staticmethod
    def name(site: int) -> str:
        """The name of a site's path."""
        return f"s{site:02d}>log"

    def doors(self) -> list[str]:
        """The names of the log's doors, one a site."""
        return [self.name(site) for site in range(self.fleet.sites)]

    async def open(self, doors: dict[str, int], seed: int) -> None:
        """Raises RelayError."""
        await self.front.start(FRONT_RELAYS, seed)
        for site, name in enumerate(self.doors()):
            self.site_ports.append(await self.front.open_stream_path(name, doors[name], site))

    def ports(self, seat: DispatcherSite) -> list[int]:
        """Where a dispatcher finds the change log."""
        return [self.site_ports[seat.site]]

    def _names(self, cut: Cut) -> list[str]:
        return sorted({self.name(seat.site) for seat in self.fleet.seats() if cut.holds(seat)})

    def set_silent(self, cut: Cut, silent: bool) -> None:
        """Let nothing through the cut paths any more, or all again."""
        _set_silent(self.front, self._names(cut), silent)

    def set_refused(self, cut: Cut, refused: bool) -> None:
        """Refuse connections on the cut paths, or accept them again."""
        self.front.apply(self._names(cut), _refusal(refused))

    async def statistics(self) -> RelayStatistics:
        """The counters of the relays of `front`. Raises RelayError."""
        return await self.front.statistics()

    async def back_bytes(self) -> int:
        """Nothing: there are no replicas."""
        return 0

    async def stop(self) -> None:
        """End the relay processes."""
        await self.front.stop()


class ReplicaPaths:
    """Each site's path to each replica, and those of the replicas to the log and to each other. One replica
    stands in each region."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.front, self.back = fleet, RelayPool(), RelayPool()
        self.site_ports: list[list[int]] = []
        self.log_ports: list[int] = []
        self.peer_ports: dict[tuple[int, int], int] = {}

    @staticmethod
    def log_name(replica: int) -> str:
        """The name of a replica's path to the change log."""
        return f"c{replica}>log"

    def doors(self) -> list[str]:
        """The names of the log's doors, one a replica."""
        return [self.log_name(replica) for replica in range(self.fleet.regions)]

    async def open(self, doors: dict[str, int], replicas: list[int], seed: int) -> None:
        """`replicas`: the port of each. Raises RelayError."""
        await self.front.start(FRONT_RELAYS, seed)
        await self.back.start(BACK_RELAYS, seed + 1)
        for number, name in enumerate(self.doors()):
            self.log_ports.append(await self.back.open_stream_path(name, doors[name], number))
        for near in range(self.fleet.regions):
            for far, port in enumerate(replicas):
                if near != far:
                    self.peer_ports[near, far] = await self.back.open_stream_path(
                        f"c{near}>c{far}", port, near
                    )
        for site in range(self.fleet.sites):
            names = [f"s{site:02d}>c{replica}" for replica in range(self.fleet.regions)]
            pairs = zip(names, replicas, strict=True)
            self.site_ports.append(
                [await self.front.open_stream_path(name, port, site) for name, port in pairs]
            )

    def ports(self, seat: DispatcherSite) -> list[int]:
        """Where a dispatcher finds each replica."""
        return self.site_ports[seat.site]

    def _front_names(self, cut: Cut) -> list[str]:
        """Paths of dispatchers that lead out of what is cut off, or into it."""
        region_of = {seat.site: seat.region for seat in self.fleet.seats()}
        names = []
        for site, region in region_of.items():
            for replica in range(self.fleet.regions):
                divided = (region in cut.regions) != (replica in cut.regions)
                if site in cut.sites or divided:
                    names.append(f"s{site:02d}>c{replica}")
        return names

    def _back_names(self, cut: Cut) -> list[str]:
        names = [self.log_name(replica) for replica in cut.regions]
        for near, far in self.peer_ports:
            if (near in cut.regions) != (far in cut.regions):
                names.append(f"c{near}>c{far}")
        return names

    def set_silent(self, cut: Cut, silent: bool) -> None:
        """Let nothing through the cut paths any more, or all again."""
        _set_silent(self.front, self._front_names(cut), silent)
        _set_silent(self.back, self._back_names(cut), silent)

    def set_refused(self, cut: Cut, refused: bool) -> None:
        """Refuse connections on the cut paths, or accept them again."""
        action = _refusal(refused)
        self.front.apply(self._front_names(cut), action)
        self.back.apply(self._back_names(cut), action)

    async def statistics(self) -> RelayStatistics:
        """The counters of the relays of `front`. Raises RelayError."""
        return await self.front.statistics()

    async def back_bytes(self) -> int:
        """The bytes among replicas, and between them and the change log."""
        return (await self.back.statistics()).bytes

    async def stop(self) -> None:
        """End the relay processes."""
        await self.front.stop()
        await self.back.stop()
