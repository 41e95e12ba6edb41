"""Encodes responses as published xDS messages, once for all followers that get the same."""

from __future__ import annotations

from typing import Any, NamedTuple

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2, duration_pb2
from google.rpc import status_pb2

from hoistplank.xds.follower import TYPES_WITH_TTL
from hoistplank.xds.stream_messages import Response

TTL_S = 3  # of endpoints and purges, unless a heartbeat renews it
MAX_CACHED_MESSAGES = 64
MAX_CACHED_RESOURCES = 16  # longer messages are hardly ever the same for two followers
INVALID_ARGUMENT = 3  # google.rpc.Code
_TTL = duration_pb2.Duration(seconds=TTL_S)


def state_message(response: Response) -> Any:
    """Returns a state-of-the-world message without its nonce."""
    return discovery_pb2.DiscoveryResponse(
        version_info=response.version,
        type_url=response.type_url,
        resources=[
            any_pb2.Any(type_url=response.type_url, value=resource.data) for resource in response.resources
        ],
    )


def delta_message(response: Response) -> Any:
    """Returns an incremental message without its nonce."""
    type_url = response.type_url
    return discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=response.version,
        type_url=type_url,
        removed_resources=response.removed,
        resources=[
            discovery_pb2.Resource(
                name=resource.name,
                version=resource.version,
                ttl=_TTL if type_url in TYPES_WITH_TTL else None,
                resource=None
                if response.is_heartbeat
                else any_pb2.Any(type_url=type_url, value=resource.data),
            )
            for resource in response.resources
        ],
    )


class _CacheKey(NamedTuple):
    """The identity of a message: responses with equal keys differ only in their nonces."""

    is_incremental: bool
    type_url: str
    is_heartbeat: bool
    versions: tuple[tuple[str, str], ...]  # names and versions
    removed: tuple[str, ...]


class ResponseEncoder:
    """Encodes responses, with a cache of messages.

    Messages are cached without their nonce, which is appended: concatenated protobuf messages are
    one message.
    """

    def __init__(self) -> None:
        self._cache: dict[_CacheKey, bytes] = {}

    def encode(self, response: Response, *, is_incremental: bool) -> bytes:
        """Returns the bytes of a response as a message of its kind of stream."""
        versions = tuple((resource.name, resource.version) for resource in response.resources)
        removed = tuple(response.removed)
        key = _CacheKey(is_incremental, response.type_url, response.is_heartbeat, versions, removed)
        data = self._cache.get(key)
        if data is None:
            if len(self._cache) >= MAX_CACHED_MESSAGES:
                self._cache.clear()
            message = delta_message(response) if is_incremental else state_message(response)
            data = message.SerializeToString()
            if len(versions) <= MAX_CACHED_RESOURCES:
                self._cache[key] = data
        return bytes(data + _nonce_bytes(response.nonce, is_incremental=is_incremental))


def _nonce_bytes(nonce: str, *, is_incremental: bool) -> bytes:
    if is_incremental:
        return bytes(discovery_pb2.DeltaDiscoveryResponse(nonce=nonce).SerializeToString())
    return bytes(discovery_pb2.DiscoveryResponse(nonce=nonce).SerializeToString())


def error_detail(message: str) -> Any:
    """Returns an error detail as a follower sends it with the refusal of a response."""
    return status_pb2.Status(code=INVALID_ARGUMENT, message=message)
