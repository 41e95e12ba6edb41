"""Steps of the wall clock and temporary failures of system calls in a dispatcher process."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.faulty_system import COMMAND, PLAN_VARIABLE, FaultPlan
from hoistplank.fakes.wire import FastCgiClient
from tests.helpers import until
from tests.scene_runner import run_scene

HOUR_S = 3_600.0


class FaultyDeployment(Deployment):
    """A deployment whose dispatcher injects the faults of a plan."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, command=COMMAND)
        self.plan_file = folder / "faults.json"

    def plan(self, plan: FaultPlan) -> None:
        """Writes the plan; a running dispatcher applies it at once."""
        plan.write(self.plan_file)
        if self.process is not None:
            self.process.send_signal(signal.SIGUSR1)


@contextlib.asynccontextmanager
async def faulty_deployment(folder: Path, plan: FaultPlan | None = None) -> AsyncIterator[FaultyDeployment]:
    deployment = FaultyDeployment(folder)
    deployment.plan(plan or FaultPlan())
    deployment.extra_environment[PLAN_VARIABLE] = str(deployment.plan_file)
    async with deployment:
        yield deployment


async def ask(client: FastCgiClient, number: int, **fields: str) -> int:
    """Sends a request for a separate object; returns the status of the answer."""
    client.send(number, "page", {"HTTP_X_SUBJECT": f"{number:016x}"} | fields)
    return (await asyncio.wait_for(client.read_answer(), 5))[1]


async def check_requests_across_clock_step(folder: Path, step_s: float) -> None:
    """Checks that a request open during a step of the wall clock and later requests are served."""
    async with faulty_deployment(folder) as deployment:
        for server in deployment.servers:
            server.work_s = 0.2
        client = await deployment.client()
        assert await ask(client, 1) == 200
        client.send(2, "page", {"HTTP_X_SUBJECT": f"{2:016x}"})
        await until(lambda: any(each.request_id == f"{2:016x}" for each in deployment.caches_received()))
        deployment.plan(FaultPlan(clock_step_s=step_s))
        assert (await asyncio.wait_for(client.read_answer(), 5))[1] == 200
        for number in range(3, 8):
            assert await ask(client, number) == 200


@pytest.mark.parametrize("step_s", [HOUR_S, 5.0])
def test_forward_step_of_the_wall_clock_ends_no_request(tmp_path: Path, step_s: float) -> None:
    """A deadline is a duration of real time: setting the clock forward by an hour does not use it up."""
    run_scene(check_requests_across_clock_step(tmp_path, step_s))


@pytest.mark.parametrize("step_s", [-HOUR_S, -5.0])
def test_backward_step_of_the_wall_clock_ends_no_request(tmp_path: Path, step_s: float) -> None:
    run_scene(check_requests_across_clock_step(tmp_path, step_s))


async def check_requests_during_failures(folder: Path, plan: FaultPlan) -> None:
    """Checks that, while calls fail, each request on a new connection is answered and most are served."""
    async with faulty_deployment(folder) as deployment:
        deployment.plan(plan)
        statuses = list[int]()
        for number in range(1, 40):
            client = await deployment.client()
            statuses.append(await ask(client, number))
            client.writer.close()
        assert set(statuses) <= {200, 503} and statuses.count(200) > 30
        assert deployment.process is not None and deployment.process.returncode is None
        assert "Traceback" not in deployment.log_text()


FAILING = {
    "accept": ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS"],
    "socket": ["ENFILE", "ENOBUFS"],
    "connect": ["EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH"],
}


@pytest.mark.parametrize("call", FAILING)
def test_temporary_failures_of_system_calls_lose_no_request(tmp_path: Path, call: str) -> None:
    run_scene(check_requests_during_failures(tmp_path, FaultPlan(failures={call: FAILING[call]})))


def test_short_reads_and_writes_lose_no_request(tmp_path: Path) -> None:
    run_scene(check_requests_during_failures(tmp_path, FaultPlan(max_io_bytes=500)))


def test_dispatcher_waits_for_a_descriptor_at_its_start(tmp_path: Path) -> None:
    async def scene() -> None:
        plan = FaultPlan(failures={"socket": ["ENFILE", "ENOBUFS", "EMFILE"]})
        async with faulty_deployment(tmp_path, plan) as deployment:
            assert await ask(await deployment.client(), 1) == 200

    run_scene(scene())


def test_new_plan_does_not_end_a_process_that_is_ending(tmp_path: Path) -> None:
    """Its interpreter restores the default of SIGUSR1, which the soak took for a crash of the dispatcher."""

    async def scene() -> None:
        async with faulty_deployment(tmp_path) as deployment:
            process = deployment.process
            assert process is not None
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                deployment.plan(FaultPlan())
                await asyncio.sleep(0.001)
            assert process.returncode == 0

    run_scene(scene())
