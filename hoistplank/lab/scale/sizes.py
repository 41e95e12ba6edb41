"""Sizes and rates of the fleet ahead that figures are taken at, and the units they are told in."""

from __future__ import annotations

from math import ceil

from hoistplank.lab.scale.requirements import Count, Unit
from hoistplank.lab.scale.target import SECONDS_A_DAY, TARGET

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

# Sizes.
_hour = TARGET.purges_per_hour
_day = TARGET.purges_per_s * SECONDS_A_DAY
_window = TARGET.purges_per_s * XDS_WINDOW_S
_requests = TARGET.requests_per_dispatcher
_objects = _requests * OBJECT_KEPT_S
_open = _requests * LONGEST_DEADLINE_S
HOSTS = Count(TARGET.hosts, f"{TARGET.hosts} hosts")
FLEET = Count(TARGET.dispatchers, f"{TARGET.dispatchers} dispatchers")
_share = TARGET.dispatchers / TARGET.control_machines
SHARE = Count(_share, f"{_share:.0f} dispatchers (a fifth)")
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
SHARE_WITHIN = Count(_share / TARGET.change_within_s, f"{SHARE.text} {_within}")
WITHIN = Count(1 / TARGET.change_within_s, _within)
FLEET_WITHIN = Count(TARGET.dispatchers / TARGET.change_within_s, f"{FLEET.text} {_within}")
