"""One process of the load tool: sends on its part of the schedule, whatever the answers do, and counts.

Times count from the moment at which a request was due, not from when it was sent: a tool that falls behind
would else hide the waiting that it causes (coordinated omission). Its own lateness is a histogram of its own.
"""

from __future__ import annotations

import asyncio
import json
import ssl
import sys
import time
from collections import Counter
from typing import Any, cast

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from hoistplank.lab.load.plan import Mix, Step, Wants, times
from hoistplank.lab.load.wire import Answers, Template

MOST_OPEN = 30  # requests on one connection: a dispatcher takes 32
HIGHEST_US = 60_000_000
LAST_S = 3.0  # for answers after the last request


class Job(msgspec.Struct):
    """What one process is to do."""

    host: str
    port: int
    steps: list[tuple[float, float, float]]
    part: int
    parts: int
    mix: list[tuple[str, float, bool]]
    begin: float  # Unix seconds, the same for all processes
    deadline_ms: int = 1_500
    objects: int = 1_000
    zipf: float = 1.0
    connections: int = 4
    most_connections: int = 64
    fresh_share: float = 0.0  # of requests: each over a connection of its own
    tokens: list[str] = []
    groups: int = 1
    ca: str = ""
    certificate: str = ""
    seed: int = 1
    target_ms: int = 0  # an answer served within so long of its due time is counted "in target"; 0: none is


class Line(asyncio.Protocol):
    """One connection; knows what is open on it and when that was due."""

    def __init__(self, engine: Engine, once: bool = False) -> None:
        self.engine, self.once, self.answers = engine, once, Answers()
        self.open: dict[int, tuple[float, int, int]] = {}
        self.number, self.gone = 0, False
        self.transport: asyncio.Transport | None = None
        self.first: list[tuple[Template, int, int, float, int, int]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not of asyncio's class, but do all that it does.
        self.transport = cast(asyncio.Transport, transport)
        for row in self.first:
            self.send(*row)

    def send(
        self, template: Template, id: int, object_number: int, due: float, row: int, tenant: int
    ) -> None:
        self.number = self.number % 60_000 + 1
        while self.number in self.open:
            self.number += 1
        self.open[self.number] = (due, row, tenant)
        assert self.transport is not None
        self.transport.write(template.encode(self.number, id, object_number))

    def data_received(self, data: bytes) -> None:
        now = self.engine.loop.time()
        try:
            found = self.answers.feed(data)
        except ValueError:
            self.engine.counts["no FastCGI"] += 1
            assert self.transport is not None
            self.transport.abort()
            return
        for number, status in found:
            sent = self.open.pop(number, None)
            if sent is not None:
                self.engine.answered(now, sent, status)
        if self.once and not self.open and self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        if self.open:
            self.engine.counts["lost with a connection"] += len(self.open)
        self.open.clear()


class Engine:
    def __init__(self, job: Job) -> None:
        self.job, self.loop = job, asyncio.get_running_loop()
        rows = tuple(Mix(*row) for row in job.mix)
        self.wants = Wants(rows, job.objects, job.zipf, job.groups, job.seed * 1_000 + job.part)
        tokens = job.tokens or [""]
        self.templates = [
            [
                Template(
                    row.class_name,
                    job.deadline_ms,
                    row.keyed,
                    tokens[n % len(tokens)],
                    {"HTTP_X_TAG": str(n + 1)},
                )
                for n in range(job.groups)
            ]
            for row in rows
        ]
        self.took = [HdrHistogram(1, HIGHEST_US, 3) for _ in rows]
        self.late, self.statuses = HdrHistogram(1, HIGHEST_US, 3), [Counter[int]() for _ in rows]
        self.tenants = [Counter[str]() for _ in range(job.groups)]
        self.counts: Counter[str] = Counter()
        self.lines: list[Line] = []
        self.opening: set[asyncio.Task[Any]] = set()
        self.context: ssl.SSLContext | None = None
        if job.ca:
            self.context = ssl.create_default_context(cafile=job.ca)
            if job.certificate:
                self.context.load_cert_chain(job.certificate)

    async def _open(self, line: Line) -> None:
        name = "localhost" if self.context is not None else None
        try:
            await self.loop.create_connection(
                lambda: line, self.job.host, self.job.port, ssl=self.context, server_hostname=name
            )
        except OSError:
            self.counts["not connected"] += max(1, len(line.first))
            line.gone = True

    def _opening(self, line: Line) -> None:
        task = asyncio.ensure_future(self._open(line))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    def _line(self) -> Line | None:
        """The next kept connection with room; where none has any, one more, up to a bound."""
        for _ in range(len(self.lines)):
            line = self.lines.pop(0)
            if line.gone:
                continue
            self.lines.append(line)
            if line.transport is not None and len(line.open) < MOST_OPEN:
                return line
        if len(self.lines) < self.job.most_connections:
            self.lines.append(Line(self))
            self._opening(self.lines[-1])
        return None

    def _send(self, due: float, number: int) -> None:
        row, object_number, tenant = self.wants.next()
        template = self.templates[row][tenant]
        id = (self.job.seed << 48) | (self.job.part << 40) | number
        self.late.record_value(max(1, int((self.loop.time() - due) * 1e6)))
        self.counts["sent"] += 1
        if self.job.fresh_share and self.wants.chance.random() < self.job.fresh_share:
            line = Line(self, once=True)
            line.first.append((template, id, object_number, due, row, tenant))
            self._opening(line)
            return
        found = self._line()
        if found is None:
            # Danger: to wait for room would turn the open loop into a closed one. It is told as what it is.
            self.counts["no room on connections"] += 1
            return
        found.send(template, id, object_number, due, row, tenant)

    def answered(self, now: float, sent: tuple[float, int, int], status: int) -> None:
        due, row, tenant = sent
        self.took[row].record_value(min(HIGHEST_US, max(1, int((now - due) * 1e6))))
        self.statuses[row][status] += 1
        if status == 200 and now - due <= self.job.target_ms / 1_000:
            self.counts["in target"] += 1
        self.tenants[tenant]["served" if status == 200 else "not served"] += 1
        self.counts["answered"] += 1

    async def run(self) -> dict[str, Any]:
        job = self.job
        for _ in range(job.connections):
            line = Line(self)
            await self._open(line)
            self.lines.append(line)
        if all(line.gone for line in self.lines):
            raise OSError(f"nobody listens at {job.host}:{job.port}")
        began = self.loop.time() + max(0.0, job.begin - time.time())
        told = 0.0
        schedule = times(tuple(Step(*step) for step in job.steps), job.part, job.parts)
        for number, at in enumerate(schedule, 1):
            due = began + at
            while (now := self.loop.time()) < due:
                await asyncio.sleep(max(0.001, due - now))  # uvloop spins on less than 1 ms
            self._send(due, number)
            if now - told > 0.5:
                told = now
                print(
                    json.dumps({"at": round(at, 1), "sent": number, "answered": self.counts["answered"]}),
                    flush=True,
                )
            if number % 64 == 0:
                await asyncio.sleep(0)  # answers are read even while all of the schedule lies behind
        until = self.loop.time() + LAST_S
        while self.loop.time() < until and any(line.open for line in self.lines):
            await asyncio.sleep(0.01)
        self.counts["never answered"] = sum(len(line.open) for line in self.lines)
        for line in self.lines:
            if line.transport is not None:
                line.open.clear()
                line.transport.close()
        return {
            "counts": dict(self.counts),
            "late": self.late.encode().decode(),
            "took": [row.encode().decode() for row in self.took],
            "statuses": [{str(k): v for k, v in row.items()} for row in self.statuses],
            "tenants": [dict(row) for row in self.tenants],
            "cpu_s": time.process_time(),
        }


def main() -> int:
    job = msgspec.json.decode(sys.stdin.buffer.readline(), type=Job)

    async def go() -> dict[str, Any]:
        return await Engine(job).run()

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            print(json.dumps({"result": runner.run(go())}), flush=True)
    except OSError as wrong:
        print(json.dumps({"wrong": str(wrong)}), flush=True)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
