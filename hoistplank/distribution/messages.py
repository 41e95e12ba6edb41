"""The lines between control replicas, dispatchers and operators: JSON objects, one a line.

A replica forwards the change log's events in the log's own format with two more fields: `epoch`, and
`after`, the number of the preceding event on this connection. Compaction leaves out numbers, so a follower
checks `after` against the version it holds instead of counting by one. A line with only `seq` and `epoch` is
a heartbeat: no event is newer than that number. More than one missing event is sent as a catch-up: a begin
line, its parts, and an end line. All fields are validated here; invalid input raises ProtocolError.

Attribute names follow the code's terms; the names on the wire are given by `msgspec.field(name=…)`.
"""

from __future__ import annotations

import enum
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from hoistplank.decision.purges import ALL_OBJECTS
from hoistplank.distribution.versions import Version
from hoistplank.protocol import changelog
from hoistplank.protocol.changelog import Fleet, Purge
from hoistplank.protocol.errors import ProtocolError

MAX_CONFIGURATION_BYTES = 1_048_576  # of one configuration's text
# JSON may escape each byte of a text as six characters.
MAX_LINE_BYTES = 6 * MAX_CONFIGURATION_BYTES + 65_536
MAX_REQUEST_LINE_BYTES = 65_536  # of a line from a dispatcher, a peer or an operator
MAX_REASON_CHARACTERS = 2_000  # of a refusal
ALL_OBJECTS_BUCKET = ALL_OBJECTS  # bucket of a purge of all objects; requests have buckets 0 to 255

NAME_PATTERN = r"[A-Za-z0-9_.:/-]{1,120}"  # of dispatchers and replicas

Name = Annotated[str, Meta(pattern=f"^{NAME_PATTERN}$")]
Count = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class VersionFields(msgspec.Struct, frozen=True):
    """A version as encoded in a line."""

    epoch: Count = 0
    number: Count = 0

    def to_version(self) -> Version:
        """Returns the version as an ordered value."""
        return Version(self.epoch, self.number)


class Configuration(msgspec.Struct, frozen=True):
    """A complete configuration: the text of an operator's file."""

    text: Annotated[str, Meta(max_length=MAX_CONFIGURATION_BYTES)]


class CatchUp(enum.Enum):
    """The position of a line within a catch-up.

    Superseded content is sent only with the later part, so having received a part does not mean having all
    events up to its number. A follower's version therefore advances only with the end line.
    """

    BEGIN = "begin"  # no content; `seq` is the number at which the catch-up will end
    PART = "part"  # content, with the version at which it last changed (possibly of an earlier epoch)
    END = "end"  # no content; everything up to `seq` has been sent


class ReplicatedEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event as a replica forwards it; without `fleet`, `invalidate` and `configuration`, a heartbeat."""

    seq: Count
    epoch: Count = 0
    after: Count = 0
    fleet: Fleet | None = None
    invalidate: Purge | None = None
    configuration: Configuration | None = None
    catch_up: CatchUp | None = None

    @property
    def version(self) -> Version:
        """The epoch and number of this event."""
        return Version(self.epoch, self.seq)

    @property
    def is_heartbeat(self) -> bool:
        """True if the line has no content."""
        return self.fleet is None and self.invalidate is None and self.configuration is None


class Redirect(msgspec.Struct, frozen=True):
    """The replica does not accept this dispatcher now; `reason` is for the log."""

    reason: str


class Refusal(msgspec.Struct, frozen=True):
    """A configuration that a dispatcher could not apply, and why."""

    version: VersionFields
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARACTERS)]


class FollowRequest(msgspec.Struct, frozen=True):
    """A dispatcher's first line: its name, its incarnation, and the version that it has in force."""

    dispatcher: Name
    incarnation: Count  # increases with each start of this dispatcher
    region: str = ""
    resume_at: VersionFields = msgspec.field(default=VersionFields(), name="at")


class Acknowledgement(msgspec.Struct, frozen=True):
    """A dispatcher's versions in force: all up to `version` is applied, or refused as in `refusal`."""

    version: VersionFields
    configuration: VersionFields = VersionFields()
    refusal: Refusal | None = msgspec.field(default=None, name="refused")


class PeerSubscription(msgspec.Struct, frozen=True):
    """A peer replica's first line: it subscribes to the acknowledgements of this replica's dispatchers."""

    replica: Name


class StatusRequest(msgspec.Struct, frozen=True):
    """An operator's request; the response is one line. With `version`, it includes that change's status."""

    version: VersionFields | None = None


class AcknowledgementRow(msgspec.Struct, frozen=True):
    """The state of one dispatcher, as one replica reports it to another."""

    dispatcher: Name
    incarnation: Count
    acknowledgement: Acknowledgement = msgspec.field(name="in_force")
    region: str = ""
    connected: bool = True
    heard_ago_us: Count = 0


class RequestLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """A line to a replica: exactly one field is set."""

    follow: FollowRequest | None = None
    acknowledgement: Acknowledgement | None = msgspec.field(default=None, name="in_force")
    peer_subscription: PeerSubscription | None = msgspec.field(default=None, name="report")
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


# The requests that a dispatcher, a peer or an operator may send.
ReplicaRequest: TypeAlias = FollowRequest | Acknowledgement | PeerSubscription | StatusRequest

_request_decoder = msgspec.json.Decoder(RequestLine)
_replica_line_decoder = msgspec.json.Decoder(ReplicaLine)
_encoder = msgspec.json.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Returns the message as one line, including its newline."""
    return _encoder.encode(message) + b"\n"


def read_request(line: bytes) -> ReplicaRequest:
    """Returns the request in a line from a dispatcher, a peer or an operator; raises ProtocolError."""
    try:
        request = _request_decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"a request can't be read: {error}") from error
    fields = (request.follow, request.acknowledgement, request.peer_subscription, request.status)
    present = [field for field in fields if field is not None]
    if len(present) != 1:
        raise ProtocolError(
            f"a request holds {len(present)} of 'follow', 'in_force', 'report' and 'status', not one"
        )
    return present[0]


def read_replica_line(line: bytes) -> ReplicatedEvent | Redirect:
    """Returns the event, heartbeat or redirect in a line from a replica; raises ProtocolError."""
    try:
        message = _replica_line_decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"a replica's line can't be read: {error}") from error
    if message.redirect is not None:
        return message.redirect
    if message.seq is None:
        raise ProtocolError("a replica's line has neither 'seq' nor 'redirect'")
    changelog.check_event(changelog.Event(message.seq, message.fleet, message.invalidate))
    return ReplicatedEvent(
        message.seq,
        message.epoch,
        message.after,
        message.fleet,
        message.invalidate,
        message.configuration,
        message.catch_up,
    )
