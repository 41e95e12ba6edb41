"""What goes wrong, as small scripts: `(at 12s (slow origin 4x for 10s))`; composed, checked, drawn from a
seed.

A script is a row of `(at TIME FAULT …)` forms; times count from the day's first second. Each fault is one row
of `KINDS`: the words that it is written with. Targets: `origin`, `caches`, `parents`, `c0-1`, `z0` (a
location's caches), `cell-0` (four neighbours), each with an optional share: `caches:0.2` strikes a fifth of
them, chosen by the script's own random stream.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hoistplank.lab.model.objects import HotObjects
from hoistplank.lab.model.servers import HUNG, SILENT, UP, CachingServer, Server
from hoistplank.lab.model.streams import RandomStream, RandomStreams
from hoistplank.lab.model.world import Dispatcher, World
from hoistplank.lab.model.world_settings import HUB, WorldSettings
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation
from hoistplank.operator_configuration.parser import parse
from hoistplank.operator_configuration.schema import suggestion
from hoistplank.operator_configuration.syntax import Atom, Form, quote
from hoistplank.operator_configuration.values import ValueType, duration, integer, matching, number

TARGET = matching(
    r"(origin|caches|parents|z\d{1,4}|cell-\d{1,6}|[cp]\d[\w-]{0,12})(:[01](\.\d{1,4})?)?",
    "a target: origin, caches, parents, z0, cell-0 or a host, with a share as 'caches:0.2'",
)
WORD = matching(r"[a-z][a-z0-9-]{0,30}", "a name of small letters, digits and '-'")
SHARE, SPAN, COUNT = number(0, 1), duration("1ms", "1h"), integer(0, 1_000_000)


def _times(atom: Atom) -> float:
    if not re.fullmatch(r"\d{1,4}(\.\d{1,4})?x", atom.text) or float(atom.text[:-1]) <= 0:
        raise ValueError
    return float(atom.text[:-1])


def _step(atom: Atom) -> int:
    sign, text = (-1, atom.text[1:]) if atom.text.startswith("-") else (1, atom.text)
    return sign * int(SPAN.parse(Atom(text, atom.quoted, atom.location)))


TIMES = ValueType("a multiple above 0, as 4x", _times)
STEP = ValueType("a time with its unit, '-' before it if it goes back, as -2s", _step)

# The words of each fault: a text stands for itself, a kind for a value.
KINDS: dict[str, tuple[str | ValueType, ...]] = {
    "drain": (TARGET, "for", SPAN),  # told as draining, then up again: the same process
    "deploy": (TARGET, "batch", SHARE, "drain", SPAN),  # batch by batch: drained, ended, started cold
    "vanish": (TARGET, "for", SPAN, "noticed", SPAN),  # its machine is silent; comes back cold
    "crash": (TARGET, "for", SPAN),  # its process ends, its port refuses; comes back cold
    "stall": (TARGET, "for", SPAN),  # takes work and answers nothing, then goes on
    "halfopen": (TARGET, "for", SPAN),  # connections stay up, nothing comes through; goes on warm
    "pause": (TARGET, SPAN, "every", SPAN, "for", SPAN),
    "slow": (TARGET, TIMES, "for", SPAN),
    "age": (TARGET, TIMES, "over", SPAN, "for", SPAN),  # slower and slower
    "link": (TARGET, TIMES, "for", SPAN),  # its link out so many times as wide; of z0: the location's own
    "shrink": (TARGET, TIMES, "for", SPAN),  # so many times as much room for copies
    "reset": (TARGET, SHARE, "for", SPAN),  # this share of answers is cut off
    "spoil": (TARGET, SHARE, "for", SPAN),
    "lose": (TARGET, SHARE, "for", SPAN),  # never comes
    "refuse": (TARGET, SHARE, "for", SPAN),  # turned away though there is room
    "cut": (WORD, WORD, "for", SPAN),  # no path between two zones
    "loglate": (TIMES, "for", SPAN),
    "logstop": ("for", SPAN),  # and tells all it held when it is back
    "loggap": ("for", SPAN),  # and comes back with a whole list
    "purge": ("group", COUNT),
    "flush": (SHARE,),  # this share of the groups
    "herd": (WORD, SHARE, "objects", COUNT, "for", SPAN),  # of a traffic class's requests, to new objects
    "scan": (SHARE, "for", SPAN),
    "surge": (WORD, TIMES, "for", SPAN),  # in one location
    "tail": (
        WORD,
        SHARE,
        TIMES,
        "for",
        SPAN,
    ),  # this share of a traffic class's objects is so many times as large
    "kill": (SHARE, "for", SPAN),  # of the dispatchers
    "clock": (SHARE, STEP),  # of the dispatchers: their wall clock jumps
}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: when (us from the day's first second), which, its values in order, and how it was
    written.
    """

    at: int
    kind: str
    values: tuple[Any, ...]
    text: str

    def written(self) -> str:
        """As a form of a script."""
        return f"(at {self.at}us ({self.text}))" if self.at else f"(at 0s ({self.text}))"


FaultWords = dict[str, tuple[str | ValueType, ...]]


def _event(at: int, form: Form, faults: list[Diagnostic], kinds: FaultWords) -> ScheduledFault | None:
    words = kinds.get(form.name)
    if words is None:
        faults.append(
            Diagnostic(
                form.location, f"the unknown fault '{form.name[:40]}'", suggestion(form.name, list(kinds))
            )
        )
        return None
    items, values = form.items[1:], []
    shown = " ".join(word if isinstance(word, str) else "…" for word in words)
    if len(items) != len(words):
        faults.append(
            Diagnostic(form.location, f"{len(items)} words for '{form.name}'", f"'({form.name} {shown})'")
        )
        return None
    for item, word in zip(items, words, strict=True):
        if not isinstance(item, Atom):
            faults.append(
                Diagnostic(item.location, str(item), word if isinstance(word, str) else word.expected)
            )
        elif isinstance(word, str):
            if item.text != word:
                faults.append(Diagnostic(item.location, str(item), f"the word '{word}'"))
        else:
            try:
                values.append(word.parse(item))
            except ValueError:
                faults.append(Diagnostic(item.location, str(item), word.expected))
    atoms = [item for item in form.items if isinstance(item, Atom)]
    text = " ".join(quote(atom.text) if atom.quoted else atom.text for atom in atoms)
    return ScheduledFault(at, form.name, tuple(values), text)


def read_faults(
    forms: tuple[Atom | Form, ...], place: SourceLocation, faults: list[Diagnostic], kinds: FaultWords = KINDS
) -> list[ScheduledFault]:
    """The `(at …)` forms of a script, in the order of their times; what is wrong is added to `faults`.
    `kinds`: the faults that it may hold, and their words.
    """
    found: list[ScheduledFault] = []
    for form in forms:
        if not isinstance(form, Form) or form.name != "at":
            faults.append(Diagnostic(form.location, str(form), "'(at TIME (FAULT …))'"))
            continue
        head = form.items[1] if len(form.items) > 1 else None
        try:
            at = (
                0
                if isinstance(head, Atom) and head.text == "0s"
                else SPAN.parse(head)
                if isinstance(head, Atom)
                else -1
            )
        except ValueError:
            at = -1
        if at < 0:
            faults.append(
                Diagnostic(head.location if head else form.location, str(head or "nothing"), SPAN.expected)
            )
            continue
        for inner in form.items[2:]:
            if isinstance(inner, Form):
                event = _event(at, inner, faults, kinds)
                if event is not None:
                    found.append(event)
            else:
                faults.append(Diagnostic(inner.location, str(inner), "a fault '(slow origin 4x for 10s)'"))
    return sorted(found, key=lambda event: event.at)


def script(text: str, file: str = "script") -> list[ScheduledFault]:
    """A script by itself. Raises `ConfigurationError` with all that is wrong."""
    forms = parse(text.encode(), file).forms
    faults: list[Diagnostic] = []
    found = read_faults(forms, SourceLocation(file, 1, 1), faults)
    if faults:
        raise ConfigurationError(faults)
    return found


class FaultInjector:
    """Carries a script out on a world. `chance` chooses who is struck: the same for every policy."""

    kinds: FaultWords = KINDS

    def __init__(self, world: World, rows: list[ScheduledFault]) -> None:
        self.world, self.events, self.rows = world, world.events, rows
        self.random = world.stream("faults")
        self.classes = {row.name: n for n, row in enumerate(world.settings.classes)}

    def begin(self) -> None:
        start = self.world.settings.start_us()
        for row in self.rows:
            # Chosen now, before anything has happened, so that no policy can change the choice.
            kinds = [word for word in self.kinds[row.kind] if not isinstance(word, str)]
            pairs = zip(kinds, row.values, strict=True)
            struck = tuple(self._resolve(kind, value) for kind, value in pairs)
            self.events.schedule(start + row.at, self._inject, row, struck)

    def _resolve(self, kind: ValueType, value: Any) -> Any:
        """What a word of a fault stands for in this world."""
        return self._targets(value) if kind is TARGET else value

    def _inject(self, row: ScheduledFault, values: tuple[Any, ...]) -> None:
        self.world.record_fault(row.text)
        getattr(self, f"_{row.kind}")(*values)

    def _later(self, wait: int, call: Callable[..., None], *args: Any) -> None:
        self.events.schedule(self.events.now + wait, call, *args)

    def _targets(self, text: str) -> list[Server]:
        name, _, share = text.partition(":")
        world = self.world
        many: list[Server]
        if name in ("caches", "parents"):
            many = [*(world.caches if name == "caches" else world.parents)]
        elif name.startswith("z"):
            many = [one for one in world.caches if one.zone == name]
        elif name.startswith("cell-"):
            many = [one for one in world.caches if one.cell == int(name[5:])]
        else:
            many = [world.servers[name]] if name in world.servers else []
        if share:
            order = self.random.shuffled(len(many))
            many = [many[n] for n in sorted(order[: max(1, round(float(share) * len(many)))])]
        return many

    def _some_dispatchers(self, share: float) -> list[Dispatcher]:
        dispatchers = self.world.dispatchers
        order = self.random.shuffled(len(dispatchers))
        return [dispatchers[n] for n in sorted(order[: max(1, round(share * len(dispatchers)))])]

    # Hosts.

    def _drain(self, hosts: list[Server], length: int) -> None:
        self.world.set_listed_state(hosts, "draining")
        self._later(length, self.world.set_listed_state, hosts, "up")

    def _deploy(self, hosts: list[Server], batch: float, drain: int) -> None:
        size = max(1, round(batch * len(hosts)))
        step = drain + self.world.settings.restart_us
        for n, at in enumerate(range(0, len(hosts), size)):
            self._later(n * step, self._renew, hosts[at : at + size], drain)

    def _renew(self, hosts: list[Server], drain: int) -> None:
        self.world.set_listed_state(hosts, "draining")
        for host in hosts:
            self._later(drain, self.world.crash_server, host, self.world.settings.restart_us)

    def _vanish(self, hosts: list[Server], length: int, noticed: int) -> None:
        for host in hosts:
            self.world.silence_server(host, length, noticed)

    def _crash(self, hosts: list[Server], length: int) -> None:
        for host in hosts:
            self.world.crash_server(host, length)

    def _stall(self, hosts: list[Server], length: int, phase: str = HUNG) -> None:
        for host in hosts:
            if host.phase == UP:
                host.phase = phase
                self._later(length, self._woken, host, host.incarnation)

    def _woken(self, host: Server, incarnation: int) -> None:
        if host.incarnation == incarnation:
            host.phase = UP
            # What it took meanwhile is worked off now, late.
            for request in list(host.open_requests):
                if not request.transfers and not request.pending_parts:
                    host.process(request)

    def _halfopen(self, hosts: list[Server], length: int) -> None:
        self._stall(hosts, length, SILENT)

    def _pause(self, hosts: list[Server], pause: int, every: int, length: int) -> None:
        until = self.events.now + length

        def once(host: Server) -> None:
            host.paused_until = self.events.now + pause
            if self.events.now + every < until:
                self._later(every, once, host)

        for host in hosts:
            self._later(int(every * self.random.uniform()), once, host)

    def _slow(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            host.slow_down(times)
            self._later(length, host.slow_down, 1.0)

    def _age(self, hosts: list[Server], times: float, over: int, length: int) -> None:
        steps = 10
        for host in hosts:
            for n in range(1, steps + 1):
                self._later(over * n // steps, host.slow_down, 1 + (times - 1) * n / steps)
            self._later(max(length, over) + 1, host.slow_down, 1.0)

    def _link(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            self._widen(host, times)
            self._later(length, self._widen, host, 1 / times)

    def _widen(self, host: Server, times: float) -> None:
        host.link.resize(capacity=host.link.capacity * times)

    def _shrink(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            if isinstance(host, CachingServer):
                whole, host.storage.capacity_kb = host.storage.capacity_kb, host.storage.capacity_kb * times
                self._later(length, host.storage.set_capacity, whole)

    def _set_share(
        self, set_share: Callable[[Server, float], None], hosts: list[Server], share: float, length: int
    ) -> None:
        for host in hosts:
            set_share(host, share)
            self._later(length, set_share, host, 0.0)

    def _reset(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_reset_share, hosts, share, length)

    def _spoil(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_corrupt_share, hosts, share, length)

    def _lose(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_loss_share, hosts, share, length)

    def _refuse(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_reject_share, hosts, share, length)

    # Paths, log, purges.

    def _cut(self, one: str, other: str, length: int) -> None:
        pair = frozenset((one, other))
        self.world.cut_zones.add(pair)
        self._later(length, self.world.cut_zones.discard, pair)

    def _loglate(self, times: float, length: int) -> None:
        self.world.change_log.set_delay_factor(times)
        self._later(length, self.world.change_log.set_delay_factor, 1.0)

    def _logstop(self, length: int) -> None:
        self.world.change_log.stop()
        self._later(length, self.world.change_log.start)

    def _loggap(self, length: int) -> None:
        self.world.change_log.stop()
        self._later(length, self.world.change_log.start, True)

    def _purge(self, group: int) -> None:
        self.world.purge("", group % self.world.settings.groups + 1)

    def _flush(self, share: float) -> None:
        groups = self.world.settings.groups
        for n in self.random.shuffled(groups)[: max(1, round(share * groups))]:
            self.world.purge("", n + 1)

    # Clients and dispatchers.

    def _herd(self, class_name: str, share: float, objects: int, length: int) -> None:
        hot = self.world.catalog.add_hot_objects(self.classes.get(class_name, 0), share, max(1, objects))
        self._later(length, self._cool, hot)

    def _cool(self, hot: HotObjects) -> None:
        self.world.catalog.hot.remove(hot)

    def _scan(self, share: float, length: int) -> None:
        self.world.catalog.set_scan_share(share)
        self._later(length, self.world.catalog.set_scan_share, 0.0)

    def _surge(self, zone: str, times: float, length: int) -> None:
        number = int(zone[1:]) if zone[1:].isdecimal() else 0
        surge = self.world.clients.arrival_factor
        if zone[0] == "z" and number < len(surge):
            surge[number] = times
            self._later(length, self._calm, number)

    def _calm(self, zone: int) -> None:
        self.world.clients.arrival_factor[zone] = 1.0

    def _tail(self, class_name: str, share: float, times: float, length: int) -> None:
        number = self.classes.get(class_name, 0)
        self.world.catalog.enlarged[number] = (share, times)
        self._later(length, self._light, number)

    def _light(self, number: int) -> None:
        self.world.catalog.enlarged.pop(number, None)

    def _kill(self, share: float, length: int) -> None:
        for dispatcher in self._some_dispatchers(share):
            self.world.crash_dispatcher(dispatcher, length)

    def _clock(self, share: float, step: int) -> None:
        for dispatcher in self._some_dispatchers(share):
            dispatcher.step_clock(step)


def unsupported(rows: list[ScheduledFault], settings: WorldSettings) -> list[str]:
    """What a script asks for that this world does not have, a sentence each."""
    classes = {row.name for row in settings.classes}
    zones = {HUB, *(f"z{n}" for n in range(settings.zones))}
    wrong = []
    for row in rows:
        if row.kind in ("herd", "tail") and row.values[0] not in classes:
            wrong.append(
                f"'{row.text}': no traffic class '{row.values[0]}', there are {', '.join(sorted(classes))}"
            )
        places = {"cut": row.values[:2], "surge": row.values[:1]}.get(row.kind, ())
        wrong += [f"'{row.text}': no zone '{zone}'" for zone in places if zone not in zones]
    return wrong


# Days by name: `[low,high]` is drawn anew for each seed; spans are cut to three fifths of the day.
DAYS = {
    "age": "(age caches:[0.1,0.4] [4,10]x over [8,15]s for [15,20]s)",
    "crash": "(crash caches:[0.1,0.5] for [1,5]s)",
    "cut": "(cut z0 hub for [2,8]s)",
    "deploy": "(deploy caches batch [0.1,0.25] drain [2,4]s)",
    "drain": "(drain caches:[0.1,0.4] for [2,8]s)",
    "flush": "(flush [0.3,1])",
    "halfopen": "(halfopen caches:[0.1,0.3] for [3,12]s)",
    "herd": "(herd video [0.2,0.5] objects 2 for [5,25]s)",
    "kill": "(kill [0.2,0.5] for [1,6]s)",
    "loggap": "(loggap for [4,10]s) (crash caches:0.2 for 1s)",
    "loglate": "(loglate [4,15]x for [8,20]s) (deploy caches batch 0.2 drain 2s)",
    "lose": "(lose caches:[0.1,0.4] [0.02,0.2] for [5,20]s)",
    "origin-slow": "(slow origin [3,8]x for [5,20]s)",
    "parent-gone": "(vanish p0 for [6,20]s noticed [4,8]s)",
    "parent-slow": "(slow p0 [4,12]x for [6,20]s)",
    "pauses": "(pause caches:[0.2,0.5] [0.1,0.6]s every [0.8,3]s for [10,35]s)",
    "reset": "(reset caches:[0.2,0.6] [0.05,0.4] for [5,20]s)",
    "scan": "(scan [0.08,0.25] for [8,25]s)",
    "shrink": "(shrink caches [0.05,0.3]x for [8,20]s)",
    "slow": "(slow caches:[0.1,0.25] [3,10]x for [10,35]s)",
    "spoil": "(spoil caches:[0.2,0.6] [0.05,0.4] for [5,20]s)",
    "stall": "(stall caches:[0.08,0.2] for [5,25]s)",
    "surge": "(surge z0 [1.5,2.5]x for [4,12]s)",
    "tail": "(tail page [0.01,0.04] [8,30]x for [10,30]s)",
    "thin-link": "(link caches:[0.2,0.5] [0.15,0.5]x for [5,20]s)",
    "vanish": "(vanish caches:[0.05,0.2] for [8,30]s noticed [4,8]s)",
}
RANGE = re.compile(r"\[([0-9.]+),([0-9.]+)\](s?)")


def _filled(template: str, random: RandomStream, seconds: float) -> str:
    def value(found: re.Match[str]) -> str:
        draw_day = random.between(float(found[1]), float(found[2]))
        return f"{int(min(draw_day, 0.6 * seconds) * 1000)}ms" if found[3] else f"{draw_day:.2f}"

    return RANGE.sub(value, template)


def draw_day(day: str, seed: int, seconds: float) -> str:
    """The script of a day by name: `calm`, one of `DAYS`, several joined by '+', or `any` (one to three of
    them).
    """
    random = RandomStreams(seed).stream(f"day {day}")
    if day == "calm":
        return ""
    names = day.split("+")
    if day == "any":
        order, every = random.shuffled(len(DAYS)), sorted(DAYS)
        names = [every[n] for n in order[: 1 + random.below(3)]]
    rows = []
    for name in names:
        if name not in DAYS:
            raise ValueError(f"no day '{name}'; there are calm, any, {', '.join(sorted(DAYS))}")
        at = int(random.between(0.1, 0.3) * seconds * 1000)
        rows.append(f"(at {at}ms {_filled(DAYS[name], random, seconds)})")
    return "\n".join(rows)
