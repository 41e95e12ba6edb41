"""Hosts router instances on the wire: lines become events of a router, its actions become reply lines."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from hoistplank.benchlink import codec
from hoistplank.decision.events import Endpoint, EndpointsUpdated, EndpointWatchFailed, Event
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.settings_reader import read_settings
from hoistplank.wire_fields import FieldError, Fields

# The lines that are for one instance, and the event that each is to it.
EVENTS: dict[str, Callable[[Fields], Event]] = {
    "DEMAND": codec.request_arrived,
    "VERDICT": codec.attempt_ended,
    "FLOWING": codec.response_started,
    "LEFT": codec.client_disconnected,
    "TICK_DUE": codec.timer_fired,
    "PURGED": codec.purge_received,
}
# Lines for one instance that tell it nothing that it uses.
IGNORED = ("PROBE_RESULT", "PEER")

MOST_QUOTED = 40


class Hosting:
    """All instances of this process. They share nothing but the numbered lists of the current wire."""

    def __init__(self, make: Callable[[RouterSettings, int], Router] = Router) -> None:
        self.make = make
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, list[Endpoint]] = {}
        self.crashes: dict[str, str] = {}  # what broke each instance whose code broke
        self.touched: dict[str, None] = {}  # the instances that the open batch names, in its order
        self.now_us = 0
        self.in_batch = False

    def play(self, lines: Iterable[str]) -> Iterator[str]:
        """Reads batches, and yields the reply of each as one text."""
        stream = _Lines(lines)
        try:
            for text in stream:
                reply = self._line(text, stream)
                if reply is not None:
                    yield reply
            if self.in_batch:
                raise FieldError("the input ends inside a batch")
        except FieldError as wrong:
            name = stream.text.partition(" ")[0][:MOST_QUOTED]
            raise FieldError(f"line {stream.number}: {name}: {wrong}") from None

    def _line(self, text: str, stream: _Lines) -> str | None:
        """Takes one line in; returns the reply where it ends a batch."""
        if not text:
            return None
        name, _, rest = text.partition(" ")
        if name == "FRAME":
            if self.in_batch:
                raise FieldError("a batch begins inside another")
            self.now_us = Fields(rest.split(" ")).micros("moment")
            self.in_batch = True
        elif not self.in_batch:
            raise FieldError(f"'{name[:MOST_QUOTED]}' stands outside a batch")
        elif name == "COMMIT":
            self.in_batch = False
            return self._reply()
        elif name == "SHEET":
            self._read_list(Fields(rest.split(" ")), stream)
        else:
            self._instance_line(name, Fields(rest.split(" ") if rest else []))
        return None

    def _read_list(self, fields: Fields, stream: _Lines) -> None:
        count = fields.integer("members_list", 0)
        if count < 0:
            raise FieldError("field 'members_list' is below 0")
        endpoints: list[Endpoint] = []
        for _ in range(count):
            text = next(stream, "")
            if not text.startswith("ITEM "):
                raise FieldError("a list ends before its stated number of ITEM lines")
            endpoints.append(codec.endpoint(Fields(text[5:].split(" "))))
        self.lists[fields.integer("buffer", 0)] = endpoints

    def _instance_line(self, name: str, fields: Fields) -> None:
        """A line for one instance: its start, its end or an event of it. Unknown ones are passed over."""
        read = EVENTS.get(name)
        if read is None and name not in ("LAUNCH", "HALT", "PEERS_KNOWN", *IGNORED):
            return
        instance = fields.text("dispatcher_id")
        if name == "HALT":
            self._halt(instance)
            return
        self.touched[instance] = None
        if name == "LAUNCH":
            self._launch(instance, fields)
            return
        router = self.routers.get(instance)
        if router is None:
            if instance not in self.crashes:
                raise FieldError(
                    f"field 'dispatcher_id' names no running instance '{instance[:MOST_QUOTED]}'"
                )
            return
        if read is not None:
            self._handle(instance, router, read(fields))
        elif name == "PEERS_KNOWN":
            self._handle(instance, router, self._endpoint_event(fields))

    def _launch(self, instance: str, fields: Fields) -> None:
        self.crashes.pop(instance, None)
        settings = read_settings(fields)
        try:
            self.routers[instance] = self.make(settings, fields.integer("salt", 0))
        except Exception as broken:
            self._crashed(instance, broken)

    def _halt(self, instance: str) -> None:
        self.routers.pop(instance, None)
        self.crashes.pop(instance, None)
        self.touched.pop(instance, None)

    def _endpoint_event(self, fields: Fields) -> Event:
        form = fields.text("form")
        if form != codec.WATCH_FAILED and form not in codec.LIST_FORMS:
            raise FieldError(f"field 'form' has no meaning '{form[:20]}'")
        number = fields.integer("buffer", 0)
        if form == codec.WATCH_FAILED:
            return EndpointWatchFailed()
        if number not in self.lists:
            raise FieldError("field 'buffer' names no list")
        return EndpointsUpdated(codec.LIST_FORMS[form], self.lists[number])

    def _handle(self, instance: str, router: Router, event: Event) -> None:
        try:
            router.handle(self.now_us, event)
        except Exception as broken:
            self._crashed(instance, broken)

    def _crashed(self, instance: str, broken: Exception) -> None:
        """The wire wants any break of the decision code declared, with its text; the first one counts."""
        text = f"{type(broken).__name__}: {broken}".replace("\n", " ")
        self.crashes.setdefault(instance, text)

    def _reply(self) -> str:
        """The actions of all instances that the batch named, and its end."""
        out: list[str] = []
        for instance in self.touched:
            router = self.routers.get(instance)
            if router is not None and instance not in self.crashes:
                self._pull(instance, router, out)
            if instance in self.crashes:
                out.append(f"CRASH dispatcher_id={instance} note_text={self.crashes[instance]}")
        self.touched.clear()
        out.append("DONE\n")
        return "\n".join(out)

    def _pull(self, instance: str, router: Router, out: list[str]) -> None:
        try:
            while (action := router.next_action(self.now_us)) is not None:
                out.append(codec.line(instance, action))
        except Exception as broken:
            self._crashed(instance, broken)


class _Lines:
    """The lines of the input, with the number and the text of the last one that was read."""

    def __init__(self, lines: Iterable[str]) -> None:
        self.lines = iter(lines)
        self.number = 0
        self.text = ""

    def __iter__(self) -> _Lines:
        return self

    def __next__(self) -> str:
        self.number += 1
        self.text = ""
        self.text = next(self.lines).rstrip("\r\n")
        return self.text
