"""One process of the load tool: sends its part of the schedule independently of the responses.

Latencies are measured from the time at which a request was due, not from when it was sent: otherwise a tool
that falls behind would hide the delay that it causes (coordinated omission). The tool's own lateness has a
separate histogram.
"""

from __future__ import annotations

import asyncio
import ssl
import sys
import time
from collections import Counter, deque
from weakref import WeakSet

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from hoistplank.lab.load.connection import LoadConnection, OutgoingRequest
from hoistplank.lab.load.fastcgi_codec import RequestTemplate
from hoistplank.lab.load.messages import (
    HIGHEST_US,
    SIGNIFICANT_DIGITS,
    Failure,
    LoadJob,
    Message,
    PartResult,
    Progress,
)
from hoistplank.lab.load.schedule import send_times
from hoistplank.lab.load.traffic_mix import RequestSampler

DRAIN_S = 3.0  # maximum wait for responses after the last request
MIN_SLEEP_S = 0.001  # uvloop spins on less than 1 ms
PROGRESS_INTERVAL_S = 0.5
REQUESTS_BEFORE_YIELD = 64
MICROSECONDS = 1e6


class LoadRecorder:
    """The counts and histograms of one process."""

    def __init__(self, job: LoadJob) -> None:
        self._loop = asyncio.get_running_loop()
        self._target_s = job.settings.target_ms / 1_000
        self._lateness = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._latencies = [HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS) for _ in job.mix]
        self._statuses = [Counter[int]() for _ in job.mix]
        self._tenants = [Counter[str]() for _ in range(job.settings.groups)]
        self.counts: Counter[str] = Counter()

    def record_due(self, due: float) -> None:
        """Record that a request is sent, and its lateness."""
        self._lateness.record_value(max(1, int((self._loop.time() - due) * MICROSECONDS)))
        self.counts["sent"] += 1

    def record_response(self, request: OutgoingRequest, status: int) -> None:
        """Record the response to a request."""
        latency_s = self._loop.time() - request.due
        latency_us = min(HIGHEST_US, max(1, int(latency_s * MICROSECONDS)))
        self._latencies[request.class_index].record_value(latency_us)
        self._statuses[request.class_index][status] += 1
        if status == 200 and latency_s <= self._target_s:
            self.counts["in target"] += 1
        self._tenants[request.tenant]["served" if status == 200 else "not served"] += 1
        self.counts["answered"] += 1

    def record_protocol_error(self) -> None:
        """Record a connection on which invalid FastCGI was received."""
        self.counts["no FastCGI"] += 1

    def record_lost(self, requests: int) -> None:
        """Record requests whose connection closed before their responses."""
        self.counts["lost with a connection"] += requests

    def result(self) -> PartResult:
        """Return the measurements."""
        return PartResult(
            counts=dict(self.counts),
            lateness=self._lateness.encode().decode(),
            latencies=[histogram.encode().decode() for histogram in self._latencies],
            statuses=[{str(status): count for status, count in row.items()} for row in self._statuses],
            tenants=[dict(row) for row in self._tenants],
            cpu_s=time.process_time(),
        )


class LoadGenerator:
    """Owns the connections of one process and sends each request when it is due."""

    def __init__(self, job: LoadJob) -> None:
        settings = job.settings
        self._job, self._settings = job, settings
        self._loop = asyncio.get_running_loop()
        self._sampler = RequestSampler(
            job.mix, settings.objects, settings.zipf, settings.groups, settings.seed * 1_000 + job.part
        )
        self._templates = _templates(job)
        self._recorder = LoadRecorder(job)
        self._pool: deque[LoadConnection] = deque()
        # Weak references: closed connections are freed, so that memory stays bounded in a long run.
        self._single_use: WeakSet[LoadConnection] = WeakSet()
        self._connecting: set[asyncio.Task[None]] = set()
        self._tls = _tls_context(settings.ca, settings.certificate)

    async def run(self) -> PartResult:
        """Send this process's part of the schedule. Raises OSError if no connection could be opened."""
        await self._connect_pool()
        try:
            await self._send_schedule()
            await self._drain()
        finally:
            for task in self._connecting:
                task.cancel()
            await asyncio.gather(*self._connecting, return_exceptions=True)
        return self._recorder.result()

    async def _connect_pool(self) -> None:
        for _ in range(self._settings.connections):
            connection = LoadConnection(self._recorder)
            await self._connect(connection)
            self._pool.append(connection)
        if all(connection.is_closed for connection in self._pool):
            raise OSError(f"nobody listens at {self._job.host}:{self._job.port}")

    async def _send_schedule(self) -> None:
        job = self._job
        start = self._loop.time() + max(0.0, job.start_time - time.time())
        last_progress = 0.0
        for number, offset in enumerate(send_times(job.steps, job.part, job.parts), 1):
            now = await self._sleep_until(start + offset)
            self._send(start + offset, number)
            if now - last_progress > PROGRESS_INTERVAL_S:
                last_progress = now
                write_message(Progress(round(offset, 1), number, self._recorder.counts["answered"]))
            if number % REQUESTS_BEFORE_YIELD == 0:
                await asyncio.sleep(0)  # lets responses be read even when the schedule is behind

    async def _sleep_until(self, due: float) -> float:
        """Sleep until `due` and return the current time; return at once if `due` has passed."""
        while True:
            now = self._loop.time()
            if now >= due:
                return now
            await asyncio.sleep(max(MIN_SLEEP_S, due - now))

    def _send(self, due: float, number: int) -> None:
        sampled = self._sampler.next_request()
        request = OutgoingRequest(
            template=self._templates[sampled.class_index][sampled.tenant],
            request_id=(self._settings.seed << 48) | (self._job.part << 40) | number,
            object_number=sampled.object_number,
            due=due,
            class_index=sampled.class_index,
            tenant=sampled.tenant,
        )
        self._recorder.record_due(due)
        if self._settings.fresh_share and self._sampler.chance(self._settings.fresh_share):
            connection = LoadConnection(self._recorder, only=request)
            self._single_use.add(connection)
            self._connect_in_background(connection, "single request")
            return
        pooled = self._connection_with_capacity()
        if pooled is None:
            # Waiting for capacity would turn the open loop into a closed one: the request is only counted.
            self._recorder.counts["no room on connections"] += 1
            return
        pooled.send(request)

    def _connection_with_capacity(self) -> LoadConnection | None:
        """Return a pooled connection with capacity; if there is none, open one more, up to the maximum."""
        for _ in range(len(self._pool)):
            connection = self._pool.popleft()
            if connection.is_closed:
                continue
            self._pool.append(connection)
            if connection.has_capacity():
                return connection
        if len(self._pool) < self._settings.max_connections:
            connection = LoadConnection(self._recorder)
            self._pool.append(connection)
            self._connect_in_background(connection, "pooled")
        return None

    def _connect_in_background(self, connection: LoadConnection, purpose: str) -> None:
        task = asyncio.create_task(self._connect(connection), name=f"connect ({purpose})")
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, connection: LoadConnection) -> None:
        server_hostname = "localhost" if self._tls is not None else None
        try:
            await self._loop.create_connection(
                lambda: connection,
                self._job.host,
                self._job.port,
                ssl=self._tls,
                server_hostname=server_hostname,
            )
        except OSError:
            self._recorder.counts["not connected"] += 1
            connection.is_closed = True

    async def _drain(self) -> None:
        """Wait for the last responses, count the missing ones, and close all connections."""
        deadline = self._loop.time() + DRAIN_S
        await self._wait_until(deadline, set(self._connecting))
        connections = [*self._pool, *self._single_use]
        waiting = {
            asyncio.create_task(connection.wait_idle(), name="wait for responses")
            for connection in connections
        }
        unfinished = await self._wait_until(deadline, waiting)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        self._recorder.counts["never answered"] = sum(connection.in_flight for connection in connections)
        for connection in connections:
            connection.close()

    async def _wait_until(self, deadline: float, tasks: set[asyncio.Task[None]]) -> set[asyncio.Task[None]]:
        """Wait for tasks until a time of the loop's clock; return those that are not done by then."""
        if not tasks:
            return set()
        _, unfinished = await asyncio.wait(tasks, timeout=max(0.0, deadline - self._loop.time()))
        return unfinished


def _templates(job: LoadJob) -> list[list[RequestTemplate]]:
    """Return a template for each traffic class and tenant."""
    tokens = job.settings.tokens or ("",)
    return [
        [
            RequestTemplate(
                row.class_name,
                job.settings.deadline_ms,
                keyed=row.keyed,
                token=tokens[tenant % len(tokens)],
                fields={"HTTP_X_TAG": str(tenant + 1)},
            )
            for tenant in range(job.settings.groups)
        ]
        for row in job.mix
    ]


def _tls_context(ca: str, certificate: str) -> ssl.SSLContext | None:
    if not ca:
        return None
    context = ssl.create_default_context(cafile=ca)
    if certificate:
        context.load_cert_chain(certificate)
    return context


def write_message(message: Message) -> None:
    """Write a message for the coordinator to standard output."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


async def _generate(job: LoadJob) -> PartResult:
    return await LoadGenerator(job).run()


def main() -> int:
    """Run the job on standard input; write progress and the result to standard output."""
    job = msgspec.json.decode(sys.stdin.buffer.readline(), type=LoadJob)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            write_message(runner.run(_generate(job)))
    except OSError as error:
        write_message(Failure(str(error)))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
