"""Membership: how far an old list is trusted, which hosts the Router learns of, and a dispatcher that starts
without discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import ScriptedCacheHost, serve
from hoistplank.membership import list_staleness
from hoistplank.membership.fallback import PROBE_RESULTS
from hoistplank.membership.host_registry import HostRegistry
from hoistplank.membership.host_states import TRANSITIONS, USABLE_STATES, Evidence, HostState
from hoistplank.membership.service import MembershipService
from hoistplank.program.phase import Phase
from hoistplank.store.folder import StateFolder
from hoistplank.store.schemas import PersistedHost, PersistedList, RemovalHistory
from tests.helpers import Running, until
from tests.scene_runner import run_scene

S = 1_000_000
KEPT_REVISION = 9  # of the list kept at the start: no list that the log tells has it
QUIET, ROLLING = RemovalHistory(2.0, 2e8, 1), RemovalHistory(300.0, 3e6, 1)


def host(uid: str, port: int = 1, kind: str = "box", state: str = "ready") -> PersistedHost:
    return PersistedHost(uid, f"127.0.0.1:{port}", "z1", kind, 0, 100.0, 0.0, state, 1)


@given(st.floats(0, 1e4), st.floats(0, 1e9), st.floats(0, 1e7), st.floats(0, 1e7))
def test_older_lists_are_worth_less_and_get_fewer_tries(
    went: float, spent: float, one: float, two: float
) -> None:
    history, young, old = RemovalHistory(went, spent, 1), min(one, two), max(one, two)
    assert (
        0
        <= list_staleness.survival_probability(history, old)
        <= list_staleness.survival_probability(history, young)
        <= 1
        == list_staleness.survival_probability(history, -5)
    )
    assert (
        2
        <= list_staleness.max_probe_attempts(list_staleness.survival_probability(history, old))
        <= list_staleness.max_probe_attempts(list_staleness.survival_probability(history, young))
        <= 8
    )


def test_the_worth_of_a_list_is_learned_from_its_own_history() -> None:
    week = 7 * 86_400.0
    assert (
        list_staleness.survival_probability(QUIET, week) > 0.9
        and list_staleness.survival_probability(ROLLING, 3_600) < 0.75
        and list_staleness.survival_probability(ROLLING, week) < 1e-9
    )
    history = RemovalHistory()
    for hour in range(200):
        history = list_staleness.update_history(history, (hour + 1) * 3_600 * S, 100, 1)
    assert 0.5 < list_staleness.removal_rate(history) * 100 * 3_600 < 1.5  # one of a hundred an hour


class Against(RuleBasedStateMachine):
    """A registry beside a plain table of its hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.registry, self.now, self.model = HostRegistry(Random(1)), S, dict[str, HostState]()
        self.registry.load_persisted(self.now, [host(uid) for uid in "abcdef"], 0, RemovalHistory())
        self.model = dict.fromkeys("abcdef", HostState.PERSISTED)
        self.out: set[str] = set()
        self.live = False

    @rule(seconds=st.floats(0.01, 5))
    def later(self, seconds: float) -> None:
        self.now += int(seconds * S)

    @rule()
    def feel(self) -> None:
        for row in self.registry.next_probes(self.now):
            assert (
                not self.live and row.uid not in self.out and self.model[row.uid] is not HostState.WITHDRAWN
            )
            self.out.add(row.uid)

    def _moved(self, uid: str, evidence: Evidence) -> None:
        if uid not in self.model:
            return
        state = TRANSITIONS.get((self.model[uid], evidence))
        if state is not None:
            self.model[uid] = state
        if self.live and self.model[uid] is HostState.WITHDRAWN:
            del self.model[uid]

    @rule(what=st.sampled_from(PROBE_RESULTS), data=st.data())
    def answer(self, what: Evidence, data: st.DataObject) -> None:
        if self.out:
            uid = data.draw(st.sampled_from(sorted(self.out)))
            self.out.discard(uid)
            entry = self.registry.hosts.get(uid)
            spent = (
                entry is not None
                and what is Evidence.NO_RESPONSE
                and entry.unanswered_probes + 1 >= self.registry.max_probe_attempts
                and not entry.served_requests
            )
            self.registry.probe_completed(self.now, uid, what)
            self._moved(uid, what)
            if spent:
                self._moved(uid, Evidence.PROBES_EXHAUSTED)

    @rule(uid=st.sampled_from("abcdef"), times=st.integers(1, 10))
    def serve(self, uid: str, times: int) -> None:
        for _ in range(times):
            self.registry.record(self.now, uid, Evidence.REQUEST_SERVED)
        entry = self.registry.hosts.get(uid)
        if entry is not None and entry.served_requests >= 3:
            self._moved(uid, Evidence.REQUEST_SERVED)

    @rule(uids=st.lists(st.sampled_from("abcdefgh"), unique=True), whole=st.booleans(), gone=st.booleans())
    def log(self, uids: list[str], whole: bool, gone: bool) -> None:
        whole |= not self.live  # its first word is a whole list
        states = ["gone" if gone and n % 2 else "ready" for n in range(len(uids))]
        self.registry.update_listed(
            self.now, [host(u, state=s) for u, s in zip(uids, states, strict=True)], whole=whole
        )
        self.live = True
        for uid, state in zip(uids, states, strict=True):
            if state == "gone":
                self.model.pop(uid, None)
            else:
                self.model[uid] = HostState.LISTED
        if whole:
            self.model = {uid: state for uid, state in self.model.items() if uid in uids}

    @invariant()
    def same(self) -> None:
        assert {uid: entry.state for uid, entry in self.registry.hosts.items()} == self.model

    @invariant()
    def told_only_what_has_answered(self) -> None:
        told = self.registry.usable_hosts()
        assert {row.host.uid for row in told} == {
            uid for uid, state in self.model.items() if state in USABLE_STATES
        }
        assert all(row.started_us > 0 for row in told)  # each is cold from its proof on


TestHostRegistry = Against.TestCase
TestHostRegistry.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_dispatchers_that_start_together_feel_out_different_hosts_first() -> None:
    first = set()
    for seed in range(8):
        registry = HostRegistry(Random(seed), 8)
        registry.load_persisted(S, [host(f"h{n:03d}") for n in range(200)], 0, RemovalHistory())
        first.add(registry.next_probes(S)[0].uid)
    assert len(first) >= 6


def test_a_host_whose_requests_fail_is_rested_and_felt_out_again() -> None:
    registry = HostRegistry(Random(1))
    registry.load_persisted(S, [host("a")], 0, QUIET)
    registry.probe_completed(S, registry.next_probes(S)[0].uid, Evidence.HEALTHY)
    assert len(registry.usable_hosts()) == 1
    for _ in range(6):
        registry.record(2 * S, "a", Evidence.REQUEST_FAILED)
    assert (
        registry.usable_changed
        and registry.usable_hosts() == []
        and registry.count_by_state() == {"doubtful": 1}
    )
    assert [row.uid for row in registry.next_probes(3 * S)] == ["a"] and registry.next_probes(3 * S) == []


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 4\r\nwell\r\n".encode()


def membership(running: Running) -> MembershipService:
    watch = running.service.endpoint_watcher.observer
    assert isinstance(watch, MembershipService)
    return watch


class DispatcherWithoutLog:
    """A dispatcher whose log is down, beside a kept list of hosts that answer in several ways."""

    def __init__(
        self, folder: Path, age_s: float = 60, changelog: str = "127.0.0.1:9", **hosts: ScriptedCacheHost
    ) -> None:
        self.folder, self.age_s, self.hosts, self.changelog = folder, age_s, hosts, changelog
        self.others: list[PersistedHost] = []
        (folder / "op.sexp").write_text('(membership (state "state") (patience 50ms) (probe-time 200ms))')

    async def __aenter__(self) -> Running:
        rows = [
            host(uid, await serve(one.serve_connection), "origin" if uid == "o" else "box")
            for uid, one in self.hosts.items()
        ]
        store = StateFolder(self.folder / "state")
        store.lock()
        store.snapshot(
            PersistedList(
                "127.0.0.1:9", int((time.time() - self.age_s) * S), KEPT_REVISION, rows + self.others, QUIET
            )
        )
        store.close()
        self.ports = {row.uid: int(row.endpoint.rpartition(":")[2]) for row in rows}
        self.running = Running(self.folder, {}, changelog=self.changelog, known=None)
        self.running.operator = True
        return await self.running.__aenter__()

    async def __aexit__(self, *words: object) -> None:
        await self.running.__aexit__(*words)


def test_it_serves_from_the_kept_list_and_moves_to_the_log_s(tmp_path: Path) -> None:
    async def scene() -> None:
        a, o, red, new = (
            ScriptedCacheHost(served),
            ScriptedCacheHost(served),
            ScriptedCacheHost(served),
            ScriptedCacheHost(served),
        )
        red.health = "red"
        quiet = await serve(lambda reader, writer: asyncio.sleep(60))
        place = DispatcherWithoutLog(tmp_path, a=a, o=o, red=red)

        async def nonsense(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"220 mail\r\n")
            await asyncio.sleep(60)

        place.others = [
            host("gone", 1),
            host("quiet", quiet),
            host("other", await serve(nonsense)),
            host("drained", 1, state="draining"),
        ]
        began = time.monotonic()
        async with place as running:
            await until(lambda: running.service.phase is Phase.PROVISIONAL)
            assert time.monotonic() - began < 1.5
            assert (await running.ask(1, "", script="/-/healthy"))[0] == 200
            status, _, body = await running.ask(3, "page")
            assert (status, body) == (200, b"well") and a.requests
            router = running.service.router_task.router
            assert router.placement.purges_unknown and set(running.service.router_task.endpoints.by_host) == {
                "a",
                "o",
            }
            assert all(
                host.warming_since_us > 0 for host in router.parts.hosts.by_name.values()
            )  # cold until shown otherwise
            registry = membership(running).registry
            assert (
                registry.hosts["other"].state is HostState.WITHDRAWN
                and registry.hosts["red"].state is HostState.SUSPECT
            )
            assert "drained" not in registry.hosts
            # The log comes back with a list that shares one host: it replaces all else in one step.
            connections = a.connections
            kept_start = running.service.router_task.endpoints.by_host["a"].endpoint.started_us
            targets = [
                endpoint_entry("a", "box", int(registry.hosts["a"].host.endpoint.split(":")[1])),
                endpoint_entry("n", "origin", await serve(new.serve_connection)),
            ]
            running.tell(fleet_event(1, targets, whole=True))
            running.service.endpoint_watcher.set_address(
                ("127.0.0.1", await serve(running.changelog.serve_connection))
            )
            await until(lambda: running.service.phase is Phase.SERVING)
            assert (
                set(running.service.router_task.endpoints.by_host) == {"a", "n"}
                and not router.placement.purges_unknown
            )
            # What it got to know goes on: neither its connections nor its cold time begin anew.
            assert running.service.router_task.endpoints.by_host["a"].endpoint.started_us == kept_start
            assert (await running.ask(4, "page"))[0] == 200 and a.connections == connections
            state = None
            while state is None or state.revision != 1:
                await asyncio.sleep(0.01)
                state = StateFolder(tmp_path / "state").load(repair=False).state
            assert {row.uid for row in state.hosts} == {"a", "n"}

    run_scene(scene())


def test_a_kept_list_is_not_served_by_while_the_log_owes_its_answer(tmp_path: Path) -> None:
    """A log that was asked and answers late may have a drain to tell: kept hosts are probed, and get no
    request."""

    async def scene() -> None:
        a, b, o = (ScriptedCacheHost(served) for _ in range(3))
        answers = asyncio.Event()

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            await answers.wait()
            rows = [
                endpoint_entry(
                    uid, "origin" if uid == "o" else "box", port, "draining" if uid == "a" else "ready"
                )
                for uid, port in place.ports.items()
            ]
            writer.write(json.dumps(fleet_event(1, rows, whole=True)).encode() + b"\n1\n")
            await reader.read()

        log = f"127.0.0.1:{await serve(late)}"
        place = DispatcherWithoutLog(tmp_path, changelog=log, a=a, b=b, o=o)
        async with place as running:
            await until(lambda: running.service.router_task.endpoints.is_up("a"))  # probed, and well
            assert (await running.ask(1, "page"))[0] == 503
            assert running.service.phase is Phase.STARTING and not (a.requests or b.requests)
            answers.set()
            await until(lambda: running.service.phase is Phase.SERVING)
            assert (await running.ask(2, "page"))[0] == 200
            assert not a.requests

    run_scene(scene())


def test_a_host_that_vanishes_is_no_longer_told(tmp_path: Path) -> None:
    async def scene() -> None:
        a, b, o = ScriptedCacheHost(served), ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with DispatcherWithoutLog(tmp_path, a=a, b=b, o=o) as running:
            await until(lambda: len(running.service.router_task.endpoints.by_host) == 3)
            a.health = "red"  # it drains, and no log tells
            await until(lambda: set(running.service.router_task.endpoints.by_host) == {"b", "o"})
            taken = len(a.requests)
            running.client = await running.connect()  # the first one was silent for too long
            for number in range(1, 9):
                await running.ask(number, "page", fields={"HTTP_X_SUBJECT": f"{number:016x}"})
            assert len(a.requests) == taken
            a.health = "green"
            await until(lambda: set(running.service.router_task.endpoints.by_host) == {"a", "b", "o"})

    run_scene(scene())


def test_without_a_state_seeds_begin_and_the_list_is_kept(tmp_path: Path) -> None:
    async def scene() -> None:
        a, o = ScriptedCacheHost(served), ScriptedCacheHost(served)
        ports = [await serve(a.serve_connection), await serve(o.serve_connection)]
        (tmp_path / "op.sexp").write_text(
            '(membership (state "state") (patience 0ms)'
            f" (seed a (endpoint 127.0.0.1:{ports[0]}) (zone z1) (kind box))"
            f" (seed o (endpoint 127.0.0.1:{ports[1]}) (zone hub) (kind origin)))"
        )
        running = Running(tmp_path, {}, changelog="127.0.0.1:9", known=None)
        running.operator = True
        async with running:
            await until(lambda: running.service.phase is Phase.PROVISIONAL)
            assert (await running.ask(1, "page"))[0] == 200

    run_scene(scene())


def test_what_can_t_be_kept_costs_no_request(tmp_path: Path) -> None:
    async def scene() -> None:
        (tmp_path / "state").write_text("no folder")
        (tmp_path / "op.sexp").write_text('(membership (state "state"))')
        running = Running(tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)})
        running.operator = True
        async with running:
            assert (await running.ask(1, "page"))[0] == 200
            with contextlib.suppress(FileNotFoundError, NotADirectoryError):
                assert not list((tmp_path / "state").glob("*"))

    run_scene(scene())
