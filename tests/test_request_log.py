"""The log line of a request that was given up after an attempt, and its rate limit."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

from structlog.testing import capture_logs

from hoistplank.decision.actions import Fail
from hoistplank.fakes.settings import SETTINGS
from hoistplank.fakes.wire import ScriptedCacheHost
from hoistplank.routing.attempt_ending import AttemptEnding
from hoistplank.routing.attempts import AttemptRecord
from hoistplank.routing.request_log import MAX_BURST_LINES, RequestLog
from hoistplank.transport.transmission import TransmissionState
from tests.dispatcher_scene import KEY, SteadyDispatcher, answering_with
from tests.helpers import configuration
from tests.scene_runner import run_scene


def given_up_lines(lines: list[Any]) -> list[Any]:
    return [line for line in lines if line["event"] == "request given up"]


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
        unsuccessful = (record,)

    with capture_logs() as lines:
        for _ in range(int(MAX_BURST_LINES) + 20):
            request_log.given_up(GivenUp(), Fail("r"))  # type: ignore[arg-type]
        assert len(given_up_lines(lines)) == MAX_BURST_LINES
        clock.now_us = 1_000_000
        request_log.given_up(GivenUp(), Fail("r"))  # type: ignore[arg-type]
    assert given_up_lines(lines)[-1]["so_far"] == MAX_BURST_LINES + 21
