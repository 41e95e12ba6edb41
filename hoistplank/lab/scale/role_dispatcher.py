"""What control costs a dispatcher: the change log's bytes through the real parser, `EndpointWatcher`,
`RouterTask` and `Router`, without a socket and without requests."""

from __future__ import annotations

import json
import time
from dataclasses import replace
from random import Random
from typing import Any

from hoistplank.decision.settings import RouterSettings
from hoistplank.fakes.settings import SETTINGS, endpoint_entry, fleet_event
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, in_loop, kept_bytes, processor_us, series
from hoistplank.protocol.changelog import ChangeLogReader, Snapshot
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.router_task import RouterTask
from hoistplank.settings_reader import read_settings
from hoistplank.wire_fields import Fields, flatten

ROLE = "dispatcher"
SEED = 7
HOSTS = (45, 180, 720, 1_440)
PURGES = (1_000, 3_500, 7_000, 14_040)
HOSTS_AT_TARGET = 180
# Purges are kept for the longest freshness; an hour is that of the catch-up.
FRESH_US = 3_600_000_000
OPEN_CAP = 10_000
NOWHERE = ("127.0.0.1", 1)


def planned_site() -> RouterSettings:
    """The stand-ins' site, with purges that have to be remembered for an hour."""
    fields = Fields([])
    fields.pairs = flatten(SETTINGS)
    made = read_settings(fields)
    return replace(
        made, traffic_classes=tuple(replace(row, fresh_us=FRESH_US) for row in made.traffic_classes)
    )


def host_rows(count: int) -> list[dict[str, Any]]:
    """So many cache hosts of one zone, a parent and an origin, as the change log lists them."""
    rows = [endpoint_entry(f"box-{number}", "box", 10_000 + number) for number in range(count)]
    return [*rows, endpoint_entry("parent", "parent", 8_100), endpoint_entry("origin", "origin", 8_101)]


def line(event: dict[str, Any]) -> bytes:
    """An event as the change log writes it."""
    return json.dumps(event).encode() + b"\n"


def whole_list(count: int) -> bytes:
    return line(fleet_event(1, host_rows(count), whole=True))


def purge_lines(count: int, first: int = 2) -> list[bytes]:
    """Purges of so many objects, from an event number on."""
    now_ms = time.time() * 1_000
    return [
        line({"seq": number, "invalidate": {"object": f"{number:016x}", "time": now_ms}})
        for number in range(first, first + count)
    ]


def host_changes(count: int, hosts: int, first: int = 2) -> list[bytes]:
    """Changes of one host each: it drains, then comes back as another start of its process."""
    rows = host_rows(hosts)
    lines = []
    for number in range(count):
        state = "ready" if number % 2 else "draining"
        row = rows[number // 2 % hosts] | {"state": state, "boot_ms": number // 2 + number % 2}
        lines.append(line(fleet_event(first + number, [row])))
    return lines


class ControlPath:
    """A dispatcher's way from the change log's bytes to the `Router`. Made where an event loop runs."""

    def __init__(self, hosts: int = 0) -> None:
        self.owner = RouterTask(planned_site(), SEED, Clock(), OPEN_CAP, ())
        self.endpoint_watcher = EndpointWatcher(self.owner, NOWHERE, Snapshot(), Random(SEED))
        self.reader = ChangeLogReader()
        if hosts:
            self.feed(whole_list(hosts))

    def feed(self, data: bytes) -> None:
        """What one read of the socket brings, and one turn of the owner, as the watcher takes it."""
        buffer = bytearray(data)
        _, found = self.reader.read(buffer, 0, len(buffer))
        for told in found:
            self.endpoint_watcher.receive(told)
        self.owner.turn()

    def feed_each(self, lines: list[bytes]) -> None:
        """Each line in a read and a turn of its own, as in the steady state."""
        for one in lines:
            self.feed(one)


# The list of cache hosts.


def _list_memory(effort: Effort) -> list[Measurement]:
    quantity = Quantity(ROLE, "memory of the host list", "B", "hosts")

    def held(hosts: int) -> float:
        data = whole_list(hosts)

        def make() -> ControlPath:
            path = ControlPath()
            path.feed(data)
            return path

        return in_loop(lambda: kept_bytes(make)[1])

    return series(quantity, HOSTS, effort.slow_repeats, held)


def _list_cost(effort: Effort) -> list[Measurement]:
    whole = Quantity(ROLE, "processor time of a whole list", "us", "hosts")
    change = Quantity(ROLE, "processor time of a change of one host", "us", "hosts")
    found = []
    for hosts in HOSTS * effort.repeats:
        data = whole_list(hosts)
        changes = host_changes(effort.events, hosts)

        def measure(data: bytes = data, changes: list[bytes] = changes) -> tuple[float, float]:
            path = ControlPath()
            first = processor_us(lambda: path.feed(data))
            return first, processor_us(lambda: path.feed_each(changes)) / len(changes)

        first, each = in_loop(measure)
        found += [whole.measured(hosts, first), change.measured(hosts, each)]
    return found


def _list_bytes(effort: Effort) -> list[Measurement]:
    whole = Quantity(ROLE, "bytes of a whole list", "B", "hosts")
    changes = Quantity(ROLE, "bytes of host changes", "B", "changes")
    found = series(whole, HOSTS, 1, lambda hosts: len(whole_list(hosts)))

    def size(count: int) -> float:
        return sum(map(len, host_changes(count, HOSTS_AT_TARGET)))

    return found + series(changes, effort.sizes(PURGES), 1, size)


# Purges.


def _purge_cost(effort: Effort) -> list[Measurement]:
    steady = Quantity(ROLE, "processor time of purges, each in a turn", "us", "purges")
    parsing = Quantity(ROLE, "processor time of parsing purges", "us", "purges")
    catching_up = Quantity(ROLE, "processor time of purges caught up with in one read", "us", "purges")
    found = []
    for count in effort.sizes(PURGES) * effort.repeats:
        lines = purge_lines(count)
        data = bytearray(b"".join(lines))
        parsed = processor_us(lambda data=data: ChangeLogReader().read(data, 0, len(data)))  # type: ignore[misc]

        def apply(lines: list[bytes] = lines, data: bytes = bytes(data)) -> tuple[float, float]:
            each, together = ControlPath(HOSTS_AT_TARGET), ControlPath(HOSTS_AT_TARGET)
            return processor_us(lambda: each.feed_each(lines)), processor_us(lambda: together.feed(data))

        one_by_one, at_once = in_loop(apply)
        found += [
            steady.measured(count, one_by_one),
            parsing.measured(count, parsed),
            catching_up.measured(count, at_once),
        ]
    return found


def _purge_state(effort: Effort) -> list[Measurement]:
    memory = Quantity(ROLE, "memory of purges remembered", "B", "purges")
    size = Quantity(ROLE, "bytes of purges", "B", "purges")

    def held(count: int) -> float:
        data = b"".join(purge_lines(count))

        def measure() -> float:
            path = ControlPath(HOSTS_AT_TARGET)
            return kept_bytes(lambda: path.feed(data))[1]

        return in_loop(measure)

    found = series(memory, effort.sizes(PURGES), effort.slow_repeats, held)
    return found + series(size, effort.sizes(PURGES), 1, lambda count: sum(map(len, purge_lines(count))))


def _start_up(effort: Effort) -> list[Measurement]:
    """A start from nothing: the whole list, then all purges of an hour."""
    quantity = Quantity(ROLE, "processor time of a start with the list and an hour's purges", "us", "hosts")
    purges = b"".join(purge_lines(PURGES[-1]))

    def value(hosts: int) -> float:
        data = whole_list(hosts) + purges
        return in_loop(lambda: processor_us(lambda: ControlPath().feed(data)))

    return series(quantity, HOSTS, effort.slow_repeats, value)


STEPS = (
    Step(ROLE, "host list: memory", _list_memory),
    Step(ROLE, "host list: processor time", _list_cost),
    Step(ROLE, "host list: bytes", _list_bytes),
    Step(ROLE, "purges: processor time", _purge_cost),
    Step(ROLE, "purges: memory and bytes", _purge_state),
    Step(ROLE, "start-up", _start_up),
)
