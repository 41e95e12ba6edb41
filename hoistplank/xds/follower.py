"""The protocol state of one follower's stream. No I/O: requests in, responses out.

The rules of the xDS transport protocol, v3 (state of the world and incremental): each response has a nonce; a
request with that nonce accepts it, or refuses it if it carries an error. A state-of-the-world request with an
older nonce is stale and ignored: its sender repeats it with the newer one. Unsent changes are stored as
names, never as messages: a slow follower gets the newest state, not a queue of old ones.

    state of a type   event                           next            effect
    idle              a change, a new subscription    unsent          -
    unsent            its turn, nothing pending       pending         the response, with a nonce
    pending           accepted (its nonce)            idle/unsent     accepted versions are stored
    pending           refused (its nonce, an error)   idle/unsent     these versions are not sent again
    pending           another change                  pending+unsent  sent after the answer; drains and purges
                                                                      at once, four responses pending at most
    any               a stale nonce                   the same        -

Responses are sent in make-before-break order: clusters, then endpoints, routes, virtual hosts; a removed
cluster is sent only once no route is unsent or pending. Urgent endpoints and purges are sent before all else.
"""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.xds.errors import InvalidRequestError
from hoistplank.xds.resource_types import (
    CLUSTER_TYPE,
    ENDPOINT_TYPE,
    RESOURCE_TYPES,
    ROUTE_TYPE,
    RUNTIME_TYPE,
    VIRTUAL_HOST_TYPE,
)
from hoistplank.xds.resources import ResourceCache, digest
from hoistplank.xds.stream_messages import DeltaRequest, Response, StateRequest, VersionedResource
from hoistplank.xds.subscription import PendingResponse, Subscription

MAX_NAMES = 20_000  # subscriptions of one follower and type
ON_DEMAND_TYPES = (VIRTUAL_HOST_TYPE,)
TYPES_WITH_TTL = (ENDPOINT_TYPE, RUNTIME_TYPE)
WILDCARD_TYPES = (CLUSTER_TYPE,)  # a first request without names subscribes to all
WILDCARD = "*"


class _Contents(NamedTuple):
    """Contents for a response, and the names that can't be sent yet."""

    resources: list[VersionedResource]
    removed: list[str]
    held_back: set[str]


class Follower:
    """The protocol state of one stream, incremental or state of the world."""

    def __init__(self, resources: ResourceCache, *, is_incremental: bool) -> None:
        self.resources = resources
        self.is_incremental = is_incremental
        self.node = ""  # the node name that the follower gave
        self.subscriptions: dict[str, Subscription] = {}  # by type
        self.response_count = 0
        self.refusal_count = 0
        self.bytes_sent = 0

    # Requests.

    def handle_state_request(self, request: StateRequest) -> None:
        """Handles a state-of-the-world request; raises InvalidRequestError."""
        type_url = request.type_url
        is_first = type_url not in self.subscriptions
        subscription = self._subscription(type_url)
        if not is_first and request.nonce != subscription.last_nonce:
            return  # stale: the follower will send its names again with the newest nonce
        self._take_answer(subscription, request.nonce, request.error)
        wanted = set(request.names)
        if is_first and not wanted and type_url in WILDCARD_TYPES:
            subscription.is_wildcard = True
        if not subscription.is_wildcard or wanted:
            added, removed = wanted - subscription.names, subscription.names - wanted
            self._update_names(type_url, subscription, added, removed)
        if is_first:
            subscription.is_full_response_due = True

    def handle_delta_request(self, request: DeltaRequest) -> None:
        """Handles an incremental request; raises InvalidRequestError."""
        type_url = request.type_url
        is_first = type_url not in self.subscriptions
        subscription = self._subscription(type_url)
        self._take_answer(subscription, request.nonce, request.error)
        subscribes_to_all = is_first and not request.subscribe and type_url in WILDCARD_TYPES
        if is_first:
            subscription.accepted.update(request.initial_versions)
        if subscribes_to_all or WILDCARD in request.subscribe:
            subscription.is_wildcard = True
        if WILDCARD in request.unsubscribe:
            subscription.is_wildcard = False
        added = set(request.subscribe) - {WILDCARD}
        removed = set(request.unsubscribe) - {WILDCARD}
        self._update_names(type_url, subscription, added, removed)
        if is_first:
            self._queue_initial(type_url, subscription)

    def _queue_initial(self, type_url: str, subscription: Subscription) -> None:
        """Queues what a new stream needs besides the names that it subscribed to."""
        if subscription.is_wildcard:
            names = set(self.resources.names(type_url))
            subscription.unsent |= names | (set(subscription.accepted) - names)
        # Resources held from an earlier stream that no longer exist are sent as removed.
        held = subscription.accepted
        subscription.unsent |= {name for name in held if self.resources.get(type_url, name) is None}

    def _subscription(self, type_url: str) -> Subscription:
        if type_url not in RESOURCE_TYPES:
            raise InvalidRequestError(f"resource type '{type_url[:80]}' is not served")
        return self.subscriptions.setdefault(type_url, Subscription())

    def _take_answer(self, subscription: Subscription, nonce: str, error: str) -> None:
        if subscription.answer(nonce, error):
            self.refusal_count += 1

    def _update_names(
        self, type_url: str, subscription: Subscription, added: set[str], removed: set[str]
    ) -> None:
        if len(subscription.names) + len(added) > MAX_NAMES:
            raise InvalidRequestError(f"subscription to more than {MAX_NAMES} names of one resource type")
        for name in sorted(removed & subscription.names):
            subscription.names.discard(name)
            subscription.unsent.discard(name)
            subscription.accepted.pop(name, None)
            if type_url in ON_DEMAND_TYPES:
                self.resources.unfollow(name)
        for name in sorted(added - subscription.names):
            subscription.names.add(name)
            subscription.unsent.add(name)
            if type_url in ON_DEMAND_TYPES and not self.resources.follow(name):
                subscription.names.discard(name)  # sent as removed: no such resource exists

    def close(self) -> None:
        """Releases the names on demand of a stream that has ended."""
        for type_url in ON_DEMAND_TYPES:
            subscription = self.subscriptions.get(type_url)
            for name in subscription.names if subscription is not None else ():
                self.resources.unfollow(name)
        self.subscriptions.clear()

    # Responses.

    def mark_changed(self, now_us: int, type_url: str, names: set[str], *, urgent: bool = False) -> bool:
        """Queues changed resources (`urgent`: a drain or a purge); returns True if any are subscribed to."""
        subscription = self.subscriptions.get(type_url)
        wanted = subscription.wanted(names) if subscription is not None else set()
        if subscription is None or not wanted:
            return False
        subscription.mark_unsent(now_us, wanted, urgent=urgent)
        return True

    def next_response(self) -> Response | None:
        """Returns the most urgent response that may be sent now, or None."""
        for type_url, subscription in self.subscriptions.items():
            if subscription.can_send_urgent:
                response = self._response(type_url, subscription)
                subscription.urgent_since_us = 0
                if response is not None:
                    return response
        for type_url in RESOURCE_TYPES:
            waiting = self.subscriptions.get(type_url)
            if waiting is not None and not waiting.pending:
                response = self._response(type_url, waiting)
                if response is not None:
                    return response
        return None

    def _response(self, type_url: str, subscription: Subscription) -> Response | None:
        names = self._names_to_send(type_url, subscription)
        contents = self._contents(type_url, subscription, names)
        is_new = self._is_new(type_url, subscription, names, contents.resources)
        subscription.unsent = contents.held_back
        is_filled = bool(contents.resources or contents.removed)
        if not is_new or not (is_filled or subscription.is_full_response_due):
            return None
        subscription.is_full_response_due = False
        nonce = self._next_nonce()
        self._add_pending(subscription, nonce, contents)
        self.bytes_sent += sum(len(resource.data) for resource in contents.resources)
        return Response(
            type_url, nonce, _system_version(contents.resources), contents.resources, contents.removed
        )

    def _names_to_send(self, type_url: str, subscription: Subscription) -> set[str]:
        """Returns the unsent names; for state of the world, all names as soon as anything is unsent."""
        has_unsent = bool(subscription.unsent) or subscription.is_full_response_due
        if self.is_incremental or not has_unsent:
            return subscription.unsent
        if subscription.is_wildcard:
            return set(self.resources.names(type_url))
        return set(subscription.names)

    def _contents(self, type_url: str, subscription: Subscription, names: set[str]) -> _Contents:
        contents = _Contents([], [], set())
        for name in sorted(names):
            resource = self.resources.get(type_url, name)
            if resource is None:
                if not self._may_remove(type_url):
                    contents.held_back.add(name)
                elif self.is_incremental and self._is_known(subscription, name):
                    contents.removed.append(name)
            elif not self.is_incremental or subscription.lacks(name, resource.version):
                contents.resources.append(VersionedResource(name, resource.version, resource.data))
        return contents

    @staticmethod
    def _is_known(subscription: Subscription, name: str) -> bool:
        """True if a removal is to be sent: of a resource that is held, or of a name that can't be served."""
        return name in subscription.accepted or name not in subscription.names

    def _may_remove(self, type_url: str) -> bool:
        """True if a removal may be sent now; a cluster's only once no route is unsent or pending."""
        if type_url != CLUSTER_TYPE:
            return True
        routes = [self.subscriptions.get(route_type) for route_type in (ROUTE_TYPE, VIRTUAL_HOST_TYPE)]
        return not any(route.unsent or route.pending for route in routes if route is not None)

    def _is_new(
        self, type_url: str, subscription: Subscription, names: set[str], resources: list[VersionedResource]
    ) -> bool:
        """True if a response has something new for the follower; for state of the world it may not."""
        if self.is_incremental or subscription.is_full_response_due:
            return True
        if any(subscription.lacks(resource.name, resource.version) for resource in resources):
            return True
        held = subscription.accepted
        return any(name not in names or self.resources.get(type_url, name) is None for name in held)

    def _add_pending(self, subscription: Subscription, nonce: str, contents: _Contents) -> None:
        versions = {resource.name: resource.version for resource in contents.resources}
        versions.update(dict.fromkeys(contents.removed, ""))
        if not self.is_incremental:
            versions.update({name: "" for name in subscription.accepted if name not in versions})
            # Each response holds the full state, so the answer to the newest one covers the older ones.
            subscription.pending.clear()
        subscription.pending[nonce] = PendingResponse(versions, subscription.urgent_since_us)
        subscription.last_nonce = nonce

    def _next_nonce(self) -> str:
        self.response_count += 1
        return f"{self.response_count:x}"

    def heartbeats(self) -> list[Response]:
        """Returns heartbeats for the accepted resources with a time to live that are still current.

        Heartbeats are not acknowledged, and are sent regardless of pending responses. They renew a
        short time to live, without which a follower that is cut off would use its last pool for ever.
        """
        responses = []
        for type_url in TYPES_WITH_TTL if self.is_incremental else ():
            subscription = self.subscriptions.get(type_url)
            if subscription is None or subscription.unsent:
                continue  # the response that is due renews the time to live as well
            current = [
                VersionedResource(name, version, b"")
                for name, version in sorted(subscription.accepted.items())
                if self._is_current(subscription, type_url, name, version)
            ]
            if current:
                responses.append(Response(type_url, self._next_nonce(), "", current, [], is_heartbeat=True))
        return responses

    def _is_current(self, subscription: Subscription, type_url: str, name: str, version: str) -> bool:
        """True if the held version is the newest, or the one before a version that the follower refused."""
        resource = self.resources.get(type_url, name)
        refused = subscription.refused.get(name)
        return resource is not None and refused != version and resource.version in (version, refused)

    def is_late(self, now_us: int, limit_us: int) -> bool:
        """True if a drain or a purge has been unsent or unanswered for longer than the limit."""
        times = [time for each in self.subscriptions.values() for time in each.urgent_times_us()]
        return bool(times) and now_us - min(times) > limit_us


def _system_version(resources: list[VersionedResource]) -> str:
    """Returns the version of a whole response: the digest of its resources' versions."""
    rows = sorted(f"{resource.name}={resource.version};" for resource in resources)
    return digest("".join(rows).encode())
