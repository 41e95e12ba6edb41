"""Membership: the estimated survival of an old list, the hosts that the Router gets, and a dispatcher that
starts without discovery."""

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

SECOND_US = 1_000_000
PERSISTED_REVISION = 9  # of the list persisted before the start; no list of the change log has it
STABLE_FLEET, ROLLING_DEPLOY = RemovalHistory(2.0, 2e8, 1), RemovalHistory(300.0, 3e6, 1)


def host(uid: str, port: int = 1, kind: str = "box", state: str = "ready") -> PersistedHost:
    return PersistedHost(uid, f"127.0.0.1:{port}", "z1", kind, 0, 100.0, 0.0, state, 1)


@given(st.floats(0, 1e4), st.floats(0, 1e9), st.floats(0, 1e7), st.floats(0, 1e7))
def test_survival_and_probe_attempts_do_not_grow_with_the_lists_age(
    removed: float, host_seconds: float, one: float, two: float
) -> None:
    history, young, old = RemovalHistory(removed, host_seconds, 1), min(one, two), max(one, two)
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


def test_survival_is_estimated_from_the_removal_history() -> None:
    week = 7 * 86_400.0
    assert (
        list_staleness.survival_probability(STABLE_FLEET, week) > 0.9
        and list_staleness.survival_probability(ROLLING_DEPLOY, 3_600) < 0.75
        and list_staleness.survival_probability(ROLLING_DEPLOY, week) < 1e-9
    )
    history = RemovalHistory()
    for hour in range(200):
        history = list_staleness.update_history(history, (hour + 1) * 3_600 * SECOND_US, 100, 1)
    assert 0.5 < list_staleness.removal_rate(history) * 100 * 3_600 < 1.5  # one of a hundred an hour


class RegistryModel(RuleBasedStateMachine):
    """Compares a registry with a simple model of its hosts' states."""

    def __init__(self) -> None:
        super().__init__()
        self.registry, self.now, self.model = HostRegistry(Random(1)), SECOND_US, dict[str, HostState]()
        self.registry.load_persisted(self.now, [host(uid) for uid in "abcdef"], 0, RemovalHistory())
        self.model = dict.fromkeys("abcdef", HostState.PERSISTED)
        self.probes_in_flight: set[str] = set()
        self.is_synced = False

    @rule(seconds=st.floats(0.01, 5))
    def advance_time(self, seconds: float) -> None:
        self.now += int(seconds * SECOND_US)

    @rule()
    def start_probes(self) -> None:
        for row in self.registry.next_probes(self.now):
            assert (
                not self.is_synced
                and row.uid not in self.probes_in_flight
                and self.model[row.uid] is not HostState.WITHDRAWN
            )
            self.probes_in_flight.add(row.uid)

    def _apply_evidence(self, uid: str, evidence: Evidence) -> None:
        if uid not in self.model:
            return
        state = TRANSITIONS.get((self.model[uid], evidence))
        if state is not None:
            self.model[uid] = state
        if self.is_synced and self.model[uid] is HostState.WITHDRAWN:
            del self.model[uid]

    @rule(evidence=st.sampled_from(PROBE_RESULTS), data=st.data())
    def complete_probe(self, evidence: Evidence, data: st.DataObject) -> None:
        if self.probes_in_flight:
            uid = data.draw(st.sampled_from(sorted(self.probes_in_flight)))
            self.probes_in_flight.discard(uid)
            entry = self.registry.hosts.get(uid)
            is_exhausted = (
                entry is not None
                and evidence is Evidence.NO_RESPONSE
                and entry.unanswered_probes + 1 >= self.registry.max_probe_attempts
                and not entry.served_requests
            )
            self.registry.probe_completed(self.now, uid, evidence)
            self._apply_evidence(uid, evidence)
            if is_exhausted:
                self._apply_evidence(uid, Evidence.PROBES_EXHAUSTED)

    @rule(uid=st.sampled_from("abcdef"), times=st.integers(1, 10))
    def serve_requests(self, uid: str, times: int) -> None:
        for _ in range(times):
            self.registry.record(self.now, uid, Evidence.REQUEST_SERVED)
        entry = self.registry.hosts.get(uid)
        if entry is not None and entry.served_requests >= 3:
            self._apply_evidence(uid, Evidence.REQUEST_SERVED)

    @rule(uids=st.lists(st.sampled_from("abcdefgh"), unique=True), whole=st.booleans(), gone=st.booleans())
    def update_list(self, uids: list[str], whole: bool, gone: bool) -> None:
        whole |= not self.is_synced  # the first list is a whole one
        states = ["gone" if gone and n % 2 else "ready" for n in range(len(uids))]
        self.registry.update_listed(
            self.now, [host(u, state=s) for u, s in zip(uids, states, strict=True)], whole=whole
        )
        self.is_synced = True
        for uid, state in zip(uids, states, strict=True):
            if state == "gone":
                self.model.pop(uid, None)
            else:
                self.model[uid] = HostState.LISTED
        if whole:
            self.model = {uid: state for uid, state in self.model.items() if uid in uids}

    @invariant()
    def states_match_the_model(self) -> None:
        assert {uid: entry.state for uid, entry in self.registry.hosts.items()} == self.model

    @invariant()
    def only_hosts_that_answered_are_usable(self) -> None:
        usable = self.registry.usable_hosts()
        assert {row.host.uid for row in usable} == {
            uid for uid, state in self.model.items() if state in USABLE_STATES
        }
        assert all(row.started_us > 0 for row in usable)  # each is cold from its first answer on


TestHostRegistry = RegistryModel.TestCase
TestHostRegistry.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_dispatchers_that_start_together_probe_different_hosts_first() -> None:
    first = set()
    for seed in range(8):
        registry = HostRegistry(Random(seed), 8)
        registry.load_persisted(SECOND_US, [host(f"h{n:03d}") for n in range(200)], 0, RemovalHistory())
        first.add(registry.next_probes(SECOND_US)[0].uid)
    assert len(first) >= 6


def test_host_with_failing_requests_is_not_usable_and_is_probed_again() -> None:
    registry = HostRegistry(Random(1))
    registry.load_persisted(SECOND_US, [host("a")], 0, STABLE_FLEET)
    registry.probe_completed(SECOND_US, registry.next_probes(SECOND_US)[0].uid, Evidence.HEALTHY)
    assert len(registry.usable_hosts()) == 1
    for _ in range(6):
        registry.record(2 * SECOND_US, "a", Evidence.REQUEST_FAILED)
    assert (
        registry.usable_changed
        and registry.usable_hosts() == []
        and registry.count_by_state() == {"doubtful": 1}
    )
    assert [row.uid for row in registry.next_probes(3 * SECOND_US)] == ["a"] and registry.next_probes(
        3 * SECOND_US
    ) == []


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 4\r\nwell\r\n".encode()


def membership(running: Running) -> MembershipService:
    observer = running.service.endpoint_watcher.observer
    assert isinstance(observer, MembershipService)
    return observer


class DispatcherWithPersistedList:
    """A dispatcher with a persisted list, whose change log is down or answers as the test says."""

    def __init__(
        self, folder: Path, age_s: float = 60, changelog: str = "127.0.0.1:9", **hosts: ScriptedCacheHost
    ) -> None:
        self.folder, self.age_s, self.hosts, self.changelog = folder, age_s, hosts, changelog
        self.other_hosts: list[PersistedHost] = []
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
                "127.0.0.1:9",
                int((time.time() - self.age_s) * SECOND_US),
                PERSISTED_REVISION,
                rows + self.other_hosts,
                STABLE_FLEET,
            )
        )
        store.close()
        self.ports = {row.uid: int(row.endpoint.rpartition(":")[2]) for row in rows}
        self.running = Running(self.folder, {}, changelog=self.changelog, known=None)
        self.running.operator = True
        return await self.running.__aenter__()

    async def __aexit__(self, *error: object) -> None:
        await self.running.__aexit__(*error)


def test_dispatcher_serves_from_the_persisted_list_then_switches_to_the_change_logs(tmp_path: Path) -> None:
    async def scene() -> None:
        a, o, red, new = (
            ScriptedCacheHost(served),
            ScriptedCacheHost(served),
            ScriptedCacheHost(served),
            ScriptedCacheHost(served),
        )
        red.health = "red"
        unanswering = await serve(lambda reader, writer: asyncio.sleep(60))
        setup = DispatcherWithPersistedList(tmp_path, a=a, o=o, red=red)

        async def other_service(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"220 mail\r\n")
            await asyncio.sleep(60)

        setup.other_hosts = [
            host("gone", 1),
            host("quiet", unanswering),
            host("other", await serve(other_service)),
            host("drained", 1, state="draining"),
        ]
        started_at = time.monotonic()
        async with setup as running:
            await until(lambda: running.service.phase is Phase.PROVISIONAL)
            assert time.monotonic() - started_at < 1.5
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
            )  # cold until they have warmed up
            registry = membership(running).registry
            assert (
                registry.hosts["other"].state is HostState.WITHDRAWN
                and registry.hosts["red"].state is HostState.SUSPECT
            )
            assert "drained" not in registry.hosts
            # The change log returns with a list that shares one host; it replaces all others in one step.
            connections = a.connections
            start_time_before = running.service.router_task.endpoints.by_host["a"].endpoint.started_us
            targets = [
                endpoint_entry("a", "box", int(registry.hosts["a"].host.endpoint.split(":")[1])),
                endpoint_entry("n", "origin", await serve(new.serve_connection)),
            ]
            running.publish_event(fleet_event(1, targets, whole=True))
            running.service.endpoint_watcher.set_address(
                ("127.0.0.1", await serve(running.changelog.serve_connection))
            )
            await until(lambda: running.service.phase is Phase.SERVING)
            assert (
                set(running.service.router_task.endpoints.by_host) == {"a", "n"}
                and not router.placement.purges_unknown
            )
            # The shared host keeps its connections and its start time, so its warm-up is not restarted.
            assert running.service.router_task.endpoints.by_host["a"].endpoint.started_us == start_time_before
            assert (await running.ask(4, "page"))[0] == 200 and a.connections == connections
            state = None
            while state is None or state.revision != 1:
                await asyncio.sleep(0.01)
                state = StateFolder(tmp_path / "state").load(repair=False).state
            assert {row.uid for row in state.hosts} == {"a", "n"}

    run_scene(scene())


def test_persisted_hosts_get_no_requests_while_the_change_logs_answer_is_pending(tmp_path: Path) -> None:
    """A change log that answers late may list a persisted host as draining. Guards against a request to that
    host before the answer: persisted hosts are probed, but get no request."""

    async def scene() -> None:
        a, b, o = (ScriptedCacheHost(served) for _ in range(3))
        may_answer = asyncio.Event()

        async def late_change_log(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            await may_answer.wait()
            rows = [
                endpoint_entry(
                    uid, "origin" if uid == "o" else "box", port, "draining" if uid == "a" else "ready"
                )
                for uid, port in setup.ports.items()
            ]
            writer.write(json.dumps(fleet_event(1, rows, whole=True)).encode() + b"\n1\n")
            await reader.read()

        log = f"127.0.0.1:{await serve(late_change_log)}"
        setup = DispatcherWithPersistedList(tmp_path, changelog=log, a=a, b=b, o=o)
        async with setup as running:
            await until(lambda: running.service.router_task.endpoints.is_up("a"))  # its probe was answered
            assert (await running.ask(1, "page"))[0] == 503
            assert running.service.phase is Phase.STARTING and not (a.requests or b.requests)
            may_answer.set()
            await until(lambda: running.service.phase is Phase.SERVING)
            assert (await running.ask(2, "page"))[0] == 200
            assert not a.requests

    run_scene(scene())


def test_draining_host_gets_no_requests_until_it_is_healthy_again(tmp_path: Path) -> None:
    async def scene() -> None:
        a, b, o = ScriptedCacheHost(served), ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with DispatcherWithPersistedList(tmp_path, a=a, b=b, o=o) as running:
            await until(lambda: len(running.service.router_task.endpoints.by_host) == 3)
            a.health = "red"  # it drains, and no change log reports it
            await until(lambda: set(running.service.router_task.endpoints.by_host) == {"b", "o"})
            requests_before = len(a.requests)
            running.client = await running.connect()  # the first connection was idle for too long
            for number in range(1, 9):
                await running.ask(number, "page", fields={"HTTP_X_SUBJECT": f"{number:016x}"})
            assert len(a.requests) == requests_before
            a.health = "green"
            await until(lambda: set(running.service.router_task.endpoints.by_host) == {"a", "b", "o"})

    run_scene(scene())


def test_dispatcher_serves_from_seeds_without_a_persisted_list(tmp_path: Path) -> None:
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


def test_unusable_state_folder_fails_no_request(tmp_path: Path) -> None:
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
