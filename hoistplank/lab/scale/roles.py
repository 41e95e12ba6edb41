"""The names of the roles, in the order of the page's tables."""

from __future__ import annotations

DISPATCHER, CHANGE_LOG, CONTROL_SERVICE = "dispatcher", "change log", "control service"
CONTROL_REPLICA, OPERATOR, CACHE_HOST, DATA_PATH = "control replica", "operator", "cache host", "data path"
ROLES = (DISPATCHER, CHANGE_LOG, CONTROL_REPLICA, CONTROL_SERVICE, OPERATOR, CACHE_HOST, DATA_PATH)
