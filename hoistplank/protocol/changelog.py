"""The change log: its events as JSON, a line each, and the line that asks for them."""

from __future__ import annotations

import msgspec

from hoistplank.decision.events import Endpoint
from hoistplank.protocol.cachewire import is_token
from hoistplank.protocol.errors import BadBytes

# A configuration of 1 MiB, each byte of which JSON may write as six; a list of some thousand hosts is less.
MOST_LINE = 6 * 1_048_576 + 65_536
STATES = {"ready": "up", "draining": "draining", "gone": "gone"}


class Target(msgspec.Struct, frozen=True):
    uid: str
    endpoint: str
    az: str = ""
    model: str = ""
    pod_group: int = 0
    state: str = "ready"
    capacity_hint: float = 1.0
    boot_ms: float = 0

    def entry(self) -> Endpoint:
        return Endpoint(
            self.uid,
            self.az,
            self.model,
            self.pod_group,
            self.capacity_hint,
            int(self.boot_ms * 1000),
            STATES[self.state],
        )

    def address(self) -> tuple[str, int]:
        return address(self.endpoint)


class Fleet(msgspec.Struct, frozen=True):
    rev: int = 0
    all: bool = False
    targets: list[Target] = []


class Purge(msgspec.Struct, frozen=True):
    time: float
    object: str = ""
    bucket: int = 0


NO_CONFIGURATION = msgspec.Raw()


class Event(msgspec.Struct, frozen=True):
    """One event. `configuration` is left unread: a follower without use for it must not fail on what it
    holds; who hands it on checks it (`hoistplank.distribution`)."""

    seq: int
    fleet: Fleet | None = None
    invalidate: Purge | None = None
    configuration: msgspec.Raw = NO_CONFIGURATION
    epoch: int = 0  # rises whenever the log counts anew; 0 of a log that tells none

    @property
    def is_number(self) -> bool:
        """Whether it says nothing but how far the log has come."""
        return self.fleet is None and self.invalidate is None and not self.configures

    @property
    def configures(self) -> bool:
        """Whether it carries a configuration."""
        return bytes(self.configuration) not in (b"", b"null")


class Known(msgspec.Struct, frozen=True):
    seq: int = 0
    results: list[Event] = []


_decoder = msgspec.json.Decoder(int | Event)


def address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdecimal()) or int(port) > 65_535:
        raise BadBytes(f"'{text[:60]}' is no address with a port")
    return host, int(port)


def check(event: Event) -> Event:
    for target in event.fleet.targets if event.fleet else []:
        if not is_token(target.uid):
            # Danger: it goes into the lines to cache hosts as a source's name, and could change their words.
            raise BadBytes(f"a cache host's uid '{target.uid[:40]}' can't stand in a line")
        address(target.endpoint)
        if target.state not in STATES:
            raise BadBytes(f"cache host {target.uid[:40]} has the unknown state '{target.state[:20]}'")
    return event


def since(number: int) -> bytes:
    return f"since {number}\n".encode()


class Reader:
    """The lines of one connection: events, and numbers that say how far the log has come, each bare or as an
    object with nothing else in it but the log's epoch."""

    def __init__(self) -> None:
        self.seen = 0
        self.epoch = 0  # of the last line that was read

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Event | int]]:
        found: list[Event | int] = []
        while (stop := buffer.find(b"\n", start + self.seen, end)) >= 0:
            line, start, self.seen = bytes(buffer[start:stop]).strip(), stop + 1, 0
            if line:
                try:
                    told = _decoder.decode(line)
                except msgspec.MsgspecError as wrong:
                    raise BadBytes(f"a line of the change log can't be read: {wrong}") from None
                self.epoch = told.epoch if isinstance(told, Event) else 0
                if isinstance(told, Event) and told.is_number:
                    # The number alone, as the platform's log writes it. Danger: taken for an event, one that
                    # is ahead would count as heard what has not come, and a drain would be lost for good.
                    told = told.seq
                found.append(told if isinstance(told, int) else check(told))
        self.seen = end - start
        if self.seen > MOST_LINE:
            raise BadBytes("a line of the change log is too long")
        return start, found
