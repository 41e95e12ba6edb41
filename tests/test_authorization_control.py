"""Tenants that change in service, and the control front's HTTP."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.authorization.http import BadRequestError, HttpRequestParser
from hoistplank.routing.events import PurgeReceived
from tests.authorization_rig import OLD, AuthorizingDispatcher
from tests.helpers import until
from tests.scene_runner import run_scene


def test_a_reload_swaps_tenants_whole_or_not_at_all(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path) as place:
            good = (tmp_path / "op.sexp").read_text()
            (tmp_path / "op.sexp").write_text(good + "(log (format loud))")
            place.running.service.reload_requested.set()
            await asyncio.sleep(0.05)
            assert place.callers.generation == 1 and await place.ask(OLD.token("coast-1")) == (200, "")
            place.operator(extra="(control (listen 127.0.0.1:1))")
            # A form twice, and a listener that can't go: nothing of either is taken.
            place.running.service.reload_requested.set()
            await asyncio.sleep(0.05)
            (tmp_path / "op.sexp").write_text(
                good.replace(f"(control (listen 127.0.0.1:{place.control}))", "")
            )
            place.running.service.reload_requested.set()
            await asyncio.sleep(0.05)
            assert place.callers.generation == 1
            place.operator(
                tenants='(tenant inland (subjects "https://id.example" (names inland-*)) (rights read)'
                " (rate 1/s) (burst 2))"
            )
            place.running.service.reload_requested.set()
            await until(lambda: place.callers.generation == 2)
            assert await place.ask(OLD.token("coast-1")) == (403, "no tenant")
            told = [await place.ask(OLD.token("inland-1"), group=200) for _ in range(3)]
            assert told == [(200, ""), (200, ""), (429, "rate")]

    run_scene(scene())


def test_the_control_front_purges_revokes_and_tells(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path) as place:
            coast, _ = place.authority.issue("coast.pem", ["uri:hoistplank:coast"])
            inland, _ = place.authority.issue("inland.pem", ["uri:hoistplank:inland"])
            staff, _ = place.authority.issue("staff.pem", ["uri:hoistplank:operations"])
            purges, object_key = list[Any](), "7f3a9c21e0b4d655"
            owner, plain = place.running.service.router_task, place.running.service.router_task.submit

            def spied(event: Any) -> None:
                purges.extend([event] if isinstance(event, PurgeReceived) else [])
                plain(event)

            owner.submit = spied  # type: ignore[method-assign]
            assert await place.http(coast, "POST", "/v1/purge", {"group": 40}) == (403, {"refused": "group"})
            told = await place.http(coast, "POST", "/v1/purge", {"object": object_key, "group": 1})
            assert told == (403, {"refused": "object's group not known"})
            assert await place.ask(OLD.token("coast-1")) == (200, "")
            assert (await place.http(coast, "POST", "/v1/purge", {"object": object_key}))[0] == 200
            assert await place.http(inland, "POST", "/v1/purge", {"object": object_key, "group": 40}) == (
                403,
                {"refused": "group"},
            )
            assert (await place.http(coast, "POST", "/v1/purge", {"group": 17}))[0] == 200
            assert [(event.object_key, event.purge_group) for event in purges] == [(object_key, 0), ("", 17)]
            for body, status in (
                ({"grup": 1}, 400),
                ({"group": 300}, 400),
                ({}, 400),
                ([], 400),
                ({"object": "x"}, 400),
            ):
                assert (await place.http(coast, "POST", "/v1/purge", body))[0] == status
            assert (await place.http(coast, "GET", "/v1/purge"))[0] == 405
            assert (await place.http(coast, "GET", "/nothing"))[0] == 404
            assert (await place.http(coast, "POST", "/v1/purge", {"object": "0" * 9_000}))[0] == 413
            row = {"kind": "subject", "issuer": "https://id.example", "value": "coast-1"}
            assert (await place.http(coast, "POST", "/v1/revoke", row))[0] == 403
            assert (await place.http(staff, "POST", "/v1/revoke", row | {"value": ""}))[0] == 400
            status, told = await place.http(staff, "POST", "/v1/revoke", row)
            assert (status, told["kept"]) == (200, "yes")
            assert await place.ask(OLD.token("coast-1")) == (401, "revoked subject")
            assert "coast-1" in (tmp_path / "revoked.jsonl").read_text()
            status, told = await place.http(staff, "GET", "/v1/refusals")
            assert {"tenant": "coast", "cause": "group", "count": 1} in told["refusals"]
            status, told = await place.http(coast, "GET", "/v1/tenants")
            assert [row["name"] for row in told["tenants"]] == ["coast"]
            assert list(told["tenants"][0]) == ["name", "rights", "tracks", "groups", "taken"]
            _, told = await place.http(staff, "GET", "/v1/limits")
            assert len(told["limits"]) == 3 and list(told) == ["limits", "open"]
            assert list(told["limits"][0]) == ["tenant", "weight", "rate", "left", "open", "open_visits"]
            _, told = await place.http(staff, "GET", "/v1/keys")
            assert told["issuers"][0]["keys"] == ["k1"]
            assert list(told) == ["issuers", "revocations", "handshakes"]
            assert list(told["handshakes"]) == ["done", "failed", "given up", "refused"]
            _, told = await place.http(staff, "GET", "/v1/levels")
            assert told == {"level": "full", "levels": None}
            # A revoked operator: its connection ends, and so does its next handshake.
            await place.http(staff, "POST", "/v1/revoke", {"kind": "name", "value": "uri:hoistplank:coast"})
            with pytest.raises((OSError, IndexError)):
                await place.http(coast, "GET", "/v1/tenants")

    run_scene(scene())


@given(
    st.lists(
        st.one_of(
            st.binary(max_size=120),
            st.sampled_from(
                [
                    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                    b"POST /v1/purge HTTP/1.1\r\nContent-Length: 3\r\n\r\n{}",
                    b"\n",
                    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                    b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                    b"X: " + b"y" * 9_000 + b"\r\n",
                    b"GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
                ]
            ),
        ),
        max_size=6,
    )
)
def test_any_bytes_on_the_control_front_are_requests_or_named(parts: list[bytes]) -> None:
    parser = HttpRequestParser(200)
    try:
        for part in parts:
            for request in parser.feed(part):
                assert len(request.body) <= 200
    except BadRequestError as wrong:
        assert 400 <= wrong.status <= 431
