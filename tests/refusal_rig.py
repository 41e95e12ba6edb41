"""Shared by the tests of refusals: a class of each semantics, and a dispatcher before failing hosts."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.failing_cache_host import AttemptFault, FailingCacheServer
from hoistplank.fakes.wire import FastCgiClient

DEADLINE_MS = 400
CONNECTIONS = 8


def traffic_class(semantics: str, scope: str = "all", window_s: float = 3.0) -> dict[str, Any]:
    """The settings of the class `order`, whose requests are not cached."""
    return {
        "name": "order",
        "target": 0.3,
        "give_up": DEADLINE_MS / 1e3,
        "semantics": semantics,
        "gain": 3.0,
        "group": scope,
        "dedup_window": window_s,
    }


class Exchange(NamedTuple):
    """A request and the status of its answer."""

    request_id: str
    status: int


class Played(NamedTuple):
    """What came of many requests: their answers, those that the hosts had whole, and the dispatcher's log."""

    exchanges: list[Exchange]
    taken: set[str]
    log: str

    def statuses(self) -> Counter[int]:
        """How many requests were answered with each status."""
        return Counter(exchange.status for exchange in self.exchanges)

    def wrongly_refused(self) -> list[str]:
        """The requests that a host had whole, and that were refused."""
        return [
            exchange.request_id
            for exchange in self.exchanges
            if exchange.status == 503 and exchange.request_id in self.taken
        ]


async def play_requests(
    folder: Path,
    class_settings: dict[str, Any],
    faults: tuple[AttemptFault, ...],
    spread_s: tuple[float, float],
    count: int,
    seed: int,
) -> Played:
    """Sends requests through a dispatcher process to an origin that fails each, `CONNECTIONS` at once."""
    changes: dict[str, Any] = {"classes": [class_settings], "family_info.uncached": [True]}
    deployment = Deployment(folder, **changes)
    origin = FailingCacheServer("origin-0", "origin", deployment.directory, faults, spread_s, Random(seed))
    deployment.servers[-1] = deployment.origin = origin
    exchanges: list[Exchange] = []
    async with deployment:
        clients = [await deployment.client() for _ in range(CONNECTIONS)]
        shares = [range(number, count, CONNECTIONS) for number in range(CONNECTIONS)]
        await asyncio.gather(
            *(_send(client, share, exchanges) for client, share in zip(clients, shares, strict=True))
        )
    taken = {attempt.request_id for attempt in origin.taken}
    return Played(exchanges, taken, deployment.log_text())


async def _send(client: FastCgiClient, share: range, exchanges: list[Exchange]) -> None:
    for number in share:
        request_id = f"{number + 1:016x}"
        fields = {
            "HTTP_X_CORRELATION_ID": request_id,
            "HTTP_X_DEADLINE_MS": str(DEADLINE_MS),
            "HTTP_X_OPERATION_KEY": request_id * 2,
        }
        client.send(1, "order", fields, b"x" * 100)
        _, status, _, _ = await client.read_answer()
        exchanges.append(Exchange(request_id, status))
