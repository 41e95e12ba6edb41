"""The watch on the change log: silence, gaps, lost lines and a log that counts anew."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import ConnectionHandler, ScriptedCacheHost, serve
from hoistplank.program.phase import Phase
from hoistplank.protocol.changelog import Event, Fleet, Snapshot
from hoistplank.routing import endpoint_watcher as watching
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.events import (
    EndpointsUpdated,
    EndpointWatchStage,
    EndpointWatchStageChanged,
    PurgeReceived,
)
from tests.dispatcher_scene import recorded_call, served, silent
from tests.helpers import Running, until
from tests.scene_runner import run_scene


class EventRecorder:
    """Hears what the change log says, and apart from it how the watch stands."""

    def __init__(self) -> None:
        self.clock, self.events, self.stages = Clock(), list[Any](), list[EndpointWatchStage]()

    def submit(self, event: Any) -> None:
        if isinstance(event, EndpointWatchStageChanged):
            self.stages.append(event.stage)
        else:
            self.events.append(event)


def endpoint_event(seq: int, whole: bool = False, state: str = "ready") -> bytes:
    return json.dumps(fleet_event(seq, [endpoint_entry("a", "box", 9, state)], whole=whole)).encode() + b"\n"


def snapshot(seq: int, *events: bytes) -> Snapshot:
    """The list that a configuration knows, up to `seq`."""
    return msgspec.json.decode(b'{"seq":%d,"results":[%s]}' % (seq, b",".join(events)), type=Snapshot)


@contextlib.asynccontextmanager
async def running(watcher: EndpointWatcher) -> AsyncIterator[None]:
    """Runs a watcher, and ends it with the block."""
    task = asyncio.create_task(watcher.run(), name="endpoint watcher")
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@contextlib.asynccontextmanager
async def followed(talk: ConnectionHandler) -> AsyncIterator[tuple[EndpointWatcher, EventRecorder]]:
    """A watcher that knows a list up to number 1, and follows a log that talks as `talk` does."""
    told = EventRecorder()
    known = snapshot(1, endpoint_event(1, whole=True))
    watcher = EndpointWatcher(told, ("127.0.0.1", await serve(talk)), known, Random(1))
    async with running(watcher):
        yield watcher, told


@pytest.fixture
def short_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """A log counts as silent after 0.2 s."""
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(watching, "CHECK_INTERVAL_S", 0.02)


QUIET_WATCHES: dict[str, list[bytes]] = {
    "silent from its first second": [],
    "silent after half a line": [endpoint_event(2)[:20]],
    "a dribble of bytes": [bytes([byte]) for byte in endpoint_event(2)[:-1]],
    "a number behind ours": [b"0\n"] * 1_000,
    "a number behind ours, as an object": [b'{"seq":0}\n'] * 1_000,
    "the same event again": [endpoint_event(1, whole=True)] * 1_000,
}


@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize("how", QUIET_WATCHES)
def test_a_watch_on_which_nothing_moves_on_is_taken_up_again(how: str) -> None:
    async def scene() -> None:
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            if len(asked) == 1:
                for piece in QUIET_WATCHES[how]:
                    writer.write(piece)
                    await asyncio.sleep(0.02)
            else:
                first = endpoint_event(1, whole=True) * (asked[-1] == 0)
                writer.write(first + endpoint_event(2, state="draining") + b"2\n")
            await reader.read()

        async with followed(talk) as (log, told):
            await until(lambda: log.last_seq == 2)
            # A log that counts anew is asked for all it has; any other goes on from where we are.
            assert asked == [1, 0 if how.startswith("a number behind ours") else 1]
            assert told.events[-1].targets[0].state == "draining"

    run_scene(scene())


@pytest.mark.usefixtures("short_silence")
def test_a_log_that_counts_anew_takes_no_drain_back() -> None:
    async def scene() -> None:
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            # From before the drain.
            writer.write(b"1\n" if asked[-1] else endpoint_event(1, whole=True) + b"1\n")
            await reader.read()

        told = EventRecorder()
        lines = [endpoint_event(1, whole=True), endpoint_event(2, state="draining")]
        known = snapshot(2, *lines)
        log = EndpointWatcher(told, ("127.0.0.1", await serve(talk)), known, Random(1))
        async with running(log):
            await until(lambda: log.last_seq == 1)
            assert asked == [2, 0] and told.events[-1].targets[0].state == "draining"
            # The same process: only a new one is ready again.
            log._apply(msgspec.json.decode(endpoint_event(2), type=Event))
            assert told.events[-1].targets[0].state == "draining"
            new = msgspec.structs.replace(told.events[-1].targets[0], state="ready", boot_ms=5.0)
            log._apply(Event(3, Fleet(3, False, [new])))
            assert told.events[-1].targets[0].state == "ready"

    run_scene(scene())


@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize("number", [b"%d\n", b'{"seq":%d}\n'])
def test_a_watch_that_tells_its_number_each_second_stays(number: bytes) -> None:
    async def scene() -> None:
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            while True:
                writer.write(number % 1)
                await asyncio.sleep(0.05)

        async with followed(talk) as (log, _):
            await until(lambda: log.progress_count > 20)
            assert asked == [1]

    run_scene(scene())


def test_a_line_of_the_log_that_breaks_off_is_asked_for_again_at_once() -> None:
    """Half an event may be a drain: it counts as told, and the seconds that stay away show it far too
    late."""

    async def scene() -> None:
        asked, broke = list[int](), list[float]()
        loop = asyncio.get_running_loop()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            line = endpoint_event(2, state="draining")
            writer.write(line[: len(line) // 2] if len(asked) == 1 else line)
            broke.append(loop.time())
            await reader.read()

        async with followed(talk) as (log, told):
            await until(lambda: log.last_seq == 2)
            assert asked == [1, 1] and loop.time() - broke[0] < 1.0
            assert told.events[-1].targets[0].state == "draining"

    run_scene(scene())


@pytest.mark.parametrize("number", [b"2\n", b'{"seq":2}\n'])
def test_a_number_ahead_of_its_event_asks_for_the_event(number: bytes) -> None:
    """An event was lost on its way: the number shows it, and it must not count as heard."""

    async def scene() -> None:
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            writer.write(number if len(asked) == 1 else endpoint_event(2, state="draining") + number)
            await reader.read()

        async with followed(talk) as (log, told):
            await until(lambda: log.last_seq == 2)
            assert asked == [1, 1] and told.events[-1].targets[0].state == "draining"

    run_scene(scene())


def test_a_log_that_is_back_is_heard_within_a_drains_grace() -> None:
    """What it holds counts as told though nobody is connected: the pause between tries stays short."""

    async def scene() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            port = listener.getsockname()[1]
        told, failed, loop = EventRecorder(), list[float](), asyncio.get_running_loop()
        plain = told.submit

        def tell(event: Any) -> None:
            plain(event)
            failed.append(loop.time())

        told.submit = tell  # type: ignore[method-assign]
        log = EndpointWatcher(told, ("127.0.0.1", port), Snapshot(0, []), Random(1), grace_s=0.25)
        async with running(log):
            await until(lambda: len(failed) > 12)
            assert max(later - first for first, later in zip(failed[5:], failed[6:], strict=False)) < 0.25

    run_scene(scene())


@pytest.mark.usefixtures("short_silence")
def test_a_log_that_answers_late_is_heard_all_the_same() -> None:
    """Asked again before it could answer, it would never be heard, however long it is waited for."""

    async def scene() -> None:
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            await asyncio.sleep(0.5)  # of which a log may usually be silent for 0.2 s
            writer.write(b"1\n")
            await reader.read()

        async with followed(talk) as (log, told):
            await until(lambda: told.stages[-1] is EndpointWatchStage.CONFIRMED)
            assert asked == [1, 1, 1]

    run_scene(scene())


@pytest.mark.usefixtures("short_silence")
def test_events_without_a_number_are_confirmed_by_another_question() -> None:
    """The first of several events says nothing of those behind it."""

    async def scene() -> None:
        asked = list[int]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            writer.write(endpoint_event(2, state="draining") if asked[-1] == 1 else b"2\n")
            await reader.read()

        async with followed(talk) as (log, told):
            await until(lambda: log.last_seq == 2)
            assert told.stages[-1] is EndpointWatchStage.AWAITING_ANSWER
            await until(lambda: told.stages[-1] is EndpointWatchStage.CONFIRMED)
            assert asked == [1, 2] and len(told.events) == 2  # nothing was lost on the way

    run_scene(scene())


@pytest.mark.usefixtures("short_silence")
def test_a_standstill_of_our_own_is_not_taken_for_the_logs_silence() -> None:
    async def scene() -> None:
        asked, speaks = list[int](), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            while True:
                writer.write(b"0\n")
                speaks.set()
                await asyncio.sleep(0.02)

        log = EndpointWatcher(EventRecorder(), ("127.0.0.1", await serve(talk)), Snapshot(0, []), Random(1))
        async with running(log):
            await until(lambda: log.progress_count > 0)
            for _ in range(3):
                stop = asyncio.get_running_loop().time() + 0.3
                while asyncio.get_running_loop().time() < stop:
                    pass  # the loop stands still for longer than a log may be silent
                moves = log.progress_count
                await until(lambda moves=moves: log.progress_count > moves)  # type: ignore[misc]
            assert asked == [0]

    run_scene(scene())


def test_no_descriptor_for_the_watch_ends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        failed, asked, plain = list[int](), list[int](), socket.socket

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            writer.write(b"0\n")
            await reader.read()

        log = EndpointWatcher(EventRecorder(), ("127.0.0.1", await serve(talk)), Snapshot(0, []), Random(1))

        def none(*words: Any) -> Any:
            if len(failed) < 2:
                failed.append(1)
                raise OSError(24, "Too many open files")
            return plain(*words)

        monkeypatch.setattr("hoistplank.transport.connecting.socket.socket", none)
        async with running(log):
            await until(lambda: log.is_current)
            assert asked == [0] and len(failed) == 2

    run_scene(scene())


def test_a_configuration_in_the_log_does_no_harm_to_a_dispatcher_that_follows_it_directly() -> None:
    """It has no use for one; taken for a bare number ahead of its event, it would end the watch for good."""

    async def scene() -> None:
        log = FakeChangeLog(epoch=7)
        told = EventRecorder()
        listing_ = EndpointWatcher(
            told, ("127.0.0.1", await serve(log.serve_connection)), Snapshot(0, []), Random(1)
        )
        async with running(listing_):
            log.publish(fleet_event(1, [endpoint_entry("a", "box", 9)], whole=True))
            log.publish_configuration(2, "x" * 1_000_000)
            log.publish({"seq": 3, "configuration": {"text": ["wrong"]}})
            log.publish({"seq": 4, "invalidate": {"object": "ab", "time": 1}})
            await until(lambda: listing_.last_seq == 4)
            assert [type(event) for event in told.events] == [
                EndpointsUpdated,
                PurgeReceived,
            ] and log.requested_positions == [0]

    run_scene(scene())


def test_change_log_is_taken_up_from_the_last_event_without_gaps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
        ) as dispatcher:
            told: list[Any] = []
            owner = dispatcher.service.router_task
            monkeypatch.setattr(owner, "submit", recorded_call(owner.submit, told))
            dispatcher.tell({"seq": 2, "invalidate": {"object": "ab", "time": 1}})
            dispatcher.tell({"seq": 4, "invalidate": {"bucket": 9, "time": 2}})  # 3 is missing
            await until(lambda: len(dispatcher.since) > 1)
            dispatcher.log.insert(1, {"seq": 3, "invalidate": {"bucket": 8, "time": 3}})
            await until(lambda: dispatcher.service.endpoint_watcher.last_seq == 4)
            assert dispatcher.since[:2] == [1, 2]
            purges = [
                (event.object_key, event.purge_group) for (event,) in told if isinstance(event, PurgeReceived)
            ]
            assert purges == [("ab", 0), ("", 8), ("", 9)]

    run_scene(scene())


def test_silent_change_log_and_silent_host(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A log that says nothing is taken up again; a line on which all was silent gets no new attempts."""

    async def scene() -> None:
        monkeypatch.setattr("hoistplank.routing.endpoint_watcher.SILENCE_TIMEOUT_S", 0.05)
        asked: list[int] = []

        async def quiet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(int((await reader.readline()).split()[1]))
            await reader.read()

        box = ScriptedCacheHost(silent)
        log = f"127.0.0.1:{await serve(quiet)}"
        async with Running(tmp_path, {"a": box, "o": ScriptedCacheHost(silent)}, changelog=log) as dispatcher:
            await until(lambda: len(asked) >= 2)
            # By the list of the configuration, once the longest wait for an answer is over.
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            dispatcher.client = await dispatcher.connect()  # the first one said nothing for too long
            for number in (1, 2, 3):  # the first brings the connection up, the second finds it silent
                await dispatcher.ask(
                    number, "booking", fields={"HTTP_X_DEADLINE_MS": "400", "HTTP_X_OPERATION_KEY": "5c" * 16}
                )
            assert dispatcher.hosts["o"].connections == 2

    run_scene(scene())
