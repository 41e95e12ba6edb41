"""Virtual time: the same Router and decision logic under a clock that jumps from event to event."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

from hoistplank.interface import Decision, HostEntry, Note, Result
from hoistplank.lab.backends.degradation_controller import Plan, Steward
from hoistplank.lab.model.clients import BACK, OFF, SERVED, Request
from hoistplank.lab.model.faults import Event, Troubles
from hoistplank.lab.model.servers import Ask, Server
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import HUB, Shape
from hoistplank.lab.policies import Make, Policy
from hoistplank.routing.clock_offset import LogClock

CONNECT_US = 400_000


class Attempt:
    """One attempt that is out. `over` once its end was told to the policy, or is on its way to it."""

    __slots__ = ("ask", "decision", "over", "seat", "sent", "server", "request")

    def __init__(self, seat: VirtualSeat, request: Request, decision: Decision, sent: int) -> None:
        self.seat, self.request, self.decision, self.sent = seat, request, decision, sent
        self.over = False
        self.ask: Ask | None = None
        self.server: Server | None = None

    def came(self, result: int, note: int, born: int) -> None:
        """Its end has left the host; how it comes here is for the path between them."""
        paths, seat = self.seat.world.paths, self.seat
        if paths is None:
            return self.end(result, note, born)
        paths.send(
            f"d{seat.number}>{self.decision.host}", True, seat.agenda.now, self.end, result, note, born
        )

    def end(self, result: int, note: int, born: int) -> None:
        if not self.over:
            self.over = True
            self.seat.tell(self.seat.ended, self, result, note, born, self.seat.world.agenda.now)

    def late(self) -> None:
        if not self.over:
            self.leave()
            self.end(Result.LATE, 0, -1)

    def leave(self) -> None:
        if self.ask is not None and self.server is not None:
            self.server.left(self.ask)


class VirtualSeat:
    """A dispatcher: the owner's turn over a queue of what came, then all decisions in order."""

    def __init__(self, world: World, number: int, zone: int, make: Make, plan: Plan | None = None) -> None:
        self.world, self.number, self.zone, self.make, self.plan = world, number, zone, make, plan
        self.agenda, self.place = world.agenda, f"z{zone}"
        self.alive, self.runs, self.skew_us = True, 0, 0
        self.queue: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.requests: dict[str, Request] = {}
        self.over: set[str] = set()
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.planned, self.planned_at, self.next_turn = False, 0, 0
        self.frozen_until = 0
        self.clock = LogClock()
        self.debt_us = 0  # of the core, for requests shed since the last turn
        self.steward: Steward | None = None
        self.stewards: list[Steward] = []  # of each run, for what they saw
        self.policy = self._made()

    def _made(self) -> Policy:
        seed = (self.world.streams.seed * 1_000 + self.number) * 16 + self.runs
        policy = self.make(self.world.shape.site(self.zone, self.number), seed, self.world)
        if self.plan is not None:
            # A restart forgets the level in force, as a dispatcher's process does.
            utility = {row.name: row.utility for row in self.world.shape.classes}
            self.steward = Steward(self.plan, utility, self.agenda.now)
            self.stewards.append(self.steward)
            told = getattr(policy, "reduced_told", None)
            if told is not None:
                told(self.agenda.now, self.plan.base)
            self.agenda.schedule(self.agenda.now + self.plan.every_us, self._judge, self.runs)
        return policy

    # What the world tells.

    def tell(self, call: Callable[..., None], *args: Any) -> None:
        self.queue.append((call, args))
        if not self.planned:
            self.planned, self.planned_at = True, self.agenda.now
            self.agenda.schedule(max(self.agenda.now, self.next_turn), self._turn)

    def listed(self, form: str, entries: list[HostEntry]) -> None:
        self.tell(self._listed, form, entries)

    def purge(self, object_key: str, group: int, made: int) -> None:
        self.tell(self._purged, object_key, group, made)

    def take(self, request: Request) -> None:
        steward, now = self.steward, self.agenda.now
        class_name = self.world.shape.classes[request.class_index].name
        if steward is not None and not steward.admits(now, class_name, len(self.requests) - len(self.over)):
            # Shed as it begins, before the owner's turn: it costs a share of an event.
            assert self.plan is not None
            self.debt_us += int(self.world.shape.cpu_us * self.plan.shed_share)
            self.world.truth.answers.answered(now, request.id)
            steward.watch.answered(now, class_name, False)
            wait = self.world.shape.settings(self.zone, self.number)["limits"]["max_retry_after"]
            self.world.clients.answered(request.id, BACK, int(wait * 500_000))
            return
        self.tell(self._came, request, request.id)

    def leave(self, request: Request) -> None:
        self.tell(self._left, request.id)

    def kill(self) -> None:
        self.alive = False
        for attempt in self.attempts.values():
            attempt.over = True
            attempt.leave()
        self.queue, self.requests, self.over, self.attempts = [], {}, set(), {}

    def step_clock(self, step_us: int) -> None:
        self.skew_us += step_us

    def freeze(self, length_us: int) -> None:
        """Lines stay up and take what comes; nothing is decided. An attempt that is overdue meanwhile is
        dropped at its host at once, where a process would do that when it goes on."""
        self.frozen_until = max(self.frozen_until, self.agenda.now + length_us)

    def restart(self) -> None:
        self.frozen_until, self.planned = 0, False
        self.alive, self.runs, self.clock = True, self.runs + 1, LogClock()
        self.policy = self._made()

    # A turn.

    def _turn(self) -> None:
        if self.frozen_until > self.agenda.now and self.alive:
            return self.agenda.schedule(self.frozen_until, self._turn)
        self.planned = False
        if not self.alive:
            return
        now, shape = self.agenda.now, self.world.shape
        queue, self.queue = self.queue, []
        # What came first has waited for the turn before, longer than a tick where that was dear.
        lag = max(0, now - self.planned_at - shape.tick_us)
        self.policy.loop_told(len(queue), lag)
        if self.steward is not None:
            self.steward.turn(now, lag, len(self.requests) - len(self.over), len(queue))
        for call, args in queue:
            call(now, *args)
        acts = 0
        while (decision := self.policy.next_decision(now)) is not None:
            acts += 1
            self._act(now, decision)
        self.next_turn = now + shape.tick_us + shape.cpu_us * (len(queue) + acts) + self.debt_us
        self.debt_us = 0

    def _judge(self, runs: int) -> None:
        steward, now = self.steward, self.agenda.now
        if not self.alive or runs != self.runs or steward is None or self.plan is None:
            return
        reduced = steward.judge(now)
        told = getattr(self.policy, "reduced_told", None)
        if reduced is not None and told is not None:
            self.tell(told, reduced)
        self.agenda.schedule(now + self.plan.every_us, self._judge, runs)

    def _act(self, now: int, decision: Decision) -> None:
        act = decision.act
        if act == "attempt":
            self._attempt(now, decision)
        elif act == "wake":
            self.agenda.schedule(now + decision.wait_us, self._woken, decision.token, self.runs)
        elif act in ("reject", "fail"):
            self._answer(now, decision.request, BACK if act == "reject" else OFF, decision.wait_us)
        elif act == "withdraw":
            attempt = self.attempts.get((decision.request, decision.attempt))
            if attempt is not None and not attempt.over:
                attempt.leave()
                attempt.end(Result.WITHDRAWN, 0, -1)

    def _answer(self, now: int, id: str, how: str, wait_us: int = 0, note: int = 0) -> None:
        request = self.requests.get(id)
        if self.steward is not None and request is not None:
            row = self.world.shape.classes[request.class_index]
            target = min(row.target_us + row.target_stretch * request.size_us, row.deadline_us)
            self.steward.watch.answered(now, row.name, how == SERVED and now - request.asked_at <= target)
        self.over.add(id)
        self.world.truth.answers.answered(now, id)
        if self.world.paths is None:
            self.world.clients.answered(id, how, wait_us, note)
        else:
            answered = self.world.clients.answered
            self.world.paths.send(f"clients>d{self.number}", True, now, answered, id, how, wait_us, note)
        self._forget(id)

    def _forget(self, id: str) -> None:
        if id in self.over and not any((id, n) in self.attempts for n in range(8)):
            self.requests.pop(id, None)
            self.over.discard(id)

    def _woken(self, token: int, runs: int) -> None:
        if self.alive and runs == self.runs:
            self.tell(self._due, token)

    def _due(self, now: int, token: int) -> None:
        self.policy.timer_due(now, token)

    def _listed(self, now: int, form: str, entries: list[HostEntry]) -> None:
        self.policy.hosts_listed(now, form, entries)

    def _purged(self, now: int, object_key: str, group: int, made: int) -> None:
        if self.steward is not None:
            self.steward.watch.purged(now, object_key, group)
        # As a dispatcher does: heard by its own clock, which may be wrong, made by the log's.
        heard = now + self.skew_us
        self.policy.purged(now, object_key, group, max(0, heard - self.clock.ours(heard, made)))

    def _came(self, now: int, request: Request, id: str) -> None:
        self.requests[id] = request
        row = self.world.shape.classes[request.class_index]
        until = request.asked_at + row.deadline_us
        self.policy.request_arrived(
            now, id, row.name, request.object_key, request.part, request.group, 0.0, until, request.tries > 1
        )

    def _left(self, now: int, id: str) -> None:
        if id in self.requests and id not in self.over:
            self.over.add(id)
            self.policy.client_left(now, id)
            self._forget(id)

    # Attempts.

    def _attempt(self, now: int, decision: Decision) -> None:
        request, world = self.requests.get(decision.request), self.world
        if request is None:
            return
        attempt = Attempt(self, request, decision, now)
        self.attempts[decision.request, decision.attempt] = attempt
        drains = world.truth.drains
        drains.attempt(now, self.number, decision.host, "host")
        if decision.source and decision.source != decision.host:
            drains.attempt(now, self.number, decision.source, "source")
        server = attempt.server = world.servers[decision.host]
        way = world.shape.far_us if server.zone == HUB else world.shape.near_us
        self.agenda.schedule(now + decision.within_us, attempt.late)
        if world.cut(self.place, server.zone):
            return self.agenda.schedule(now + CONNECT_US, attempt.end, Result.NO_CONNECTION, 0, -1)
        ask = attempt.ask = Ask(
            self.number,
            self.zone,
            request.class_index,
            (request.object_key, request.part),
            request.group,
            request.size_us,
            attempt.came,
        )
        ask.source, ask.keep, ask.oldest_us = decision.source, decision.keep, decision.oldest_us
        ask.join, ask.renew, ask.key, ask.back = decision.join, decision.renew, request.key, way
        if server.zone == HUB:
            ask.extra_links = [world.zone_links[self.zone]]
        if world.paths is None:
            self.agenda.schedule(now + way, server.arrive, ask)
        else:
            world.paths.send(f"d{self.number}>{server.uid}", False, now + way, server.arrive, ask)

    def ended(self, now: int, attempt: Attempt, result: int, note: int, born: int, at: int) -> None:
        id = attempt.decision.request
        self.attempts.pop((id, attempt.decision.attempt), None)
        request = attempt.request
        if result == Result.SUCCEEDED and id not in self.over:
            if not self.world.shape.classes[request.class_index].uncached:
                self.world.truth.purges.served(
                    now, self.number, id, request.object_key, request.group, attempt.sent, born
                )
            self._answer(now, id, SERVED, note=note)
        took = at - attempt.sent
        decision, steward = attempt.decision, self.steward
        filled = note in (Note.FILLED, Note.FROM_ORIGIN) and decision.source != decision.host
        if steward is not None and filled:
            row = self.world.shape.classes[request.class_index]
            target = min(row.target_us + row.target_stretch * request.size_us, row.deadline_us)
            slowed = took / (request.size_us + 100_000)
            steward.watch.filled(
                now, decision.source, request.object_key, request.group, took <= target, slowed
            )
        closed = id in self.over or id not in self.requests
        self.policy.attempt_ended(now, id, attempt.decision.attempt, result, closed, took, -1, note, [])
        self._forget(id)


def built(
    shape: Shape, seed: int, make: Make, rows: list[Event] | None = None, plan: Plan | None = None
) -> World:
    """A world with all its dispatchers and the script of its day, ready for `run`; `plan`: levels and the
    admission at each dispatcher, else neither."""
    world = World(shape, seed)
    Troubles(world, rows or []).begin()
    for number in range(shape.zones * shape.dispatchers):
        world.seats.append(VirtualSeat(world, number, number % shape.zones, make, plan))
    return world


def digest(world: World) -> str:
    """Of all that a day was: every second's utility, every cause, every server's counts. One seed gives one
    digest.
    """
    utility = world.clients.utility
    rows = [
        repr([round(value, 6) for value in utility.asked]),
        repr([round(value, 6) for value in utility.earned]),
        repr(sorted(utility.ends.items())),
        repr([(one.uid, one.asked, one.refused, one.fell) for one in world.servers.values()]),
        repr(sorted(world.truth.counts.items())),
        repr([list(times) for times in utility.times]),
        repr(world.agenda.executed),
    ]
    return hashlib.blake2b("\n".join(rows).encode(), digest_size=16).hexdigest()
