"""Requests to a running dispatcher: their fields, their answers, and rejection on a full core."""

from __future__ import annotations

import asyncio
import struct
from pathlib import Path

import pytest

from hoistplank.fakes.wire import ScriptedCacheHost
from hoistplank.program.phase import Phase
from hoistplank.protocol import fastcgi
from hoistplank.routing.events import EndpointListForm, EndpointsUpdated
from tests.dispatcher_scene import (
    BODY,
    KEY,
    served,
    silent,
)
from tests.helpers import Running, until
from tests.scene_runner import run_scene


def test_request_is_served_and_its_fields_are_forwarded(tmp_path: Path) -> None:
    async def scene() -> None:
        cache, origin = ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            status, head, body = await dispatcher.ask(
                7, "page", fields={"HTTP_X_CHUNK": "3", "HTTP_X_KNOWN": "ab" * 8}
            )
            assert (status, body) == (200, BODY)
            id, fields, sent_body = cache.requests[0]
            assert (id, sent_body, fields.pop("budget").isdecimal()) == (f"{7:016x}", b"", True)
            assert fields == {
                "queue": "page",
                "path": "7f3a9c21e0b4d655",
                "blk": "3",
                "parent": "o",
                "shelf": "2",
                "hints": "wait-for",
                "got": "ab" * 8,
            }
            key, blob = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", BODY[:48_000]
            status, _, body = await dispatcher.ask(
                8, "booking", fields={"HTTP_X_OPERATION_KEY": key}, body=blob
            )
            assert (status, body) == (200, BODY)
            assert (origin.requests[0][1]["uniq"], origin.requests[0][2]) == (key, blob)
            status, _, _ = await dispatcher.ask(9, "", script="/-/healthy")
            assert status == 200
            # A client's clock may exceed the maximum deadline by some milliseconds.
            assert (await dispatcher.ask(10, "page", fields={"HTTP_X_DEADLINE_MS": "2505"}))[0] == 200

    run_scene(scene())


def test_full_core_rejects_requests_by_class_as_they_begin(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
        ) as dispatcher:
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            router_task = dispatcher.service.router_task
            # The open count is between the limits of the classes with the smallest and the largest priority
            # weight, so bookings are still admitted. The controller is disabled, because it raises the limit
            # itself when the limit is nearly reached.
            router_task.admission.controller.observe = lambda *arguments: None  # type: ignore[method-assign]
            share = router_task.admission.shares["page"]
            assert share < 0.95 and router_task.admission.shares["booking"] == 1.0
            router_task.admission.controller.limit, router_task.requests.open_count = (
                20.0,
                int(20 * share) + 1,
            )
            status, head, _ = await dispatcher.ask(1, "page")
            assert status == 503 and b"X-Pushback-Ms" in head
            assert router_task.counts.shed == 1  # one check per request
            assert (await dispatcher.ask(2, "booking", fields=KEY))[0] == 200
            router_task.requests.open_count = 20
            status, head, _ = await dispatcher.ask(3, "booking", fields=KEY)
            assert status == 503 and b"X-Pushback-Ms" in head
            # A client whose requests were all rejected is not silent: its connection is kept.
            session = next(iter(dispatcher.service.frontend.sessions))
            assert session.has_sent_request and not session.timeout_reason(session.opened_at + 60)
            router_task.requests.open_count = 0
            assert (await dispatcher.ask(4, "page"))[0] == 200  # the same connection, after its reading pause
            # A request without FCGI_KEEP_CONN closes its connection, after all that the client sent was read.
            reader, writer = await asyncio.open_connection(*dispatcher.service.listener.sock.getsockname())
            router_task.requests.open_count = 20
            writer.write(
                fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 0))
                + fastcgi.encode_record(
                    fastcgi.PARAMS, 1, fastcgi.encode_pair(b"SCRIPT_NAME", b"/api/v2/page")
                )
            )
            await writer.drain()
            while router_task.counts.shed < 3:
                await asyncio.sleep(0.001)
            writer.write(fastcgi.encode_record(fastcgi.PARAMS, 1) + fastcgi.encode_record(fastcgi.STDIN, 1))
            received = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            router_task.requests.open_count = 0
            assert b"Status: 503" in received and received.endswith(fastcgi.encode_end_request(1))

    run_scene(scene())


def test_requests_are_rejected_at_once_if_too_many_events_are_queued(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": cache, "o": ScriptedCacheHost(served)}) as dispatcher:
            await until(
                lambda: dispatcher.service.phase is Phase.SERVING and not dispatcher.service.router_task.queue
            )
            update = EndpointsUpdated(EndpointListForm.CHANGES, [])
            turn = dispatcher.service.router_task.turn

            def turn_with_many_events() -> None:
                for _ in range(500):
                    dispatcher.service.router_task.queue.append(update)
                turn()

            dispatcher.service.router_task.turn = turn_with_many_events  # type: ignore[method-assign]
            status, head, _ = await dispatcher.ask(1, "page")
            assert status == 503 and b"X-Pushback-Ms" in head and not cache.requests
            # A class with three times the priority weight still gets an attempt.
            assert (await dispatcher.ask(2, "booking", fields=KEY))[0] == 200

    run_scene(scene())


def test_unchanged_copy_is_answered_as_valid(tmp_path: Path) -> None:
    def unchanged(id: str, fields: dict[str, str], body: bytes) -> bytes:
        return f"{id} still_good digest={fields['got']},dated=1 0\r\n\r\n".encode()

    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(unchanged), "o": ScriptedCacheHost(served)}
        ) as dispatcher:
            status, head, body = await dispatcher.ask(1, "page", fields={"HTTP_X_KNOWN": "ab" * 8})
            assert (status, body) == (200, b"") and b"X-Valid: 1" in head

    run_scene(scene())


@pytest.mark.parametrize(
    "class_name, fields, script",
    [
        ("page", {"HTTP_X_DEADLINE_MS": "2900"}, "/api/v2/"),
        ("page", {"HTTP_X_DEADLINE_MS": "0"}, "/api/v2/"),
        ("page", {"HTTP_X_TAG": "256"}, "/api/v2/"),
        ("page", {"HTTP_X_CHUNK": "1e9"}, "/api/v2/"),
        ("page", {"HTTP_X_RESENT": "yes"}, "/api/v2/"),
        ("page", {"HTTP_X_KNOWN": "ab"}, "/api/v2/"),
        ("page", {"CONTENT_LENGTH": "5"}, "/api/v2/"),
        ("page", {"CONTENT_LENGTH": "-1"}, "/api/v2/"),
        ("page", {"CONTENT_LENGTH": "99999999999"}, "/api/v2/"),
        ("page", {"HTTP_X_CORRELATION_ID": "12"}, "/api/v2/"),
        ("page", {"HTTP_X_SUBJECT": ""}, "/api/v2/"),
        ("page", {"HTTP_X_DEADLINE_MS": ""}, "/api/v2/"),
        ("page", {"HTTP_X_CHUNK": "-1"}, "/api/v2/"),
        ("other", {}, "/api/v2/"),
        ("page", {}, "/"),
        ("booking", {}, "/api/v2/"),
        ("booking", {"HTTP_X_OPERATION_KEY": "a,parent=b"}, "/api/v2/"),
    ],
)
def test_invalid_field_is_answered_with_status_400(
    tmp_path: Path, class_name: str, fields: dict[str, str], script: str
) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": cache, "o": cache}) as dispatcher:
            status, _, _ = await dispatcher.ask(3, class_name, fields=fields, script=script)
            assert status == 400 and not cache.requests

    run_scene(scene())


def test_reused_id_fails_while_its_request_is_open_or_has_attempts_in_flight(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(
            tmp_path, {"a": cache, "o": ScriptedCacheHost(silent)}, **{"settings.limits.may_cancel": False}
        ) as dispatcher:
            same = {"HTTP_X_CORRELATION_ID": "ab" * 8}
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1"} | same)
            await until(lambda: bool(cache.requests))
            other = await dispatcher.connect()
            other.send(1, "page", {"HTTP_X_SUBJECT": "cd" * 8} | same)
            assert (await other.read_answer())[1] == 502 and len(cache.requests) == 1
            dispatcher.client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
            assert (await dispatcher.client.read_answer())[1] == 0
            other.send(2, "page", {"HTTP_X_SUBJECT": "cd" * 8} | same)  # its attempt is still in flight
            assert (await other.read_answer())[1] == 502 and len(cache.requests) == 1
            router_task = dispatcher.service.router_task
            await until(lambda: not router_task.requests.by_id)  # until the attempt times out
            assert not router_task.router.in_flight and not router_task.router.requests
            other.send(3, "page", {"HTTP_X_SUBJECT": "cd" * 8} | same)
            assert (await other.read_answer())[1] == 200

    run_scene(scene())
