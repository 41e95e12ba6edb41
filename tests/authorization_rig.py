"""A running dispatcher that knows its callers, in the middle of its files."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from hoistplank.fakes.certificate_authority import (
    FakeCertificateAuthority,
    TokenSigner,
    operator_text,
    write_key_set,
)
from hoistplank.fakes.deployment import free_port
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost, connect
from hoistplank.program.phase import Phase
from hoistplank.routing.client_session import ClientSession
from tests.dispatcher_scene import SteadyDispatcher
from tests.helpers import until

OLD, NEW = TokenSigner("k1"), TokenSigner("k2", "ES256")


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 4\r\nwell\r\n".encode()


class AuthorizingDispatcher:
    """A dispatcher for two members, in the middle of its files."""

    def __init__(
        self,
        folder: Path,
        answer: Callable[[str, dict[str, str], bytes], bytes | Awaitable[bytes] | None] = served,
        **words: Any,
    ) -> None:
        self.folder, self.authority = folder, FakeCertificateAuthority(folder)
        self.tls, self.control = free_port(), free_port()
        (folder / "revoked.jsonl").touch()
        write_key_set(folder / "ring.json", OLD.jwk())
        self.operator(**words)
        self.box = ScriptedCacheHost(answer)
        # Danger: what a dispatcher rejects for its own load has taken one of its caller's rate tokens.
        self.running = SteadyDispatcher(folder, {"a": self.box, "o": ScriptedCacheHost(answer)})
        self.running.operator = True
        self.asked = 0

    def operator(self, **words: Any) -> None:
        (self.folder / "op.sexp").write_text(operator_text(self.tls, self.control, **words))

    async def __aenter__(self) -> AuthorizingDispatcher:
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
        client: FastCgiClient | None = None,
        group: int = 1,
        class_name: str = "page",
        **fields: str,
    ) -> tuple[int, str]:
        """One request: the status, and why it was refused."""
        self.asked += 1
        if self.asked == 9:
            self.asked += 1
        given = {"HTTP_AUTHORIZATION": f"Bearer {token}"} if token else {}
        client = client or self.running.client
        client.send(self.asked, class_name, given | {"HTTP_X_TAG": str(group)} | fields)
        _, status, head, _ = await asyncio.wait_for(client.read_answer(), 5)
        told = dict(line.split(": ", 1) for line in head.decode().splitlines() if ": " in line)
        return status, told.get("X-Refusal", "")

    def handshakes(self) -> dict[ClientSession, float]:
        """The sessions whose handshake runs, with the loop's time at its beginning."""
        assert self.callers.tls_listener is not None
        return self.callers.tls_listener.pending

    async def secure(self, certificate: Path | None = None, **words: Any) -> FastCgiClient:
        context = self.authority.client_context(certificate)
        for name, value in words.items():
            setattr(context, name, value)
        return await connect(("127.0.0.1", self.tls), context)

    async def http(self, certificate: Path, method: str, path: str, body: object = None) -> Any:
        data = json.dumps(body).encode() if body is not None else b""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1",
            self.control,
            ssl=self.authority.client_context(certificate),
            server_hostname="localhost",
        )
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n".encode()
            + data
        )
        head, _, told = (await asyncio.wait_for(reader.read(), 5)).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), json.loads(told)
