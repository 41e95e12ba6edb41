"""The protocol of the change log, without I/O: events as lines of JSON, and the line that requests them.

The names and the order of the structs' fields are those on the wire.
"""

from __future__ import annotations

import msgspec

from hoistplank.decision.events import Endpoint
from hoistplank.protocol.cachewire import is_token
from hoistplank.protocol.errors import ChangeLogError

# Fits a configuration of 1 MiB, each byte of which JSON may escape as six; a list of some thousand hosts is
# shorter.
MAX_LINE_BYTES = 6 * 1_048_576 + 65_536
_HOST_STATE_BY_NAME = {"ready": "up", "draining": "draining", "gone": "gone"}
_MAX_PORT = 65_535


class Target(msgspec.Struct, frozen=True):
    """A cache host as listed by the change log; `boot_ms` is Unix time (ms)."""

    uid: str
    endpoint: str
    az: str = ""
    model: str = ""
    pod_group: int = 0
    state: str = "ready"
    capacity_hint: float = 1.0
    boot_ms: float = 0

    def to_endpoint(self) -> Endpoint:
        """Returns the host as an `Endpoint` of the decision logic, with times in microseconds."""
        return Endpoint(
            self.uid,
            self.az,
            self.model,
            self.pod_group,
            self.capacity_hint,
            int(self.boot_ms * 1000),
            _HOST_STATE_BY_NAME[self.state],
        )

    def address(self) -> tuple[str, int]:
        """Returns host and port of the endpoint; raises ChangeLogError."""
        return parse_address(self.endpoint)


class Fleet(msgspec.Struct, frozen=True):
    """The cache hosts that have changed, or `all` of them, at revision `rev` of the list."""

    rev: int = 0
    all: bool = False
    targets: list[Target] = []


class Purge(msgspec.Struct, frozen=True):
    """Invalidates the copies of one object, or of a purge group (`bucket`), that were made before `time`
    (Unix time by the log's clock, ms)."""

    time: float
    object: str = ""
    bucket: int = 0


NO_CONFIGURATION = msgspec.Raw()


class Event(msgspec.Struct, frozen=True):
    """An event of the change log. `configuration` is left undecoded, so that a follower that does not use it
    does not fail on its content; `hoistplank.distribution`, which forwards it, checks it."""

    seq: int
    fleet: Fleet | None = None
    invalidate: Purge | None = None
    configuration: msgspec.Raw = NO_CONFIGURATION
    epoch: int = 0  # rises whenever the log restarts its numbering; 0 if the log sends none

    @property
    def is_position(self) -> bool:
        """True if the event holds only a position of the log."""
        return self.fleet is None and self.invalidate is None and not self.has_configuration

    @property
    def has_configuration(self) -> bool:
        """True if the event holds a configuration."""
        return bytes(self.configuration) not in (b"", b"null")


class Position(msgspec.Struct, frozen=True):
    """The present end of the log: there is no event after `seq` yet."""

    seq: int


class Snapshot(msgspec.Struct, frozen=True):
    """The events of the log up to `seq`, given to a process at its start."""

    seq: int = 0
    results: list[Event] = []


_decoder = msgspec.json.Decoder(int | Event)


def parse_address(text: str) -> tuple[str, int]:
    """Returns host and port of `host:port`; raises ChangeLogError."""
    host, colon, port = text.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and int(port) <= _MAX_PORT
    if not colon or not host or not is_port:
        raise ChangeLogError(f"'{text[:60]}' is no address with a port")
    return host, int(port)


def check_event(event: Event) -> Event:
    """Returns the event; raises ChangeLogError if one of its hosts has invalid values."""
    for target in event.fleet.targets if event.fleet else []:
        if not is_token(target.uid):
            # A uid is sent to cache hosts as the name of a source; a separator in it would corrupt the line.
            raise ChangeLogError(
                f"cache host uid '{target.uid[:40]}': expected visible ASCII without ',' and '='"
            )
        parse_address(target.endpoint)
        if target.state not in _HOST_STATE_BY_NAME:
            raise ChangeLogError(f"cache host {target.uid[:40]} has the unknown state '{target.state[:20]}'")
    return event


def encode_since(sequence_number: int) -> bytes:
    """Returns the line that requests all events after `sequence_number`."""
    return f"since {sequence_number}\n".encode()


class ChangeLogReader:
    """Decodes the lines of one connection: events and positions. A position is a bare number, or an object
    that holds only the number and perhaps the log's epoch."""

    def __init__(self) -> None:
        self.epoch = 0  # of the last line; 0 if that had none
        self._searched_bytes = 0  # bytes of an incomplete line known to hold no newline

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Event | Position]]:
        """Decodes the complete lines between `start` and `end`.

        Returns the position behind them and their messages; raises ChangeLogError.
        """
        found: list[Event | Position] = []
        while (line_end := buffer.find(b"\n", start + self._searched_bytes, end)) >= 0:
            line = bytes(buffer[start:line_end]).strip()
            start, self._searched_bytes = line_end + 1, 0
            if line:
                found.append(self._decode(line))
        self._searched_bytes = end - start
        if self._searched_bytes > MAX_LINE_BYTES:
            raise ChangeLogError("a line of the change log is too long")
        return start, found

    def _decode(self, line: bytes) -> Event | Position:
        try:
            message: Event | int = _decoder.decode(line)
        except msgspec.MsgspecError as error:
            raise ChangeLogError(f"a line of the change log can't be read: {error}") from error
        if isinstance(message, int):
            self.epoch = 0
            return Position(message)
        self.epoch = message.epoch
        if message.is_position:
            # The platform's log sends positions as bare numbers. If a position ahead of the events were taken
            # for an event, the events up to it would count as received, and a drain could be lost for good.
            return Position(message.seq)
        return check_event(message)
