"""The names of the roles, and the units that figures are told in. Decision logic: constants alone."""

from __future__ import annotations

from hoistplank.lab.scale.requirements import Unit

DISPATCHER, CHANGE_LOG, CONTROL_SERVICE = "dispatcher", "change log", "control service"
CONTROL_REPLICA = "control replica"
OPERATOR, CACHE_HOST, DATA_PATH = "operator", "cache host", "data path"
ROLES = (DISPATCHER, CHANGE_LOG, CONTROL_REPLICA, CONTROL_SERVICE, OPERATOR, CACHE_HOST, DATA_PATH)

PERCENT = Unit("% of a core", 1e-4)  # from microseconds in a second
MILLISECONDS = Unit("ms", 1e-3)
KILOBYTES = Unit("KB", 1e-3)
KILOBYTES_A_SECOND = Unit("KB/s", 1e-3)
MEGABYTES = Unit("MB", 1e-6)
DESCRIPTORS = Unit("descriptors", 1.0)
