"""Attempts at cache hosts: their outcomes, invalid answers, and hosts that change during an attempt."""

from __future__ import annotations

import asyncio
import copy
import errno
import gc
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import AttemptEnded, Outcome
from hoistplank.decision.hosts import Host
from hoistplank.fakes.settings import SETTINGS, endpoint_entry, fleet_event
from hoistplank.fakes.wire import ScriptedCacheHost
from hoistplank.routing.attempt_ending import OUTCOMES, AttemptEnding
from hoistplank.transport.descriptor_budget import ConnectionKind
from tests.dispatcher_scene import (
    BODY,
    ConnectionGate,
    SteadyDispatcher,
    answering_with,
    recorded_call,
    served,
    silent,
    whole_answer,
)
from tests.helpers import Running, until
from tests.scene_runner import run_scene


@pytest.mark.parametrize(
    "ending",
    [
        name
        for name in OUTCOMES
        if name not in ("not up", "unwritten", "withheld", "withdrawn", "served", "still_good")
    ],
)
def test_each_ending_is_reported_as_its_outcome(
    tmp_path: Path, ending: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The Router gets the outcome of each ending, and the request gets one final answer afterwards."""

    async def scene() -> None:
        handled: list[Any] = []
        answers: Any = {"broken": lambda *_: b"reset", "late": silent, "refused": silent}
        answer = answers.get(ending, answering_with(ending))
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(answer), "o": ScriptedCacheHost(answer)}
        ) as dispatcher:
            router_task = dispatcher.service.router_task
            if ending == "refused":
                with socket.socket() as unused:
                    unused.bind(("127.0.0.1", 0))
                    port = unused.getsockname()[1]
                gone = [endpoint_entry("a", "box", port), endpoint_entry("o", "origin", port)]
                dispatcher.publish_event(fleet_event(2, gone, whole=True))
                await until(lambda: router_task.endpoints.by_host["a"].address[1] == port)
            monkeypatch.setattr(
                router_task.router, "handle", recorded_call(router_task.router.handle, handled)
            )
            status, _, _ = await dispatcher.ask(1, "page", fields={"HTTP_X_DEADLINE_MS": "300"})
            ended = [event for _, event in handled if isinstance(event, AttemptEnded)]
            assert status in (502, 503) and ended[0].outcome == OUTCOMES[AttemptEnding(ending)]

    run_scene(scene())


def test_only_endings_that_prove_it_count_as_never_run() -> None:
    not_run_outcomes = {Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS, Outcome.OVERLOADED}
    expected = {"refused", "not up", "unwritten", "withheld", "not_here", "overload", "nobody"}
    assert {ending for ending, outcome in OUTCOMES.items() if outcome in not_run_outcomes} == expected


def test_host_that_drains_during_connection_setup_gets_no_attempt(tmp_path: Path) -> None:
    async def scene() -> None:
        cache, origin = ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            router_task = dispatcher.service.router_task
            draining = fleet_event(
                2, [endpoint_entry("a", "box", dispatcher.targets[0]["endpoint"].split(":")[1], "draining")]
            )
            draining["fleet"]["targets"][0]["endpoint"] = dispatcher.targets[0]["endpoint"]
            original_handler = router_task._action_handlers[SendAttempt]

            def send_then_drain(now: int, action: SendAttempt) -> None:
                original_handler(now, action)
                if action.host == "a":  # before the first byte: the connection is not established yet
                    registered = router_task.endpoints.by_host["a"]
                    registered.endpoint = msgspec.structs.replace(registered.endpoint, state="draining")
                    dispatcher.publish_event(draining)

            router_task._action_handlers[SendAttempt] = send_then_drain
            status, _, body = await dispatcher.ask(1, "page")
            assert status == 200 and not cache.requests and origin.requests

    run_scene(scene())


def test_new_host_at_an_old_address_gets_its_own_connection(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": cache, "o": ScriptedCacheHost(served)}) as dispatcher:
            await dispatcher.ask(1, "page")
            old = dispatcher.targets[0]
            dispatcher.publish_event(fleet_event(2, [old | {"state": "gone"}, old | {"uid": "b"}]))
            await until(lambda: "b" in dispatcher.service.router_task.endpoints.by_host)
            await dispatcher.ask(2, "page")
            assert cache.connections == 2 and len(cache.requests) == 2

    run_scene(scene())


def test_replaced_hosts_are_released(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(served)
        settings = copy.deepcopy(SETTINGS["classes"])
        for class_name in settings:
            class_name["give_up"] = 0.9
        async with SteadyDispatcher(
            tmp_path, {"a": cache, "o": ScriptedCacheHost(silent)}, **{"settings.classes": settings}
        ) as dispatcher:
            router_task, old = dispatcher.service.router_task, dispatcher.targets[0]
            short = {"HTTP_X_DEADLINE_MS": "800"}
            for turn in range(30):
                new = old | {"uid": f"b{turn}"}
                dispatcher.publish_event(fleet_event(2 + turn, [old | {"state": "gone"}, new]))
                await until(lambda uid=new["uid"]: uid in router_task.endpoints.by_host)  # type: ignore[misc]
                assert (await dispatcher.ask(1 + turn, "page", fields=short))[0] == 200
                old = new
            router = router_task.router
            hosts = router.parts.hosts
            assert (
                len(router_task.endpoints.by_host) == 2 and len(hosts.by_name) == 2 and len(hosts.caches) == 1
            )
            pool = router_task.pool
            gc.collect()
            kept = [
                instance
                for instance in gc.get_objects()
                if isinstance(instance, Host) and instance.name[0] == "b"
            ]
            assert len(kept) <= 3 and pool is not None, "replaced hosts are still in memory"
            await until(lambda: set(pool.connections) <= {"b29"})

    run_scene(scene())


def test_late_answer_of_a_cancelled_attempt_does_not_affect_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        monkeypatch.setattr("hoistplank.transport.pool.MAX_CONNECTIONS_PER_HOST", 1)
        late_answers: list[bytes] = []

        def answer_late(id: str, fields: dict[str, str], body: bytes) -> bytes | None:
            if fields["blk"] == "1":
                late_answers.append(served(id, fields, body))
                return None
            return b"".join(late_answers if cache.dropped else []) + served(id, fields, body)

        cache = ScriptedCacheHost(answer_late)
        async with Running(
            tmp_path, {"a": cache, "o": ScriptedCacheHost(answering_with("overload"))}
        ) as dispatcher:
            dispatcher.client.send(2, "page", {"HTTP_X_CHUNK": "2", "HTTP_X_SUBJECT": f"{5:016x}"})
            assert (await dispatcher.client.read_answer())[1] == 200
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1", "HTTP_X_DEADLINE_MS": "500"})
            await until(lambda: len(cache.requests) == 2)
            assert (await dispatcher.ask(4, "page"))[
                0
            ] == 200  # the connection works: only the attempt is cancelled
            assert (await dispatcher.client.read_answer())[1] == 503
            await until(lambda: cache.dropped == [f"{1:016x}"])
            assert (await dispatcher.ask(3, "page"))[0] == 200

    run_scene(scene())


AnswersByCase = dict[str, Callable[[str], bytes]]


SURPLUS_ANSWERS: AnswersByCase = {
    "second copy": lambda id: whole_answer(id) * 2,
    "unknown id ahead": lambda id: whole_answer("f" * 16) + whole_answer(id),
}


INVALID_ANSWERS: AnswersByCase = {
    "noise": lambda id: b"\x00\xffnoise\r\n" * 3,
    "line that never ends": lambda id: b"x" * 9000,
    "length that does not fit": lambda id: whole_answer(id).replace(b"230400", b"230300"),
    "huge length": lambda id: f"{id} served digest=aa,dated=1 3000000000\r\n".encode() + bytes(70_000),
    "negative length": lambda id: f"{id} served digest=aa,dated=1 -3\r\n".encode(),
    "half an answer": lambda id: whole_answer(id)[:5000],
    "status of a health check": lambda id: f"{id} green - 0\r\n\r\n".encode(),
    "no copy named": lambda id: f"{id} still_good digest=aa,dated=1 0\r\n\r\n".encode(),
    "another copy named": lambda id: f"{id} still_good digest=aa,dated=1 0\r\n\r\n".encode(),
    "no fields": lambda id: f"{id} served - 2\r\nab\r\n".encode(),
    "not dated": lambda id: f"{id} served digest=aa,dated=nan 2\r\nab\r\n".encode(),
}


@pytest.mark.parametrize("kind", [*SURPLUS_ANSWERS, *INVALID_ANSWERS])
def test_invalid_answer_closes_only_its_connection(
    tmp_path: Path, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A surplus answer is ignored. An invalid one closes its connection; attempts there are retried at
    once."""

    async def scene() -> None:
        monkeypatch.setattr("hoistplank.transport.pool.MAX_CONNECTIONS_PER_HOST", 1)

        def second_answer_invalid(id: str, fields: dict[str, str], body: bytes) -> bytes | None:
            if len(cache.requests) == 1:
                return None  # the first attempt waits on the same connection
            return (
                (SURPLUS_ANSWERS | INVALID_ANSWERS)[kind](id)
                if len(cache.requests) == 2
                else whole_answer(id)
            )

        cache, origin = ScriptedCacheHost(second_answer_invalid), ScriptedCacheHost(silent)
        async with Running(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            dispatcher.client.send(1, "page", {"HTTP_X_SUBJECT": "ab" * 8, "HTTP_X_DEADLINE_MS": "900"})
            await until(lambda: len(cache.requests) == 1)
            dispatcher.client.send(2, "page", {"HTTP_X_KNOWN": "cd" * 8} if kind[:7] == "another" else {})
            answers = [await asyncio.wait_for(dispatcher.client.read_answer(), 2)]
            if kind in INVALID_ANSWERS:
                answers.append(await asyncio.wait_for(dispatcher.client.read_answer(), 2))
                # A stalled answer is detected only after the latency objective; a request that can't be
                # answered in time any more is rejected.
                wanted = {200, 503} if kind == "half an answer" else {200}
                assert {answer[1] for answer in answers} <= wanted
                assert cache.connections == 2 or kind == "half an answer"
            else:
                assert answers[0][:2] == (2, 200) and cache.connections == 1
                assert (await dispatcher.ask(3, "page"))[2] == BODY and cache.connections == 1
            router = dispatcher.service.router_task.router
            hosts = router.parts.hosts.by_name
            assert hosts["a"].warming_since_us < 0 and not any(host.loss_signs for host in hosts.values())

    run_scene(scene())


def test_attempts_share_few_connections_until_one_is_lost_with_attempts_on_it(tmp_path: Path) -> None:
    async def scene() -> None:
        def answer(id: str, fields: dict[str, str], body: bytes) -> bytes | None:
            return {"1": None, "2": b"reset"}.get(fields["blk"], whole_answer(id))

        cache = ScriptedCacheHost(answer)
        limits = {"limits.sockets": 64, "settings.limits.max_attempts": 1}
        async with Running(tmp_path, {"a": cache, "o": ScriptedCacheHost(silent)}, **limits) as dispatcher:
            pool = dispatcher.service.router_task.pool
            assert pool is not None

            async def counts(first: int) -> list[int]:
                for number in range(first, first + 8):
                    before = len(cache.requests)
                    dispatcher.client.send(number, "page", {"HTTP_X_CHUNK": "1", "HTTP_X_DEADLINE_MS": "900"})
                    await until(lambda before=before: len(cache.requests) > before)  # type: ignore[misc]
                return sorted(len(connection.in_flight) for connection in pool.connections["a"])

            assert await counts(1) == [4, 4]
            for _ in range(8):
                await dispatcher.client.read_answer()
            for number in range(20, 24):
                await dispatcher.ask(number, "page", fields={"HTTP_X_CHUNK": "2"})
            share = dispatcher.service.descriptors.limits[ConnectionKind.CACHE_HOST] // 2
            assert await counts(30) == [1] * (2 * share - 8) + [2] * (8 - share)
            pool.connections_per_host_set_at -= 100  # after a long time without a loss, the number is halved
            spread = pool.connections_per_host
            pool.sweep()
            assert pool.connections_per_host == spread // 2

    run_scene(scene())


def test_id_that_was_used_on_every_connection_gets_a_new_connection(tmp_path: Path) -> None:
    async def scene() -> None:
        def answer(id: str, fields: dict[str, str], body: bytes) -> bytes:
            return (
                whole_answer(id) if len(cache.requests) > 4 else answering_with("crashed")(id, fields, body)
            )

        cache = ScriptedCacheHost(answer)
        hosts = {"a": cache, "o": ScriptedCacheHost(silent)}
        async with Running(tmp_path, hosts, **{"settings.limits.max_attempts": 6}) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            assert dispatcher.service.router_task.counts.attempts == 5 and cache.connections == 5

    run_scene(scene())


def test_attempt_budget_is_the_time_that_the_client_has_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An attempt that waits for its connection starts later than decided, and has less time left then."""

    async def scene() -> None:
        cache = ScriptedCacheHost(served)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": ScriptedCacheHost(served)}) as dispatcher:
            loop, gate = asyncio.get_running_loop(), ConnectionGate(monkeypatch)
            sent_at = loop.time()
            dispatcher.client.send(1, "page", {"HTTP_X_DEADLINE_MS": "1500"})
            await until(lambda: bool(gate.waiting))
            await asyncio.sleep(0.35)  # the connect timeout is 0.4 s
            gate.open.set()
            await until(lambda: bool(cache.requests))
            left_ms = 1_500 - (loop.time() - sent_at) * 1e3
            _, fields, _ = cache.requests[0]
            assert int(fields["budget"]) <= left_ms + 50

    run_scene(scene())


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.EPIPE])
def test_error_of_an_established_connection_is_reported_as_connection_lost(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only a refusal while connecting proves that the attempt never ran."""

    async def scene() -> None:
        cache, origin = ScriptedCacheHost(silent), ScriptedCacheHost(silent)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            router_task, endings = dispatcher.service.router_task, list[AttemptEnding]()
            router_task.attempt_observer = lambda _attempt, ending: endings.append(ending)
            dispatcher.client.send(1, "booking", {"HTTP_X_OPERATION_KEY": "5c" * 16})
            await until(lambda: bool(origin.requests))
            pool = router_task.pool
            assert pool is not None
            connection = pool.connections["o"][0].connection
            assert connection is not None
            error = OSError(number, os.strerror(number))
            monkeypatch.setattr(connection, "_read_from_socket", make_raising_function(error))
            connection.read_now()
            await until(lambda: bool(endings))
            assert endings[0] is AttemptEnding.CONNECTION_LOST

    run_scene(scene())


def make_raising_function(error: OSError) -> Callable[[], None]:
    def raise_error() -> None:
        raise error

    return raise_error
