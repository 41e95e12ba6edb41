"""Standstills of a dispatcher process: data that arrived during one is read before anything is sent."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path
from random import Random
from typing import Any

from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.failing_cache_host import AttemptFault, FailingCacheServer
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.routing.events import EndpointWatchStage, EndpointWatchStageChanged
from hoistplank.transport.connection import INITIAL_BUFFER_BYTES
from tests.dispatcher_scene import KEY, SteadyDispatcher, request_bytes, silent
from tests.dispatcher_scene import served as answer_at_once
from tests.helpers import until
from tests.refusal_rig import traffic_class
from tests.scene_runner import run_scene
from tests.test_unconfirmed_list import Requests, sent_to

STOPPED_S = 0.6
LONG_STANDSTILL_S = 60.0
KILLED_AFTER_S = 3.7  # from SIGTERM, by the protocol's page
LARGE_REQUESTS, LARGE_BODY_BYTES = 8, 5_000  # more than fits in one read
PURGES = 3_000  # before the drain in the log: far more than fit in one read


async def resume_after(deployment: Deployment, seconds: float) -> None:
    """Waits, then resumes the dispatcher's stopped process."""
    assert deployment.process is not None
    await asyncio.sleep(seconds)
    deployment.process.send_signal(signal.SIGCONT)


def test_drain_after_many_pending_events_is_applied_before_requests_are_sent(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Deployment(tmp_path) as deployment:
            requests, drained_host = Requests(deployment), deployment.caches[0]
            await requests.send_for(0.3)
            assert deployment.process is not None
            deployment.process.send_signal(signal.SIGSTOP)
            for number in range(PURGES):
                deployment.publish(invalidate={"object": f"{number:016x}", "time": time.time() * 1e3})
            deployment.set_state(drained_host, "draining")
            sent_before = len(sent_to(deployment, drained_host))
            resuming = asyncio.create_task(resume_after(deployment, STOPPED_S))
            await requests.send_for(STOPPED_S + 0.6)
            await resuming
            assert len(sent_to(deployment, drained_host)) == sent_before
            assert set(requests.statuses) <= {200, 503}
            await requests.wait_until_served()

    run_scene(scene())


def test_request_of_client_that_left_during_standstill_is_not_sent(tmp_path: Path) -> None:
    """A request and the end of its connection are read one after the other. The request must not be sent to a
    cache host in between."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment:
            idle_clients = [await deployment.client() for _ in range(20)]
            for number, client in enumerate(idle_clients, 1):
                await send_until_served(client, number)
            assert deployment.process is not None
            deployment.process.send_signal(signal.SIGSTOP)
            left_request_ids = list[str]()
            for number, client in enumerate(idle_clients, 101):
                client.send(number, "page", {"HTTP_X_SUBJECT": f"{number:016x}"})
                left_request_ids.append(f"{number:016x}")
                client.writer.close()
            await resume_after(deployment, STOPPED_S)
            remaining_client = await deployment.client()
            await send_until_served(remaining_client, 200)
            assert not [each for each in deployment.caches_received() if each.request_id in left_request_ids]

    run_scene(scene())


def test_held_request_of_client_that_left_during_standstill_is_not_sent(tmp_path: Path) -> None:
    """Timers run before sockets are read, so held requests are decided on first after a standstill."""

    async def scene() -> None:
        cache, origin = ScriptedCacheHost(answer_at_once), ScriptedCacheHost(answer_at_once)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            router_task = dispatcher.service.router_task
            confirmation = router_task.router.parts.list_confirmation
            confirmation.observe(router_task.clock.now(), EndpointWatchStage.CONNECTING)
            confirmation.hold_from_us = 0
            client = socket.socket()
            client.connect(dispatcher.service.listener.sock.getsockname())
            client.sendall(request_bytes(1, "booking", KEY))
            await until(lambda: bool(router_task.router.waiting))
            client.close()
            time.sleep(STOPPED_S / 2)  # noqa: ASYNC251  blocks the loop
            router_task.submit(EndpointWatchStageChanged(EndpointWatchStage.CONFIRMED))
            router_task.turn()
            await until(lambda: not router_task.requests.open_count)
            assert not cache.requests and not origin.requests

    run_scene(scene())


def test_attempt_budget_excludes_the_time_that_a_request_was_unread(tmp_path: Path) -> None:
    async def scene() -> None:
        cache, origin = ScriptedCacheHost(answer_at_once), ScriptedCacheHost(answer_at_once)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            loop, client = asyncio.get_running_loop(), socket.socket()
            client.connect(dispatcher.service.listener.sock.getsockname())
            sent_at = loop.time()
            client.sendall(request_bytes(1, "booking", KEY))  # its client waits for 1.5 s
            time.sleep(STOPPED_S)  # noqa: ASYNC251  blocks the loop
            await until(lambda: bool(origin.requests))
            left_ms = 1_500 - (loop.time() - sent_at) * 1e3
            assert int(origin.requests[0][1]["budget"]) <= left_ms + 50
            client.close()

    run_scene(scene())


def test_attempt_budget_excludes_the_unread_time_of_requests_that_take_several_reads(tmp_path: Path) -> None:
    """An earlier read took only a part of the pending data: it does not show when the rest arrived."""

    async def scene() -> None:
        cache, origin = ScriptedCacheHost(answer_at_once), ScriptedCacheHost(answer_at_once)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            loop, client = asyncio.get_running_loop(), socket.socket()
            client.connect(dispatcher.service.listener.sock.getsockname())
            sent_at = loop.time()
            for number in range(1, LARGE_REQUESTS + 1):
                fields = {"HTTP_X_OPERATION_KEY": f"{number:032x}"}
                client.sendall(request_bytes(number, "booking", fields, bytes(LARGE_BODY_BYTES)))
            time.sleep(STOPPED_S)  # noqa: ASYNC251  blocks the loop
            await until(lambda: len(origin.requests) == LARGE_REQUESTS)
            left_ms = 1_500 - (loop.time() - sent_at) * 1e3
            assert max(int(fields["budget"]) for _, fields, _ in origin.requests) <= left_ms + 100
            client.close()

    run_scene(scene())


def request_of_size(number: int, size: int) -> bytes:
    """Returns the bytes of a request, which are so many."""
    fields = {"HTTP_X_OPERATION_KEY": f"{number:032x}"}
    bodies = (bytes(length) for length in range(size))
    requests = (request_bytes(number, "booking", fields, body) for body in bodies)
    return next(request for request in requests if len(request) == size)


def test_attempt_budget_excludes_the_unread_time_of_a_request_that_fills_a_read(tmp_path: Path) -> None:
    """It is the last in its read, and not the last that has arrived: the latest arrival is another's."""

    async def scene() -> None:
        cache, origin = ScriptedCacheHost(answer_at_once), ScriptedCacheHost(answer_at_once)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            loop, client = asyncio.get_running_loop(), socket.socket()
            client.connect(dispatcher.service.listener.sock.getsockname())
            requests = [request_of_size(number, INITIAL_BUFFER_BYTES) for number in (1, 2)]
            sent_at = loop.time()
            for request in requests:
                client.sendall(request)
                time.sleep(STOPPED_S / 2)  # noqa: ASYNC251  blocks the loop
            await until(lambda: len(origin.requests) == 2)
            left_ms = 1_500 - (loop.time() - sent_at) * 1e3
            budgets = {request_id: int(fields["budget"]) for request_id, fields, _ in origin.requests}
            assert budgets[f"{1:016x}"] <= left_ms + 50
            client.close()

    run_scene(scene())


async def send_until_served(client: FastCgiClient, number: int) -> None:
    """Sends a request until it is served: the dispatcher rejects some right after a standstill."""
    for repeat in range(20):
        fields = {"HTTP_X_CORRELATION_ID": f"{number:08x}{repeat:08x}", "HTTP_X_SUBJECT": f"{number:016x}"}
        client.send(number, "page", fields)
        if (await asyncio.wait_for(client.read_answer(), 5))[1] == 200:
            return
        await asyncio.sleep(0.05)
    raise AssertionError("none of 20 requests was served")


def test_shutdown_that_is_asked_during_a_standstill_ends_before_the_kill(tmp_path: Path) -> None:
    """The signal is read late, and SIGKILL is not."""

    async def scene() -> None:
        settings: dict[str, Any] = {
            "classes": [traffic_class("at_most_once") | {"give_up": 3.0}],
            "family_info.uncached": [True],
        }
        deployment = Deployment(tmp_path, **settings)
        origin = FailingCacheServer(
            "origin-0", "origin", deployment.directory, (AttemptFault.SILENCE,), (0.0, 0.0), Random(1)
        )
        deployment.servers[-1] = deployment.origin = origin
        async with deployment:
            process = deployment.process
            assert process is not None
            fields = KEY | {"HTTP_X_DEADLINE_MS": "3000"}
            client = await deployment.client()
            client.send(1, "order", fields, b"x" * 100)
            await until(lambda: len(origin.taken) == 1)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.4)
            process.send_signal(signal.SIGTERM)
            asked_at = time.monotonic()
            await resume_after(deployment, 0.8)
            await asyncio.sleep(0.2)
            client.send(2, "order", fields, b"x" * 100)
            answers = [(await asyncio.wait_for(client.read_answer(), 5))[:2] for _ in range(2)]
            await asyncio.wait_for(process.wait(), 5)
            taken = {attempt.request_id for attempt in origin.taken}
            # A busy dispatcher may reject the second before any attempt; what the origin has is failed.
            second_status = 502 if f"{2:016x}" in taken else 503
            assert sorted(answers) == [(1, 502), (2, second_status)] and process.returncode == 0
            assert time.monotonic() - asked_at < KILLED_AFTER_S

    run_scene(scene())


def test_shutdown_after_a_standstill_longer_than_its_limits_answers_what_is_open(tmp_path: Path) -> None:
    """Its limits are over when it begins, and what is open is owed an answer."""

    async def scene() -> None:
        host = ScriptedCacheHost(silent)
        async with SteadyDispatcher(tmp_path, {"a": host, "o": host}) as dispatcher:
            dispatcher.client.send(1, "booking", KEY)
            await until(lambda: bool(host.requests))
            standstills = dispatcher.service.router_task.standstills
            standstills.last_began_at = time.monotonic() - LONG_STANDSTILL_S
            standstills._recovering_until = time.monotonic() + STOPPED_S
            dispatcher.service.terminated.set()
            assert (await asyncio.wait_for(dispatcher.client.read_answer(), 5))[1] == 502

    run_scene(scene())
