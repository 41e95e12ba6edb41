"""One follower's stream: what it has, wants, refused and is owed. No I/O: requests in, responses out.

The rules of the xDS transport protocol, v3 (state of the world and incremental): each response has a nonce; a
request with that nonce accepts it, or refuses it where it carries an error. A state-of-the-world request with
an older nonce is stale and ignored: its sender comes again with the newer one. What is owed is kept as names,
never as messages: a slow follower gets the newest state, not a queue of old ones.

    state of a type   event                           next        effect
    quiet             a change, a new subscription    owed        -
    owed              its turn, nothing out           out         the response, with a nonce
    out               accepted (its nonce)            quiet/owed  accepted versions are kept
    out               refused (its nonce, an error)   quiet/owed  these versions are not sent again
    out               another change                  out + owed  sent after the answer; drains and purges at
                                                                  once, four responses out at most
    any               a stale nonce                   the same    -

Order, so that a proxy makes before it breaks: clusters, then endpoints, routes, virtual hosts; a cluster that
goes is told only once no route is owed or out. Endpoints and purges that can't wait go before all else.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hoistplank.xds.resources import CLUSTER, ENDPOINT, ROUTE, RUNTIME, TYPES, VHOST, ResourceCache, digest

MOST_OUT = 4
MOST_NAMES = 20_000  # subscriptions of one follower and type
ON_DEMAND = (VHOST,)
WITH_TTL = (ENDPOINT, RUNTIME)
BY_WILDCARD = (CLUSTER,)  # types of which a first request without names means all


@dataclass(slots=True)
class Response:
    kind: str
    nonce: str
    version: str
    resources: list[tuple[str, str, bytes]]  # name, version, bytes
    removed: list[str]
    beat: bool = False  # only says that what the follower holds still stands


class BadRequest(Exception):
    """What a follower sent can't be used; the sentence says why. It costs that stream and no other."""


@dataclass(frozen=True, slots=True)
class Out:
    """A response that waits for its answer: name -> version ("" where it is removed), and since when a drain
    or a purge in it is owed (us, 0 without one)."""

    told: dict[str, str]
    urgent_since: int


@dataclass(slots=True)
class Interest:
    """One type of one stream."""

    wild: bool = False
    names: set[str] = field(default_factory=set)
    owed: set[str] = field(default_factory=set)
    whole: bool = False  # a state-of-the-world answer is owed even where nothing changed
    accepted: dict[str, str] = field(default_factory=dict)  # name -> version that the follower holds
    refused: dict[str, str] = field(default_factory=dict)
    out: dict[str, Out] = field(default_factory=dict)  # by nonce
    last: str = ""  # the newest nonce
    error: str = ""
    urgent_since: int = 0  # since when a drain or a purge is owed (us); 0: none is


class Follower:
    """`delta`: incremental; else state of the world. `node` is who it says it is."""

    def __init__(self, resources: ResourceCache, delta: bool) -> None:
        self.resources, self.delta, self.node = resources, delta, ""
        self.types: dict[str, Interest] = {}
        self.sent = self.nacks = self.bytes = 0

    # What it says.

    def asks(self, kind: str, names: list[str], nonce: str, error: str) -> None:
        """A state-of-the-world request; raises BadRequest."""
        first = kind not in self.types
        interest = self._interest(kind)
        if not first and nonce != interest.last:
            return  # stale: what it says of names will come again with the newest nonce
        self._answered(interest, nonce, error)
        wanted = set(names)
        if first and not wanted and kind in BY_WILDCARD:
            interest.wild = True
        if not interest.wild or wanted:
            self._want(kind, interest, wanted - interest.names, interest.names - wanted)
        if first:
            interest.whole = True

    def changes(
        self, kind: str, more: list[str], fewer: list[str], held: dict[str, str], nonce: str, error: str
    ) -> None:
        """An incremental request; `held`: versions from an earlier stream; raises BadRequest."""
        first = kind not in self.types
        interest = self._interest(kind)
        self._answered(interest, nonce, error)
        if first:
            interest.accepted.update(held)
            if (not more and kind in BY_WILDCARD) or "*" in more:
                interest.wild = True
        elif "*" in more:
            interest.wild = True
        if "*" in fewer:
            interest.wild = False
        self._want(kind, interest, set(more) - {"*"}, set(fewer) - {"*"})
        if first and interest.wild:
            names = set(self.resources.names(kind))
            interest.owed |= names | (set(interest.accepted) - names)
        if first:
            # What an earlier stream held and is no more is told as removed.
            interest.owed |= {name for name in interest.accepted if self.resources.get(kind, name) is None}

    def _interest(self, kind: str) -> Interest:
        if kind not in TYPES:
            raise BadRequest(f"the type '{kind[:80]}' is none of this service's")
        return self.types.setdefault(kind, Interest())

    def _answered(self, interest: Interest, nonce: str, error: str) -> None:
        out = interest.out.pop(nonce, None)
        if out is None:
            return
        told = out.told
        if error:
            # Danger: what was refused and is sent again as it is comes back for ever.
            interest.error, self.nacks = error[:500], self.nacks + 1
            interest.refused.update(told)
            return
        interest.error = ""
        for name, version in told.items():
            interest.refused.pop(name, None)
            if version:
                interest.accepted[name] = version
            else:
                interest.accepted.pop(name, None)

    def _want(self, kind: str, interest: Interest, more: set[str], fewer: set[str]) -> None:
        if len(interest.names) + len(more) > MOST_NAMES:
            raise BadRequest(f"more than {MOST_NAMES} names of one type")
        for name in sorted(fewer & interest.names):
            interest.names.discard(name)
            interest.owed.discard(name)
            interest.accepted.pop(name, None)
            if kind in ON_DEMAND:
                self.resources.leave(name)
        for name in sorted(more - interest.names):
            interest.names.add(name)
            interest.owed.add(name)
            if kind in ON_DEMAND and not self.resources.follow(name):
                interest.names.discard(name)  # told as removed: there is none such

    def ended(self) -> None:
        """The stream is gone: what it had on demand is let go."""
        for kind in ON_DEMAND:
            interest = self.types.get(kind)
            for name in interest.names if interest is not None else ():
                self.resources.leave(name)
        self.types.clear()

    # What it is told.

    def changed(self, now: int, kind: str, names: set[str], urgent: bool = False) -> bool:
        """What changed of a type; whether this follower is to hear of it. `urgent`: a drain or a purge."""
        interest = self.types.get(kind)
        wanted = (
            names if interest is not None and interest.wild else names & interest.names if interest else None
        )
        if interest is None or not wanted:
            return False
        interest.owed |= wanted
        if urgent and not interest.urgent_since:
            interest.urgent_since = now
        return True

    def next(self) -> Response | None:
        """The most pressing response that may go out now, or None."""
        for kind, interest in self.types.items():
            if interest.urgent_since and len(interest.out) < MOST_OUT:
                response = self._response(kind)
                interest.urgent_since = 0
                if response is not None:
                    return response
        for kind in TYPES:
            if kind in self.types and not self.types[kind].out:
                response = self._response(kind)
                if response is not None:
                    return response
        return None

    def _breaks(self, kind: str) -> bool:
        """Whether a cluster may go now: no route that could name it is owed or out."""
        return kind != CLUSTER or not any(
            self.types[k].owed or self.types[k].out for k in (ROUTE, VHOST) if k in self.types
        )

    def _response(self, kind: str) -> Response | None:
        interest = self.types[kind]
        names = (
            interest.owed
            if self.delta or not (interest.owed or interest.whole)
            else (set(self.resources.names(kind)) if interest.wild else set(interest.names))
        )
        rows, removed, held_back = [], [], set()
        for name in sorted(names):
            found = self.resources.get(kind, name)
            if found is None:
                if not self._breaks(kind):
                    held_back.add(name)
                elif self.delta and (name in interest.accepted or name not in interest.names):
                    removed.append(name)
            elif not self.delta or (
                interest.accepted.get(name) != found.version and interest.refused.get(name) != found.version
            ):
                rows.append((name, found.version, found.data))
        fresh = (
            self.delta
            or interest.whole
            or any(
                interest.accepted.get(name) != version and interest.refused.get(name) != version
                for name, version, _ in rows
            )
            or any(name not in names or self.resources.get(kind, name) is None for name in interest.accepted)
        )
        interest.owed = held_back
        if not fresh or not (rows or removed or interest.whole):
            return None
        interest.whole = False
        self.sent += 1
        nonce = f"{self.sent:x}"
        told = {name: version for name, version, _ in rows}
        told.update(dict.fromkeys(removed, ""))
        if not self.delta:
            told.update({name: "" for name in interest.accepted if name not in told})
        if not self.delta:
            interest.out.clear()  # each response holds all: the newest answer speaks for the older ones
        interest.out[nonce], interest.last = Out(told, interest.urgent_since), nonce
        self.bytes += sum(len(data) for _, _, data in rows)
        version = digest("".join(sorted(f"{n}={v};" for n, v, _ in rows)).encode())
        return Response(kind, nonce, version, rows, removed)

    def beat(self) -> list[Response]:
        """Heartbeats: what the follower has accepted and is told with a time to live still stands. They wait
        for no answer and nothing waits for theirs.

        Danger: a follower that is cut off keeps its last state, and would serve a stale pool for ever.
        """
        found = []
        for kind in WITH_TTL if self.delta else ():
            interest = self.types.get(kind)
            if interest is None or interest.owed:
                continue  # a response that is due says the same
            rows = [
                (name, version, b"")
                for name, version in sorted(interest.accepted.items())
                if self._stands(interest, kind, name, version)
            ]
            if rows:
                self.sent += 1
                found.append(Response(kind, f"{self.sent:x}", "", rows, [], True))
        return found

    def _stands(self, interest: Interest, kind: str, name: str, version: str) -> bool:
        """Whether what a follower holds is the newest, or the last good one before what it refused."""
        held, refused = self.resources.get(kind, name), interest.refused.get(name)
        return held is not None and refused != version and held.version in (version, refused)

    def late(self, now: int, most_us: int) -> bool:
        """Whether a drain or a purge is owed, or out with no answer, for longer than that."""
        since = [
            at
            for interest in self.types.values()
            for at in (interest.urgent_since, *(out.urgent_since for out in interest.out.values()))
            if at
        ]
        return bool(since) and now - min(since) > most_us
