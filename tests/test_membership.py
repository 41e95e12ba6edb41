"""Membership: what an old list is worth, whom the Router is told of, and a dispatcher that starts without
discovery."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import ScriptedCacheHost, serve
from hoistplank.membership import list_staleness
from hoistplank.membership.host_registry import MOVES, TOLD, Roster
from hoistplank.membership.service import MembershipService
from hoistplank.program.service import Phase
from hoistplank.store.folder import Folder
from hoistplank.store.schemas import History, KeptHost, KeptList
from tests.helpers import Running, until

S = 1_000_000
QUIET, ROLLING = History(2.0, 2e8, 1), History(300.0, 3e6, 1)


def host(uid: str, port: int = 1, kind: str = "box", state: str = "ready") -> KeptHost:
    return KeptHost(uid, f"127.0.0.1:{port}", "z1", kind, 0, 100.0, 0.0, state, 1)


@given(st.floats(0, 1e4), st.floats(0, 1e9), st.floats(0, 1e7), st.floats(0, 1e7))
def test_older_lists_are_worth_less_and_get_fewer_tries(
    went: float, spent: float, one: float, two: float
) -> None:
    history, young, old = History(went, spent, 1), min(one, two), max(one, two)
    assert (
        0
        <= list_staleness.alive(history, old)
        <= list_staleness.alive(history, young)
        <= 1
        == list_staleness.alive(history, -5)
    )
    assert (
        2
        <= list_staleness.tries(list_staleness.alive(history, old))
        <= list_staleness.tries(list_staleness.alive(history, young))
        <= 8
    )


def test_the_worth_of_a_list_is_learned_from_its_own_history() -> None:
    week = 7 * 86_400.0
    assert (
        list_staleness.alive(QUIET, week) > 0.9
        and list_staleness.alive(ROLLING, 3_600) < 0.75
        and list_staleness.alive(ROLLING, week) < 1e-9
    )
    history = History()
    for hour in range(200):
        history = list_staleness.watched(history, (hour + 1) * 3_600 * S, 100, 1)
    assert 0.5 < list_staleness.rate(history) * 100 * 3_600 < 1.5  # one of a hundred an hour


class Against(RuleBasedStateMachine):
    """A roster beside a plain table of its hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.roster, self.now, self.model = Roster(Random(1)), S, dict[str, str]()
        self.roster.keep(self.now, [host(uid) for uid in "abcdef"], 0, History())
        self.model = dict.fromkeys("abcdef", "kept")
        self.out: set[str] = set()
        self.live = False

    @rule(seconds=st.floats(0.01, 5))
    def later(self, seconds: float) -> None:
        self.now += int(seconds * S)

    @rule()
    def feel(self) -> None:
        for row in self.roster.due(self.now):
            assert not self.live and row.uid not in self.out and self.model[row.uid] != "withdrawn"
            self.out.add(row.uid)

    def _moved(self, uid: str, what: str) -> None:
        state = MOVES.get((self.model.get(uid, ""), what))
        if state is not None:
            self.model[uid] = state
        if self.live and self.model.get(uid) == "withdrawn":
            del self.model[uid]

    @rule(what=st.sampled_from(["good", "red", "mute", "stranger"]), data=st.data())
    def answer(self, what: str, data: st.DataObject) -> None:
        if self.out:
            uid = data.draw(st.sampled_from(sorted(self.out)))
            self.out.discard(uid)
            entry = self.roster.rows.get(uid)
            spent = (
                entry is not None
                and what == "mute"
                and entry.mute + 1 >= self.roster.tries
                and not entry.served
            )
            self.roster.felt(self.now, uid, what)
            self._moved(uid, what)
            if spent:
                self._moved(uid, "spent")

    @rule(uid=st.sampled_from("abcdef"), times=st.integers(1, 10))
    def serve(self, uid: str, times: int) -> None:
        for _ in range(times):
            self.roster.note(self.now, uid, "served")
        entry = self.roster.rows.get(uid)
        if entry is not None and entry.served >= 3:
            self._moved(uid, "served")

    @rule(uids=st.lists(st.sampled_from("abcdefgh"), unique=True), whole=st.booleans(), gone=st.booleans())
    def log(self, uids: list[str], whole: bool, gone: bool) -> None:
        whole |= not self.live  # its first word is a whole list
        states = ["gone" if gone and n % 2 else "ready" for n in range(len(uids))]
        self.roster.listed(self.now, [host(u, state=s) for u, s in zip(uids, states, strict=True)], whole)
        self.live = True
        for uid, state in zip(uids, states, strict=True):
            if state == "gone":
                self.model.pop(uid, None)
            else:
                self.model[uid] = "listed"
        if whole:
            self.model = {uid: state for uid, state in self.model.items() if uid in uids}

    @invariant()
    def same(self) -> None:
        assert {uid: entry.state for uid, entry in self.roster.rows.items()} == self.model

    @invariant()
    def told_only_what_has_answered(self) -> None:
        told = self.roster.told()
        assert {row.host.uid for row in told} == {uid for uid, state in self.model.items() if state in TOLD}
        assert all(row.started_us > 0 for row in told)  # each is cold from its proof on


TestRoster = Against.TestCase
TestRoster.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_dispatchers_that_start_together_feel_out_different_hosts_first() -> None:
    first = set()
    for seed in range(8):
        roster = Roster(Random(seed), 8)
        roster.keep(S, [host(f"h{n:03d}") for n in range(200)], 0, History())
        first.add(roster.due(S)[0].uid)
    assert len(first) >= 6


def test_a_host_whose_requests_fail_is_rested_and_felt_out_again() -> None:
    roster = Roster(Random(1))
    roster.keep(S, [host("a")], 0, QUIET)
    roster.felt(S, roster.due(S)[0].uid, "good")
    assert len(roster.told()) == 1
    for _ in range(6):
        roster.note(2 * S, "a", "refused")
    assert roster.changed and roster.told() == [] and roster.counts() == {"doubtful": 1}
    assert [row.uid for row in roster.due(3 * S)] == ["a"] and roster.due(3 * S) == []


def run(scene: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene, 20))


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 4\r\nwell\r\n".encode()


def membership(running: Running) -> MembershipService:
    watch = running.service.listing.watch
    assert isinstance(watch, MembershipService)
    return watch


class Without:
    """A dispatcher whose log is down, beside a kept list of hosts that answer in several ways."""

    def __init__(self, folder: Path, age_s: float = 60, **hosts: ScriptedCacheHost) -> None:
        self.folder, self.age_s, self.hosts = folder, age_s, hosts
        self.others: list[KeptHost] = []
        (folder / "op.sexp").write_text('(membership (state "state") (patience 50ms) (probe-time 200ms))')

    async def __aenter__(self) -> Running:
        rows = [
            host(uid, await serve(one.serve_connection), "origin" if uid == "o" else "box")
            for uid, one in self.hosts.items()
        ]
        store = Folder(self.folder / "state")
        store.lock()
        store.snapshot(
            KeptList("127.0.0.1:9", int((time.time() - self.age_s) * S), 1, rows + self.others, QUIET)
        )
        store.close()
        self.running = Running(self.folder, {}, changelog="127.0.0.1:9", known=None)
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
        place = Without(tmp_path, a=a, o=o, red=red)

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
            router = running.service.owner.router
            assert router.placement.purges_unknown and set(running.service.owner.posts) == {"a", "o"}
            assert all(
                host.warming_since_us > 0 for host in router.parts.hosts.by_name.values()
            )  # cold until shown otherwise
            roster = membership(running).roster
            assert roster.rows["other"].state == "withdrawn" and roster.rows["red"].state == "doubtful"
            assert "drained" not in roster.rows
            # The log comes back with a list that shares one host: it replaces all else in one step.
            connections = a.connections
            kept_start = running.service.owner.posts["a"].entry.started_us
            targets = [
                endpoint_entry("a", "box", int(roster.rows["a"].host.endpoint.split(":")[1])),
                endpoint_entry("n", "origin", await serve(new.serve_connection)),
            ]
            running.tell(fleet_event(1, targets, whole=True))
            running.service.listing.move(("127.0.0.1", await serve(running.changelog.serve_connection)))
            await until(lambda: running.service.phase is Phase.SERVING)
            assert set(running.service.owner.posts) == {"a", "n"} and not router.placement.purges_unknown
            # What it got to know goes on: neither its connections nor its cold time begin anew.
            assert running.service.owner.posts["a"].entry.started_us == kept_start
            assert (await running.ask(4, "page"))[0] == 200 and a.connections == connections
            state = None
            while state is None or state.rev != 1:
                await asyncio.sleep(0.01)
                state = Folder(tmp_path / "state").load(mend=False).state
            assert {row.uid for row in state.hosts} == {"a", "n"}

    run(scene())


def test_a_host_that_vanishes_is_no_longer_told(tmp_path: Path) -> None:
    async def scene() -> None:
        a, b, o = ScriptedCacheHost(served), ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with Without(tmp_path, a=a, b=b, o=o) as running:
            await until(lambda: len(running.service.owner.posts) == 3)
            a.health = "red"  # it drains, and no log tells
            await until(lambda: set(running.service.owner.posts) == {"b", "o"})
            taken = len(a.requests)
            running.client = await running.connect()  # the first one was silent for too long
            for number in range(1, 9):
                await running.ask(number, "page", fields={"HTTP_X_SUBJECT": f"{number:016x}"})
            assert len(a.requests) == taken
            a.health = "green"
            await until(lambda: set(running.service.owner.posts) == {"a", "b", "o"})

    run(scene())


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

    run(scene())


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

    run(scene())
