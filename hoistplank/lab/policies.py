"""The policies that a laboratory's dispatchers can run: the module, the module with one defence off, an
older text, and plain baselines.

The baselines know as much as the module does, but `seer`, which looks at the world itself: the best that
could be done, so that each figure reads as a share of the way from floor to top. They are of the lab only.
"""

from __future__ import annotations

import importlib.util
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any, Protocol

from hoistplank.choice import Herd, Request, Router
from hoistplank.interface import IDEMPOTENT, NON_IDEMPOTENT, Decision, HostEntry, Result, Site
from hoistplank.lab.model.servers import UP
from hoistplank.lab.model.world import World

NEVER_RAN = (Result.FULL, Result.NO_CONNECTION, Result.NEVER_SENT, Result.MISS)


class Policy(Protocol):
    """What a dispatcher asks of whoever decides: the module's own calls."""

    def hosts_listed(self, now: int, form: str, entries: list[HostEntry]) -> None: ...
    def loop_told(self, waits: int, late_us: int) -> None: ...
    def request_arrived(
        self,
        now: int,
        id: str,
        class_name: str,
        object_key: str,
        part: int,
        group: int,
        kb: float,
        until: int,
        again: bool,
    ) -> None: ...
    def attempt_ended(
        self,
        now: int,
        id: str,
        number: int,
        result: int,
        closed: bool,
        took: int,
        waited: int,
        note: int,
        report: list[float],
    ) -> None: ...
    def client_left(self, now: int, id: str) -> None: ...
    def purged(self, now: int, object_key: str, group: int, age: int) -> None: ...
    def timer_due(self, now: int, token: int) -> None: ...
    def next_decision(self, now: int) -> Decision | None: ...


Make = Callable[[Site, int, World | None], Policy]


class WithoutSilence(Router):
    """Nothing that hangs is found: an attempt ends when its host says so or at its deadline."""

    def _find_silent(self, now: int) -> None:
        return


class WithoutHerds(Router):
    """Each request stands alone: nobody is held, joins, or knows where a copy was seen."""

    def _join_herd(self, now: int, request: Request) -> Herd:
        request.herd, request.marked = Herd(now), False
        return request.herd


class WithoutCooldown(Router):
    """Where a copy was last seen counts for nothing."""

    def _copy_at(self, now: int, request: Request, herd: Herd) -> int:
        return -1


class WithoutColds(Router):
    """A cold host gets what a warm one gets. Breaks rule four, which is the point of it."""

    def _budget(self, now: int, host: int, send_us: float) -> bool:
        return True


class WithoutRoom(Router):
    """Fills are let go whatever the location's link has under way."""

    def _room_left(self, now: int) -> bool:
        return True


class WithoutDoubt(Router):
    """Neither silence nor lost connections are held against a host."""

    def _doubt(self, now: int, host: int, steps: int = 1) -> None:
        return

    def _lost(self, now: int, host: int, signs: int, sent: int) -> None:
        return


class WithoutRepeats(Router):
    """One attempt a request."""

    def __init__(self, site: Site, seed: int) -> None:
        super().__init__(replace(site, rules=replace(site.rules, max_attempts=1)), seed)


class WithoutOld(Router):
    """Copies past their fresh time are never asked for."""

    def __init__(self, site: Site, seed: int) -> None:
        super().__init__(
            replace(site, traffic_classes=tuple(replace(row, grace_us=0) for row in site.traffic_classes)),
            seed,
        )


WITHOUT: dict[str, type[Router]] = {
    "silence": WithoutSilence,
    "herds": WithoutHerds,
    "cooldown": WithoutCooldown,
    "colds": WithoutColds,
    "room": WithoutRoom,
    "doubt": WithoutDoubt,
    "repeats": WithoutRepeats,
    "old": WithoutOld,
}


def mix(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Plain:
    """A textbook dispatcher: one choice of host, one repeat, no waiting; keeps to drains, purges and rule
    two.

    Knows of a host what the list says, and how many of its own attempts are out there.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.site, self.chance = site, Random(seed)
        self.classes = {row.name: row for row in site.traffic_classes}
        self.hosts: dict[str, HostEntry] = {}
        self.caches: list[str] = []
        self.parents: list[str] = []
        self.origin = ""
        self.out: dict[str, int] = {}
        # Of each: traffic class, thing, part, group, until, attempts, host, whether it may have run.
        self.requests: dict[str, list[Any]] = {}
        self.floors: dict[str | int, int] = {}
        self.box: deque[Decision] = deque()

    def hosts_listed(self, now: int, form: str, entries: list[HostEntry]) -> None:
        if form == "failed":
            return
        if form != "changes":
            self.hosts = {}
        self.hosts.update({row.host: row for row in entries})
        good = [row for row in self.hosts.values() if row.state == "up"]
        site = self.site
        self.origin = next((row.host for row in good if row.kind == site.origin_kind), "")
        self.parents = sorted(row.host for row in good if row.kind == site.parent_kind)
        kinds = (site.parent_kind, site.origin_kind)
        self.caches = sorted(row.host for row in good if row.zone == site.zone and row.kind not in kinds)

    def loop_told(self, waits: int, late_us: int) -> None:
        return

    def purged(self, now: int, object_key: str, group: int, age: int) -> None:
        self.floors[object_key or group] = now - age

    def timer_due(self, now: int, token: int) -> None:
        return

    def client_left(self, now: int, id: str) -> None:
        self.requests.pop(id, None)

    def stream_began(self, now: int, id: str, number: int) -> None:
        return

    def probe_answered(self, now: int, host: str, good: bool, took: int, report: list[float]) -> None:
        return

    def next_decision(self, now: int) -> Decision | None:
        return self.box.popleft() if self.box else None

    def request_arrived(
        self,
        now: int,
        id: str,
        class_name: str,
        object_key: str,
        part: int,
        group: int,
        kb: float,
        until: int,
        again: bool,
    ) -> None:
        self.requests[id] = [class_name, object_key, part, group, until, 0, "", False]
        self._place(now, id)

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        raise NotImplementedError

    def source(self, object_key: str, part: int) -> str:
        return self.parents[mix(object_key) % len(self.parents)] if self.parents else self.origin

    def _place(self, now: int, id: str) -> None:
        class_name, object_key, part, group, until, attempts, last, _ = row = self.requests[id]
        traffic_class = self.classes[class_name]
        if traffic_class.uncached:
            host, source = self.origin, ""
        else:
            hosts = [host for host in self.caches if host != last] or self.caches
            host = self.choose(object_key, part, hosts) if hosts else ""
            source = self.source(object_key, part)
        if not host or attempts >= 2 or now > until - 100_000:
            return self._give_up(id)
        row[5], row[6] = attempts + 1, host
        self.out[host] = self.out.get(host, 0) + 1
        floor = max(self.floors.get(object_key, 0), self.floors.get(group, 0))
        oldest = max(1, min(now - floor, traffic_class.fresh_us or now - floor)) if floor else 0
        self.box.append(
            Decision(
                "attempt",
                id,
                host,
                source,
                max(1, until - now - 50_000),
                2,
                oldest,
                join=True,
                attempt=attempts,
            )
        )

    def _give_up(self, id: str) -> None:
        row = self.requests.pop(id)
        traffic_class = self.classes[row[0]]
        harmless = traffic_class.semantics == IDEMPOTENT or not row[7]
        self.box.append(Decision("reject" if harmless else "fail", id, wait_us=0))

    def attempt_ended(
        self,
        now: int,
        id: str,
        number: int,
        result: int,
        closed: bool,
        took: int,
        waited: int,
        note: int,
        report: list[float],
    ) -> None:
        row = self.requests.get(id)
        if row is None:
            return
        self.out[row[6]] = max(0, self.out.get(row[6], 0) - 1)
        if closed or result == Result.SUCCEEDED:
            del self.requests[id]
            return
        row[7] |= result not in NEVER_RAN
        if self._may_repeat(row):
            self._place(now, id)
        else:
            self._give_up(id)

    def _may_repeat(self, row: list[Any]) -> bool:
        """Rule two, for a request whose last attempt has failed."""
        return not row[7] or self.classes[row[0]].semantics != NON_IDEMPOTENT


class ByChance(Plain):
    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        return self.chance.choice(hosts)


class ByHash(Plain):
    """Rendezvous by object and part, nothing else."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        key = f"{object_key}/{part}"
        return max(hosts, key=lambda host: mix(key + host))


class FewestOut(Plain):
    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        return min(hosts, key=lambda host: (self.out.get(host, 0), self.chance.random()))


class BestOfTwo(Plain):
    """Two hosts by hash, the one with fewer of this dispatcher's attempts out."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        key = f"{object_key}/{part}"
        pair = sorted(hosts, key=lambda host: mix(key + host))[-2:]
        return min(pair, key=lambda host: self.out.get(host, 0))


class Seer(Router):
    """The module with the truth in place of its guesses of who serves and who is slow.

    Tried before: a plain hash that avoids what is broken (0.91 for the hash's 0.98 where a fifth of the hosts
    reset answers, since whole ranges of objects move away), and the link's true fullness in place of the
    module's room for fills (0.953 for 0.977 on a calm day: the room also spares the parents' places for
    fills).
    """

    def __init__(self, site: Site, seed: int, world: World) -> None:
        super().__init__(site, seed)
        self.world = world

    def _sound(self, i: int) -> bool:
        one = self.world.servers.get(self.names[i])
        if one is None or one.phase != UP or one.paused_until > self.world.events.now:
            return False
        return one.slowdown < 2 and one.link.capacity > 0.5 * one.capacity and one.loss_share < 0.3

    def _usable(self, now: int, host: int) -> bool:
        return self.states[host] == "up" and self._sound(host)

    def _doubt(self, now: int, host: int, steps: int = 1) -> None:
        return

    def _lost(self, now: int, host: int, signs: int, sent: int) -> None:
        return

    def _find_silent(self, now: int) -> None:
        """Takes back at once what went to a host, or waits for a source, that does not serve."""
        for attempt in [one for one in self.attempts if not one.fixed and one.host != self.origin]:
            host = attempt.source if attempt.fill and attempt.source in self.parents else attempt.host
            if attempt.request.over or not self._sound(host):
                self._withdraw(attempt)


PLAIN: dict[str, type[Plain]] = {"random": ByChance, "hash": ByHash, "fewest": FewestOut, "two": BestOfTwo}


class UnknownPolicy(ValueError):
    """Its text names what was asked for and what there is."""


def names() -> list[str]:
    return ["module", *(f"without-{name}" for name in WITHOUT), *PLAIN, "seer"]


def text_of(folder: Path, revision: str) -> type[Any]:
    """The Router of a checkout of this project's own history; its interface must be today's."""
    file = folder / "hoistplank" / "choice.py"
    title = f"hoistplank_choice_{revision}"
    if title in sys.modules:
        return sys.modules[title].Router  # type: ignore[no-any-return]
    spec = importlib.util.spec_from_file_location(title, file)
    if spec is None or spec.loader is None or not file.exists():
        raise UnknownPolicy(f"revision {revision} has no hoistplank/choice.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[title] = module
    spec.loader.exec_module(module)
    return module.Router  # type: ignore[no-any-return]


def policy(name: str, texts: dict[str, Path] | None = None) -> Make:
    """By name: `module`, `without-DEFENCE`, `text-REVISION` (of `texts`), a baseline, or `seer`."""
    if name == "module":
        return lambda site, seed, world: Router(site, seed)
    if name.startswith("without-") and name[8:] in WITHOUT:
        kind = WITHOUT[name[8:]]
        return lambda site, seed, world: kind(site, seed)
    if name.startswith("text-") and texts is not None and name[5:] in texts:
        old = text_of(texts[name[5:]], name[5:])
        return lambda site, seed, world: old(site, seed)
    if name in PLAIN:
        plain = PLAIN[name]
        return lambda site, seed, world: plain(site, seed)
    if name == "seer":

        def seer(site: Site, seed: int, world: World | None) -> Policy:
            if world is None:
                raise UnknownPolicy("'seer' looks at the world itself: it has none on sockets")
            return Seer(site, seed, world)

        return seer
    raise UnknownPolicy(f"no policy '{name}'; there are {', '.join(names())} and text-REVISION")
