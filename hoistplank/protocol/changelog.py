"""The change log, without I/O: its events as JSON, a line each, and the line that asks for them.

Names and order of the structs' fields are those of the wire.
"""

from __future__ import annotations

import msgspec

from hoistplank.decision.events import Endpoint
from hoistplank.protocol.cachewire import is_token
from hoistplank.protocol.errors import ChangeLogError

# A configuration of 1 MiB, each byte of which JSON may write as six; a list of some thousand hosts is less.
MAX_LINE_BYTES = 6 * 1_048_576 + 65_536
_HOST_STATE_OF_WORD = {"ready": "up", "draining": "draining", "gone": "gone"}
_MAX_PORT = 65_535


class Target(msgspec.Struct, frozen=True):
    """A cache host as the change log lists it; `boot_ms` is Unix time (ms)."""

    uid: str
    endpoint: str
    az: str = ""
    model: str = ""
    pod_group: int = 0
    state: str = "ready"
    capacity_hint: float = 1.0
    boot_ms: float = 0

    def entry(self) -> Endpoint:
        """The host in the terms of the decision logic, times in microseconds."""
        return Endpoint(
            self.uid,
            self.az,
            self.model,
            self.pod_group,
            self.capacity_hint,
            int(self.boot_ms * 1000),
            _HOST_STATE_OF_WORD[self.state],
        )

    def address(self) -> tuple[str, int]:
        """Its host and port; raises ChangeLogError."""
        return parse_address(self.endpoint)


class Fleet(msgspec.Struct, frozen=True):
    """The cache hosts that changed, or `all` of them, as of the list's revision `rev`."""

    rev: int = 0
    all: bool = False
    targets: list[Target] = []


class Purge(msgspec.Struct, frozen=True):
    """Copies made before `time` (Unix time of the log's clock, ms) are not to be used: those of one object,
    or of a purge group (`bucket`)."""

    time: float
    object: str = ""
    bucket: int = 0


NO_CONFIGURATION = msgspec.Raw()


class Event(msgspec.Struct, frozen=True):
    """One event. `configuration` is left undecoded: a follower without use for it must not fail on what it
    holds; who hands it on checks it (`hoistplank.distribution`)."""

    seq: int
    fleet: Fleet | None = None
    invalidate: Purge | None = None
    configuration: msgspec.Raw = NO_CONFIGURATION
    epoch: int = 0  # rises whenever the log counts anew; 0 of a log that says none

    @property
    def is_position(self) -> bool:
        """Whether it says nothing but how far the log has come."""
        return self.fleet is None and self.invalidate is None and not self.has_configuration

    @property
    def has_configuration(self) -> bool:
        """Whether it carries a configuration."""
        return bytes(self.configuration) not in (b"", b"null")


class Position(msgspec.Struct, frozen=True):
    """How far the log has come: there is no event after `seq` yet."""

    seq: int


class Snapshot(msgspec.Struct, frozen=True):
    """What the log had said up to `seq`, as given at the start of a process."""

    seq: int = 0
    results: list[Event] = []


_decoder = msgspec.json.Decoder(int | Event)


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`; raises ChangeLogError."""
    host, colon, port = text.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and int(port) <= _MAX_PORT
    if not colon or not host or not is_port:
        raise ChangeLogError(f"'{text[:60]}' is no address with a port")
    return host, int(port)


def check_event(event: Event) -> Event:
    """The event itself; raises ChangeLogError where one of its hosts can't be used."""
    for target in event.fleet.targets if event.fleet else []:
        if not is_token(target.uid):
            # Danger: it goes into the lines to cache hosts as a source's name, and could change their words.
            raise ChangeLogError(f"a cache host's uid '{target.uid[:40]}' can't stand in a line")
        parse_address(target.endpoint)
        if target.state not in _HOST_STATE_OF_WORD:
            raise ChangeLogError(f"cache host {target.uid[:40]} has the unknown state '{target.state[:20]}'")
    return event


def encode_since(sequence_number: int) -> bytes:
    """Asks for all events after `sequence_number`."""
    return f"since {sequence_number}\n".encode()


class ChangeLogReader:
    """The lines of one connection: events, and positions, each a bare number or an object with nothing else
    in it but the log's epoch."""

    def __init__(self) -> None:
        self.epoch = 0  # of the last line that was read; 0 where it says none
        self._searched = 0  # bytes of an unfinished line that hold no end

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Event | Position]]:
        """Reads the whole lines between `start` and `end`.

        Returns where it has come to, and what each line says; raises ChangeLogError.
        """
        found: list[Event | Position] = []
        while (line_end := buffer.find(b"\n", start + self._searched, end)) >= 0:
            line = bytes(buffer[start:line_end]).strip()
            start, self._searched = line_end + 1, 0
            if line:
                found.append(self._decode(line))
        self._searched = end - start
        if self._searched > MAX_LINE_BYTES:
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
            # The number alone, as the platform's log writes it. Danger: taken for an event, one that is ahead
            # would count as heard what has not come, and a drain would be lost for good.
            return Position(message.seq)
        return check_event(message)
