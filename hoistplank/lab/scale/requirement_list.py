"""The requirements of the fleet ahead, role by role: the one list that the page's tables are made of."""

from __future__ import annotations

from math import ceil

from hoistplank.lab.scale.requirements import Basis, Count, Mechanism, Requirement, Unit
from hoistplank.lab.scale.target import SECONDS_A_DAY, TARGET, Budget

DISPATCHER, CHANGE_LOG, CONTROL_SERVICE = "dispatcher", "change log", "control service"
OPERATOR, CACHE_HOST, DATA_PATH = "operator", "cache host", "data path"
ROLES = (DISPATCHER, CHANGE_LOG, CONTROL_SERVICE, OPERATOR, CACHE_HOST, DATA_PATH)

# What a configuration holds is not told: so many tenants, some 30 KB, are an assumption of the page.
TENANTS_ASSUMED = 200
XDS_WINDOW_S = 60
OBJECT_KEPT_S = 10
LONGEST_DEADLINE_S = 2.5
MOST_FOLLOWED_NAMES = 100_000
LARGEST_ANSWER_BYTES = 240_000

PERCENT = Unit("% of a core", 1e-4)  # from microseconds in a second
MILLISECONDS = Unit("ms", 1e-3)
KILOBYTES = Unit("KB", 1e-3)
KILOBYTES_A_SECOND = Unit("KB/s", 1e-3)
MEGABYTES = Unit("MB", 1e-6)
DESCRIPTORS = Unit("descriptors", 1.0)

LOG_FOLLOWING = Mechanism("replicated log, resumed by sequence number", "routing/listing.py")
LOG_FAN_OUT = Mechanism("fan-out of the log, a cursor per follower", "standins/changelog.py")
HOST_TABLE = Mechanism("full copy of the membership list", "choice.py")
TOMBSTONES = Mechanism("tombstones with a horizon", "choice.py (`floors`)")
OBJECT_TABLE = Mechanism("recency cache, 10 s idle expiry", "choice.py (`herds`)")
REQUEST_TABLE = Mechanism("table of open requests, load shedding above it", "routing/owner.py")
CONNECTION_POOL = Mechanism("connection pool", "transport/pool.py")
FILE_RELOAD = Mechanism("local file and SIGHUP: **no transport**", "program/additions.py")
XDS_RESOURCES = Mechanism("xDS: state of the world per resource", "xds/resources.py")
XDS_STREAMS = Mechanism("xDS: subscription and acknowledgement per stream", "xds/follower.py")
PROXYING = Mechanism("store and forward in one process", "routing/front.py")
LOG_REPLAY = Mechanism(
    "replay of every event, back-pressure per follower: **no compaction**", "standins/changelog.py"
)
LOG_STORAGE = Mechanism("log without retention", "standins/changelog.py")
RANKING = Mechanism("weighted rendezvous hashing", "choice.py (`_rank`)")

# Sizes.
_hour = TARGET.purges_per_hour
_day = TARGET.purges_per_s * SECONDS_A_DAY
_window = TARGET.purges_per_s * XDS_WINDOW_S
_requests = TARGET.requests_per_dispatcher
_objects = _requests * OBJECT_KEPT_S
_open = _requests * LONGEST_DEADLINE_S
HOSTS = Count(TARGET.hosts, f"{TARGET.hosts} hosts")
FLEET = Count(TARGET.dispatchers, f"{TARGET.dispatchers} dispatchers")
FOLLOWERS = Count(TARGET.dispatchers, f"{TARGET.dispatchers} followers")
HOUR = Count(_hour, f"{_hour:,.0f} purges (an hour)")
DAY = Count(_day, f"{_day:,.0f} events (a day)")
EVENTS_HELD = Count(_hour, f"{_hour:,.0f} events held (an hour)")
PURGES_KEPT_HOUR = Count(_hour, f"{_hour:,.0f} purges kept")
PURGES_KEPT_WINDOW = Count(_window, f"{_window:.0f} purges kept")
OBJECTS = Count(_objects, f"{_objects:,.0f} objects ({OBJECT_KEPT_S} s of requests)")
OPEN = Count(_open, f"{_open:,.0f} requests ({LONGEST_DEADLINE_S:g} s)")
NAMES = Count(MOST_FOLLOWED_NAMES, f"{MOST_FOLLOWED_NAMES:,} names")
TENANTS = Count(TENANTS_ASSUMED, f"{TENANTS_ASSUMED} tenants (assumed)")
LARGEST_ANSWER = Count(LARGEST_ANSWER_BYTES, f"{LARGEST_ANSWER_BYTES:,} bytes an answer")
MEAN_ANSWER = Count(TARGET.answer_bytes, f"{TARGET.answer_bytes:,.0f} bytes an answer")
_parts = ceil(TARGET.answer_bytes / LARGEST_ANSWER_BYTES)
_part_bytes = TARGET.answer_bytes / _parts
PART_OF_ANSWER = Count(_part_bytes, f"{_part_bytes:,.0f} bytes an answer")

# Rates, and shares of the time that a catch-up may take.
_within = f"within {TARGET.change_within_s:g} s"
PURGE_RATE = Count(TARGET.purges_per_s, f"{TARGET.purges_per_s:g} purges/s")
LIST_RATE = Count(TARGET.list_events_per_s, f"{TARGET.list_events_per_s:.4f} list events/s")
DAY_RATE = Count(TARGET.changes_per_s, f"{TARGET.changes_per_s:.4f} changes/s (day)")
BURST_RATE = Count(TARGET.burst_changes_per_s, f"{TARGET.burst_changes_per_s:g} change/s (burst)")
PART_RATE = Count(_requests * _parts, f"{_requests * _parts:,.0f} requests/s")
REQUEST_RATE = Count(_requests, f"{_requests:.0f} requests/s")
FLEET_PURGE_RATE = Count(TARGET.dispatchers * TARGET.purges_per_s, f"{FLEET.text} × {PURGE_RATE.text}")
WITHIN = Count(1 / TARGET.change_within_s, _within)
FLEET_WITHIN = Count(TARGET.dispatchers / TARGET.change_within_s, f"{FLEET.text} {_within}")

REQUIREMENTS: tuple[Requirement, ...] = (
    Requirement(
        DISPATCHER,
        "processor time of purges",
        "processor time of purges, each in a turn",
        PURGE_RATE,
        PERCENT,
        LOG_FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_CPU,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "processor time of list changes",
        "processor time of a change of one host",
        HOSTS,
        PERCENT,
        LOG_FOLLOWING,
        times=LIST_RATE,
        budget=Budget.DISPATCHER_CPU,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "bytes of purges",
        "bytes of purges",
        PURGE_RATE,
        KILOBYTES_A_SECOND,
        LOG_FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_BYTES,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "bytes of list changes",
        "bytes of host changes",
        LIST_RATE,
        KILOBYTES_A_SECOND,
        LOG_FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_BYTES,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "memory of the host list",
        "memory of the host list",
        HOSTS,
        MEGABYTES,
        HOST_TABLE,
        budget=Budget.DISPATCHER_MEMORY,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "memory of purges, freshness of an hour",
        "memory of purges remembered",
        HOUR,
        MEGABYTES,
        TOMBSTONES,
        budget=Budget.DISPATCHER_MEMORY,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "start: whole list and an hour's purges",
        "processor time of a start with the list and an hour's purges",
        HOSTS,
        MILLISECONDS,
        LOG_FOLLOWING,
    ),
    Requirement(
        DISPATCHER, "bytes of the whole list", "bytes of a whole list", HOSTS, KILOBYTES, LOG_FOLLOWING
    ),
    Requirement(
        DISPATCHER,
        "processor time of an hour's catch-up",
        "processor time of purges caught up with in one read",
        HOUR,
        PERCENT,
        LOG_FOLLOWING,
        times=WITHIN,
        budget=Budget.DISPATCHER_CPU,
    ),
    Requirement(
        DISPATCHER,
        "bytes of an hour's catch-up",
        "bytes of one follower's catch-up",
        HOUR,
        KILOBYTES_A_SECOND,
        LOG_FOLLOWING,
        times=WITHIN,
        budget=Budget.DISPATCHER_BYTES,
        measured_role=CHANGE_LOG,
    ),
    Requirement(
        DISPATCHER,
        "memory of objects in use, each request another object",
        "memory of objects asked for within 10 s",
        OBJECTS,
        MEGABYTES,
        OBJECT_TABLE,
    ),
    Requirement(
        DISPATCHER,
        "memory of open requests, each until its deadline",
        "memory of open requests in the module",
        OPEN,
        MEGABYTES,
        REQUEST_TABLE,
    ),
    Requirement(
        DISPATCHER,
        "ranking an object anew",
        "processor time of the module for an object's first request",
        HOSTS,
        MILLISECONDS,
        RANKING,
    ),
    Requirement(
        DISPATCHER,
        "memory of kept connections",
        "memory of kept connections",
        HOSTS,
        MEGABYTES,
        CONNECTION_POOL,
    ),
    Requirement(
        DISPATCHER,
        "descriptors to cache hosts",
        "descriptors to cache hosts",
        HOSTS,
        DESCRIPTORS,
        CONNECTION_POOL,
    ),
    Requirement(
        CHANGE_LOG,
        "purges to the fleet, log nearly empty",
        "processor time of an event",
        FLEET,
        PERCENT,
        LOG_FAN_OUT,
        times=PURGE_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CHANGE_LOG,
        "purges to the fleet, an hour of purges in the log",
        "processor time of an event for one follower",
        EVENTS_HELD,
        PERCENT,
        LOG_FAN_OUT,
        times=FLEET_PURGE_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CHANGE_LOG,
        "bytes of purges to the fleet",
        "bytes of an event",
        FLEET,
        KILOBYTES_A_SECOND,
        LOG_FAN_OUT,
        times=PURGE_RATE,
    ),
    Requirement(
        CHANGE_LOG,
        "catch-up of the whole fleet after an hour",
        "processor time of one follower's catch-up",
        HOUR,
        PERCENT,
        LOG_REPLAY,
        times=FLEET_WITHIN,
        budget=Budget.CATCH_UP_CPU,
    ),
    Requirement(
        CHANGE_LOG,
        "encoding an hour's events, once, and the first catch-up",
        "processor time of the first catch-up",
        HOUR,
        MILLISECONDS,
        LOG_REPLAY,
    ),
    Requirement(
        CHANGE_LOG,
        "bytes of that catch-up, all dispatchers",
        "bytes of one follower's catch-up",
        HOUR,
        MEGABYTES,
        LOG_REPLAY,
        times=FLEET,
    ),
    Requirement(CHANGE_LOG, "memory of a day's events", "memory of events held", DAY, MEGABYTES, LOG_STORAGE),
    Requirement(CHANGE_LOG, "descriptors", "descriptors", FLEET, DESCRIPTORS, LOG_FAN_OUT),
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
    Requirement(
        OPERATOR,
        "checking a day's configurations at a dispatcher",
        "processor time of checking a configuration",
        TENANTS,
        PERCENT,
        FILE_RELOAD,
        times=DAY_RATE,
        budget=Budget.DISPATCHER_CPU,
        counted=True,
    ),
    Requirement(
        OPERATOR,
        "checking a burst of configurations at a dispatcher",
        "processor time of checking a configuration",
        TENANTS,
        PERCENT,
        FILE_RELOAD,
        times=BURST_RATE,
        budget=Budget.DISPATCHER_CPU,
    ),
    Requirement(
        OPERATOR,
        "bytes of a day's configurations, whole each time",
        "bytes of a configuration",
        TENANTS,
        KILOBYTES_A_SECOND,
        FILE_RELOAD,
        times=DAY_RATE,
        budget=Budget.DISPATCHER_BYTES,
        counted=True,
    ),
    Requirement(
        OPERATOR,
        "bytes of a burst of configurations, whole each time",
        "bytes of a configuration",
        TENANTS,
        KILOBYTES_A_SECOND,
        FILE_RELOAD,
        times=BURST_RATE,
        budget=Budget.DISPATCHER_BYTES,
    ),
    Requirement(
        OPERATOR,
        "memory of a checked configuration",
        "memory of a checked configuration",
        TENANTS,
        MEGABYTES,
        FILE_RELOAD,
        budget=Budget.DISPATCHER_MEMORY,
        counted=True,
    ),
    Requirement(
        CACHE_HOST,
        "connections that arrive, two a dispatcher",
        "connections that arrive",
        FLEET,
        DESCRIPTORS,
        CONNECTION_POOL,
    ),
    Requirement(
        CACHE_HOST,
        "memory of kept connections (a small asyncio server)",
        "memory of kept connections",
        FLEET,
        MEGABYTES,
        CONNECTION_POOL,
    ),
    Requirement(
        CACHE_HOST,
        "taking all connections after a restart",
        "processor time of taking all connections",
        FLEET,
        MILLISECONDS,
        CONNECTION_POOL,
    ),
    Requirement(
        DATA_PATH,
        "requests, answers of the wire's most",
        "processor time of a request",
        LARGEST_ANSWER,
        PERCENT,
        PROXYING,
        times=REQUEST_RATE,
    ),
    Requirement(
        DATA_PATH,
        "requests, the mean answer of the target in three parts",
        "processor time of a request",
        PART_OF_ANSWER,
        PERCENT,
        PROXYING,
        times=PART_RATE,
    ),
    Requirement(
        DATA_PATH,
        "requests, the mean answer of the target whole",
        "processor time of a request",
        MEAN_ANSWER,
        PERCENT,
        PROXYING,
        times=REQUEST_RATE,
    ),
)
