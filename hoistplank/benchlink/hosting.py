"""Hosts router instances on the wire: events become calls on a router, its decisions become reply lines."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from hoistplank.benchlink.codec import RESULTS, entry, line
from hoistplank.choice import Router
from hoistplank.interface import HostEntry, Site
from hoistplank.settings_reader import FactError, Fields, numbers, site

FORMS = {"incr": "changes", "total": "whole", "warm_copy": "kept", "lost": "failed"}


class Hosting:
    """All instances of this process. They share nothing but the numbered lists of the current wire."""

    def __init__(self, make: Callable[[Site, int], Router] = Router) -> None:
        self.make = make
        self.routers: dict[str, Router] = {}
        self.sheets: dict[int, list[HostEntry]] = {}
        self.faults: dict[str, str] = {}
        self.touched: dict[str, None] = {}
        self.now = 0

    def play(self, lines: Iterable[str]) -> Iterator[str]:
        """Reads batches, and yields the reply of each as one text."""
        stream = enumerate((raw.rstrip("\r\n") for raw in lines), 1)
        number, text, open_batch = 0, "", False
        try:
            for number, text in stream:
                if not text:
                    continue
                name, _, rest = text.partition(" ")
                if name == "FRAME":
                    if open_batch:
                        raise FactError("a batch begins inside another")
                    self.now, open_batch = Fields(rest.split(" ")).micros("moment"), True
                elif not open_batch:
                    raise FactError(f"'{name[:40]}' stands outside a batch")
                elif name == "COMMIT":
                    open_batch = False
                    yield self.reply()
                elif name == "SHEET":
                    sheet = Fields(rest.split(" "))
                    count = sheet.whole("members_list", 0)
                    if count < 0:
                        raise FactError("field 'members_list' is below 0")
                    entries: list[HostEntry] = []
                    for _ in range(count):
                        number, text = next(stream, (number + 1, ""))
                        if not text.startswith("ITEM "):
                            raise FactError("a list ends before its stated number of ITEM lines")
                        entries.append(entry(Fields(text[5:].split(" "))))
                    self.sheets[sheet.whole("buffer", 0)] = entries
                else:
                    self.event(name, Fields(rest.split(" ") if rest else []))
            if open_batch:
                raise FactError("the input ends inside a batch")
        except FactError as wrong:
            raise FactError(f"line {number}: {text.partition(' ')[0][:40]}: {wrong}") from None

    def event(self, name: str, fields: Fields) -> None:
        call = self.EVENTS.get(name)
        if call is None:
            return
        instance = fields.text("dispatcher_id")
        if name == "HALT":
            self.routers.pop(instance, None)
            self.faults.pop(instance, None)
            self.touched.pop(instance, None)
            return
        self.touched[instance] = None
        if name == "LAUNCH":
            self.faults.pop(instance, None)
            facts = site(fields)

            def launch() -> None:
                self.routers[instance] = self.make(facts, fields.whole("salt", 0))

            self.guarded(instance, launch)
            return
        router = self.routers.get(instance)
        if router is None:
            if instance not in self.faults:
                raise FactError(f"field 'dispatcher_id' names no running instance '{instance[:40]}'")
            return
        act = call(self, router, fields)
        self.guarded(instance, act)

    def guarded(self, instance: str, act: Callable[[], None]) -> None:
        try:
            act()
        except Exception as broken:  # the wire wants any break of the decision code declared, with its text
            self.faults.setdefault(instance, f"{type(broken).__name__}: {broken}".replace("\n", " "))

    def reply(self) -> str:
        out: list[str] = []
        for instance in self.touched:
            router = self.routers.get(instance)

            def pull(instance: str = instance, router: Router | None = router) -> None:
                while router is not None and (decision := router.next_decision(self.now)) is not None:
                    out.append(line(instance, decision))

            if instance not in self.faults:
                self.guarded(instance, pull)
            if instance in self.faults:
                out.append(f"CRASH dispatcher_id={instance} note_text={self.faults[instance]}")
        self.touched.clear()
        out.append("DONE\n")
        return "\n".join(out)

    def listed(self, router: Router, f: Fields) -> Callable[[], None]:
        form = f.text("form")
        if form not in FORMS:
            raise FactError(f"field 'form' has no meaning '{form[:20]}'")
        buffer = f.whole("buffer", 0)
        if form != "lost" and buffer not in self.sheets:
            raise FactError("field 'buffer' names no list")
        entries = [] if form == "lost" else self.sheets[buffer]
        return lambda: router.hosts_listed(self.now, FORMS[form], entries)

    def came(self, router: Router, f: Fields) -> Callable[[], None]:
        request, class_name, object_key = f.text("request_id"), f.text("lane"), f.text("file", "")
        part, group, size, until = (
            f.whole("piece", 0),
            f.whole("label_no", 0),
            f.number("volume_kb", 0.0),
            f.micros("give_up_at"),
        )
        again = f.flag("is_retry")
        return lambda: router.request_arrived(
            self.now, request, class_name, object_key, part, group, size, until, again
        )

    def ended(self, router: Router, f: Fields) -> Callable[[], None]:
        request, attempt, status = f.text("request_id"), f.whole("trial"), f.text("status")
        if status not in RESULTS:
            raise FactError(f"field 'status' has no meaning '{status[:20]}'")
        closed, took, waited = f.flag("ended"), f.micros("time_taken", 0), f.micros("source_wait", -1)
        note, report = f.whole("info", 0), numbers(f.text("feedback", ""), "feedback")
        return lambda: router.attempt_ended(
            self.now, request, attempt, RESULTS[status], closed, took, waited, note, report
        )

    def began(self, router: Router, f: Fields) -> Callable[[], None]:
        request, attempt = f.text("request_id"), f.whole("trial")
        return lambda: router.stream_began(self.now, request, attempt)

    def left(self, router: Router, f: Fields) -> Callable[[], None]:
        request = f.text("request_id")
        return lambda: router.client_left(self.now, request)

    def due(self, router: Router, f: Fields) -> Callable[[], None]:
        token = f.whole("tag")
        return lambda: router.timer_due(self.now, token)

    def probed(self, router: Router, f: Fields) -> Callable[[], None]:
        host, good, took = f.text("host"), f.text("status") == "GOOD", f.micros("time_taken", 0)
        report = numbers(f.text("feedback", ""), "feedback")
        return lambda: router.probe_answered(self.now, host, good, took, report)

    def purged(self, router: Router, f: Fields) -> Callable[[], None]:
        object_key, group, age = f.text("file", ""), f.whole("bucket", 0), f.micros("oldness", 0)
        return lambda: router.purged(self.now, object_key, group, age)

    def nothing(self, router: Router, f: Fields) -> Callable[[], None]:
        return lambda: None

    EVENTS: dict[str, Callable[[Hosting, Router, Fields], Callable[[], None]]] = {
        "LAUNCH": nothing,
        "HALT": nothing,
        "PEERS_KNOWN": listed,
        "DEMAND": came,
        "VERDICT": ended,
        "FLOWING": began,
        "LEFT": left,
        "TICK_DUE": due,
        "PROBE_RESULT": probed,
        "PURGED": purged,
        "PEER": nothing,
    }
