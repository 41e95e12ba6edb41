"""Certificates of tenants: handshakes, revocation and lists of it, on a dispatcher in service."""

from __future__ import annotations

import asyncio
import json
import socket
import ssl
import struct
import time
from pathlib import Path
from random import Random

import pytest

from hoistplank.fakes.wire import connect
from hoistplank.protocol import fastcgi
from tests.authorization_rig import OLD, AuthorizingDispatcher
from tests.helpers import until
from tests.scene_runner import run_scene


def test_certificates_of_tenants_and_a_server_chain_that_changes(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path) as place:
            coast, _ = place.authority.issue("coast.pem", ["uri:hoistplank:coast"])
            both, _ = place.authority.issue("both.pem", ["uri:hoistplank:coast", "uri:hoistplank:inland"])
            client = await place.secure(coast)
            assert await place.ask(client=client) == (200, "")
            assert await place.ask(client=client, group=40) == (403, "group")
            assert await place.ask(OLD.token("inland-1"), client, 40) == (403, "token of another tenant")
            assert await place.ask(client=await place.secure(both)) == (401, "two tenants")
            assert await place.ask(OLD.token("coast-1"), await place.secure()) == (200, "")
            before = place.callers.tls.state
            place.authority.renew_server()
            await until(lambda: place.callers.tls.state is not before)
            assert await place.ask(client=client) == (200, "")  # the kept connection goes on
            assert await place.ask(client=await place.secure(coast)) == (200, "")
            assert place.handshakes() == {}

    run_scene(scene())


def spoken(address: tuple[str, int], context: ssl.SSLContext, session: ssl.SSLSession | None) -> bytes:
    """What a request for health is answered after a handshake; nothing where the connection is ended.

    Danger: silence would look like an end. Health is answered to anybody, and a time-out is told as such.
    """
    asked = fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 1))
    asked += fastcgi.encode_record(fastcgi.PARAMS, 1, fastcgi.encode_pair(b"SCRIPT_NAME", b"/-/healthy"))
    asked += fastcgi.encode_record(fastcgi.PARAMS, 1) + fastcgi.encode_record(fastcgi.STDIN, 1)
    try:
        raw = socket.create_connection(address, 3)
        with raw, context.wrap_socket(raw, server_hostname="localhost", session=session) as sock:
            sock.sendall(asked)
            return sock.recv(100)
    except TimeoutError:
        return b"no end"
    except OSError:
        return b""


@pytest.mark.parametrize("how", ["serial", "name", "crl"])
@pytest.mark.parametrize("version", [ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3])
def test_a_revoked_certificate_ends_in_order_within_a_second(
    tmp_path: Path, how: str, version: ssl.TLSVersion
) -> None:
    held: list[str] = []

    def slow(id: str, fields: dict[str, str], body: bytes) -> None:
        held.append(id)

    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path, slow, extra="") as place:
            text = (
                (tmp_path / "op.sexp")
                .read_text()
                .replace('(key "server.key")', '(key "server.key") (oldest tls1.2)')
            )
            (tmp_path / "op.sexp").write_text(text)
            place.running.service.reload_requested.set()
            await until(lambda: place.callers.generation == 2)
            leaf, serial = place.authority.issue("coast.pem", ["uri:hoistplank:coast"])
            context = place.authority.client_context(leaf)
            context.maximum_version = version
            client = await connect(("127.0.0.1", place.tls), context)
            for first in range(10, 40):
                client.send(first, "page", {"HTTP_X_DEADLINE_MS": "2500"})
                told = asyncio.ensure_future(client.read_answer())
                await until(lambda told=told: bool(held) or told.done())  # type: ignore[misc]
                if held:
                    break  # else a stall of the machine has had the module turn it back
            session = client.writer.get_extra_info("ssl_object").session
            address = ("127.0.0.1", place.tls)
            assert await asyncio.to_thread(spoken, address, context, session)  # until then it is let in
            at = time.monotonic()
            if how == "crl":
                place.authority.write_revocation_list([serial])
            else:
                row = {
                    "kind": how,
                    "issuer": "",
                    "value": f"{serial:x}" if how == "serial" else "uri:hoistplank:coast",
                }
                (tmp_path / "revoked.jsonl").write_text(json.dumps(row) + "\n")
            await until(lambda: any(one.is_closing for one in place.running.service.frontend.sessions))
            assert time.monotonic() - at < 1.0
            client.send(2, "page")
            number, status, head, _ = await told
            assert (number, status) == (2, 401) and b"revoked" in head
            (
                _,
                status,
                _,
                _,
            ) = await client.read_answer()  # what was open has its answer, then the connection ends
            assert status in (502, 503)
            assert await client.reader.read() == b""
            # Neither a new handshake nor one that would resume the old session brings it back.
            taken = len(held)
            for resumed in (None, session):
                assert await asyncio.to_thread(spoken, address, context, resumed) == b""
            assert len(held) == taken

    run_scene(scene())


def test_an_expired_revocation_list_refuses_new_handshakes_only(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path) as place:
            leaf, _ = place.authority.issue("coast.pem", ["uri:hoistplank:coast"])
            client = await place.secure(leaf)
            assert await place.ask(client=client) == (200, "")
            place.authority.write_revocation_list(
                [], lasts_s=-5
            )  # an expired one is not taken up: the one in force stays
            await until(lambda: any(source.failed for source in place.callers.loader.sources))
            assert await place.ask(client=await place.secure(leaf)) == (200, "")
            # Long enough to be taken up on a machine that has other work, too.
            place.authority.write_revocation_list([], lasts_s=4)
            ends = time.monotonic() + 4.1
            await until(lambda: not any(source.failed for source in place.callers.loader.sources))
            await asyncio.sleep(ends - time.monotonic())
            assert await place.ask(client=client) == (200, "")
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await place.ask(client=await place.secure(leaf))
            assert await place.ask(OLD.token("coast-1"), await place.secure()) == (200, "")

    run_scene(scene())


def test_half_open_handshakes_yield_to_whole_ones(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path) as place:
            text = (tmp_path / "op.sexp").read_text()
            (tmp_path / "op.sexp").write_text(
                text.replace('(key "server.key")', '(key "server.key") (handshakes 4)')
            )
            place.running.service.reload_requested.set()
            await until(lambda: place.callers.generation == 2)
            rest = [await asyncio.open_connection("127.0.0.1", place.tls) for _ in range(20)]
            for _, writer in rest[10:]:
                writer.write(b"\x16\x03\x01\x02")
            await until(lambda: place.callers.handshakes.abandoned == 16)
            assert len(place.handshakes()) == 4
            assert await place.ask(OLD.token("coast-1"), await place.secure()) == (200, "")
            began = time.monotonic()
            await until(lambda: not place.handshakes())
            assert time.monotonic() - began < 2.5
            for nonsense in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\x16\x03\x01\xff\xff" + bytes(40_000),
                Random(7).randbytes(500),
            ):
                reader, writer = await asyncio.open_connection("127.0.0.1", place.tls)
                writer.write(nonsense)
                with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                    await asyncio.wait_for(reader.readexactly(8), 3)
                writer.close()
            # On a line of its own: the one of the beginning has said nothing for the 2 s that it may.
            assert await place.ask(OLD.token("coast-1"), await place.running.connect()) == (200, "")
            for _, writer in rest:
                writer.close()

    run_scene(scene())
