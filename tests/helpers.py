"""The stage on which scenarios are played: a router, a clock, and the decisions not yet spoken for."""

from dataclasses import replace
from typing import Any

from hoistplank.choice import Router
from hoistplank.interface import Decision, HostEntry, HouseRules, Result, Site, Tariff

RULES = HouseRules(250_000, 0.25, 10_000_000, 1_000_000, 3.0, 0.1, 20_000_000, 2.0, 6_000_000, 8_000, 400_000,
                   6, False, True, True, True, True, 1_000_000, False, 0)
VIDEO = Tariff("video", 500_000, 2.0, 5_000_000, 2.0, 0.2, "redoable", "", 0, 0, 0, 0.0, False, False)
TRACKS = (
    VIDEO,
    replace(VIDEO, name="page", goal_us=300_000, outer_us=2_500_000, earnings=1.0, fresh_us=8_000_000,
            grace_us=10_000_000),
    replace(VIDEO, name="once", redo="irreversible", uncached=True, outer_us=3_000_000),
    replace(VIDEO, name="mark", redo="labelled", redo_group="all", redo_window_us=3_000_000, uncached=True),
    replace(VIDEO, name="zoned", redo="labelled", redo_group="zone", redo_window_us=3_000_000, uncached=True),
)
SITE = Site(RULES, TRACKS, "z1", 0, 2, 1, 60_000.0, 10_000.0, True, True, True, "none", "parent", "origin",
            (), False, 2_000)
RESULTS = {name.lower(): value for name, value in vars(Result).items() if name.isupper()}


def pairs(words: list[str]) -> dict[str, str]:
    return dict(word.split("=", 1) for word in words)


class Stage:
    def __init__(self) -> None:
        self.site, self.now = SITE, 0
        self.router = Router(SITE, 1)
        self.pending: list[Decision] = []

    def play(self, words: list[str], where: str) -> None:
        if words[0] == "site":
            for name, value in pairs(words[1:]).items():
                kind = type(getattr(RULES if hasattr(RULES, name) else SITE, name))
                figure: dict[str, Any] = {name: value == "yes" if kind is bool else kind(value)}
                if hasattr(RULES, name):
                    self.site = replace(self.site, rules=replace(self.site.rules, **figure))
                else:
                    self.site = replace(self.site, **figure)
            self.router = Router(self.site, 1)
        elif words[0] == ">":
            assert self.pending, f"{where}: nothing was decided"
            self.match(self.pending.pop(0), words[1:], where)
        elif words[0] == "!":
            assert not any(self.fits(d, words[1:]) for d in self.pending), f"{where}: {self.pending}"
        elif words[0] == "...":
            self.pending.clear()
        elif words[0] == ".":
            assert not self.pending, f"{where}: {self.pending}"
        else:
            self.now = int(float(words[0]) * 1000)
            self.input(words[1], words[2:])
            while words[-1] != "&" and (decision := self.router.next_decision(self.now)) is not None:
                if decision.act != "wake":
                    self.pending.append(decision)

    def input(self, name: str, words: list[str]) -> None:
        r, now = self.router, self.now
        words = [word for word in words if word != "&"]
        if name == "hosts":  # hosts FORM host:kind:zone:state[:started_ms] ...
            entries = []
            for word in words[1:]:
                host, kind, zone, state, *started = word.split(":")
                since = int(started[0]) * 1000 if started else 0
                entries.append(HostEntry(host, zone, kind, 0, 5.0, since, state))
            r.hosts_listed(now, words[0], entries)
        elif name == "visit":  # visit ID TRACK THING [part= group= kb= until_ms= again=yes]
            p = pairs(words[3:])
            until = int(p.get("until_ms", now // 1000 + 2_500)) * 1000
            r.visit_came(now, words[0], words[1], words[2], int(p.get("part", 0)), int(p.get("group", 0)),
                         float(p.get("kb", 100)), until, p.get("again") == "yes")
        elif name == "end":  # end ID SHOT RESULT [note= closed=1 took_ms=]
            p = pairs(words[3:])
            closed = bool(int(p.get("closed", int(words[2] == "succeeded"))))
            note = int(p.get("note", 0))
            took = int(p.get("took_ms", 50)) * 1000
            r.shot_ended(now, words[0], int(words[1]), RESULTS[words[2]], closed, took, 10_000, note, [])
        elif name == "left":
            r.client_left(now, words[0])
        elif name == "purge":  # purge THING|- GROUP AGE_MS
            r.purged(now, "" if words[0] == "-" else words[0], int(words[1]), int(words[2]) * 1000)
        elif name == "tick":
            r.timer_due(now, r.token)
        else:
            raise AssertionError(f"no input is called {name}")

    def fits(self, decision: Decision, words: list[str]) -> bool:
        wanted = pairs(words[1:])
        return decision.act == words[0] and all(str(getattr(decision, k)) == v for k, v in wanted.items())

    def match(self, decision: Decision, words: list[str], where: str) -> None:
        assert self.fits(decision, words), f"{where}: decided {decision}"

    def close(self, where: str) -> None:
        assert not self.pending, f"{where}: more was decided: {self.pending}"
