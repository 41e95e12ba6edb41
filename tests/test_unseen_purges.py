"""Purges that the change log could not deliver: no copy from before one is served after its grace period."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

import pytest

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import (
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    EndpointWatchStage,
    EndpointWatchStageChanged,
    PurgeReceived,
    RequestArrived,
)
from hoistplank.decision.list_confirmation import ListConfirmation
from hoistplank.decision.router import Router
from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.fault_proxy import FaultProxy
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.routing.attempts import Attempt, Request
from hoistplank.routing.clock import Clock
from hoistplank.routing.router_task import RouterTask
from tests.dispatcher_scene import ConnectionGate, SteadyDispatcher, served
from tests.helpers import SITE, configuration, until
from tests.scene_runner import run_scene

MS, S = 1_000, 1_000_000
CONNECTING, REFUSED = EndpointWatchStage.CONNECTING, EndpointWatchStage.REFUSED
AWAITING, CONFIRMED = EndpointWatchStage.AWAITING_ANSWER, EndpointWatchStage.CONFIRMED
PURGE_EVERY_US = 100 * MS
CHECK_EVERY_US = 20 * MS
OBJECTS = 20
REQUEST_INTERVAL_S = 0.01
SLACK_S = 0.1  # of the platform's sockets, and of the way to the fakes


@dataclass
class SeenChangeLog:
    """A change log that publishes a purge now and then, and when each counts as received by a dispatcher.

    What it would have told counts as received once it is asked, 2 s after it broke off, or 4 s after it fell
    silent, and as it is published from then on.
    """

    purge_grace_us: int
    unseen: dict[int, int] = field(default_factory=dict)  # when each was made -> when it counts as received
    stage: EndpointWatchStage | None = None
    received_from_us: int | None = None  # while it delivers nothing
    falls_silent: bool = False  # it broke off otherwise

    def stop(self, now_us: int) -> None:
        """It delivers nothing from now on."""
        self.received_from_us = now_us + (4 if self.falls_silent else 2) * S

    def publish(self, now_us: int) -> None:
        if self.received_from_us is not None:
            self.unseen[now_us] = max(now_us, self.received_from_us)

    def enter(self, now_us: int, stage: EndpointWatchStage) -> None:
        if self.stage is None:
            self.received_from_us = now_us + 2 * S
        self.stage = stage
        if stage is CONFIRMED:
            self.unseen.clear()
            self.received_from_us = None
        elif stage is AWAITING and self.received_from_us is not None:
            self.received_from_us = min(now_us, self.received_from_us)
            self.unseen = {made: min(max(made, now_us), at) for made, at in self.unseen.items()}

    def newest_in_force_us(self, now_us: int) -> int:
        """Returns when the newest purge was made whose grace period is over; 0 without one."""
        in_force = [made for made, at in self.unseen.items() if at + self.purge_grace_us < now_us]
        return max(in_force, default=0)


def random_history(random: Random) -> list[tuple[int, EndpointWatchStage]]:
    """Returns stages of a watch and for how long each lasts (us)."""
    history = [(random.randrange(S), CONNECTING)]
    while len(history) < 40:
        stage = random.choice((CONNECTING, REFUSED, AWAITING, CONFIRMED, CONFIRMED))
        if stage is CONFIRMED and history[-1][1] is not AWAITING:
            history.append((random.randrange(300 * MS), AWAITING))
        if stage is not history[-1][1]:
            history.append((random.choice((40 * MS, 400 * MS, 5 * S)) + random.randrange(S), stage))
    return history


@pytest.mark.parametrize("seed", range(30))
def test_no_copy_is_requested_that_an_unseen_purge_invalidated_in_any_stage_of_the_watch(seed: int) -> None:
    """Guards against purged copies served while the list is unconfirmed for longer than a purge's grace."""
    random = Random(seed)
    drain_grace_us = random.choice((100, 250, 2_000, 5_000)) * MS
    purge_grace_us = random.choice((50, 300, 500, 1_000, 3_000)) * MS
    confirmation = ListConfirmation(drain_grace_us, purge_grace_us)
    log, now_us, bounded = SeenChangeLog(purge_grace_us), 10 * S, 0
    for lasts_us, stage in random_history(random):
        log.enter(now_us, stage)
        confirmation.observe(now_us, stage)
        ends_us = now_us + lasts_us
        if stage is CONFIRMED:
            log.falls_silent = random.random() < 0.5
            silent_us = 2_300 * MS if log.falls_silent else 400 * MS
        while now_us < ends_us:
            if stage is CONFIRMED and now_us >= ends_us - silent_us and log.received_from_us is None:
                log.stop(now_us)
            if now_us % PURGE_EVERY_US < CHECK_EVERY_US:
                log.publish(now_us)
            if confirmation.permits_attempts(now_us):
                valid_from_us = confirmation.copies_valid_from_us(now_us)
                assert valid_from_us >= log.newest_in_force_us(now_us), f"seed {seed}, {stage} at {now_us}"
                # Fresh copies are served in all stages: a request costs a fill, not its answer.
                assert valid_from_us <= now_us - purge_grace_us // 2, f"seed {seed}, {stage} at {now_us}"
                bounded += valid_from_us > 0
            now_us += CHECK_EVERY_US
    assert bounded > 0 or drain_grace_us < purge_grace_us, f"seed {seed}"


def test_copies_are_not_bounded_while_the_purges_are_known() -> None:
    """Guards against fills, and requests rejected for them, where no purge can be missing."""
    confirmation = ListConfirmation(250 * MS, 1 * S)
    assert confirmation.copies_valid_from_us(S) == 0  # no watch is reported
    for now_us, stage in ((S, CONNECTING), (S, AWAITING), (S, CONFIRMED)):
        confirmation.observe(now_us, stage)
    assert confirmation.copies_valid_from_us(100 * S) == 0
    confirmation.observe(100 * S, CONNECTING)
    confirmation.observe(100 * S + 40 * MS, AWAITING)
    assert confirmation.copies_valid_from_us(100 * S + 500 * MS) == 0  # within the grace period
    confirmation.observe(100 * S + 900 * MS, CONFIRMED)
    assert confirmation.copies_valid_from_us(200 * S) == 0
    without_rule = ListConfirmation(250 * MS)
    for now_us, stage in ((S, CONNECTING), (S, AWAITING), (2 * S, CONFIRMED), (3 * S, CONNECTING)):
        without_rule.observe(now_us, stage)
    assert without_rule.copies_valid_from_us(100 * S) == 0


def attempt_after(stages: list[tuple[int, EndpointWatchStage]], now_us: int) -> SendAttempt:
    """Returns the attempt for a request that arrives at `now_us`, after these stages of the watch."""
    router = Router(replace(SITE, rules=replace(SITE.rules, purge_grace_us=300 * MS)), 1)
    hosts = [Endpoint(name, "z1", kind, 0, 5.0, 0, "up") for name, kind in (("c", "box"), ("o", "origin"))]
    router.handle(0, EndpointsUpdated(EndpointListForm.SNAPSHOT, hosts))
    for host in hosts:  # connected since before the log was lost: an old list permits no other host
        router.parts.process_identity.connection_established(0, host.host)
    for at_us, stage in stages:
        router.handle(at_us, EndpointWatchStageChanged(stage))
    router.handle(
        now_us,
        RequestArrived(
            request_id="r1",
            class_name="video",
            object_key="x",
            part=0,
            purge_group=0,
            size_kb=100.0,
            deadline_us=now_us + 5 * S,
            is_repeat=False,
        ),
    )
    actions = []
    while (action := router.next_action(now_us)) is not None:
        actions.append(action)
    return next(action for action in actions if isinstance(action, SendAttempt))


def test_attempts_accept_only_copies_that_no_unseen_purge_invalidated() -> None:
    """Guards against attempts without a bound on the age while the log refuses, or is asked and silent."""
    lost = [(0, CONNECTING), (0, AWAITING), (0, CONFIRMED), (10 * S, CONNECTING)]
    assert attempt_after(lost, 10 * S + 100 * MS).max_age_us == 0
    # Refused: what the log would have told counts as received 2 s after the break.
    refused = [*lost, (10 * S, REFUSED)]
    assert attempt_after(refused, 11 * S).max_age_us == 0
    assert attempt_after(refused, 15 * S).max_age_us == 270 * MS
    # Asked and not answered: what the log has counts as received at once.
    asked = [*lost, (10 * S + 40 * MS, AWAITING)]
    assert attempt_after(asked, 10 * S + 140 * MS).max_age_us == 0
    assert attempt_after([*asked, (10 * S + 50 * MS, CONNECTING)], 15 * S).max_age_us == 270 * MS
    unanswered = [*refused, (16 * S, AWAITING)]
    assert attempt_after(unanswered, 20 * S).max_age_us == 270 * MS
    assert attempt_after([*unanswered, (21 * S, CONFIRMED)], 22 * S).max_age_us == 0


class CycledRequests:
    """Sends requests for some objects in turn, each over its own connection, and records their statuses."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.statuses = list[int]()

    async def send_for(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until_s, sent = loop.time() + seconds, set[asyncio.Task[None]]()
        while loop.time() < until_s:
            sent.add(asyncio.create_task(self._send(len(sent))))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*sent)

    async def _send(self, number: int) -> None:
        client: FastCgiClient = await self.deployment.client()
        fields = {
            "HTTP_X_SUBJECT": object_of(number % OBJECTS),
            "HTTP_X_CORRELATION_ID": f"{time.time_ns() & 0xFFFFFFFFFFFF:012x}{number % 65_536:04x}",
        }
        client.send(1, "page", fields)
        self.statuses.append((await asyncio.wait_for(client.read_answer(), 5))[1])
        client.writer.close()


def object_of(number: int) -> str:
    return f"{number:016x}"


def purge(deployment: Deployment, numbers: range, received_after_s: float, grace_s: float) -> None:
    """Purges objects now; they count as received after `received_after_s`."""
    for number in numbers:
        made_at = time.time()
        until_s = made_at + received_after_s + grace_s + SLACK_S
        deployment.directory.purged[object_of(number)] = (int(made_at * 1e3), until_s)
        deployment.publish(invalidate={"object": object_of(number), "time": int(made_at * 1e3)})


@pytest.mark.parametrize(
    "drain_grace_s, purge_grace_s, answer_delay_s, least_served",
    [(2.0, 0.3, 0.9, 0.95), (2.0, 0.5, 1.8, 0.8), (0.25, 0.3, 4.0, 0.35), (5.0, 0.3, 2.5, 0.95)],
)
def test_no_purged_copy_is_served_while_the_change_log_answers_late(
    tmp_path: Path, drain_grace_s: float, purge_grace_s: float, answer_delay_s: float, least_served: float
) -> None:
    """Guards against purged copies served for a drain's grace where a purge's is the shorter one."""

    async def scene() -> None:
        graces: dict[str, Any] = {
            "rules.stop_sending_within": drain_grace_s,
            "family_info.purge_grace": purge_grace_s,
        }
        async with Deployment(tmp_path, **graces) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            await follow_through(deployment, log_proxy)
            requests = CycledRequests(deployment)
            await requests.send_for(0.6)
            requests.statuses.clear()
            log_proxy.answer_delay_s = answer_delay_s
            await log_proxy.cut()
            # Asked again within the backoff of 0.05 s.
            purge(deployment, range(OBJECTS // 2), 0.05, purge_grace_s)
            sending = asyncio.create_task(requests.send_for(answer_delay_s + 1.5))
            await asyncio.sleep(0.3)
            purge(deployment, range(OBJECTS // 2, OBJECTS), 0.0, purge_grace_s)
            await sending
            assert not deployment.directory.stale_answers
            assert set(requests.statuses) <= {200, 503}
            assert requests.statuses.count(200) >= least_served * len(requests.statuses)

    run_scene(scene())


def test_no_purged_copy_is_served_while_the_change_log_is_down(tmp_path: Path) -> None:
    """Guards against purged copies served for as long as the change log refuses connections."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            await follow_through(deployment, log_proxy)
            requests = CycledRequests(deployment)
            await requests.send_for(0.6)
            requests.statuses.clear()
            purge_grace_s, broke_off_s = 1.0, 2.0
            await log_proxy.refuse()
            purge(deployment, range(OBJECTS // 2), broke_off_s, purge_grace_s)
            sending = asyncio.create_task(requests.send_for(6.5))
            await asyncio.sleep(3.5)
            purge(deployment, range(OBJECTS // 2, OBJECTS), 0.0, purge_grace_s)
            await sending
            assert not deployment.directory.stale_answers
            assert requests.statuses.count(200) >= 0.95 * len(requests.statuses)

    run_scene(scene())


async def follow_through(deployment: Deployment, log_proxy: FaultProxy) -> None:
    """Restarts the dispatcher so that it follows the log through the proxy."""
    await deployment.kill()
    deployment.log_port = log_proxy.port
    deployment.configure()
    await deployment.start()


def test_attempt_that_waits_for_its_connection_is_decided_again_after_a_purge(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an attempt that was decided before a purge and is sent after its grace period."""

    async def scene() -> None:
        cache = ScriptedCacheHost(served)
        hosts = {"a": cache, "o": ScriptedCacheHost(served)}
        grace = {"settings.family_info.purge_grace": 0.2}
        async with SteadyDispatcher(tmp_path, hosts, **grace) as dispatcher:
            gate = ConnectionGate(monkeypatch)
            client = await dispatcher.connect()
            object_key = object_of(7)
            client.send(1, "page", {"HTTP_X_SUBJECT": object_key})
            await until(lambda: bool(gate.waiting))
            made_ms = int(time.time() * 1e3)
            dispatcher.publish_event({"seq": 2, "invalidate": {"object": object_key, "time": made_ms}})
            purges = dispatcher.service.router_task.router.parts.purges
            await until(lambda: object_key in purges.by_key)
            await asyncio.sleep(0.25)  # the grace period, and less than the connect timeout
            gate.open.set()
            assert (await asyncio.wait_for(client.read_answer(), 5))[1] == 200
            assert cache.requests and all("accept" in fields for _, fields, _ in cache.requests)

    run_scene(scene())


@pytest.mark.parametrize("purge_grace_s, delay_s", [(0.3, 0.2), (3.0, 2.0)])
def test_late_attempt_is_checked_for_purges_after_a_share_of_their_grace(
    purge_grace_s: float, delay_s: float
) -> None:
    """Guards against an attempt decided before a purge that begins after its grace, whatever the grace."""
    rules = replace(SITE.rules, purge_grace_us=int(purge_grace_s * S))
    router = Router(replace(SITE, rules=rules), 1)
    router.handle(S, RequestArrived("r1", "video", "x", 0, 3, 100.0, 10 * S, False))
    router.handle(S, PurgeReceived("", 3, 0))
    decided_us, sent_us = S, S + int(delay_s * S)
    assert not router.permits_max_age(sent_us, decided_us, "r1", 0)
    assert router.permits_max_age(sent_us, decided_us, "r1", 50 * MS)
    assert router.permits_max_age(decided_us + int(0.2 * purge_grace_s * S), decided_us, "r1", 0)


@pytest.mark.parametrize("waited_ms, begins", [(400, True), (700, False)])
def test_attempt_waits_for_its_connection_no_longer_than_one_may_take(
    monkeypatch: pytest.MonkeyPatch, waited_ms: int, begins: bool
) -> None:
    """Guards against attempts sent later than the connect timeout allows, where a purge's grace is long."""

    async def scene() -> None:
        rules = replace(SITE.rules, purge_grace_us=3 * S, connect_timeout_us=400 * MS)
        router_task = RouterTask(replace(SITE, rules=rules), 1, Clock(), 0, ())
        router_task.endpoints.is_up = lambda host: True  # type: ignore[method-assign]
        no_response: Any = None
        request = Request(no_response, "r1", "page", "x", 0, 0, "", "", b"", 0, False, True)
        action = SendAttempt("r1", 0, "c", "", S, 0, 0, False, 0)
        decided_us = router_task.clock.now()
        attempt = Attempt(router_task, request, action, decided_us, lambda waited_us: b"")
        monkeypatch.setattr(router_task.clock, "now", lambda: decided_us + waited_ms * MS)
        assert attempt.may_begin() == begins

    run_scene(scene())


def test_graces_of_drains_and_purges_are_read_and_the_shorter_bounds_the_backoff(tmp_path: Path) -> None:
    """Guards against a purge's grace that nothing reads."""
    loaded = configuration(
        tmp_path, **{"settings.rules.stop_sending_within": 2.0, "settings.family_info.purge_grace": 0.3}
    )
    rules = loaded.router_settings.rules
    assert (rules.drain_grace_us, rules.purge_grace_us, rules.shortest_grace_us) == (
        2 * S,
        300 * MS,
        300 * MS,
    )
    raw = json.loads((tmp_path / "config.json").read_text())
    del raw["settings"]["family_info"]["purge_grace"]
    without = configuration(tmp_path, settings=raw["settings"]).router_settings.rules
    assert without.purge_grace_us is None and without.shortest_grace_us == without.drain_grace_us
