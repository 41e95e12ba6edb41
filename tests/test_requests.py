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


def test_request_is_served_whole_and_its_fields_go_on(tmp_path: Path) -> None:
    async def scene() -> None:
        box, origin = ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": box, "o": origin}) as dispatcher:
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            status, head, body = await dispatcher.ask(
                7, "page", fields={"HTTP_X_CHUNK": "3", "HTTP_X_KNOWN": "ab" * 8}
            )
            assert (status, body) == (200, BODY)
            id, fields, sent = box.requests[0]
            assert (id, sent, fields.pop("budget").isdecimal()) == (f"{7:016x}", b"", True)
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
            # A client's own clock may say some ms more than the deadline.
            assert (await dispatcher.ask(10, "page", fields={"HTTP_X_DEADLINE_MS": "2505"}))[0] == 200

    run_scene(scene())


def test_a_full_core_rejects_as_a_request_begins_or_by_its_class(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
        ) as dispatcher:
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            owner = dispatcher.service.router_task
            # A bound between the shares of the cheapest and of the dearest traffic class: bookings still
            # come in.
            # By hand: the controller itself raises it in a period in which the bound is nearly reached.
            owner.admission.controller.observe = lambda *told: None  # type: ignore[method-assign]
            share = owner.admission.shares["page"]
            assert share < 0.95 and owner.admission.shares["booking"] == 1.0
            owner.admission.controller.limit, owner.requests.open_count = 20.0, int(20 * share) + 1
            status, head, _ = await dispatcher.ask(1, "page")
            assert status == 503 and b"X-Pushback-Ms" in head
            assert owner.counts.shed == 1  # asked once for each
            assert (await dispatcher.ask(2, "booking", fields=KEY))[0] == 200
            owner.requests.open_count = 20
            status, head, _ = await dispatcher.ask(3, "booking", fields=KEY)
            assert status == 503 and b"X-Pushback-Ms" in head
            # A client that got nothing but refusals is no silent one: its line stays.
            session = next(iter(dispatcher.service.frontend.sessions))
            assert session.has_sent_request and not session.timeout_reason(session.opened_at + 60)
            owner.requests.open_count = 0
            assert (await dispatcher.ask(4, "page"))[0] == 200  # the same line, after its rest
            # A request that asks for the end of its connection gets it, and what it sent is read before.
            reader, writer = await asyncio.open_connection(*dispatcher.service.listener.sock.getsockname())
            owner.requests.open_count = 20
            writer.write(
                fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 0))
                + fastcgi.encode_record(
                    fastcgi.PARAMS, 1, fastcgi.encode_pair(b"SCRIPT_NAME", b"/api/v2/page")
                )
            )
            await writer.drain()
            while owner.counts.shed < 3:
                await asyncio.sleep(0.001)
            writer.write(fastcgi.encode_record(fastcgi.PARAMS, 1) + fastcgi.encode_record(fastcgi.STDIN, 1))
            came = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            owner.requests.open_count = 0
            assert b"Status: 503" in came and came.endswith(fastcgi.encode_end_request(1))

    run_scene(scene())


def test_more_than_a_turn_holds_is_turned_back_at_once(tmp_path: Path) -> None:
    async def scene() -> None:
        box = ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": box, "o": ScriptedCacheHost(served)}) as dispatcher:
            await until(
                lambda: dispatcher.service.phase is Phase.SERVING and not dispatcher.service.router_task.queue
            )
            gone = EndpointsUpdated(EndpointListForm.CHANGES, [])
            turn = dispatcher.service.router_task.turn

            def crowded() -> None:
                for _ in range(500):
                    dispatcher.service.router_task.queue.append(gone)
                turn()

            dispatcher.service.router_task.turn = crowded  # type: ignore[method-assign]
            status, head, _ = await dispatcher.ask(1, "page")
            assert status == 503 and b"X-Pushback-Ms" in head and not box.requests
            # What earns three times as much is still worth an attempt.
            assert (await dispatcher.ask(2, "booking", fields=KEY))[0] == 200

    run_scene(scene())


def test_unchanged_copy_is_told_as_valid(tmp_path: Path) -> None:
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
def test_unusable_field_is_answered_as_failed(
    tmp_path: Path, class_name: str, fields: dict[str, str], script: str
) -> None:
    async def scene() -> None:
        box = ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": box, "o": box}) as dispatcher:
            status, _, _ = await dispatcher.ask(3, class_name, fields=fields, script=script)
            assert status == 400 and not box.requests

    run_scene(scene())


def test_id_that_comes_again_is_refused_while_its_request_or_its_attempts_are_out(tmp_path: Path) -> None:
    async def scene() -> None:
        box = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(
            tmp_path, {"a": box, "o": ScriptedCacheHost(silent)}, **{"settings.limits.may_cancel": False}
        ) as dispatcher:
            same = {"HTTP_X_CORRELATION_ID": "ab" * 8}
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1"} | same)
            await until(lambda: bool(box.requests))
            other = await dispatcher.connect()
            other.send(1, "page", {"HTTP_X_SUBJECT": "cd" * 8} | same)
            assert (await other.read_answer())[1] == 502 and len(box.requests) == 1
            dispatcher.client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
            assert (await dispatcher.client.read_answer())[1] == 0
            other.send(2, "page", {"HTTP_X_SUBJECT": "cd" * 8} | same)  # its attempt is still out
            assert (await other.read_answer())[1] == 502 and len(box.requests) == 1
            owner = dispatcher.service.router_task
            await until(lambda: not owner.requests.by_id)  # the attempt's time is over
            assert not owner.router.in_flight and not owner.router.requests
            other.send(3, "page", {"HTTP_X_SUBJECT": "cd" * 8} | same)
            assert (await other.read_answer())[1] == 200

    run_scene(scene())
