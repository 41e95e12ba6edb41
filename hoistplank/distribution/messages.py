"""The lines between control replicas, dispatchers and operators: JSON objects, one a line.

A replica hands the change log's events on in the log's own form, with two more fields: `epoch`, and
`after`, the number of the event before it on this connection. Numbers that were compacted away are missing,
so a follower checks `after` against what it holds in place of counting by one. A line with `seq` and
`epoch` alone is a heartbeat: there is nothing newer than that number. More than one missing event is told
as a catch-up: a line that begins it, its parts, and a line that ends it. Everything a line names is checked
here; what can't be used raises ProtocolError with what is wrong.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from hoistplank.decision.purges import ALL_OBJECTS
from hoistplank.distribution.versions import Version
from hoistplank.protocol import changelog
from hoistplank.protocol.changelog import Fleet, Purge
from hoistplank.protocol.errors import ProtocolError

MOST_CONFIGURATION = 1_048_576  # bytes of one configuration's text
# JSON may write each byte of a text as six characters.
MOST_LINE = 6 * MOST_CONFIGURATION + 65_536
MOST_REQUEST_LINE = 65_536  # of what a dispatcher, a peer or an operator sends
MOST_REASON = 2_000  # characters of a refusal's reason
ALL_OBJECTS_BUCKET = ALL_OBJECTS  # of a purge of all objects: a request's bucket lies between 0 and 255

NAME_PATTERN = r"[A-Za-z0-9_.:/-]{1,120}"  # of dispatchers and replicas

Name = Annotated[str, Meta(pattern=f"^{NAME_PATTERN}$")]
Count = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class VersionFields(msgspec.Struct, frozen=True):
    """A version as it stands in a line."""

    epoch: Count = 0
    number: Count = 0

    def version(self) -> Version:
        return Version(self.epoch, self.number)


class Configuration(msgspec.Struct, frozen=True):
    """A whole configuration: the text of an operator's file."""

    text: Annotated[str, Meta(max_length=MOST_CONFIGURATION)]


class CatchUp(enum.Enum):
    """The place of a line in a catch-up.

    Danger: an early part may stand for less than its number says, as what was superseded is told with the
    later part alone. So a follower's version moves only with the line that ends the catch-up.
    """

    BEGIN = "begin"  # no content; `seq` is the number at which the catch-up will end
    PART = "part"  # content, with the version at which it last changed, which may be of an earlier epoch
    END = "end"  # no content; all up to `seq` has been told


class ReplicatedEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event as a replica hands it on; without `fleet`, `invalidate` and `configuration`, a heartbeat."""

    seq: Count
    epoch: Count = 0
    after: Count = 0
    fleet: Fleet | None = None
    invalidate: Purge | None = None
    configuration: Configuration | None = None
    catch_up: CatchUp | None = None

    @property
    def version(self) -> Version:
        return Version(self.epoch, self.seq)

    @property
    def is_heartbeat(self) -> bool:
        return self.fleet is None and self.invalidate is None and self.configuration is None


class Redirect(msgspec.Struct, frozen=True):
    """The replica does not take this dispatcher now; `reason` is for the log."""

    reason: str


class Refusal(msgspec.Struct, frozen=True):
    """A configuration that a dispatcher could not take, and why."""

    version: VersionFields
    reason: Annotated[str, Meta(max_length=MOST_REASON)]


class Follow(msgspec.Struct, frozen=True):
    """A dispatcher's first line: who it is, which life of it, and what it holds."""

    dispatcher: Name
    incarnation: Count  # rises with each start of this dispatcher
    region: str = ""
    at: VersionFields = VersionFields()


class InForce(msgspec.Struct, frozen=True):
    """A dispatcher's acknowledgement: all up to `version` is applied, or was refused as `refused` says."""

    version: VersionFields
    configuration: VersionFields = VersionFields()
    refused: Refusal | None = None


class Report(msgspec.Struct, frozen=True):
    """A peer replica's first line: it wants the acknowledgements of this replica's own dispatchers."""

    replica: Name


class StatusRequest(msgspec.Struct, frozen=True):
    """An operator asks for a status; the answer is one line. `version`: of this change alone."""

    version: VersionFields | None = None


class AcknowledgementRow(msgspec.Struct, frozen=True):
    """What one dispatcher has in force, as one replica tells another."""

    dispatcher: Name
    incarnation: Count
    in_force: InForce
    region: str = ""
    connected: bool = True
    heard_ago_us: Count = 0


class RequestLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """A line to a replica: exactly one field is set."""

    follow: Follow | None = None
    in_force: InForce | None = None
    report: Report | None = None
    status: StatusRequest | None = None


class ReplicaLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """A line from a replica to a dispatcher: an event (or heartbeat), or a redirect."""

    seq: Count | None = None
    epoch: Count = 0
    after: Count = 0
    fleet: Fleet | None = None
    invalidate: Purge | None = None
    configuration: Configuration | None = None
    catch_up: CatchUp | None = None
    redirect: Redirect | None = None


_requests = msgspec.json.Decoder(RequestLine)
_replica_lines = msgspec.json.Decoder(ReplicaLine)
_encoder = msgspec.json.Encoder()


def encode(message: RequestLine | ReplicatedEvent | AcknowledgementRow | msgspec.Struct) -> bytes:
    """One line, with its end."""
    return _encoder.encode(message) + b"\n"


def read_request(line: bytes) -> Follow | InForce | Report | StatusRequest:
    """What a dispatcher, a peer or an operator asks; raises ProtocolError."""
    try:
        told = _requests.decode(line)
    except msgspec.MsgspecError as wrong:
        raise ProtocolError(f"a request can't be read: {wrong}") from None
    found = [part for part in (told.follow, told.in_force, told.report, told.status) if part is not None]
    if len(found) != 1:
        raise ProtocolError(
            f"a request holds {len(found)} of 'follow', 'in_force', 'report' and 'status', not one"
        )
    return found[0]


def read_replica_line(line: bytes) -> ReplicatedEvent | Redirect:
    """What a replica tells a dispatcher; raises ProtocolError."""
    try:
        told = _replica_lines.decode(line)
    except msgspec.MsgspecError as wrong:
        raise ProtocolError(f"a replica's line can't be read: {wrong}") from None
    if told.redirect is not None:
        return told.redirect
    if told.seq is None:
        raise ProtocolError("a replica's line has neither 'seq' nor 'redirect'")
    changelog.check_event(changelog.Event(told.seq, told.fleet, told.invalidate))
    return ReplicatedEvent(
        told.seq,
        told.epoch,
        told.after,
        told.fleet,
        told.invalidate,
        told.configuration,
        told.catch_up,
    )
