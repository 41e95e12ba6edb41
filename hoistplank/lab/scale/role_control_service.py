"""What the xDS control service costs: resources per host, purge and followed name, and followers' state.

The gRPC transport below it is not measured here (`make bench-xds` does). The laboratory does not import the
service: whoever runs this hands its parts in.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, kept_bytes, processor_us, series

ROLE = "control service"
HOSTS = (45, 180, 720, 1_440)
PURGES = (59, 234, 936, 3_744)
NAMES = (100, 200, 400, 800)
FOLLOWERS = (85, 170, 340, 680)
HOSTS_AT_TARGET = 180
CLUSTER = "caches-z1"
MADE_US = 1_700_000_000_000_000
FOR_EVER_US = 1 << 62


@dataclass(frozen=True, slots=True)
class ControlParts:
    """The service's own parts: `hoistplank.xds`' ResourceCache, Host, Follower, DeltaRequest, ResponseEncoder
    and type names."""

    cache: Callable[..., Any]
    host: Callable[..., Any]
    follower: Callable[..., Any]
    encoder: Callable[..., Any]
    delta_request: Callable[..., Any]
    endpoint_type: str
    runtime_type: str
    purges_name: str


class _Meter:
    """The measurements, over the parts that were handed in."""

    def __init__(self, parts: ControlParts) -> None:
        self.parts = parts

    def hosts(self, count: int) -> list[Any]:
        return [
            self.parts.host(f"box-{number}", "127.0.0.1", 10_000, "caches", "z1", 0, 1.0, 0, True)
            for number in range(count)
        ]

    def cache(self, hosts: int = HOSTS_AT_TARGET, purges: int = 0) -> Any:
        made = self.parts.cache(FOR_EVER_US)
        made.update_hosts(self.hosts(hosts), [])
        for number in range(purges):
            made.purges.purged_us[f"{number:016x}"] = MADE_US
        return made

    def purge_cost(self, effort: Effort) -> list[Measurement]:
        cost = Quantity(ROLE, "processor time of a purge", "us", "purges kept")
        size = Quantity(ROLE, "bytes of a purge to a follower", "B", "purges kept", "the whole resource")

        def value(kept: int) -> float:
            cache = self.cache(purges=kept)

            def purge() -> None:
                for number in range(effort.events):
                    cache.add_purge(MADE_US, f"new-{number}", 0, MADE_US)

            return processor_us(purge) / effort.events

        def resource(kept: int) -> float:
            cache = self.cache(purges=kept)
            cache.add_purge(MADE_US, f"{0:016x}", 0, MADE_US + 1)
            return len(cache.get(self.parts.runtime_type, self.parts.purges_name).data)

        return series(cost, PURGES, effort.repeats, value) + series(size, PURGES, 1, resource)

    def host_cost(self, effort: Effort) -> list[Measurement]:
        cost = Quantity(ROLE, "processor time of a change of one host", "us", "hosts")
        size = Quantity(
            ROLE, "bytes of a change of one host to a follower", "B", "hosts", "the whole assignment"
        )
        memory = Quantity(ROLE, "memory of the host list", "B", "hosts")

        def value(count: int) -> float:
            cache, hosts = self.cache(count), self.hosts(count)

            def change() -> None:
                for number in range(effort.events):
                    cache.put_host(replace(hosts[number], up=False))

            return processor_us(change) / effort.events

        def resource(count: int) -> float:
            return len(self.cache(count).get(self.parts.endpoint_type, CLUSTER).data)

        def held(count: int) -> float:
            return kept_bytes(lambda: self.cache(count))[1]

        found = series(cost, HOSTS, effort.repeats, value) + series(size, HOSTS, 1, resource)
        return found + series(memory, HOSTS, effort.slow_repeats, held)

    def name_cost(self, effort: Effort) -> list[Measurement]:
        memory = Quantity(ROLE, "memory of followed names", "B", "names")
        cost = Quantity(ROLE, "processor time of a host that comes, for followed names", "us", "names")

        def follow(cache: Any, count: int) -> None:
            for number in range(count):
                cache.follow(f"visits/{number:016x}.0@z1")

        def held(count: int) -> float:
            cache = self.cache()
            return kept_bytes(lambda: follow(cache, count))[1]

        def value(count: int) -> float:
            cache = self.cache()
            follow(cache, count)
            new = replace(self.hosts(1)[0], uid="new")
            return processor_us(lambda: cache.put_host(new))

        return series(memory, effort.sizes(NAMES), effort.slow_repeats, held) + series(
            cost, NAMES, effort.slow_repeats, value
        )

    def follower_cost(self, effort: Effort) -> list[Measurement]:
        cost = Quantity(
            ROLE, "processor time of telling a purge", "us", "followers", "without gRPC; 234 purges kept"
        )
        memory = Quantity(ROLE, "memory of followers", "B", "followers", "without gRPC")
        kind, name = self.parts.runtime_type, self.parts.purges_name

        def joined(cache: Any, count: int) -> list[Any]:
            followers = []
            for _ in range(count):
                follower = self.parts.follower(cache, is_incremental=True)
                follower.handle_delta_request(self.parts.delta_request(kind, [name], [], {}))
                response = follower.next_response()
                follower.handle_delta_request(self.parts.delta_request(kind, [], [], {}, response.nonce))
                followers.append(follower)
            return followers

        def value(count: int) -> float:
            cache, encoder = self.cache(purges=234), self.parts.encoder()
            followers = joined(cache, count)
            cache.add_purge(MADE_US, "new", 0, MADE_US)

            def tell() -> None:
                for follower in followers:
                    follower.mark_changed(0, kind, {name}, urgent=True)
                    encoder.encode(follower.next_response(), is_incremental=True)

            return processor_us(tell)

        def held(count: int) -> float:
            cache = self.cache()
            return kept_bytes(lambda: joined(cache, count))[1]

        return series(cost, FOLLOWERS, effort.repeats, value) + series(
            memory, FOLLOWERS, effort.slow_repeats, held
        )


def steps(parts: ControlParts) -> tuple[Step, ...]:
    """The role's steps over the service's own parts."""
    meter = _Meter(parts)
    return (
        Step(ROLE, "purges", meter.purge_cost),
        Step(ROLE, "hosts", meter.host_cost),
        Step(ROLE, "followed names", meter.name_cost),
        Step(ROLE, "followers", meter.follower_cost),
    )
