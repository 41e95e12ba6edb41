"""The requirements of the fleet ahead at an xDS control service."""

from __future__ import annotations

from hoistplank.lab.scale.mechanisms import (
    XDS_RESOURCES,
    XDS_STREAMS,
)
from hoistplank.lab.scale.requirements import Requirement
from hoistplank.lab.scale.roles import (
    CONTROL_SERVICE,
)
from hoistplank.lab.scale.sizes import (
    FOLLOWERS,
    HOSTS,
    KILOBYTES,
    KILOBYTES_A_SECOND,
    MEGABYTES,
    MILLISECONDS,
    NAMES,
    PERCENT,
    PURGE_RATE,
    PURGES_KEPT_HOUR,
    PURGES_KEPT_WINDOW,
)
from hoistplank.lab.scale.target import Budget

CONTROL_SERVICE_REQUIREMENTS: tuple[Requirement, ...] = (
    Requirement(
        CONTROL_SERVICE,
        "building purges, 60 s kept",
        "processor time of a purge",
        PURGES_KEPT_WINDOW,
        PERCENT,
        XDS_RESOURCES,
        times=PURGE_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_SERVICE,
        "building purges, an hour kept",
        "processor time of a purge",
        PURGES_KEPT_HOUR,
        PERCENT,
        XDS_RESOURCES,
        times=PURGE_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_SERVICE,
        "telling purges, without gRPC",
        "processor time of telling a purge",
        FOLLOWERS,
        PERCENT,
        XDS_STREAMS,
        times=PURGE_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_SERVICE,
        "bytes of purges to one follower, 60 s kept",
        "bytes of a purge to a follower",
        PURGES_KEPT_WINDOW,
        KILOBYTES_A_SECOND,
        XDS_RESOURCES,
        times=PURGE_RATE,
        budget=Budget.DISPATCHER_BYTES,
    ),
    Requirement(
        CONTROL_SERVICE,
        "bytes of purges to one follower, an hour kept",
        "bytes of a purge to a follower",
        PURGES_KEPT_HOUR,
        KILOBYTES_A_SECOND,
        XDS_RESOURCES,
        times=PURGE_RATE,
        budget=Budget.DISPATCHER_BYTES,
    ),
    Requirement(
        CONTROL_SERVICE,
        "a change of one host",
        "processor time of a change of one host",
        HOSTS,
        MILLISECONDS,
        XDS_RESOURCES,
    ),
    Requirement(
        CONTROL_SERVICE,
        "bytes of a change of one host to one follower",
        "bytes of a change of one host to a follower",
        HOSTS,
        KILOBYTES,
        XDS_RESOURCES,
    ),
    Requirement(
        CONTROL_SERVICE, "memory of the host list", "memory of the host list", HOSTS, MEGABYTES, XDS_RESOURCES
    ),
    Requirement(
        CONTROL_SERVICE,
        "memory of followers, without gRPC",
        "memory of followers",
        FOLLOWERS,
        MEGABYTES,
        XDS_STREAMS,
    ),
    Requirement(
        CONTROL_SERVICE,
        "memory of names on demand, at their bound",
        "memory of followed names",
        NAMES,
        MEGABYTES,
        XDS_RESOURCES,
    ),
    Requirement(
        CONTROL_SERVICE,
        "a host that comes, names at their bound",
        "processor time of a host that comes, for followed names",
        NAMES,
        MILLISECONDS,
        XDS_RESOURCES,
    ),
)
