"""Hosts router instances for the simulator: passes lines as events to routers, and replies with actions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from hoistplank.benchlink import codec
from hoistplank.decision.events import Endpoint, EndpointsUpdated, EndpointWatchFailed, Event
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.settings_reader import read_settings
from hoistplank.wire_fields import FieldError, Fields

# The names of the lines that carry an event for one instance, and the readers of these events.
EVENT_READERS: dict[str, Callable[[Fields], Event]] = {
    "DEMAND": codec.request_arrived,
    "VERDICT": codec.attempt_ended,
    "FLOWING": codec.response_started,
    "LEFT": codec.client_disconnected,
    "TICK_DUE": codec.timer_fired,
    "PURGED": codec.purge_received,
}
# The names of the lines for one instance that a router does not use.
IGNORED_LINES = ("PROBE_RESULT", "PEER")

MAX_QUOTED_LENGTH = 40


class Hosting:
    """The router instances of this process. They share only the numbered endpoint lists of the input."""

    def __init__(self, make_router: Callable[[RouterSettings, int], Router] = Router) -> None:
        self.make_router = make_router
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, list[Endpoint]] = {}
        self.crashes: dict[str, str] = {}  # the first exception of each instance that raised one, as text
        self.batch_instances: dict[str, None] = {}  # the instances named in the open batch, in order
        self.now_us = 0
        self.in_batch = False

    def process(self, lines: Iterable[str]) -> Iterator[str]:
        """Reads batches, and yields the reply to each as one text."""
        stream = _LineReader(lines)
        try:
            for text in stream:
                reply = self._handle_line(text, stream)
                if reply is not None:
                    yield reply
            if self.in_batch:
                raise FieldError("the input ends inside a batch")
        except FieldError as error:
            name = stream.text.partition(" ")[0][:MAX_QUOTED_LENGTH]
            raise FieldError(f"line {stream.number}: {name}: {error}") from None

    def _handle_line(self, text: str, stream: _LineReader) -> str | None:
        """Handles one line; returns the reply if the line ends a batch."""
        if not text:
            return None
        name, _, rest = text.partition(" ")
        if name == "FRAME":
            if self.in_batch:
                raise FieldError("a batch begins inside another batch")
            self.now_us = Fields(rest.split(" ")).microseconds("moment")
            self.in_batch = True
        elif not self.in_batch:
            raise FieldError(f"'{name[:MAX_QUOTED_LENGTH]}' is outside a batch")
        elif name == "COMMIT":
            self.in_batch = False
            return self._reply()
        elif name == "SHEET":
            self._read_list(Fields(rest.split(" ")), stream)
        else:
            self._handle_instance_line(name, Fields(rest.split(" ") if rest else []))
        return None

    def _read_list(self, fields: Fields, stream: _LineReader) -> None:
        count = fields.integer("members_list", 0)
        if count < 0:
            raise FieldError("field 'members_list' must not be below 0")
        endpoints: list[Endpoint] = []
        for _ in range(count):
            text = next(stream, "")
            if not text.startswith("ITEM "):
                raise FieldError("a list has fewer ITEM lines than field 'members_list' states")
            endpoints.append(codec.read_endpoint(Fields(text[5:].split(" "))))
        self.lists[fields.integer("buffer", 0)] = endpoints

    def _handle_instance_line(self, name: str, fields: Fields) -> None:
        """Handles a line for one instance: its start, its end or an event. Unknown lines are ignored."""
        read = EVENT_READERS.get(name)
        if read is None and name not in ("LAUNCH", "HALT", "PEERS_KNOWN", *IGNORED_LINES):
            return
        instance = fields.text("dispatcher_id")
        if name == "HALT":
            self._halt(instance)
            return
        self.batch_instances[instance] = None
        if name == "LAUNCH":
            self._launch(instance, fields)
            return
        router = self.routers.get(instance)
        if router is None:
            if instance not in self.crashes:
                raise FieldError(
                    f"field 'dispatcher_id' names no running instance '{instance[:MAX_QUOTED_LENGTH]}'"
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
            self.routers[instance] = self.make_router(settings, fields.integer("salt", 0))
        except Exception as error:
            self._record_crash(instance, error)

    def _halt(self, instance: str) -> None:
        self.routers.pop(instance, None)
        self.crashes.pop(instance, None)
        self.batch_instances.pop(instance, None)

    def _endpoint_event(self, fields: Fields) -> Event:
        form = fields.text("form")
        if form != codec.WATCH_FAILED and form not in codec.LIST_FORMS:
            raise FieldError(f"field 'form' must be a known form of list, found '{form[:20]}'")
        number = fields.integer("buffer", 0)
        if form == codec.WATCH_FAILED:
            return EndpointWatchFailed()
        if number not in self.lists:
            raise FieldError("field 'buffer' names a list that was not received")
        return EndpointsUpdated(codec.LIST_FORMS[form], self.lists[number])

    def _handle(self, instance: str, router: Router, event: Event) -> None:
        try:
            router.handle(self.now_us, event)
        except Exception as error:
            self._record_crash(instance, error)

    def _record_crash(self, instance: str, error: Exception) -> None:
        """Keeps the text of an instance's first exception, which the protocol requires to be reported."""
        text = f"{type(error).__name__}: {error}".replace("\n", " ")
        self.crashes.setdefault(instance, text)

    def _reply(self) -> str:
        """Returns the actions of all instances that the batch named, and the end of the reply."""
        out: list[str] = []
        for instance in self.batch_instances:
            router = self.routers.get(instance)
            if router is not None and instance not in self.crashes:
                self._collect_actions(instance, router, out)
            if instance in self.crashes:
                out.append(f"CRASH dispatcher_id={instance} note_text={self.crashes[instance]}")
        self.batch_instances.clear()
        out.append("DONE\n")
        return "\n".join(out)

    def _collect_actions(self, instance: str, router: Router, out: list[str]) -> None:
        try:
            while (action := router.next_action(self.now_us)) is not None:
                out.append(codec.encode_action(instance, action))
        except Exception as error:
            self._record_crash(instance, error)


class _LineReader:
    """Iterates over the lines of the input, and keeps the number and the text of the last one."""

    def __init__(self, lines: Iterable[str]) -> None:
        self.lines = iter(lines)
        self.number = 0
        self.text = ""

    def __iter__(self) -> _LineReader:
        return self

    def __next__(self) -> str:
        self.number += 1
        self.text = ""
        self.text = next(self.lines).rstrip("\r\n")
        return self.text
