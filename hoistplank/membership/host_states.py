"""The states of a host in the registry, and which evidence moves it from which state to which.

The table is drawn in `docs/discovery.md`. Values of the enums are the keys of the log line `own list`.
"""

from __future__ import annotations

import enum


class HostState(enum.StrEnum):
    """How far a host is trusted."""

    PERSISTED = "kept"  # from a persisted list or a seed, not probed yet
    TENTATIVE = "tentative"  # it has answered a probe
    PROVEN = "proven"  # it has served requests, too
    SUSPECT = "doubtful"  # draining, not answering, or failing requests: it gets none and is probed again
    LISTED = "listed"  # the change log vouches for it
    WITHDRAWN = "withdrawn"  # not to be used again unless the change log lists it


class Evidence(enum.StrEnum):
    """What was observed of a host."""

    HEALTHY = "good"  # a probe was answered as it should be
    DRAINING = "red"  # it answered that it takes nothing new
    NO_RESPONSE = "mute"  # no connection or no answer
    UNEXPECTED_RESPONSE = "stranger"  # what answered is no cache host
    REQUEST_SERVED = "served"
    REQUEST_FAILED = "refused"  # one request was refused, failed or timed out; counted, not in the table
    REQUESTS_FAILING = "failed"  # too many of its latest requests failed
    PROBES_EXHAUSTED = "spent"  # no more probes are worth it
    LISTED = "listed"  # the change log names it
    UNLISTED = "unlisted"  # the change log says that it is gone, or leaves it out of a whole list


# The states in which a host may be used while the change log is silent.
USABLE_STATES = (HostState.TENTATIVE, HostState.PROVEN)

TRANSITIONS: dict[tuple[HostState, Evidence], HostState] = {
    (HostState.PERSISTED, Evidence.HEALTHY): HostState.TENTATIVE,
    (HostState.PERSISTED, Evidence.DRAINING): HostState.SUSPECT,
    (HostState.PERSISTED, Evidence.NO_RESPONSE): HostState.SUSPECT,
    (HostState.PERSISTED, Evidence.UNEXPECTED_RESPONSE): HostState.WITHDRAWN,
    (HostState.PERSISTED, Evidence.PROBES_EXHAUSTED): HostState.WITHDRAWN,
    (HostState.TENTATIVE, Evidence.REQUEST_SERVED): HostState.PROVEN,
    (HostState.TENTATIVE, Evidence.DRAINING): HostState.SUSPECT,
    (HostState.TENTATIVE, Evidence.NO_RESPONSE): HostState.SUSPECT,
    (HostState.TENTATIVE, Evidence.REQUESTS_FAILING): HostState.SUSPECT,
    (HostState.TENTATIVE, Evidence.UNEXPECTED_RESPONSE): HostState.WITHDRAWN,
    (HostState.PROVEN, Evidence.DRAINING): HostState.SUSPECT,
    (HostState.PROVEN, Evidence.NO_RESPONSE): HostState.SUSPECT,
    (HostState.PROVEN, Evidence.REQUESTS_FAILING): HostState.SUSPECT,
    (HostState.PROVEN, Evidence.UNEXPECTED_RESPONSE): HostState.WITHDRAWN,
    (HostState.SUSPECT, Evidence.HEALTHY): HostState.TENTATIVE,
    (HostState.SUSPECT, Evidence.UNEXPECTED_RESPONSE): HostState.WITHDRAWN,
    (HostState.SUSPECT, Evidence.PROBES_EXHAUSTED): HostState.WITHDRAWN,
    **{(state, Evidence.LISTED): HostState.LISTED for state in HostState},
    **{
        (state, Evidence.UNLISTED): HostState.WITHDRAWN
        for state in HostState
        if state is not HostState.WITHDRAWN
    },
}
