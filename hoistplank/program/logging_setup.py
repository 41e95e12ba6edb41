"""Logging by structlog to standard output, one line for each event; in normal operation none per request.

Every line passes through `redact`, the one place that removes secrets: callers need not know which values may
hold one.
"""

from __future__ import annotations

import re
from collections.abc import MutableMapping
from typing import Any  # structlog's own type of a line's values, and of its processors

import structlog

REDACTED = "[withheld]"
# A signed token, a private key's PEM block, an Authorization field, and the private members of a JWK
# (RFC 7518).
SECRETS = re.compile(
    r"eyJ[\w-]*\.[\w-]+\.[\w-]*"
    r"|-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(?:-----END [A-Z ]*PRIVATE KEY-----|\Z)"
    r"|(?i:bearer\s+)[\w.~+/=-]{8,}"
    r"|(?<=\"[dkpq]\":)\s*\"[\w-]{16,}\"",
    re.DOTALL,
)
MIN_SECRET_LENGTH = 16  # characters; comparing the length is cheaper than searching a short text
MAX_DEPTH = 6  # of nested containers; deeper values are replaced whole


def _redact_text(text: str) -> str:
    return SECRETS.sub(REDACTED, text) if len(text) >= MIN_SECRET_LENGTH else text


def _redact_value(value: Any, depth: int = 0) -> Any:
    if isinstance(value, str):
        return _redact_text(value)
    if isinstance(value, bytes | bytearray | memoryview):
        return f"[{len(value)} bytes]"
    if depth >= MAX_DEPTH:
        return REDACTED
    if isinstance(value, dict):
        return {
            _redact_value(key, depth + 1): _redact_value(inner, depth + 1) for key, inner in value.items()
        }
    if isinstance(value, list | tuple | set | frozenset):
        return [_redact_value(inner, depth + 1) for inner in value]
    return _redact_object(value)


def _redact_object(value: Any) -> Any:
    if value is None or isinstance(value, int | float):
        return value
    return SECRETS.sub(REDACTED, str(value))  # an object's text may hold a secret


def redact(_logger: Any, _method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Removes tokens, keys and other secrets from the values of a log line (a structlog processor)."""
    for name, value in event.items():
        event[name] = _redact_value(value)
    return event


def configure_logging(dispatcher: str, line_format: str = "lines") -> None:
    """Configures structlog for the process: "lines" for people, or "json" for programs, one object a line.
    Each line has the dispatcher's name."""
    renderer: Any = structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"])
    if line_format == "json":
        renderer = structlog.processors.JSONRenderer(sort_keys=True)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            redact,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(),
    )
    structlog.contextvars.bind_contextvars(dispatcher=dispatcher)
