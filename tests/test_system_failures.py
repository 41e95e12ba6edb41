"""A dispatcher process whose clock is stepped and whose system calls fail for a moment."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.faulty_system import COMMAND, PLAN_VARIABLE, FaultPlan
from hoistplank.fakes.wire import FastCgiClient
from tests.helpers import until
from tests.scene_runner import run_scene

HOUR_S = 3_600.0


class FaultyDeployment(Deployment):
    """A deployment whose dispatcher follows a plan of faults."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, command=COMMAND)
        self.plan_file = folder / "faults.json"

    def plan(self, plan: FaultPlan) -> None:
        """Write the plan; the dispatcher takes it up at once if it runs."""
        self.plan_file.write_bytes(msgspec.json.encode(plan))
        if self.process is not None:
            self.process.send_signal(signal.SIGUSR1)


@contextlib.asynccontextmanager
async def faulty_deployment(folder: Path, plan: FaultPlan | None = None) -> AsyncIterator[FaultyDeployment]:
    place = FaultyDeployment(folder)
    place.plan(plan or FaultPlan())
    place.extra_environment[PLAN_VARIABLE] = str(place.plan_file)
    async with place:
        yield place


async def ask(client: FastCgiClient, number: int, **fields: str) -> int:
    """The status of a request for an object of its own."""
    client.send(number, "page", {"HTTP_X_SUBJECT": f"{number:016x}"} | fields)
    return (await asyncio.wait_for(client.read_answer(), 5))[1]


async def requests_outlive_a_step(folder: Path, step_s: float) -> None:
    """Steps the wall clock while a request is open, and sends others after it; all are served."""
    async with faulty_deployment(folder) as place:
        for server in place.servers:
            server.work_s = 0.2
        client = await place.client()
        assert await ask(client, 1) == 200
        client.send(2, "page", {"HTTP_X_SUBJECT": f"{2:016x}"})
        await until(lambda: any(each.request_id == f"{2:016x}" for each in place.caches_received()))
        place.plan(FaultPlan(clock_step_s=step_s))
        assert (await asyncio.wait_for(client.read_answer(), 5))[1] == 200
        for number in range(3, 8):
            assert await ask(client, number) == 200


@pytest.mark.parametrize("step_s", [HOUR_S, 5.0])
def test_a_wall_clock_that_is_set_forward_ends_no_request(tmp_path: Path, step_s: float) -> None:
    """A deadline is a span of real time: a clock that is set forward by an hour has not used it up."""
    run_scene(requests_outlive_a_step(tmp_path, step_s))


@pytest.mark.parametrize("step_s", [-HOUR_S, -5.0])
def test_a_wall_clock_that_is_set_back_ends_no_request(tmp_path: Path, step_s: float) -> None:
    run_scene(requests_outlive_a_step(tmp_path, step_s))


async def requests_outlive_failures(folder: Path, plan: FaultPlan) -> None:
    """Has calls fail while requests come over connections of their own: each is answered, most are served."""
    async with faulty_deployment(folder) as place:
        place.plan(plan)
        statuses = list[int]()
        for number in range(1, 40):
            client = await place.client()
            statuses.append(await ask(client, number))
            client.writer.close()
        assert set(statuses) <= {200, 503} and statuses.count(200) > 30
        assert place.process is not None and place.process.returncode is None
        assert "Traceback" not in place.log_text()


FAILING = {
    "accept": ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS"],
    "socket": ["ENFILE", "ENOBUFS"],
    "connect": ["EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH"],
}


@pytest.mark.parametrize("call", FAILING)
def test_calls_that_fail_for_a_moment_lose_no_request(tmp_path: Path, call: str) -> None:
    run_scene(requests_outlive_failures(tmp_path, FaultPlan(failures={call: FAILING[call]})))


def test_short_reads_and_writes_change_nothing(tmp_path: Path) -> None:
    run_scene(requests_outlive_failures(tmp_path, FaultPlan(max_io_bytes=500)))


def test_a_process_that_finds_no_descriptor_at_its_start_waits_for_one(tmp_path: Path) -> None:
    async def scene() -> None:
        plan = FaultPlan(failures={"socket": ["ENFILE", "ENOBUFS", "EMFILE"]})
        async with faulty_deployment(tmp_path, plan) as place:
            assert await ask(await place.client(), 1) == 200

    run_scene(scene())
