"""The states of a host in the registry, and the transitions between them by evidence.

`docs/discovery.md` draws the table. The enum values are fields of the log event `unconfirmed endpoint list
published`.
"""

from __future__ import annotations

import enum


class HostState(enum.StrEnum):
    """The degree to which a host is trusted."""

    PERSISTED = "kept"  # from a persisted list or a seed, not probed yet
    TENTATIVE = "tentative"  # it has answered a probe
    PROVEN = "proven"  # it has also served requests
    SUSPECT = (
        "doubtful"  # draining, not answering, or failing requests: it gets no requests and is probed again
    )
    LISTED = "listed"  # in the change log's list
    WITHDRAWN = "withdrawn"  # not to be used again unless the change log lists it


class Evidence(enum.StrEnum):
    """An observation of a host that may change its state."""

    HEALTHY = "good"  # a probe got the expected answer
    DRAINING = "red"  # it answered a probe that it accepts nothing new
    NO_RESPONSE = "mute"  # no connection or no answer
    UNEXPECTED_RESPONSE = "stranger"  # the answer is not that of a cache host
    REQUEST_SERVED = "served"
    REQUEST_FAILED = (
        "refused"  # one request was refused, failed or timed out; counted, without a transition of its own
    )
    REQUESTS_FAILING = "failed"  # too many of its latest requests failed
    PROBES_EXHAUSTED = "spent"  # the limit of unanswered probes is reached
    LISTED = "listed"  # the change log names it
    UNLISTED = "unlisted"  # the change log reports it as gone, or omits it from a whole list


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
