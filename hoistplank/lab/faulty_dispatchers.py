"""Dispatchers that each break one rule, to show that its checker fires: they are never anybody's policy."""

from __future__ import annotations

from typing import Any

from hoistplank.choice import Router
from hoistplank.interface import Decision, HostEntry
from hoistplank.lab.policies import ByHash


class Forgets(ByHash):
    """Rule one: one request in forty is never answered."""

    def next_decision(self, now: int) -> Decision | None:
        decision = super().next_decision(now)
        while decision is not None and decision.act == "attempt" and self.chance.random() < 0.025:
            self.requests.pop(decision.request, None)
            decision = super().next_decision(now)
        return decision


class SaysTwice(ByHash):
    """Rule one: each request that is rejected is rejected again."""

    def next_decision(self, now: int) -> Decision | None:
        decision = super().next_decision(now)
        if decision is not None and decision.act == "reject" and decision.token == 0:
            self.box.appendleft(Decision("reject", decision.request, token=1))
        return decision


class RunsAgain(ByHash):
    """Rule two: what may have run is sent again, whatever its traffic class says."""

    def _may_repeat(self, row: list[Any]) -> bool:
        return True


class SeesNoDrain(Router):
    """Rule three: a host that drains, or is gone, counts as up."""

    def hosts_listed(self, now: int, form: str, entries: list[HostEntry]) -> None:
        super().hosts_listed(now, form, [entry._replace(state="up") for entry in entries])


class LovesNew(ByHash):
    """Rule four: whatever started last gets everything."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        return max(hosts, key=lambda host: self.hosts[host].started_us)


class HearsNoPurge(Router):
    """Rule five: purges count for nothing."""

    def purged(self, now: int, object_key: str, group: int, age: int) -> None:
        return


BROKEN = {
    "forgets": (1, Forgets),
    "says-twice": (1, SaysTwice),
    "runs-again": (2, RunsAgain),
    "sees-no-drain": (3, SeesNoDrain),
    "loves-new": (4, LovesNew),
    "hears-no-purge": (5, HearsNoPurge),
}
