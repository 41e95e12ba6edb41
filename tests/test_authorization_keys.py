"""Tokens and key sets of a dispatcher in service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from hoistplank.authorization.service import AuthorizationService
from hoistplank.fakes.certificate_authority import write_key_set
from hoistplank.operator_configuration.errors import ConfigurationError
from hoistplank.program.sections import load_file
from tests.authorization_rig import NEW, OLD, AuthorizingDispatcher, served
from tests.helpers import configuration, until
from tests.scene_runner import run_scene


def test_tokens_on_the_plain_listener_and_nothing_of_a_refused_request_goes_on(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path) as place:
            assert await place.ask() == (401, "no credentials")
            assert await place.ask(OLD.token("coast-1"), group=40) == (403, "group")
            assert await place.ask("rubbish") == (401, "token form")
            assert await place.ask(NEW.token("coast-1", header={"alg": "none"})) == (401, "token alg")
            assert place.box.requests == [] and place.callers.authorizer.limiter.total_open == 0
            assert await place.ask(OLD.token("coast-1")) == (200, "")
            assert len(place.box.requests) == 1 and place.callers.authorizer.limiter.total_open == 0

    run_scene(scene())


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
        async with AuthorizingDispatcher(tmp_path, slow) as place:
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
            write_key_set(tmp_path / "ring.json", OLD.jwk("verifying"), NEW.jwk())
            await until(
                lambda: "k2" in place.callers.authorizer.authenticator.issuers["https://id.example"].keys
            )
            assert await place.ask(NEW.token("coast-1")) == (200, "")
            assert await place.ask(OLD.token("coast-2")) == (200, "")
            write_key_set(tmp_path / "ring.json", OLD.jwk("retired"), NEW.jwk())
            await until(
                lambda: "k1" not in place.callers.authorizer.authenticator.issuers["https://id.example"].keys
            )
            assert await place.ask(OLD.token("coast-2")) == (401, "token key")
            # The first request is still out: its key's end does not strike it.
            assert place.callers.authorizer.limiter.total_open == 1
            released.set()
            number, status, _, _ = await client.read_answer()
            assert (number, status) == (9, 200)

    run_scene(scene())


@pytest.mark.parametrize("spoil", ["half", "wrong kind", "two alike", "private", "gone"])
def test_a_key_set_that_can_t_be_used_changes_nothing(tmp_path: Path, spoil: str) -> None:
    async def scene() -> None:
        async with AuthorizingDispatcher(tmp_path) as place:
            file = tmp_path / "ring.json"
            row, spoils = OLD.jwk(), dict[str, Callable[[], Any]]()
            spoils["half"] = lambda: file.write_text(file.read_text()[:-9])
            spoils["gone"] = file.unlink
            spoils["wrong kind"] = lambda: write_key_set(file, row | {"kty": "oct", "k": "AAAA"})
            spoils["two alike"] = lambda: write_key_set(file, row, row)
            spoils["private"] = lambda: write_key_set(file, row | {"d": "A"})
            spoils[spoil]()
            await until(lambda: any(source.failed for source in place.callers.loader.sources))
            assert await place.ask(OLD.token("coast-1")) == (200, "")
            assert await place.ask(NEW.token("coast-1")) == (503, "key not known yet")
            place.running.service.reload_requested.set()  # a reload with it changes nothing either
            await asyncio.sleep(0.05)
            assert await place.ask(OLD.token("coast-3")) == (200, "")
            write_key_set(file, OLD.jwk(), NEW.jwk())
            await until(lambda: not any(source.failed for source in place.callers.loader.sources))
            assert await place.ask(NEW.token("coast-1")) == (200, "")

    run_scene(scene())


@pytest.mark.parametrize(
    "change, told",
    [
        (
            lambda d: (d / "server.key").chmod(0o644),
            "mode 0644 gives others access to a private key, expected 0600",
        ),
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
    AuthorizingDispatcher(tmp_path)
    change(tmp_path)
    with pytest.raises(ConfigurationError) as caught:
        AuthorizationService(
            load_file(str(tmp_path / "op.sexp"))["callers"],
            str(tmp_path / "op.sexp"),
            configuration(tmp_path).router_settings,
        )
    assert told in str(caught.value) and str(caught.value).startswith(f"{tmp_path}/op.sexp:")
    assert "PRIVATE" not in str(caught.value)
