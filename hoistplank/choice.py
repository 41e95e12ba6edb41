"""Every decision of the router. Its interface is in hoistplank/interface.py, the design in docs/design.md.

How to call it: make a Router from a Site and a seed; report what happens through the input methods (from
hosts_listed to timer_due), which only update what is known; then call next_decision(now) until it answers
None, and carry out each answer in order. Times are whole microseconds; the module knows no clock, no wire."""

from __future__ import annotations

from collections import OrderedDict, deque
from hashlib import blake2b
from math import exp, inf, log
from random import Random

from hoistplank.interface import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    Decision,
    HostEntry,
    Note,
    Reduced,
    Result,
    Site,
    TrafficClass,
)

# Outcomes that prove that an attempt never ran; and those in which the cache host itself spoke.
NEVER_RAN = frozenset((Result.FULL, Result.NO_CONNECTION, Result.NEVER_SENT, Result.MISS))
SPOKE = frozenset((Result.SUCCEEDED, Result.ERROR, Result.FULL, Result.MISS))
# What a host failed by itself; all else may break by chance once, and comes last for a request from twice on.
FAILED_THERE = frozenset((Result.FULL, Result.NO_CONNECTION, Result.LATE))
# Notes by which the source failed, not the cache host that tells of it.
SOURCE_FAILED = frozenset((Note.SOURCE_REFUSED, Note.SOURCE_LOST, Note.SOURCE_LACKS, Note.ORIGIN_LOST))
MOST_FLOORS = 16_384  # an hour's purges of the largest fleet, all told at once, are 14,000
ALL_OBJECTS = -1  # the bucket of a purge of all objects, and the key of their floor: no request has it


class TrafficClassState:
    """A row of the traffic class table: the traffic class, the mean sending time, and how fills of the
    traffic class fare lately."""

    def __init__(self, traffic_class: TrafficClass) -> None:
        self.traffic_class = traffic_class
        self.wait_us, self.in_time, self.fills_out = 0.0, 1.0, 0
        self.send_us = float(traffic_class.target_us)  # till some are seen: targets lie above it

    def saw(self, send_us: float) -> None:
        self.send_us += (send_us - self.send_us) * 0.02  # 1 in 50: sizes vary widely, their mean hardly moves


class Attempt:
    def __init__(self, request: Request, host: int, source: int, sent: int, fill: bool, sure: bool):
        self.request, self.number, self.host, self.source, self.sent = (
            request,
            request.attempts,
            host,
            source,
            sent,
        )
        # sure: the cache answers by itself, from a known copy or to a look; fixed: withdrawn, or streaming
        self.fill, self.sure, self.fixed = fill, sure, False


class Request:
    def __init__(
        self,
        id: str,
        class_name: TrafficClassState,
        object_key: str,
        part: int,
        group: int,
        deadline: int,
        again: bool,
    ):
        self.id, self.class_name, self.object_key, self.part, self.group = (
            id,
            class_name,
            object_key,
            part,
            group,
        )
        self.print = (object_key, part, class_name.traffic_class.name)
        self.known_us, self.deadline, self.latest = 0.0, deadline, deadline
        self.attempts, self.over, self.due, self.ran_at, self.ran_host = 0, False, 0, -1, -1
        self.missed, self.missed_at, self.not_before, self.marked = -1, 0, 0, False
        self.herd: Herd | None = None
        self.out, self.failed_at, self.orders = dict[int, Attempt](), list[int](), (list[int](), list[int]())
        self.listing, self.old, self.again, self.last = -1, False, again, -1

    def send_us(self) -> float:
        return self.known_us or self.class_name.send_us

    def target_us(self, send_us: float) -> float:
        traffic_class = self.class_name.traffic_class
        return min(
            traffic_class.target_us + traffic_class.target_stretch * send_us, traffic_class.deadline_us
        )


class Herd:
    """What is known of one fingerprint: its bucket, its leader, and where a copy was last seen."""

    def __init__(self, now: int) -> None:
        self.tokens, self.stamp, self.leader = 1.0, now, None  # type: float, int, Attempt | None
        self.host, self.life, self.seen, self.born, self.listing = -1, 0, 0, 0, -1
        self.orders = (list[int](), list[int]())


def mix(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def standing(key: int, salt: int, weight: float) -> float:
    """Weighted rendezvous: a host's place for a key, least first; the rest stay when one comes or goes."""
    x = (key ^ salt) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    x = (x ^ x >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return -log(((x ^ x >> 32) + 1) / 2**64) / weight


class Router:
    def __init__(self, site: Site, seed: int) -> None:
        self.site, self.rules = site, site.rules
        self.chance = Random(seed).random
        self.classes = {
            traffic_class.name: TrafficClassState(traffic_class) for traffic_class in site.traffic_classes
        }
        # Cache hosts: parallel arrays under a dense index that a host keeps until it is gone.
        self.index, self.spare, self.most_caches = dict[str, int](), deque[tuple[int, int]](), 1
        self.longest_us = max(
            (traffic_class.deadline_us for traffic_class in site.traffic_classes), default=0
        )
        self.floors_us = site.floors_us
        self.names, self.zones, self.states = list[str](), list[str](), list[str]()
        self.salts, self.cells, self.started, self.life, self.cold_since = (list[int]() for _ in range(5))
        self.heard, self.silent_until, self.silences, self.losses = (list[int]() for _ in range(4))
        self.fills, self.felt, self.carried_at, self.lost_at, self.suspected = (list[int]() for _ in range(5))
        self.units, self.room, self.most, self.carry = (list[float]() for _ in range(4))
        self.trust, self.usual, self.lately = (list[float]() for _ in range(3))
        self.spent, self.out_at = list[deque[tuple[int, float]]](), list[dict[Attempt, None]]()
        self.caches, self.parents, self.origin = list[int](), list[int](), -1
        self.listed_once, self.listing, self.silence_check, self.filled_at = False, 0, 0, 0
        self.blind, self.reduced, self.tries = False, Reduced(), dict[str | int, tuple[float, float, int]]()
        self.herds = OrderedDict[tuple[str, int, str], Herd]()
        self.floors = OrderedDict[str | int, tuple[int, int]]()  # when made, when told; in the order told
        self.ledger, self.waiting = dict[str, Request](), dict[str, Request]()
        self.attempts, self.outbox = dict[Attempt, None](), deque[Decision]()
        self.stirred, self.asking = False, False
        self.link_full, self.link_at, self.wake_at, self.token, self.fills_out = 1.5, -1_000_000, 0, 0, 0
        self.waits, self.late_us, self.least_utility = (
            0,
            0,
            min([row.utility for row in site.traffic_classes] or [0]),
        )
        # Half as many fills more than fill the link: 1.0 loses 0.05, 1.3 to 1.7 are alike. No link told: 16.
        self.fill_room, self.full_room, self.least_room = 16.0 / max(1, site.dispatchers_here), inf, 2.0
        if site.link_kb_s > 0 and site.stream_kb_s > 0:
            share = site.link_kb_s / site.stream_kb_s / max(1, site.dispatchers_here)
            self.fill_room = self.full_room = max(2.0, 1.5 * share)
            self.least_room = 0.3 * self.full_room

    # Inputs: they only update what is known.

    def hosts_listed(self, now: int, form: str, entries: list[HostEntry]) -> None:
        self.stirred = True
        if form == "failed":
            self.asking = False
            return
        self.blind = form == "own"  # a list of another time, while no log tells what was purged since
        for entry in entries:
            self._list(now, entry)
        named = {entry.host for entry in entries}
        for host, i in list(self.index.items()):
            if self.states[i] == "gone" or (form != "changes" and host not in named):
                # Danger: hosts that are replaced all day would fill the arrays and every ranking.
                self.states[i], self.origin = "gone", -1 if i == self.origin else self.origin
                self.spare.append((now, self.index.pop(host)))
        for tier in (self.caches, self.parents):
            tier[:] = [i for i in tier if self.states[i] != "gone"]
        self.most_caches = max(self.most_caches, len(self.caches))
        self.listed_once, self.listing = True, self.listing + 1

    def _list(self, now: int, entry: HostEntry) -> None:
        i = self.index.get(entry.host, -1)
        if i < 0:
            # An index is free once no request can name the host that had it any more.
            freed = self.spare and self.spare[0][0] < now - self.longest_us
            i = self.index[entry.host] = self.spare.popleft()[1] if freed else len(self.names)
            # Where no link is told, 8 to begin with, shared: 6 to 8 are alike, 12 loses 0.02.
            room = inf if self.site.links_told else max(2.0, 8.0 / max(1, self.site.dispatchers_here))
            figures = (
                self.cells,
                self.started,
                self.silent_until,
                self.silences,
                self.losses,
                self.felt,
                self.fills,
                self.lost_at,
                self.suspected,
                self.carry,
                self.usual,
                self.lately,
            )
            for rows, first in (
                (figures, 0),
                ((self.cold_since,), -1),
                ((self.heard, self.carried_at), now),
                ((self.units,), 1),
                ((self.room,), room),
                ((self.most, self.trust), inf),
                ((self.names,), entry.host),
                ((self.zones,), ""),
                ((self.states,), "gone"),
                ((self.life,), [*self.life, 0][i]),
                ((self.salts,), mix(entry.host)),
                ((self.spent,), deque()),
                ((self.out_at,), {}),
            ):
                for row in rows:
                    row[i : i + 1] = [first]  # type: ignore[list-item]
            if entry.kind == self.site.origin_kind:
                self.origin = i
            elif entry.kind == self.site.parent_kind:
                self.parents.append(i)
            elif entry.zone == self.site.zone:
                self.caches.append(i)
        if entry.state == "up" and (self.states[i] == "gone" or entry.started_us != self.started[i]):
            self.life[i] += 1
            self.silent_until[i], self.silences[i], self.trust[i] = 0, 0, inf
            self.losses[i] = self.suspected[i] = 0
            self.cold_since[i] = entry.started_us or (now if self.listed_once else -1)  # old times soon lapse
        self.zones[i], self.cells[i], self.started[i] = entry.zone, entry.cell, entry.started_us
        self.units[i], self.states[i] = entry.units, entry.state
        if self.site.links_told and entry.units > 0:
            # Twice its link and two more: at twice its sending time a hit is still in time at most targets.
            self.most[i] = max(2.0, (2.0 + 2.0 * entry.units) / max(1, self.site.dispatchers_here))
        self.room[i] = min(self.room[i], self.most[i])

    def loop_told(self, waits: int, late_us: int) -> None:
        """How the host program fares: what waits for it, and how late it is; 10 ms are within the slack."""
        self.late_us = min(late_us, 100_000) if late_us > 10_000 else 0  # one standstill is no rule
        self.waits = waits + self.late_us // 200  # 0.2 ms an event: what lies unread is not seen

    def reduced_told(self, now: int, reduced: Reduced) -> None:
        """What the level of reduced service in force asks; it counts for requests that come from now on."""
        self.reduced, self.stirred = reduced, True

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
        row = self.classes[class_name]
        request = Request(id, row, object_key, part, group, until, again)
        if kb > 0 and self.site.stream_kb_s > 0:
            request.known_us = kb / self.site.stream_kb_s * 1e6
            row.saw(request.known_us)
        until -= (
            self.late_us
        )  # Danger: a loop that lags sees a request late, and carries out its answer late.
        # The last moment for an attempt that can still meet the latency target; an unknown size counts as
        # small. Danger: a traffic class whose mean fills its latency target would be rejected unseen, and
        # never learn better.
        likely = 0.0 if row.traffic_class.target_stretch >= 1 or row.traffic_class.uncached else row.send_us
        send = request.known_us or min(likely, row.traffic_class.target_us / 2)
        target = now + int(request.target_us(send)) - 2 * self.site.tick_us
        # Danger: a full core makes all late. 250 are 50 ms of work; dear requests last. Harms lone bursts.
        full = self.waits * self.least_utility > 250 * row.traffic_class.utility
        reduced = self.reduced  # a level that lets this traffic class's new requests wait: rejected at once
        full = full or class_name in reduced.reject and (part == 0 or class_name in reduced.every_part)
        request.latest = now - 1 if full else min(target, until - 100_000) - int(send)
        self.ledger[id] = self.waiting[id] = request
        self.stirred = True

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
        request = self.ledger.get(id)
        attempt = request.out.pop(number, None) if request else None
        if request is None or attempt is None:
            return
        self.stirred = True
        for out in (self.attempts, self.out_at[attempt.host], self.out_at[attempt.source]):
            out.pop(attempt, None)
        if attempt.fill:
            self.fills_out -= 1
            request.class_name.fills_out -= 1
            row, succeeded = request.class_name, result == Result.SUCCEEDED
            blamed = request.over or (result == Result.WITHDRAWN and now < self.silent_until[attempt.source])
            if note != Note.HIT and not blamed and (succeeded or result in (Result.LATE, Result.WITHDRAWN)):
                in_time = succeeded and took <= request.target_us(request.send_us())
                # 1 in 12: about a second's fills of a busy traffic class: a slow origin and its end both
                # show soon.
                row.wait_us += (max(0.0, took - request.send_us()) - row.wait_us) * 0.08
                row.in_time += (in_time - row.in_time) * 0.08
                # A crowded origin takes longer for each fill, the more are out: fewer come sooner.
                crowded = self.fills_out >= self.fill_room - 2
                if in_time and (crowded or self.full_room < inf):
                    self.fill_room = min(self.full_room, self.fill_room + 0.3)
                elif crowded and not in_time:
                    self.fill_room = max(self.least_room, self.fill_room * 0.95)
        if request.herd is not None and request.herd.leader is attempt:
            request.herd.leader = None
        if attempt.host in self.caches:
            self._reported(now, report)
        self._learn(now, request, attempt, result, took, note)
        if request.over or closed:
            return self._close(request)
        if result not in NEVER_RAN and request.ran_at < 0:
            request.ran_at, request.ran_host = attempt.sent, attempt.host
        if result == Result.MISS:
            request.missed, request.missed_at = attempt.host, now
        elif note not in SOURCE_FAILED and (request.attempts > 1 or result in FAILED_THERE):
            request.failed_at.append(attempt.host)
        if note == Note.SOURCE_REFUSED or (result == Result.FULL and note not in SOURCE_FAILED):
            # What turned us away, host or source, is crowded: come back later each time, spread by chance.
            request.not_before = now + int(20_000 * 2 ** min(request.attempts, 4) * (0.5 + self.chance()))
        self.waiting[id], request.due = request, 0

    def _learn(self, now: int, request: Request, attempt: Attempt, result: int, took: int, note: int) -> None:
        host, source, class_name = attempt.host, attempt.source, request.class_name
        unmade = 0 < self.rules.connect_us <= took + 50_000  # as long as a connection that is not up in time
        if result in SPOKE:
            self._heard(now, host, attempt.sent)
        elif result in (Result.NO_CONNECTION, Result.BROKEN):
            # Where only its table of connections was full, a host gets less than it could for its cold time.
            self._lost(now, host, 2 if result == Result.NO_CONNECTION else 1, attempt.sent)
            if result == Result.NO_CONNECTION and unmade:
                self._doubt(now, host)  # as at a vanished machine: the next would wait as long
        if source in self.parents and source != host:
            unreached = result == Result.FULL and unmade
            if note == Note.SOURCE_LOST or (not self.site.notes_all and attempt.fill and unreached):
                # A dead or cut-off parent; without notes, what took as long as a failed connection does.
                self._lost(now, source, 2, attempt.sent)
                self._doubt(now, source)
            elif note in (Note.FILLED, Note.FROM_ORIGIN, Note.SOURCE_REFUSED):
                self._heard(now, source, attempt.sent)
                self.filled_at = now
        if result != Result.SUCCEEDED or class_name.traffic_class.uncached or note == Note.OLD:
            return
        for i in (host,) if attempt.sure or source < 0 else (host, source):
            # What a host carries for this dispatcher, in transfers, over some 5 s.
            self.carry[i] = self.carry[i] * exp((self.carried_at[i] - now) / 5e6) + request.send_us() / 5e6
            self.carried_at[i] = now
        herd = request.herd
        if herd is not None and host not in self.parents:
            if note in (Note.FILLED, Note.FROM_ORIGIN, Note.JOINED) or herd.host != host or not herd.born:
                herd.born = attempt.sent if note != Note.HIT else now - class_name.traffic_class.fresh_us // 2
            herd.host, herd.life, herd.seen = host, self.life[host], now
        if note == Note.HIT:
            if not request.known_us:
                class_name.saw(took)
            elif took > 2 * request.known_us + 10_000:
                self.room[host] = max(1.0, self.room[host] * (0.97 if self.room[host] > 4 else 0.9))
            elif took < 1.4 * request.known_us + 5_000 and len(self.out_at[host]) >= self.room[host] - 2:
                self.room[host] = min(self.most[host], self.room[host] + 0.3)
        elif note in (Note.FILLED, Note.FROM_ORIGIN) and source in self.parents:
            # Fill over sending time, 0.1 s for the way: shows slow links too. Settles over 50, latest over 5.
            slowed = took / (request.send_us() + 100_000)
            self.fills[source] += 1
            self.usual[source] += (slowed - self.usual[source]) / min(50, self.fills[source])
            self.lately[source] += (slowed - self.lately[source]) / min(5, self.fills[source])

    def _heard(self, now: int, host: int, sent: int) -> None:
        self.heard[host], self.silences[host], self.losses[host] = now, 0, 0
        # Back from doubt: half an attempt more at a time, in case it came back cold; 16 are more than usual.
        self.trust[host] = self.trust[host] + 0.5 if self.trust[host] < 16 else inf
        if sent < self.suspected[host]:
            # What it was sent before outlived the silence: it stood still and did not start anew.
            self.silent_until[host], self.suspected[host], self.cold_since[host] = 0, 0, -1
            self.trust[host] = inf

    def _lost(self, now: int, host: int, signs: int, sent: int) -> None:
        """Signs of processes that went away, and may be back, cold and empty, before the list says so.

        A few at a host, or over its cell or zone, unanswered since, make these cold till the list or an older
        answer tells better. Covers restarts, releases, crashes; harms what hangs, by a cold time."""
        tier = self.parents if host in self.parents else self.caches if host in self.caches else []
        self.losses[host], self.lost_at[host] = self.losses[host] + signs, now
        beside = [i for i in tier if self.zones[i] == self.zones[host]]
        struck = [i for i in beside if self.losses[i] and now - self.lost_at[i] < 4_000_000]
        cells = {self.cells[i] for i in struck}
        if sum(self.losses[i] for i in struck) < 3:
            return
        for i in beside:
            if i in struck or ((len(cells) > 1 or self.cells[i] in cells) and self.heard[i] < sent):
                self.life[i] += 1
                if self.cold_since[i] < 0 or self.suspected[i]:
                    self.cold_since[i] = self.suspected[i] = now

    def _doubt(self, now: int, host: int, steps: int = 1) -> None:
        """A host that may be gone rests, longer each time, and is then felt out by one attempt."""
        if host == self.origin or now < self.silent_until[host]:
            return
        self.silences[host] = min(max(self.silences[host] + 1, steps), 6)
        self.silent_until[host] = now + 125_000 * 2 ** self.silences[host]  # 0.25 s, doubling to 8 s
        self.trust[host] = 1.0

    def stream_began(self, now: int, id: str, number: int) -> None:
        if id in self.ledger and number in self.ledger[id].out:
            self.ledger[id].out[number].fixed = True

    def client_left(self, now: int, id: str) -> None:
        self.stirred = True
        if id in self.ledger:
            self._close(self.ledger[id])

    def purged(self, now: int, object_key: str, group: int, age: int) -> None:
        self._raise_floor(now, object_key or group, now - age)
        # Danger: a floor forgotten while an old copy from before its purge may still be asked for serves it.
        while next(iter(self.floors.values()))[1] < now - self.floors_us:
            self.floors.popitem(last=False)
        while len(self.floors) > MOST_FLOORS:
            # Danger: a flood of purges takes the memory. The longest told become one floor under all objects.
            self._raise_floor(now, ALL_OBJECTS, self.floors.popitem(last=False)[1][0])

    def _raise_floor(self, now: int, key: str | int, floor: int) -> None:
        # Danger: one that is purged again and kept its place would keep all that stand behind it.
        self.floors[key] = (max(self.floors.pop(key, (0, 0))[0], floor), now)

    def _reported(self, now: int, report: list[float]) -> None:
        for name, figure in zip(self.site.report_fields, report, strict=False):
            if name == "link_full":
                self.link_full, self.link_at = (figure + self.link_full) / 2, now

    def _room_left(self, now: int) -> bool:
        """Whether the location's link has room for one more fill from here, of the share a level leaves."""
        room = self.fill_room * self.reduced.fill_share
        if self.fills_out < room:
            return True
        # A link told below the room's 1.5 opens it, unless parents are short. Harms where reports are old.
        fine = all(row.in_time > 0.85 for row in self.classes.values()) and all(
            self.cold_since[i] < 0 and self._usable(now, i) for i in self.parents if self.states[i] != "gone"
        )
        return (
            fine
            and now - self.link_at < 1_000_000
            and (self.fills_out < room * min(3.0, 1.5 / max(0.1, self.link_full)))
        )

    def probe_answered(self, now: int, host: str, good: bool, took: int, report: list[float]) -> None:
        """Nothing is asked: what probes tell of the link gained nothing over their price."""

    def timer_due(self, now: int, token: int) -> None:
        self.stirred = True
        self.wake_at = 0 if token == self.token else self.wake_at

    def next_decision(self, now: int) -> Decision | None:
        if self.stirred:
            self.stirred = False
            self._settle(now)
        return self.outbox.popleft() if self.outbox else None

    def _settle(self, now: int) -> None:
        if self.rules.must_follow and not self.asking:
            self.asking = True
            self.outbox.append(Decision("follow"))
        if now >= self.silence_check:
            self.silence_check = now + 50_000  # a silence shows after 0.7 s, so this is fine enough
            self._find_silent(now)
        if self.waiting:
            # Most utility for the time first; late traffic classes and repeats yield. Many are looked at
            # less often.
            pause = min(50_000, 10 * len(self.waiting) ** 2)
            due = [request for request in self.waiting.values() if request.due <= now]
            for request in sorted(due, key=self._weight):
                request.due, herd = now + pause, request.herd
                if (
                    request.missed < 0
                    or now > request.latest
                    or self._room_left(now)
                    or herd is None
                    or herd.leader is not None
                    or herd.seen > request.missed_at
                ):
                    self._place(now, request)
        wait = 20_000 if self.waiting else 50_000  # held requests wait 20 ms too long at most
        if self.ledger and (not self.wake_at or self.wake_at > now + wait):
            self.wake_at, self.token = now + wait, self.token + 1
            self.outbox.append(Decision("wake", token=self.token, wait_us=wait))

    def _weight(self, request: Request) -> float:
        row = request.class_name
        utility = (
            max(0.001, row.traffic_class.utility) * (row.in_time + 0.02) * (0.2 if request.again else 1.0)
        )
        return (request.send_us() + row.wait_us) / utility

    def _close(self, request: Request) -> None:
        request.over = True
        self.waiting.pop(request.id, None)
        if not request.out:
            self.ledger.pop(request.id, None)

    def _finish(self, request: Request) -> None:
        """The final answer of a request that is given up on, at once."""
        traffic_class = request.class_name.traffic_class
        harmless = traffic_class.semantics == IDEMPOTENT or request.ran_at < 0
        if harmless or (traffic_class.semantics != NON_IDEMPOTENT and traffic_class.dedup_group == "all"):
            wait = int(self.rules.max_return_us * self.rules.may_name_return * (0.5 + self.chance() / 2))
            self.outbox.append(Decision("reject", request.id, wait_us=wait))
        else:
            self.outbox.append(Decision("fail", request.id))
        self._close(request)

    def _may_repeat(self, now: int, request: Request, host: int) -> bool:
        """Rule two: whether this request may be attempted (again) at this host."""
        traffic_class, most = request.class_name.traffic_class, self.rules.max_attempts
        most = (
            min(most, self.reduced.most_attempts or most) if traffic_class.semantics == IDEMPOTENT else most
        )
        if request.over or request.out or request.attempts >= most:
            return False
        if request.ran_at < 0 or traffic_class.semantics == IDEMPOTENT:
            return True
        if (
            traffic_class.semantics == NON_IDEMPOTENT
            or now + 50_000 > request.ran_at + traffic_class.dedup_window_us
        ):
            return False
        places = self.zones if traffic_class.dedup_group == "zone" else self.cells
        return traffic_class.dedup_group == "all" or places[request.ran_host] == places[host]

    def _may_retry(self, now: int, request: Request) -> bool:
        """Attempts beyond the first stay within a share of first attempts of some 10 s, by traffic class and
        by the host that failed the last one: a failing tier is not met by a storm. Harms a tier whose faults
        are chance.
        """
        again = request.attempts and self.reduced.retry_share
        for key in (request.class_name.traffic_class.name, request.last) if again else ():
            first, more, at = self.tries.get(key, (0.0, 0.0, now))
            if more * exp((at - now) / 1e7) >= self.reduced.retry_share * first * exp((at - now) / 1e7) + 10:
                return False
        return True

    def _place(self, now: int, request: Request) -> None:
        """Attempts, holds or gives up on one waiting request."""
        class_name, last = request.class_name, now > request.latest
        # An old copy earns its share at once: where fills come in time more seldom, or else at the very last.
        if (
            class_name.traffic_class.grace_us
            and not request.old
            and not self.blind
            and (
                class_name.in_time < class_name.traffic_class.old_share
                or (last and request.missed >= 0)
                or class_name.traffic_class.name in self.reduced.old_first
            )
        ):
            request.old = True
            if request.missed >= 0 and self._gate(now, request, request.missed, request.missed):
                return self._attempt(now, request, request.missed, request.missed)
        if last or not self._may_repeat(now, request, request.ran_host) or not self._may_retry(now, request):
            return self._finish(request)
        if now < request.not_before:
            return
        if request.class_name.traffic_class.uncached:
            return self._place_uncached(now, request)
        herd = request.herd or self._join_herd(now, request)
        here, leader = self._copy_at(now, request, herd), herd.leader
        if here < 0 and request.marked and leader is not None and self._usable(now, leader.host):
            if self.site.joins:
                if self._gate(now, request, leader.host, leader.source):
                    return self._attempt(now, request, leader.host, leader.source, join=True)
            elif now < request.latest - 40_000:
                return
        host = here if here >= 0 and self._has_room(now, here) else self._pick(now, request)
        if host < 0:
            return self._pass_by(now, request)
        source, known = self._source(now, request, host), here == host
        warm = self.cold_since[host] < 0 and self.cold_since[source] < 0
        look = request.old or self.fills_out * 2 >= self.fill_room
        if warm and look and not known and request.missed != host:
            return self._attempt(now, request, host, host) if self._gate(now, request, host, host) else None
        # Fills that come too late get the share of the room that comes in time, and one to find out more.
        late = class_name.in_time < 0.5 and class_name.fills_out >= 1 + self.fill_room * class_name.in_time
        if (known or (self._room_left(now) and not late)) and self._gate(now, request, host, source):
            self._attempt(
                now,
                request,
                host,
                source,
                fill=not known,
                sure=known,
                join=self.site.joins and not request.failed_at,
            )

    def _pass_by(self, now: int, request: Request) -> None:
        """Where all caches are gone, silent or out of a cold budget, requests go straight to a parent."""
        # Not where they are merely full. Covers lost locations, releases and mass restarts; harms the link.
        if any(
            self.trust[i] > 8 and self._usable(now, i) and self._budget(now, i, request.class_name.send_us)
            for i in self.caches
        ):
            return
        parent = self._source(now, request, -1) if self.rules.may_pass_by else -1
        origin = self.origin if self.origin >= 0 and self.states[self.origin] == "up" else parent
        if parent >= 0 and self._room_left(now) and self._gate(now, request, parent, origin):
            self._attempt(now, request, parent, origin, fill=True)
        elif parent < 0 and not any(self.states[i] == "up" for i in self.caches):
            self._finish(request)

    def _place_uncached(self, now: int, request: Request) -> None:
        if self.origin < 0 or self.states[self.origin] != "up":
            return self._finish(request)
        host, source = (
            (self.origin, -1) if self.rules.may_pass_by else (self._pick(now, request), self.origin)
        )
        if host >= 0 and self._gate(now, request, host, source):
            self._attempt(now, request, host, source)

    def _join_herd(self, now: int, request: Request) -> Herd:
        """The bucket of the fingerprint: a request that finds it empty marks a herd."""
        herd = self.herds.get(request.print)
        if herd is None:
            herd = self.herds[request.print] = Herd(now)
        # One request, refilled at 8 a second as the design starts, but not while a fill of any length is out.
        if herd.leader is None:
            herd.tokens = min(1.0, herd.tokens + (now - herd.stamp) * 8e-6)
        herd.stamp = now
        self.herds.move_to_end(request.print)
        # The cooldown is over after 8 s: a fingerprint that was not asked for in 10 s teaches nothing.
        while next(iter(self.herds.values())).stamp < now - 10_000_000:
            self.herds.popitem(last=False)
        request.herd, request.marked = herd, herd.tokens < 1
        herd.tokens -= not request.marked
        return herd

    def _copy_at(self, now: int, request: Request, herd: Herd) -> int:
        """The cooldown: where a copy that will do was seen so lately that it should still be there."""
        host = herd.host
        if host < 0 or self.life[host] != herd.life or now - herd.seen > 8_000_000 or request.missed == host:
            return -1
        stale = 0 < request.class_name.traffic_class.fresh_us <= now - herd.born or herd.born <= self._floor(
            request
        )
        return -1 if stale or not self._usable(now, host) else host

    def _floor(self, request: Request) -> int:
        floors, none = self.floors, (0, 0)
        least = floors.get(ALL_OBJECTS, none)[0]
        return max(floors.get(request.object_key, none)[0], floors.get(request.group, none)[0], least)

    def _usable(self, now: int, host: int) -> bool:
        return self.states[host] == "up" and (now >= self.silent_until[host])

    def _has_room(self, now: int, host: int) -> bool:
        return self._usable(now, host) and len(self.out_at[host]) < min(self.trust[host], self.room[host])

    def _rank(self, hosts: list[int], key: int) -> list[int]:
        def place(i: int) -> float:
            told = self.site.links_told and self.units[i] > 0
            return standing(key, self.salts[i], self.units[i] if told else 1.0)

        return sorted(hosts, key=place)

    def _orders(self, request: Request) -> tuple[list[int], list[int]]:
        """Caches by object and part, parents by object alone; kept with the herd until the list changes."""
        kept = request.herd or request
        if kept.listing != self.listing:
            parents = [i for i in self.parents if self.states[i] != "gone"]
            caches = self._rank(self.caches, mix(f"{request.object_key}/{request.part}"))
            kept.listing, kept.orders = self.listing, (caches, self._rank(parents, mix(request.object_key)))
        return kept.orders

    def _pick(self, now: int, request: Request) -> int:
        order = sorted(
            self._orders(request)[0], key=request.failed_at.__contains__
        )  # what failed it comes last
        send = request.class_name.send_us
        return next((i for i in order if self._has_room(now, i) and self._budget(now, i, send)), -1)

    def _source(self, now: int, request: Request, host: int) -> int:
        """The first parent by a hash over all listed, the second where the first may not or runs slow."""
        good = [
            i
            for i in self._orders(request)[1]
            if self._usable(now, i)
            and len(self.out_at[i]) < self.trust[i]
            and self._budget(now, i, request.class_name.send_us)
        ]
        good = ([i for i in good if i not in request.failed_at] or good)[:2]
        if len(good) == 2:
            first, second = good
            # Well above its usual and its second: other trouble slows both. One fill a second finds out.
            if (
                self.lately[first] > 1.5 * self.usual[first] + 0.3
                and now - self.felt[first] < 1_000_000
                and self.lately[second] * 1.5 < self.lately[first]
            ):
                return second
            self.felt[first] = now
        spare = self.origin if self.origin >= 0 and self.states[self.origin] == "up" else host
        return good[0] if good else spare

    def _budget(self, now: int, host: int, send_us: float) -> bool:
        """Rule four: what a cold host may be sent from here within any window of the stated length."""
        since = self.cold_since[host]
        if since < 0:
            return True
        rules, sharers = self.rules, max(1, self.site.dispatchers_here)
        least, long, multiple = rules.cold_from, rules.cold_us, rules.tip_multiple
        if host in self.parents:
            least, long, multiple = rules.parent_cold_from, rules.parent_cold_us, rules.parent_tip_multiple
            sharers = self.site.dispatchers
        if now - since >= long:
            self.cold_since[host] = -1
            self.spent[host].clear()
            return True
        window = self.spent[host]
        while window and window[0][0] <= now - rules.tip_us:
            window.popleft()
        can = least + (1 - least) * max(0, now - rules.tip_us - since) / long
        budget = 0.7 * multiple * self._link(host) * can * rules.tip_us
        # Where a share holds no transfer, as many have one as there are transfers: an evenly spread lot.
        dearest = max(0.0 if row.traffic_class.uncached else row.send_us for row in self.classes.values())
        shares = min(sharers, budget // max(1.0, dearest))
        lot = (self.site.number * 0.6180339887 + self.salts[host] / 2**64) % 1.0
        return lot * sharers < shares and sum(work for _, work in window) + send_us <= budget / shares

    def _link(self, host: int) -> float:
        """A host's link in transfers: as told, else its part of the location's or what its kind carried."""
        if self.site.links_told:
            return self.units[host]
        part = self.site.link_kb_s / max(1.0, self.site.stream_kb_s)
        if host in self.parents:
            tier, sharers = self.parents, self.site.dispatchers
        else:
            tier, sharers, part = self.caches, self.site.dispatchers_here, part / self.most_caches
        # The mean, not the most: of few requests the most is mostly chance, and a multiple of what is
        # carried.
        return max(1.0, part, sharers * sum(self.carry[i] for i in tier) / max(1, len(tier)))

    def _gate(self, now: int, request: Request, host: int, source: int) -> bool:
        """What every attempt must pass: drains, cold budgets and the limits on attempts."""
        for i in (host,) if source in (-1, host) else (host, source):
            if self.states[i] != "up" or not self._budget(now, i, request.class_name.send_us):
                return False
        return self._may_repeat(now, request, host)

    def _attempt(
        self,
        now: int,
        request: Request,
        host: int,
        source: int,
        fill: bool = False,
        join: bool = False,
        sure: bool = False,
    ) -> None:
        attempt = Attempt(request, host, source, now, fill, sure or source == host)
        budget = bool(self.reduced.retry_share)  # counted where it is asked only: this is every attempt's way
        for key in (
            (request.class_name.traffic_class.name, request.last if request.attempts else host)
            if budget
            else ()
        ):
            first, more, at = self.tries.get(key, (0.0, 0.0, now))
            fade = exp((at - now) / 1e7)
            self.tries[key] = (
                first * fade + (not request.attempts),
                more * fade + (request.attempts > 0),
                now,
            )
        request.out[request.attempts], request.attempts, request.last = attempt, request.attempts + 1, host
        self.waiting.pop(request.id, None)
        self.out_at[host][attempt] = self.attempts[attempt] = None
        if source >= 0 and not attempt.sure:
            self.out_at[source][attempt] = None
        for i in (host,) if source in (-1, host) else (host, source):
            if self.cold_since[i] >= 0:
                self.spent[i].append((now, request.class_name.send_us))
        if fill:
            self.fills_out += 1
            request.class_name.fills_out += 1
            if request.herd is not None and request.herd.leader is None:
                request.herd.leader = attempt
        floor, traffic_class = self._floor(request), request.class_name.traffic_class
        oldest = traffic_class.fresh_us + traffic_class.grace_us if request.old and source == host else 0
        if floor:
            # Rule five: an age of 0 would mean the usual one, so the youngest that can be asked is 1.
            oldest = max(1, min(now - floor, oldest or traffic_class.fresh_us or now - floor))
        # What may have run is repeated within the time that drops it, its connection's set-up included.
        until = request.ran_at + traffic_class.dedup_window_us - 50_000
        self.outbox.append(
            Decision(
                "attempt",
                request.id,
                self.names[host],
                self.names[source] if source >= 0 else "",
                within_us=max(1, request.deadline - now),
                keep=2,
                oldest_us=oldest,
                join=join,
                attempt=attempt.number,
                begin_by_us=0 if request.ran_at < 0 or traffic_class.semantics == IDEMPOTENT else until,
            )
        )

    def _find_silent(self, now: int) -> None:
        """Takes back attempts that hang, and rests the host that they hang at.

        One is enough: a dispatcher of many seldom has two at a host. A parent is blamed only where others
        filled since and most fills are in time: a slow origin delays all. Covers hangs and vanished hosts."""
        for attempt in [one for one in self.attempts if not one.fixed and one.host != self.origin]:
            request, out, send = attempt.request, now - attempt.sent, attempt.request.send_us()
            host = attempt.source if attempt.fill and attempt.source in self.parents else attempt.host
            parent = host in self.parents
            quiet = self.heard[host] < attempt.sent and (
                not parent or (request.class_name.in_time > 0.5 and self.filled_at >= attempt.sent)
            )
            # 0.7 s over twice its sending time: pauses are shorter. Far past its goal: lost. Harms huge ones.
            overdue = quiet and out > 700_000 + 2 * send + self.late_us  # what lay unread is not the host's
            # A sure answer takes one sending time; at four, while others come, it is lost. Harms large ones.
            gone = attempt.sure and not quiet and request.attempts < 2
            gone = gone and now < request.latest and out > 4 * send + 5e4
            if (
                request.over or overdue or gone or out > 1.5 * request.target_us(send)
            ):  # over: client has left
                request.failed_at += [host] * (not gone)
                if quiet and not request.over:
                    if not parent:  # a parent that is gone fails its caches' connections: a clearer sign
                        self._lost(now, host, 2, attempt.sent)
                    # Of a parent a dispatcher of many has few fills: 1 s at least, lest each test costs one.
                    self._doubt(now, host, 3 if parent else 1)
                self._withdraw(attempt)

    def _withdraw(self, attempt: Attempt) -> None:
        semantics = attempt.request.class_name.traffic_class.semantics
        if self.rules.may_withdraw and semantics == IDEMPOTENT and not attempt.fixed:
            attempt.fixed = True
            self.outbox.append(Decision("withdraw", attempt.request.id, attempt=attempt.number))
