"""Validates the fields of a client's request and converts them to a `Request`."""

from __future__ import annotations

import re

from hoistplank.decision.settings import KEYED, RouterSettings, TrafficClass
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.attempts import Request, Response

PATH_PREFIX = "/api/v2/"  # followed by the name of the traffic class
MAX_PART = 65_535
MAX_PURGE_GROUP = 255
MAX_DIGITS = 9  # of an integer; longer ones exceed every limit here
MAX_QUOTED = 60  # characters of an invalid value that are quoted in the error message
# Clients measure time by their own clocks, so a deadline may exceed the limit by some milliseconds. Rejecting
# it as invalid would cost a well-behaved client its connection with all open requests.
DEADLINE_TOLERANCE_PERCENT = 110
DEADLINE_TOLERANCE_MS = 50

_is_hex_id = re.compile(r"[0-9a-fA-F]{16}").fullmatch
_is_idempotency_key = re.compile(r"[0-9a-fA-F]{32}").fullmatch


class RequestParser:
    """Creates requests from CGI fields, for the traffic classes in the settings."""

    def __init__(self, settings: RouterSettings) -> None:
        self.classes = {traffic_class.name: traffic_class for traffic_class in settings.traffic_classes}

    def script_names(self) -> dict[bytes, str]:
        """Returns the class names by SCRIPT_NAME, encoded as in the FastCGI parameters."""
        return {f"{PATH_PREFIX}{name}".encode(): name for name in self.classes}

    def parse(self, now: int, response: Response, fields: dict[str, str], body: bytes) -> Request:
        """Returns a request received at `now` (us); raises ProtocolError that names an invalid field."""
        traffic_class = self._traffic_class(fields)
        request_id = _hex_field(fields, "HTTP_X_CORRELATION_ID", "X-Correlation-Id")
        object_key = _hex_field(fields, "HTTP_X_SUBJECT", "X-Subject")
        deadline_ms = integer_field(fields, "HTTP_X_DEADLINE_MS", None, 1, _max_deadline_ms(traffic_class))
        idempotency_key = _idempotency_key(fields, traffic_class)
        known_version = fields.get("HTTP_X_KNOWN", "")
        if known_version and not _is_hex_id(known_version):
            raise ProtocolError(f"X-Known '{known_version[:MAX_QUOTED]}' is not 16 hex digits")
        repeated = fields.get("HTTP_X_RESENT", "")
        if repeated not in ("", "1"):
            raise ProtocolError(f"X-Resent '{repeated[:MAX_QUOTED]}' is neither empty nor 1")
        return Request(
            response=response,
            id=request_id,
            class_name=traffic_class.name,
            object_key=object_key,
            part=integer_field(fields, "HTTP_X_CHUNK", 0, 0, MAX_PART),
            purge_group=integer_field(fields, "HTTP_X_TAG", 0, 0, MAX_PURGE_GROUP),
            idempotency_key=idempotency_key,
            known_version=known_version,
            body=body,
            deadline_us=now + deadline_ms * 1000,
            is_repeat=repeated == "1",
            is_cacheable=not traffic_class.uncached,
            received_us=now,
        )

    def _traffic_class(self, fields: dict[str, str]) -> TrafficClass:
        script = fields.get("SCRIPT_NAME", "")
        if script.startswith(PATH_PREFIX):
            traffic_class = self.classes.get(script[len(PATH_PREFIX) :])
            if traffic_class is not None:
                return traffic_class
        raise ProtocolError(f"SCRIPT_NAME '{script[:MAX_QUOTED]}' is not the path of a traffic class")


def _max_deadline_ms(traffic_class: TrafficClass) -> int:
    tolerated_us = traffic_class.deadline_us * DEADLINE_TOLERANCE_PERCENT // 100
    return tolerated_us // 1000 + DEADLINE_TOLERANCE_MS


def _hex_field(fields: dict[str, str], name: str, header: str) -> str:
    value = fields.get(name, "")
    if not _is_hex_id(value):
        raise ProtocolError(f"{header} '{value[:MAX_QUOTED]}' is not 16 hex digits")
    return value


def _idempotency_key(fields: dict[str, str], traffic_class: TrafficClass) -> str:
    """Returns the operation key, which is validated if present, or "" for a class that uses none."""
    key = fields.get("HTTP_X_OPERATION_KEY", "")
    is_keyed = traffic_class.semantics == KEYED
    if (key or is_keyed) and not _is_idempotency_key(key):
        raise ProtocolError(f"X-Operation-Key '{key[:MAX_QUOTED]}' is not 32 hex digits")
    return key if is_keyed else ""


def integer_field(fields: dict[str, str], name: str, default: int | None, minimum: int, maximum: int) -> int:
    """Returns a field as an integer from `minimum` to `maximum`; it is required if there is no default.

    Raises ProtocolError if the field is missing, not an integer or out of range.
    """
    text = fields.get(name)
    if text is None and default is not None:
        return default
    if text is None or not (text.isdecimal() and text.isascii() and len(text) <= MAX_DIGITS):
        raise ProtocolError(f"{name} '{(text or '')[:MAX_QUOTED]}' is not an integer")
    if not minimum <= int(text) <= maximum:
        raise ProtocolError(f"{name} {text} is not from {minimum} to {maximum}")
    return int(text)
