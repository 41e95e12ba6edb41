"""The requests and responses of a stream, independent of their protobuf messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class StateRequest:
    """A state-of-the-world request; `error` is empty unless it refuses the response with this nonce."""

    type_url: str
    names: list[str]
    nonce: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class DeltaRequest:
    """An incremental request; `initial_versions`: name -> version held from an earlier stream."""

    type_url: str
    subscribe: list[str]
    unsubscribe: list[str]
    initial_versions: dict[str, str]
    nonce: str = ""
    error: str = ""


class VersionedResource(NamedTuple):
    """A resource in a response."""

    name: str
    version: str
    data: bytes


@dataclass(slots=True)
class Response:
    """A response to be sent; a heartbeat only confirms that the follower's versions are current."""

    type_url: str
    nonce: str
    version: str
    resources: list[VersionedResource]
    removed: list[str]
    is_heartbeat: bool = False
