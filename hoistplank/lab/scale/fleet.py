"""The fleet of a scale run: dispatchers with their sites, zones and regions, and cache hosts. No I/O."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import Any

from hoistplank.fakes.settings import SETTINGS

HUB = "hub"
ORIGIN = "origin-0"
PARENT = "parent-0"
HOST_PORT = 9  # nothing listens there: without requests no dispatcher connects to a cache host
PARENT_KIND, ORIGIN_KIND, CACHE_KIND = "parent", "origin", "box"


@dataclass(frozen=True, slots=True)
class DispatcherSite:
    """One dispatcher: its number in the fleet, and where it stands."""

    number: int
    site: int
    zone: int
    region: int

    @property
    def name(self) -> str:
        return f"s{self.site:02d}-d{self.number:03d}"


@dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes of the fleet. Dispatchers are dealt to sites in turn, sites to zones, zones to regions."""

    dispatchers: int
    sites: int
    zones: int
    regions: int
    hosts: int

    def seats(self) -> list[DispatcherSite]:
        return [self._seat(number) for number in range(self.dispatchers)]

    def _seat(self, number: int) -> DispatcherSite:
        site = number % self.sites
        zone = site % self.zones
        return DispatcherSite(number, site, zone, zone % self.regions)

    def zone_name(self, zone: int) -> str:
        return f"z{zone}"

    def settings(self, seat: DispatcherSite, lifetime_s: float) -> dict[str, Any]:
        """What a dispatcher is told at its start, by the platform's names and units. `lifetime_s`: how long
        a copy may be served, which bounds how long a purge is kept in mind."""
        here = [0] * (self.zones + 1)
        for other in self.seats():
            here[other.zone + 1] += 1
        made = copy.deepcopy(SETTINGS)
        made["areas"] = [HUB, *(self.zone_name(zone) for zone in range(self.zones))]
        made["zone"] = self.zone_name(seat.zone)
        made["group_size"], made["index"] = self.dispatchers, seat.number
        made["family_info"]["zone_link_kb_per_s"] = [0.0, *[800_000.0] * self.zones]
        made["family_info"]["instances_by_zone"] = here
        made["family_info"]["lifetime_by_class"] = [lifetime_s, 0.0]
        made["family_info"]["purge_takes"] = 7.0
        return made

    def host_names(self) -> list[str]:
        return [f"cache-{number:04d}" for number in range(self.hosts)]

    def host_row(self, number: int, boot_ms: int, units: float, state: str = "ready") -> dict[str, Any]:
        """A cache host as the change log lists it."""
        return {
            "uid": f"cache-{number:04d}",
            "endpoint": f"127.0.0.1:{HOST_PORT}",
            "az": self.zone_name(number % self.zones),
            "model": CACHE_KIND,
            "pod_group": number // 4,
            "state": state,
            "capacity_hint": units,
            "boot_ms": boot_ms,
        }

    def hub_rows(self) -> list[dict[str, Any]]:
        """The parent and the origin, which stay as they are for the whole run."""
        rows = []
        for name, kind in ((PARENT, PARENT_KIND), (ORIGIN, ORIGIN_KIND)):
            row = self.host_row(0, 0, 100.0)
            rows.append(row | {"uid": name, "az": HUB, "model": kind})
        return rows
