"""The log line of a request that was given up after an attempt, and its rate limit."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import pytest
from structlog.testing import capture_logs

from hoistplank.decision.actions import Fail
from hoistplank.fakes.settings import SETTINGS
from hoistplank.fakes.wire import ScriptedCacheHost
from hoistplank.routing.attempt_ending import AttemptEnding
from hoistplank.routing.attempts import Attempt, AttemptRecord
from hoistplank.routing.events import DrainDeadlineReached
from hoistplank.routing.request_log import MAX_BURST_LINES, RequestLog
from hoistplank.transport.transmission import TransmissionState
from tests.dispatcher_scene import KEY, SteadyDispatcher, answering_with, served, silent
from tests.helpers import configuration, until
from tests.scene_runner import run_scene


def given_up_lines(lines: list[Any]) -> list[Any]:
    return lines_of("request given up", lines)


def lines_of(event: str, lines: list[Any]) -> list[Any]:
    return [line for line in lines if line["event"] == event]


def test_log_says_how_each_attempt_of_a_failed_request_ended(tmp_path: Path) -> None:
    async def scene() -> None:
        classes = copy.deepcopy(SETTINGS["classes"])
        classes[1] |= {"semantics": "at_most_once"}
        host = ScriptedCacheHost(answering_with("crashed"))
        with capture_logs() as lines:
            async with SteadyDispatcher(
                tmp_path, {"a": host, "o": host}, **{"settings.classes": classes}
            ) as dispatcher:
                assert (await dispatcher.ask(1, "booking", fields=KEY))[0] == 502
                assert (await dispatcher.ask(2, "page"))[0] == 503  # idempotent: no line
                breakdown = dispatcher.service.router_task.counts.breakdown()
        (line,) = given_up_lines(lines)
        assert (line["request"], line["class_name"], line["answer"]) == (f"{1:016x}", "booking", "failed")
        assert (line["basis"], line["so_far"]) == ("", 1)
        assert line["attempts"][0].startswith("0 at o: crashed, written, ")
        assert breakdown["rejected_by"] == {"idempotent": 1}

    run_scene(scene())


@pytest.mark.parametrize("word, basis", [("crashed", "deduplicated"), ("overload", "never ran")])
def test_log_says_why_a_request_is_sent_again(tmp_path: Path, word: str, basis: str) -> None:
    async def scene() -> None:
        answers = iter([answering_with(word), served])
        host = ScriptedCacheHost(lambda *request: next(answers)(*request))
        with capture_logs() as lines:
            async with SteadyDispatcher(tmp_path, {"a": host, "o": host}) as dispatcher:
                assert (await dispatcher.ask(1, "booking", fields=KEY))[0] == 200
        (line,) = lines_of("request sent again", lines)
        assert (line["request"], line["attempt"], line["basis"]) == (f"{1:016x}", 1, basis)
        assert line["attempts"][0].startswith(f"0 at o: {word}, written, ")
        assert not given_up_lines(lines)

    run_scene(scene())


def test_log_says_what_had_become_of_a_request_that_a_shutdown_failed(tmp_path: Path) -> None:
    async def scene() -> None:
        with capture_logs() as lines:
            host = ScriptedCacheHost(silent)
            async with SteadyDispatcher(tmp_path, {"a": host, "o": host}) as dispatcher:
                dispatcher.client.send(1, "booking", KEY | {"HTTP_X_DEADLINE_MS": "3000"})
                await until(lambda: bool(host.requests))
                dispatcher.service.router_task.submit(DrainDeadlineReached())
                assert (await dispatcher.client.read_answer())[1] == 502
        (line,) = given_up_lines(lines)
        assert (line["request"], line["answer"], line["reason"]) == (
            f"{1:016x}",
            "failed",
            "shutting down",
        )
        assert line["attempts"][0].startswith("0 at o: in flight, written, ")

    run_scene(scene())


class SteppedClock:
    def __init__(self) -> None:
        self.now_us = 0

    def now(self) -> int:
        return self.now_us


def test_lines_of_given_up_requests_are_limited_in_rate(tmp_path: Path) -> None:
    clock = SteppedClock()
    request_log = RequestLog(configuration(tmp_path).router_settings, clock)
    record = AttemptRecord(0, "o", "", AttemptEnding.ERROR, TransmissionState.WRITTEN, 1_000)

    class GivenUp:
        id, class_name, received_us = "r", "booking", 0
        unsuccessful, attempts = (record,), dict[int, Attempt]()

    with capture_logs() as lines:
        for _ in range(int(MAX_BURST_LINES) + 20):
            request_log.given_up(GivenUp(), Fail("r"))  # type: ignore[arg-type]
        assert len(given_up_lines(lines)) == MAX_BURST_LINES
        clock.now_us = 1_000_000
        request_log.given_up(GivenUp(), Fail("r"))  # type: ignore[arg-type]
    assert given_up_lines(lines)[-1]["so_far"] == MAX_BURST_LINES + 21
