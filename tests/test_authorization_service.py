"""A running dispatcher that knows its callers: TLS, keys and revocations that change in service, the control
front."""

from __future__ import annotations

import asyncio
import json
import socket
import ssl
import struct
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.authorization.http import BadRequestError, HttpRequestParser
from hoistplank.authorization.service import AuthorizationService
from hoistplank.fakes.certificate_authority import Authority, Signer, operator_text, write_keys
from hoistplank.fakes.deployment import free_port
from hoistplank.fakes.wire import CacheHost, Client, connected
from hoistplank.operator_configuration.errors import ConfigurationError
from hoistplank.program.phase import Phase
from hoistplank.program.sections import load_file
from hoistplank.protocol import fastcgi
from hoistplank.routing.client_session import ClientSession
from hoistplank.routing.events import PurgeReceived
from tests.helpers import Running, configuration, until

OLD, NEW = Signer("k1"), Signer("k2", "ES256")


def run(scene: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene, 20))


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 4\r\nwell\r\n".encode()


class Known:
    """A dispatcher for two members, in the middle of its files."""

    def __init__(
        self,
        folder: Path,
        answer: Callable[[str, dict[str, str], bytes], bytes | Awaitable[bytes] | None] = served,
        **words: Any,
    ) -> None:
        self.folder, self.authority = folder, Authority(folder)
        self.tls, self.control = free_port(), free_port()
        (folder / "revoked.jsonl").touch()
        write_keys(folder / "ring.json", OLD.jwk())
        self.operator(**words)
        self.box = CacheHost(answer)
        self.running = Running(folder, {"a": self.box, "o": CacheHost(answer)})
        self.running.operator = True
        self.asked = 0

    def operator(self, **words: Any) -> None:
        (self.folder / "op.sexp").write_text(operator_text(self.tls, self.control, **words))

    async def __aenter__(self) -> Known:
        await self.running.__aenter__()
        await until(lambda: self.running.service.phase is Phase.SERVING)
        assert self.running.additions is not None and self.running.additions.authorizer is not None
        self.callers = self.running.additions.authorizer
        return self

    async def __aexit__(self, *words: object) -> None:
        await self.running.__aexit__(*words)

    async def ask(
        self,
        token: str = "",
        client: Client | None = None,
        group: int = 1,
        class_name: str = "page",
        **fields: str,
    ) -> tuple[int, str]:
        """One request: the status, and why it was refused."""
        for _ in range(20):
            told = await self._asked(token, client, group, class_name, fields)
            if told != (503, ""):  # the module's own rejecting is not the subject here
                return told
            await asyncio.sleep(0.02)
        return told

    async def _asked(
        self, token: str, client: Client | None, group: int, class_name: str, fields: dict[str, str]
    ) -> tuple[int, str]:
        self.asked += 1
        if self.asked == 9:
            self.asked += 1
        given = {"HTTP_AUTHORIZATION": f"Bearer {token}"} if token else {}
        client = client or self.running.client
        client.send(self.asked, class_name, given | {"HTTP_X_TAG": str(group)} | fields)
        _, status, head, _ = await asyncio.wait_for(client.answer(), 5)
        told = dict(line.split(": ", 1) for line in head.decode().splitlines() if ": " in line)
        return status, told.get("X-Refusal", "")

    def handshakes(self) -> dict[ClientSession, float]:
        """The sessions whose handshake runs, with the loop's time at its beginning."""
        assert self.callers.tls_listener is not None
        return self.callers.tls_listener.pending

    async def secure(self, certificate: Path | None = None, **words: Any) -> Client:
        context = self.authority.context(certificate)
        for name, value in words.items():
            setattr(context, name, value)
        return await connected(("127.0.0.1", self.tls), context)

    async def http(self, certificate: Path, method: str, path: str, body: object = None) -> Any:
        data = json.dumps(body).encode() if body is not None else b""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.control, ssl=self.authority.context(certificate), server_hostname="localhost"
        )
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n".encode()
            + data
        )
        head, _, told = (await asyncio.wait_for(reader.read(), 5)).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), json.loads(told)


def test_tokens_on_the_plain_listener_and_nothing_of_a_refused_request_goes_on(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Known(tmp_path) as place:
            assert await place.ask() == (401, "no credentials")
            assert await place.ask(OLD.token("coast-1"), group=40) == (403, "group")
            assert await place.ask("rubbish") == (401, "token form")
            assert await place.ask(NEW.token("coast-1", header={"alg": "none"})) == (401, "token alg")
            assert place.box.seen == [] and place.callers.authorizer.limiter.total_open == 0
            assert await place.ask(OLD.token("coast-1")) == (200, "")
            assert len(place.box.seen) == 1 and place.callers.authorizer.limiter.total_open == 0

    run(scene())


def test_a_key_change_with_requests_in_flight_refuses_nobody(tmp_path: Path) -> None:
    held: list[str] = []
    released = asyncio.Event()

    async def released_later(id: str) -> bytes:
        await released.wait()
        return served(id, {}, b"")

    def slow(id: str, fields: dict[str, str], body: bytes) -> bytes | Awaitable[bytes]:
        if id != f"{9:016x}":
            return served(id, fields, body)
        held.append(id)
        return released_later(id)

    async def scene() -> None:
        async with Known(tmp_path, slow) as place:
            client = await place.running.connect()
            fields = {
                "HTTP_X_DEADLINE_MS": "2500",
                "HTTP_X_SUBJECT": "9" * 16,
                "HTTP_X_OPERATION_KEY": "c0" * 16,
            }
            client.send(9, "booking", fields | {"HTTP_AUTHORIZATION": f"Bearer {OLD.token('coast-1')}"})
            await until(lambda: bool(held))
            # A token of the next key, before the set that publishes it was read: rejected, then let in.
            told = await place.ask(NEW.token("coast-1"))
            assert told == (503, "key not known yet")
            write_keys(tmp_path / "ring.json", OLD.jwk("verifying"), NEW.jwk())
            await until(
                lambda: "k2" in place.callers.authorizer.authenticator.issuers["https://id.example"].keys
            )
            assert await place.ask(NEW.token("coast-1")) == (200, "")
            assert await place.ask(OLD.token("coast-2")) == (200, "")
            write_keys(tmp_path / "ring.json", OLD.jwk("retired"), NEW.jwk())
            await until(
                lambda: "k1" not in place.callers.authorizer.authenticator.issuers["https://id.example"].keys
            )
            assert await place.ask(OLD.token("coast-2")) == (401, "token key")
            # The first request is still out: its key's end does not strike it.
            assert place.callers.authorizer.limiter.total_open == 1
            released.set()
            number, status, _, _ = await client.answer()
            assert (number, status) == (9, 200)

    run(scene())


@pytest.mark.parametrize("spoil", ["half", "wrong kind", "two alike", "private", "gone"])
def test_a_key_set_that_can_t_be_used_changes_nothing(tmp_path: Path, spoil: str) -> None:
    async def scene() -> None:
        async with Known(tmp_path) as place:
            file = tmp_path / "ring.json"
            row, spoils = OLD.jwk(), dict[str, Callable[[], Any]]()
            spoils["half"] = lambda: file.write_text(file.read_text()[:-9])
            spoils["gone"] = file.unlink
            spoils["wrong kind"] = lambda: write_keys(file, row | {"kty": "oct", "k": "AAAA"})
            spoils["two alike"] = lambda: write_keys(file, row, row)
            spoils["private"] = lambda: write_keys(file, row | {"d": "A"})
            spoils[spoil]()
            await until(lambda: any(source.failed for source in place.callers.loader.sources))
            assert await place.ask(OLD.token("coast-1")) == (200, "")
            assert await place.ask(NEW.token("coast-1")) == (503, "key not known yet")
            place.running.service.renewed.set()  # a reload with it changes nothing either
            await asyncio.sleep(0.05)
            assert await place.ask(OLD.token("coast-3")) == (200, "")
            write_keys(file, OLD.jwk(), NEW.jwk())
            await until(lambda: not any(source.failed for source in place.callers.loader.sources))
            assert await place.ask(NEW.token("coast-1")) == (200, "")

    run(scene())


@pytest.mark.parametrize(
    "change, told",
    [
        (lambda d: (d / "server.key").chmod(0o644), "mode 0644 lets others at a private key, expected 0600"),
        (lambda d: (d / "server.key").write_text("-----BEGIN"), "holds no private key in PEM"),
        (lambda d: (d / "clients.crl").write_bytes(b""), "holds no revocation list"),
        (lambda d: (d / "ring.json").unlink(), "can't be read (No such file or directory)"),
        (lambda d: (d / "ca.pem").write_text("x"), "ca.pem: "),
        (lambda d: (d / "revoked.jsonl").write_text('{"kind":"key"}\n'), "revoked.jsonl:1: "),
        (
            lambda d: (d / "server.pem").write_bytes((d / "ca.pem").read_bytes()),
            "is not the key of the first certificate",
        ),
    ],
)
def test_files_that_can_t_be_used_stop_the_start_with_their_place(
    tmp_path: Path, change: Callable[[Path], Any], told: str
) -> None:
    Known(tmp_path)
    change(tmp_path)
    with pytest.raises(ConfigurationError) as caught:
        AuthorizationService(
            load_file(str(tmp_path / "op.sexp"))["callers"],
            str(tmp_path / "op.sexp"),
            configuration(tmp_path).router_settings,
        )
    assert told in str(caught.value) and str(caught.value).startswith(f"{tmp_path}/op.sexp:")
    assert "PRIVATE" not in str(caught.value)


def test_certificates_of_tenants_and_a_server_chain_that_changes(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Known(tmp_path) as place:
            coast, _ = place.authority.leaf("coast.pem", ["uri:hoistplank:coast"])
            both, _ = place.authority.leaf("both.pem", ["uri:hoistplank:coast", "uri:hoistplank:inland"])
            client = await place.secure(coast)
            assert await place.ask(client=client) == (200, "")
            assert await place.ask(client=client, group=40) == (403, "group")
            assert await place.ask(OLD.token("inland-1"), client, 40) == (403, "token of another tenant")
            assert await place.ask(client=await place.secure(both)) == (401, "two tenants")
            assert await place.ask(OLD.token("coast-1"), await place.secure()) == (200, "")
            before = place.callers.tls.state
            place.authority.server()
            await until(lambda: place.callers.tls.state is not before)
            assert await place.ask(client=client) == (200, "")  # the kept connection goes on
            assert await place.ask(client=await place.secure(coast)) == (200, "")
            assert place.handshakes() == {}

    run(scene())


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
        async with Known(tmp_path, slow, extra="") as place:
            text = (
                (tmp_path / "op.sexp")
                .read_text()
                .replace('(key "server.key")', '(key "server.key") (oldest tls1.2)')
            )
            (tmp_path / "op.sexp").write_text(text)
            place.running.service.renewed.set()
            await until(lambda: place.callers.generation == 2)
            leaf, serial = place.authority.leaf("coast.pem", ["uri:hoistplank:coast"])
            context = place.authority.context(leaf)
            context.maximum_version = version
            client = await connected(("127.0.0.1", place.tls), context)
            for first in range(10, 40):
                client.send(first, "page", {"HTTP_X_DEADLINE_MS": "2500"})
                told = asyncio.ensure_future(client.answer())
                await until(lambda told=told: bool(held) or told.done())  # type: ignore[misc]
                if held:
                    break  # else a stall of the machine has had the module turn it back
            session = client.writer.get_extra_info("ssl_object").session
            address = ("127.0.0.1", place.tls)
            assert await asyncio.to_thread(spoken, address, context, session)  # until then it is let in
            at = time.monotonic()
            if how == "crl":
                place.authority.crl([serial])
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
            _, status, _, _ = await client.answer()  # what was open has its answer, then the connection ends
            assert status in (502, 503)
            assert await client.reader.read() == b""
            # Neither a new handshake nor one that would resume the old session brings it back.
            taken = len(held)
            for resumed in (None, session):
                assert await asyncio.to_thread(spoken, address, context, resumed) == b""
            assert len(held) == taken

    run(scene())


def test_an_expired_revocation_list_refuses_new_handshakes_only(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Known(tmp_path) as place:
            leaf, _ = place.authority.leaf("coast.pem", ["uri:hoistplank:coast"])
            client = await place.secure(leaf)
            assert await place.ask(client=client) == (200, "")
            place.authority.crl([], lasts_s=-5)  # an expired one is not taken up: the one in force stays
            await until(lambda: any(source.failed for source in place.callers.loader.sources))
            assert await place.ask(client=await place.secure(leaf)) == (200, "")
            # Long enough to be taken up on a machine that has other work, too.
            place.authority.crl([], lasts_s=4)
            ends = time.monotonic() + 4.1
            await until(lambda: not any(source.failed for source in place.callers.loader.sources))
            await asyncio.sleep(ends - time.monotonic())
            assert await place.ask(client=client) == (200, "")
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await place.ask(client=await place.secure(leaf))
            assert await place.ask(OLD.token("coast-1"), await place.secure()) == (200, "")

    run(scene())


def test_half_open_handshakes_yield_to_whole_ones(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Known(tmp_path) as place:
            text = (tmp_path / "op.sexp").read_text()
            (tmp_path / "op.sexp").write_text(
                text.replace('(key "server.key")', '(key "server.key") (handshakes 4)')
            )
            place.running.service.renewed.set()
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

    run(scene())


def test_a_reload_swaps_tenants_whole_or_not_at_all(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Known(tmp_path) as place:
            good = (tmp_path / "op.sexp").read_text()
            (tmp_path / "op.sexp").write_text(good + "(log (format loud))")
            place.running.service.renewed.set()
            await asyncio.sleep(0.05)
            assert place.callers.generation == 1 and await place.ask(OLD.token("coast-1")) == (200, "")
            place.operator(extra="(control (listen 127.0.0.1:1))")
            # A form twice, and a listener that can't go: nothing of either is taken.
            place.running.service.renewed.set()
            await asyncio.sleep(0.05)
            (tmp_path / "op.sexp").write_text(
                good.replace(f"(control (listen 127.0.0.1:{place.control}))", "")
            )
            place.running.service.renewed.set()
            await asyncio.sleep(0.05)
            assert place.callers.generation == 1
            place.operator(
                tenants='(tenant inland (subjects "https://id.example" (names inland-*)) (rights read)'
                " (rate 1/s) (burst 2))"
            )
            place.running.service.renewed.set()
            await until(lambda: place.callers.generation == 2)
            assert await place.ask(OLD.token("coast-1")) == (403, "no tenant")
            told = [await place.ask(OLD.token("inland-1"), group=200) for _ in range(3)]
            assert told == [(200, ""), (200, ""), (429, "rate")]

    run(scene())


def test_the_control_front_purges_revokes_and_tells(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Known(tmp_path) as place:
            coast, _ = place.authority.leaf("coast.pem", ["uri:hoistplank:coast"])
            inland, _ = place.authority.leaf("inland.pem", ["uri:hoistplank:inland"])
            staff, _ = place.authority.leaf("staff.pem", ["uri:hoistplank:operations"])
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

    run(scene())


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
