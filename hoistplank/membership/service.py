"""Runs the roster in a dispatcher: follows the change log, stores its list, probes hosts while the log is
silent, and tells the owner."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any, Protocol

import structlog

from hoistplank.membership import list_staleness
from hoistplank.membership.host_registry import TOLD, Roster
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import Configuration
from hoistplank.protocol.changelog import Event, Fleet, Target, parse_address
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.attempts import Attempt
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import Listing
from hoistplank.routing.router_task import Listed, Owner, Purged
from hoistplank.store.background_writer import Keeper
from hoistplank.store.folder import Folder, StoreError
from hoistplank.store.schemas import History, KeptChange, KeptHost, KeptList, KeptPurge
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

log = structlog.get_logger()

HEARD_EVERY_US = 10_000_000  # an age this fine says all that a list's age can say
LOOK_S = 0.02
MOST_ANSWER = 256  # bytes of an answer to a probe
# What ends of requests' attempts say of a host that no log vouches for. Ends that prove nothing are left out.
SAYS = {
    "served": "served",
    "still_good": "served",
    "overload": "refused",
    "crashed": "refused",
    "late": "refused",
    "refused": "mute",
    "not up": "mute",
}


class Host(Protocol):
    """What this uses of the program that it is part of."""

    owner: Owner
    listing: Listing
    descriptors: DescriptorBudget
    provisional: bool


def kept(target: Target, now: int, before: KeptHost | None) -> KeptHost:
    since = before.since_us if before is not None and before.boot_ms == target.boot_ms else now
    return KeptHost(
        target.uid,
        target.endpoint,
        target.az,
        target.model,
        target.pod_group,
        target.capacity_hint,
        target.boot_ms,
        target.state,
        since,
    )


def told(host: KeptHost, started_us: int) -> Target:
    return Target(
        host.uid, host.endpoint, host.zone, host.kind, host.cell, "ready", host.units, started_us / 1_000
    )


class MembershipService:
    """One for the program. Raises ConfigurationError where its own name can't be reached; a folder that
    fails costs freshness."""

    def __init__(
        self, section: Section, file: str, configuration: Configuration, clock: Clock | None = None
    ) -> None:
        self.section, self.configuration, self.clock = section, configuration, clock or Clock()
        self.probe_s: float = section["probe-time"] / 1e6
        self.roster = Roster(Random(configuration.seed), configuration.site.dispatchers)
        self.current: dict[str, KeptHost] = {}
        self.history, self.rev, self.heard_us, self.wrote_heard_us = History(), 0, 0, 0
        self.keeper: Keeper | None = None
        self.state: KeptList | None = None
        self.notes: list[str] = []
        self.probes: set[asyncio.Task[None]] = set()
        self.ended = asyncio.Event()  # a probe has; there may be room for the next
        self.counts = {"probes": 0, "good": 0, "red": 0, "mute": 0, "stranger": 0}
        self.host: Host | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        if section["state"] is not None:
            folder = Folder(Path(file).parent / section["state"])
            try:
                loaded = folder.load(mend=False)
                self.state, self.notes = loaded.state, loaded.notes
            except StoreError as wrong:
                self.notes.append(str(wrong))
            self.keeper = Keeper(folder, self._complain)
        now = self.clock.now()
        if self.state is not None:
            self.history = self.state.history
            self.roster.keep(now, self.state.hosts, self.state.heard_us, self.history, self._useful)
        elif section["seed"]:
            seeds = [
                KeptHost(
                    row.title,
                    f"{row['endpoint'][0]}:{row['endpoint'][1]}",
                    row["zone"],
                    row["kind"],
                    row["cell"],
                    row["units"],
                    0,
                    "ready",
                    now,
                )
                for row in section["seed"]
            ]
            self.roster.keep(now, seeds, now, History(), self._useful)
        zones = {row.zone for row in (entry.host for entry in self.roster.rows.values())}
        if section["seed"] and self.state is None and configuration.site.zone not in zones:
            raise ConfigurationError(
                [
                    Diagnostic(
                        section.location_of("seed"),
                        f"no seed of this dispatcher's location '{configuration.site.zone}'",
                        "one at least",
                    )
                ]
            )

    def attach(self, host: Host) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        self.host, self.loop = host, asyncio.get_running_loop()
        for note in self.notes:
            log.warning("kept state", note=note)
        if self.keeper is not None:
            self.keeper.start(self.state)
        host.listing.watch = self
        if self.configuration.known.results:
            # The configuration's own list goes before a kept one: it was told at this start.
            for event in self.configuration.known.results:
                self.heard(event)
            return [("feeling out", self._until_ended())]
        now = self.clock.now()
        if self.state is not None:
            log.info(
                "kept list",
                hosts=len(self.roster.rows),
                age_s=round((now - self.state.heard_us) / 1e6),
                of=self.state.log,
                alive=round(self.roster.alive, 3),
                tries=self.roster.tries,
            )
            for purge in self.state.purges:
                host.owner.tell(Purged(purge.object_key, purge.group, purge.made_us))
        return [("feeling out", self._feel_out())]

    async def _until_ended(self) -> None:
        await asyncio.Event().wait()

    # The change log's word.

    def heard(self, event: Event) -> Event:
        now = self.clock.now()
        self.heard_us, gone, changed, purges = now, list[str](), list[KeptHost](), list[KeptPurge]()
        whole = False
        if event.fleet is not None:
            fleet = event.fleet
            first, whole = not self.roster.live, fleet.all
            before = self.current
            hosts = [kept(target, now, before.get(target.uid)) for target in fleet.targets]
            live = {host.uid: host for host in hosts if host.state != "gone"}
            gone = (
                [uid for uid in before if uid not in live]
                if whole
                else [host.uid for host in hosts if host.state == "gone" and host.uid in before]
            )
            self.history = list_staleness.watched(self.history, now, len(before), 0 if first else len(gone))
            changed = list(live.values())
            self.current = live if whole else {u: h for u, h in before.items() if u not in gone} | live
            self.rev = fleet.rev
            self.roster.listed(now, hosts, whole)
            if first and self.host is not None:
                self.host.owner.seen_ended = None
                log.info("change log is back", hosts=len(self.current), kept=len(self.roster.starts))
            event = Event(
                event.seq,
                Fleet(fleet.rev, fleet.all, [self._with_start(t) for t in fleet.targets]),
                event.invalidate,
            )
        if event.invalidate is not None:
            purge = event.invalidate
            purges = [KeptPurge(purge.object, purge.bucket, int(purge.time * 1000))]
        if self.keeper is not None:
            self.wrote_heard_us = now
            if whole or (event.fleet is not None and self.state is None):
                held = self.state.purges if self.state is not None else []
                self.state = KeptList(
                    self.configuration.written.changelog,
                    now,
                    self.rev,
                    list(self.current.values()),
                    self.history,
                    self._recent(held + purges, now),
                )
                self.keeper.put(self.state)
            else:
                self.keeper.add(KeptChange(now, self.rev, changed, gone, purges, self.history))
        return event

    def _with_start(self, target: Target) -> Target:
        start = self.roster.start_of(target.uid, int(target.boot_ms * 1_000))
        return (
            target
            if start == int(target.boot_ms * 1_000)
            else Target(
                target.uid,
                target.endpoint,
                target.az,
                target.model,
                target.pod_group,
                target.state,
                target.capacity_hint,
                start / 1_000,
            )
        )

    def _recent(self, purges: list[KeptPurge], now: int) -> list[KeptPurge]:
        """Those that a copy may still be younger than: what the module itself goes on asking for, and a
        minute."""
        horizon = now - 2 * self.configuration.site.rules.purge_delay_us - 60_000_000
        return [purge for purge in purges if purge.made_us > horizon]

    def alive(self) -> None:
        now = self.clock.now()
        self.heard_us = now
        if self.keeper is not None and self.state is not None and now - self.wrote_heard_us > HEARD_EVERY_US:
            self.wrote_heard_us = now
            self.history = list_staleness.watched(self.history, now, len(self.current), 0)
            self.keeper.add(KeptChange(now, self.rev, history=self.history))

    # Without it.

    async def _feel_out(self) -> None:
        """Until the log speaks: probes, and what they show goes to the owner."""
        assert self.host is not None
        began = self.clock.now()
        self.host.owner.seen_ended = self._seen
        told_at = 0
        try:
            while True:
                now = self.clock.now()
                for host in self.roster.due(now):
                    task = asyncio.create_task(self._probe(host), name=f"probe {host.uid}")
                    self.probes.add(task)
                    task.add_done_callback(self.probes.discard)
                patient = now - began >= self.section["patience"]
                if self.roster.changed and patient and not self.roster.live:
                    self.host.owner.tell(
                        Listed("own", [told(row.host, row.started_us) for row in self.roster.told()])
                    )
                    self.host.provisional |= self._is_enough()
                    if now - told_at > 1_000_000:
                        told_at = now
                        log.info("own list", **self.roster.counts(), **self.counts)
                if self.roster.live and not self.probes:
                    return await self._until_ended()
                self.ended.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(LOOK_S):
                        await self.ended.wait()
        finally:
            for task in list(self.probes):
                task.cancel()
            await asyncio.gather(*self.probes, return_exceptions=True)

    def _useful(self, host: KeptHost) -> bool:
        """The Router takes cache hosts of its own location alone, and any parent or origin."""
        site = self.configuration.site
        return host.zone == site.zone or host.kind in (site.parent_kind, site.origin_kind)

    def _is_enough(self) -> bool:
        """A cache host of this location and something to fill from have proved themselves."""
        site = self.configuration.site
        rows = [entry.host for entry in self.roster.rows.values() if entry.state in TOLD]
        sources = (site.parent_kind, site.origin_kind)
        return any(row.kind not in sources and row.zone == site.zone for row in rows) and any(
            row.kind in sources for row in rows
        )

    def _seen(self, attempt: Attempt, how: str) -> None:
        """How requests fare there: the only sign of a drain that no log tells of."""
        says = SAYS.get(how)
        if says is not None:
            self.roster.note(self.clock.now(), attempt.host, says)

    async def _probe(self, host: KeptHost) -> None:
        assert self.host is not None
        what = "mute"
        descriptors = self.host.descriptors
        taken = descriptors.acquire(ConnectionKind.CACHE_HOST)
        try:
            if taken:
                what = await _answered(host.endpoint, self.probe_s)
        finally:
            if taken:
                descriptors.release(ConnectionKind.CACHE_HOST)
            self.counts["probes"] += 1
            self.counts[what] += 1
            self.roster.felt(self.clock.now(), host.uid, what)
            self.ended.set()

    # The rest.

    def _complain(self, text: str) -> None:
        """From the writing thread."""
        if self.loop is not None and not self.loop.is_closed():
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(lambda: log.warning("kept state", note=text))

    def close(self) -> None:
        if self.keeper is not None:
            if self.state is not None and self.roster.live:
                self.keeper.add(KeptChange(self.heard_us, self.rev, history=self.history))
            self.keeper.end(0.2)  # the drain is over: a slow disk is not waited for


async def _answered(endpoint: str, within_s: float) -> str:
    """good: connected and green; red: it takes nothing new; mute; stranger: what answers is no cache host."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    data = b""
    try:
        async with asyncio.timeout(within_s):
            await loop.sock_connect(sock, parse_address(endpoint))
            await loop.sock_sendall(sock, b"PING feel\r\n")
            while b"\r\n" not in data and len(data) < MOST_ANSWER:
                more = await loop.sock_recv(sock, MOST_ANSWER)
                if not more:
                    break
                data += more
    except (OSError, ValueError, ProtocolError):  # a time-out is one too
        return "stranger" if data else "mute"
    finally:
        sock.close()
    words = data.split(b"\r\n")[0].split()
    if not data:
        return "mute"
    if len(words) < 2 or words[0] != b"feel" or words[1] not in (b"green", b"red"):
        # Danger: another service has that address now; a request sent there would be anybody's.
        return "stranger"
    return "good" if words[1] == b"green" else "red"
