"""The fleet's rig: what a path does, relays as processes, scenes, checkers, and runs that are cut off."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.cli.main import main
from hoistplank.fakes.deployment import free_port
from hoistplank.lab.fleet import faulty_dispatchers, processes, runner, virtual, worker
from hoistplank.lab.fleet.metrics import FleetMetrics, SharedResource, jain_index
from hoistplank.lab.fleet.path_conditions import (
    UNIMPAIRED,
    DatagramDirection,
    PathConditions,
    StreamDirection,
    chance,
)
from hoistplank.lab.fleet.relay_messages import PathAction
from hoistplank.lab.fleet.relay_pool import RelayPool
from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.fleet.scene_faults import lasts
from hoistplank.lab.fleet.scene_reader import read
from hoistplank.lab.fleet.worker import Job, told
from hoistplank.lab.model.world_settings import SECOND_US
from hoistplank.lab.policies import policy
from hoistplank.operator_configuration.errors import ConfigurationError

ROOT = Path(__file__).resolve().parents[1]
SCENES = ROOT / "deploy" / "fleet"

# Paths.

SPANS = st.integers(0, 300_000)
CONDITIONS = st.builds(
    PathConditions,
    delay_us=SPANS,
    spread_us=SPANS,
    rate=st.sampled_from([0.0, 1e4, 1e6]),
    silent=st.booleans(),
)


STEPS = st.lists(st.tuples(st.integers(0, 200_000), st.integers(0, 5_000), CONDITIONS), max_size=30)


@given(STEPS, st.integers(0, 99))
def test_a_stream_keeps_its_order_and_loses_nothing_whatever_the_terms(
    steps: list[tuple[int, int, PathConditions]], seed: int
) -> None:
    stream, now, came = StreamDirection[int](UNIMPAIRED, chance(seed, "a>b")), 0, list[tuple[int, int]]()
    for n, (wait, size, conditions) in enumerate(steps):
        now += wait
        came += stream.set_conditions(now, conditions)
        came += stream.push(now, size, n)
    came += stream.set_conditions(now + 1, UNIMPAIRED)
    assert [item for _, item in came] == list(range(len(steps))) and stream.held() == 0
    times = [at for at, _ in came]
    assert times == sorted(times)


def test_a_rate_bounds_a_stream_and_a_silence_holds_it() -> None:
    stream = StreamDirection[str](PathConditions(rate=1e6), chance(1, "a>b"))
    assert stream.push(0, 500_000, "a") == [(500_000, "a")]
    assert stream.push(0, 500_000, "b") == [(1_000_000, "b")]
    stream.set_conditions(1_000_000, PathConditions(silent=True))
    assert stream.push(1_200_000, 7, "c") == [] and stream.held() == 7
    assert stream.set_conditions(3_000_000, UNIMPAIRED) == [(3_000_000, "c")]


def test_datagrams_are_lost_doubled_late_and_changed_by_their_shares_and_their_seed() -> None:
    def played(conditions: PathConditions, seed: int = 1) -> list[tuple[int, bytes]]:
        direction = DatagramDirection(conditions, chance(seed, "d0~d1/there"))
        return [pair for n in range(2_000) for pair in direction.push(n, n.to_bytes(4, "big"))]

    assert len(played(PathConditions(loss=0.4))) == pytest.approx(1_200, abs=80)
    assert len(played(PathConditions(double=0.3))) == pytest.approx(2_600, abs=80)
    late = [
        at for at, data in played(PathConditions(tardy=0.2, tardy_us=2 * SECOND_US)) if at >= 2 * SECOND_US
    ]
    assert len(late) == pytest.approx(400, abs=60)
    changed = [
        data for n, (_, data) in enumerate(played(PathConditions(flip=0.5))) if data != n.to_bytes(4, "big")
    ]
    assert len(changed) == pytest.approx(1_000, abs=80) and all(len(data) == 4 for data in changed)
    jumbled = played(PathConditions(jumble=0.5, jumble_us=1_000))
    assert [at for at, _ in jumbled] != sorted(at for at, _ in jumbled)
    assert played(PathConditions(silent=True)) == []
    assert (
        played(PathConditions(loss=0.4))
        == played(PathConditions(loss=0.4))
        != played(PathConditions(loss=0.4), 2)
    )
    # Another share leaves all other draws as they were: the same ones are lost.
    first, second = (
        ({data for _, data in played(PathConditions(loss=0.2, double=share))}) for share in (0.0, 0.9)
    )
    assert first == second


# RelayPool, as processes.


def relayed(scene: Callable[[RelayPool, int], Awaitable[None]]) -> None:
    """A scene with one relay process and a server that echoes."""

    async def whole() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while data := await reader.read(65_536):
                    writer.write(data)
                    await writer.drain()
            except ConnectionError:
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relays = RelayPool()
        await relays.start(1, 3)
        try:
            await scene(relays, int(server.sockets[0].getsockname()[1]))
        finally:
            await relays.stop()
            server.close()
        assert all(relay.process.returncode == 0 for relay in relays.relays)

    asyncio.run(asyncio.wait_for(whole(), 30))


async def opened(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", port)


async def silent(reader: asyncio.StreamReader, length: float = 0.3) -> bool:
    """Whether nothing comes for so long, not even an end."""
    try:
        await asyncio.wait_for(reader.read(1), length)
    except TimeoutError:
        return True
    return False


def test_a_relay_carries_holds_one_direction_and_goes_on() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        reader, writer = await opened(port)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        # What goes there is heard, what comes back is not.
        relays.set_conditions(["d0>c0-0"], True, silent=True)
        await relays.statistics()
        writer.write(b"two")
        assert await silent(reader)
        relays.set_conditions(["d0>c0-0"], True, silent=False)
        assert await reader.readexactly(3) == b"two"
        relays.set_conditions(["d0>c0-0"], False, delay_us=200_000)
        await relays.statistics()
        began = time.monotonic()
        writer.write(b"six")
        assert await reader.readexactly(3) == b"six" and time.monotonic() - began >= 0.19

    relayed(scene)


def test_a_relay_resets_refuses_and_lets_connections_die_without_a_word() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        reader, writer = await opened(port)
        writer.write(b"up")
        await reader.readexactly(2)
        relays.apply(["d0>c0-0"], PathAction.DEADEN)
        await relays.statistics()
        writer.write(b"dead")
        assert await silent(reader)
        fresh, other = await opened(port)
        other.write(b"new")
        assert await fresh.readexactly(3) == b"new"
        relays.apply(["d0>c0-0"], PathAction.SHUT)
        await relays.statistics()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await fresh.readexactly(1)
        with pytest.raises(ConnectionRefusedError):
            await opened(port)
        relays.apply(["d0>c0-0"], PathAction.OPEN)
        await relays.statistics()
        again, last = await opened(port)
        last.write(b"back")
        assert await again.readexactly(4) == b"back"

    relayed(scene)


def test_a_party_that_is_gone_resets_what_the_relay_holds_for_it() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        # Nobody listens there: what was accepted breaks.
        port = await relays.open_stream_path("d0>c0-1", free_port(), 0)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            reader, writer = await opened(port)
            writer.write(b"anybody")
            await reader.readexactly(1)
        # A process that dies while bytes for it wait out a delay.
        child = subprocess.Popen(
            [
                sys.executable,
                "-c",
                "import socket,sys\ns=socket.create_server(('127.0.0.1',0))\n"
                "print(s.getsockname()[1],flush=True)\nc,_=s.accept()\nc.recv(1)\nc.sendall(b'k')\nsys.stdin.read()",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None
        port = await relays.open_stream_path("d0>c0-2", int(child.stdout.readline()), 0)
        reader, writer = await opened(port)
        writer.write(b"x")
        assert await reader.readexactly(1) == b"k"
        relays.set_conditions(["d0>c0-2"], False, delay_us=300_000)
        await relays.statistics()
        writer.write(b"held")
        child.kill()
        child.wait()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)

    relayed(scene)


def test_both_ends_that_close_at_once_leave_no_connection_behind() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        async def brief(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        closing = await asyncio.start_server(brief, "127.0.0.1", 0)
        port = await relays.open_stream_path("d0>c0-0", int(closing.sockets[0].getsockname()[1]), 0)
        for _ in range(40):
            _, writer = await opened(port)
            writer.close()
        for _ in range(100):
            found = await relays.relays[0].statistics()
            if not found.connections:
                break
            await asyncio.sleep(0.05)
        assert found.connections == 0
        closing.close()

    relayed(scene)


def test_datagrams_pass_between_two_parties_each_way_by_itself() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        loop, ends = asyncio.get_running_loop(), []
        for _ in range(2):
            end = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            end.bind(("127.0.0.1", 0))
            end.setblocking(False)
            ends.append(end)
        one, other = ends
        ports = await relays.open_datagram_path("d0~d1", one.getsockname()[1], other.getsockname()[1], 0)
        await loop.sock_sendto(one, b"hello", ("127.0.0.1", ports[0]))
        data, sender = await loop.sock_recvfrom(other, 100)
        # It comes from where the receiver knows the sender: an answer finds its way.
        assert data == b"hello" and sender[1] == ports[1]
        relays.set_conditions(["d0~d1"], True, loss=1.0)
        await relays.statistics()
        await loop.sock_sendto(other, b"lost", ("127.0.0.1", ports[1]))
        await loop.sock_sendto(one, b"there", ("127.0.0.1", ports[0]))
        assert await loop.sock_recv(other, 100) == b"there"
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(loop.sock_recv(one, 100), 0.2)
        for end in ends:
            end.close()

    relayed(scene)


def test_a_stream_through_a_relay_keeps_its_order_whatever_delays_are_drawn() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        reader, writer = await opened(port)
        sent = b"".join(n.to_bytes(4, "big") for n in range(3_000))
        relays.set_conditions(["d0>c0-0"], False, delay_us=900, spread_us=2_500)
        relays.set_conditions(["d0>c0-0"], True, spread_us=1_700)
        for at in range(0, len(sent), 12):
            writer.write(sent[at : at + 12])
            if at % 60 == 0:
                await asyncio.sleep(0.0007)
            if at == 6_000:
                # What still waits out its delay must not be overtaken once nothing is set any more.
                relays.set_conditions(["d0>c0-0"], False, delay_us=0, spread_us=0)
                relays.set_conditions(["d0>c0-0"], True, spread_us=0)
        assert await asyncio.wait_for(reader.readexactly(len(sent)), 10) == sent

    relayed(scene)


def test_a_party_that_stands_still_stops_its_sender_and_loses_nothing() -> None:
    async def scene(relays: RelayPool, server: int) -> None:
        port = await relays.open_stream_path("d0>c0-0", server, 0)
        relays.set_conditions(["d0>c0-0"], True, silent=True)
        await relays.statistics()
        reader, writer = await opened(port)
        sent = Random(3).randbytes(40_000_000)

        async def send() -> None:
            for at in range(0, len(sent), 100_000):
                writer.write(sent[at : at + 100_000])
                await writer.drain()

        sending = asyncio.ensure_future(send())
        await asyncio.wait([sending], timeout=0.5)
        assert not sending.done()  # the relay holds some of it and reads no more
        relays.set_conditions(["d0>c0-0"], True, silent=False)
        assert await asyncio.wait_for(reader.readexactly(len(sent)), 10) == sent
        await sending

    relayed(scene)


# Scenes.

BROKEN_SCENES = {
    "(scene a (at 1s (gone z7 caches for 2s noticed 1s)))": ("s:1:17", "'z7'", "a party of this fleet"),
    "(scene a (at 1s (down d9 for 2s)))": ("s:1:17", "'d9'", "9 dispatchers"),
    "(scene a (at 9s (down d0 for 2s)))": ("s:1:17", "at 9s", "within the 8 s"),
    "(scene a (at 1s (hush c0-0 c0-1 for 2s)))": ("s:1:17", "no path", "one end a dispatcher"),
    "(scene a (at 1s (loss d0 c0-0 0.5 for 2s)))": ("s:1:17", "no path", "one end a dispatcher"),
    "(scene a (at 1s (move z0 z0 0.5 after 1s spread 1s for 2s)))": ("s:1:17", "move", "two different"),
    "(scene a (at 1s (vanquish z0)))": ("s:1:17", "unknown fault", "'vanish'"),
    "(scene a (drives virtual) (at 1s (starve d0 0.5 for 2s)))": ("s:1:10", "'virtual'", "only they have it"),
    "(scene a (expect earned z0 over 0.5))": ("s:1:18", "earned z0 over", "above|below"),
    "(scene a (expect utility above 0.5))": ("s:1:18", "unknown measure", "'earned'"),
    "(scene a (expect earned above 0.5 from 2s to 20s))": ("s:1:10", "from 2s to 20s", "within the 8 s"),
    "(scene a (expect earned z7 above 0.5))": ("s:1:10", "earned z7", "a location of z0, z1, z2"),
    "(scene a (expect refused z1 below 0.5))": ("s:1:10", "refused z1", "no place"),
    "(scene a (expect lost to-thieves below 0.5))": ("s:1:10", "to-thieves", "a cause: rejected"),
    "(scene a (expect fair above 0.5 from 1s to 2s))": ("s:1:10", "from 1s", "of the whole scene"),
    "(scene a (at 1s (halfway clients d0)))": ("s:1:17", "halfway clients", "between a dispatcher and hosts"),
    "(scene a (locations 300))": ("s:1:21", "'300'", "from 1 to 30"),
    "(scene)": ("s:1:1", "no name", "a name"),
    "(scene a) (scene b)": ("s:1:1", "2 forms", "one '(scene"),
}


@pytest.mark.parametrize("text", BROKEN_SCENES)
def test_a_scene_that_can_t_be_met_is_told_with_its_place_before_anything_starts(
    text: str, tmp_path: Path
) -> None:
    place, found, wants = BROKEN_SCENES[text]
    with pytest.raises(ConfigurationError) as told:
        read(text.encode(), "s")
    first = str(told.value.diagnostics[0])
    assert first.startswith(place) and found in first and wants in first, first
    file = tmp_path / "s.sexp"
    file.write_text(text)
    called = CliRunner().invoke(main, ["lab", "fleet", str(file)])
    assert called.exit_code == 2 and found in called.output


def test_the_repository_s_scenes_read_the_same_again_and_know_their_ends() -> None:
    found = runner.scenes([str(SCENES)])
    assert len(found) >= 12 and len({scene.name for scene, _ in found}) == len(found)
    for scene, _ in found:
        assert scene.doc and all(
            row.at + lasts(row) <= (scene.seconds + 2) * SECOND_US for row in scene.faults()
        )
    with pytest.raises(ConfigurationError, match="no scene 'none'"):
        runner.scenes([str(SCENES)], "none")
    with pytest.raises(ConfigurationError, match="can't be read"):
        runner.scenes([str(SCENES / "none.sexp")])


def by_name(name: str) -> Scene:
    return runner.scenes([str(SCENES)], name)[0][0]


PLAYED = [scene.name for scene, _ in runner.scenes([str(SCENES)]) if "virtual" in scene.drives]


@pytest.mark.parametrize("name", PLAYED)
def test_scenes_hold_in_virtual_time(name: str) -> None:
    job = Job(scene=by_name(name), drive="virtual", seed=1, folder="", beside="")
    world, metrics = virtual.build_world(job.scene, 1, policy("module"))
    world.run()
    found = told(job, world, metrics, 0.0, {})
    assert found["failures"] == [] and found["visits"] > 100


def test_one_seed_gives_one_trace_and_another_seed_another_one() -> None:
    def trace(seed: int) -> Any:
        world, metrics = virtual.build_world(by_name("place-lost"), seed, policy("module"))
        world.run()
        return metrics.figures()

    assert trace(1) == trace(1) != trace(2)


def test_a_path_s_silence_and_a_stall_act_in_virtual_time_as_they_say() -> None:
    text = "(scene a (seconds 4s) (warm 2s) (at 1s ({})) (expect earned above 0))"
    calm, usual = virtual.build_world(read(b"(scene a (seconds 4s) (warm 2s))", "a"), 1, policy("module"))
    calm.run()
    for fault in ("hush z0 d0 for 2s", "freeze d0 for 2s", "hush clients d0 for 2s"):
        world, metrics = virtual.build_world(read(text.format(fault).encode(), "a"), 1, policy("module"))
        late = [0]

        def answered(
            now: int, request: Any, how: str, metrics: FleetMetrics = metrics, late: list[int] = late
        ) -> None:
            if request.dispatcher == 0 and 3_050_000 < now < 4_900_000 and how == "served":
                late[0] += 1
            FleetMetrics.answered(metrics, now, request, how)

        metrics.answered = answered  # type: ignore[method-assign]
        world.run()
        # The others go on; of this one nothing comes, or nothing of its caches.
        assert sum(world.rules.counts.values()) == 0 and metrics.unaccounted() == []
        assert metrics.by_dispatcher[0][1] < usual.by_dispatcher[0][1], fault
        if fault.startswith("freeze"):
            assert late[0] == 0, fault


# What only a fleet can break.


def test_each_checker_fires_on_what_was_made_for_it_and_lets_the_module_pass() -> None:
    assert faulty_dispatchers.fires() == dict.fromkeys([*faulty_dispatchers.FLEET, "forgetful"], (True, True))


def test_sums_and_fairness_are_counted_by_the_truth() -> None:
    assert jain_index([1, 1, 1]) == 1 and jain_index([1, 0, 0, 0]) == 0.25 and jain_index([]) == 1
    held = SharedResource(4.0)
    for parts in ([1.0, 2.0], [3.0, 2.0], [4.0]):
        held.sample(parts)
    assert (held.most, held.over, held.samples) == (1.25, 1, 3)


def test_results_become_a_page_and_a_bound_that_fails_an_exit_code(tmp_path: Path) -> None:
    file, out = tmp_path / "lost.sexp", tmp_path / "out"
    text = "(scene lost (seconds 3s) (warm 1s) (at 1s (gone z0 caches for 1s noticed 300ms)) (expect {}))"
    call = CliRunner().invoke
    words = ["lab", "fleet", str(file), "--drive", "virtual", "--policy", "seer", "--out", str(out)]
    file.write_text(text.format("earned above 0.999"))
    failed = call(main, words)
    assert failed.exit_code == 1 and "lost virtual module seed 1: failed" in failed.output
    assert "earned above 0.999: 0." in failed.output
    file.write_text(text.format("earned above 0.1"))
    held = call(main, words)
    assert held.exit_code == 0 and "lost virtual seer seed 1: held" in held.output
    # A second run stands beside the first one, with the faults marked.
    assert call(main, ["lab", "report", str(out), str(out)]).exit_code == 0
    page = (out / "report.html").read_text()
    assert page.count("virtual, module, seed 1") >= 2 * 5 and page.count("<svg") == 5
    assert "Utility by location; faults shaded" in page and "gone z0 caches" in page
    nothing = call(main, ["lab", "fleet", str(SCENES / "starved.sexp"), "--drive", "virtual"])
    assert nothing.exit_code == 2 and "only processes have" in nothing.output


# Whole runs on processes.

SMALL = "(scene s (locations 2) (dispatchers 1) (caches 2) (parents 2) (rate 8) (seconds 2s) (warm 1s) {})"


def played(tmp_path: Path, text: str, many: int = 1) -> list[dict[str, Any]]:
    file = tmp_path / "small.sexp"
    file.write_text(text)
    playing = runner.played(runner.scenes([str(file)]), ["processes"], range(1, many + 1), many)
    return asyncio.run(asyncio.wait_for(playing, 150))


def test_two_runs_at_a_time_with_stopped_and_killed_processes_leave_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path / "runs"))
    (tmp_path / "runs").mkdir()
    stale = tmp_path / "runs" / f"{runner.PREFIX}999999999-x"
    stale.mkdir()
    # The scene ends while one dispatcher is stopped, and after another one was killed.
    text = SMALL.format("(at 1s (down d1 for 400ms)) (at 1500ms (freeze d0 for 60s))")
    for found in played(tmp_path, text, 2):
        assert found["verdict"] in ("held", "void"), found
    assert list((tmp_path / "runs").iterdir()) == []


def test_a_dispatcher_comes_back_with_another_operator_s_file_beside_its_scene(tmp_path: Path) -> None:
    (tmp_path / "plain.sexp").write_text("(log (format json))")
    (tmp_path / "small.sexp").write_text(SMALL.format('(at 500ms (older d0 "plain.sexp" down 100ms))'))
    ((scene, beside),) = runner.scenes([str(tmp_path)])  # the operator's file is no scene of the folder
    assert scene.files() == ["plain.sexp"] and beside == tmp_path
    kept = tmp_path / "kept"
    playing = runner.played([(scene, beside)], ["processes"], [1], 1, kept)
    (found,) = asyncio.run(asyncio.wait_for(playing, 90))
    assert found["verdict"] in ("held", "void"), found
    log = (kept / "s-1" / "dispatcher-0.log").read_text().splitlines()
    assert not log[0].startswith("{") and log[-1].startswith("{")
    (tmp_path / "plain.sexp").rename(tmp_path / "other.sexp")
    with pytest.raises(ConfigurationError, match="other.sexp"):
        runner.scenes([str(tmp_path)])


def test_a_dispatcher_that_breaks_is_told_and_a_late_rig_is_void(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "bad.sexp").write_text("(levels (nonsense))")
    (found,) = played(tmp_path, SMALL.format('(at 500ms (older d0 "bad.sexp" down 100ms))'))
    assert found["verdict"] == "broke" and "nonsense" in found["why"]
    monkeypatch.setattr(processes.FleetDay, "late_us", lambda self: 40_000)
    scene, folder = read(SMALL.format("").encode(), "s"), str(tmp_path / "run")
    late = worker.play(Job(scene=scene, drive="processes", seed=1, folder=folder, beside=str(tmp_path)))
    assert late["how"] == "void" and "40 ms late" in late["why"]


def test_a_port_that_is_taken_meanwhile_is_left_for_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        taken, asked = other.getsockname()[1], list[int]()

        def port() -> int:
            asked.append(taken if not asked else free_port())
            return asked[-1]

        monkeypatch.setattr("hoistplank.lab.backends.socket_dispatcher.free_port", port)
        scene = read(SMALL.format("").encode(), "s")
        day, rig = processes.play(scene, 1, tmp_path, tmp_path)
    assert len(asked) == 3 and rig["chunks"] > 0 and day.metrics.firsts > 0


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_a_run_that_is_cut_off_leaves_no_process_and_no_file(how: signal.Signals, tmp_path: Path) -> None:
    (tmp_path / "runs").mkdir()
    file = tmp_path / "small.sexp"
    file.write_text(SMALL.format("(at 100ms (freeze d0 for 60s))"))
    token = f"{os.getpid()}-{how.name}"
    own = os.environ | {"FLEET_RUN": token, "TMPDIR": str(tmp_path / "runs")}
    command = [sys.executable, "-m", "hoistplank.cli.main", "lab", "fleet", str(file)]
    process = subprocess.Popen(command, env=own, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def marked() -> list[str]:
        found = []
        for place in Path("/proc").glob("[0-9]*"):
            try:
                if f"FLEET_RUN={token}".encode() in (place / "environ").read_bytes():
                    found.append(place.name)
            except OSError:
                continue
        return found

    def waited(ready: Callable[[], bool], most: float) -> None:
        until = time.monotonic() + most
        while not ready() and time.monotonic() < until:
            time.sleep(0.05)

    # The runner, its worker, a relay process and two dispatchers are there.
    waited(lambda: len(marked()) >= 5, 30)
    assert len(marked()) >= 5
    time.sleep(Random(how).random())
    process.send_signal(how)
    process.wait(30)
    waited(lambda: not marked() and not list((tmp_path / "runs").iterdir()), 30)
    assert marked() == [] and list((tmp_path / "runs").iterdir()) == []
