"""The log: structlog to standard output, a line an event; nothing is written per request in normal running.

Every line goes through `conceal`, the one place that keeps secrets out: whoever logs need not know what may
hold one.
"""

from __future__ import annotations

import re
from collections.abc import MutableMapping
from typing import Any

import structlog

WITHHELD = "[withheld]"
# A signed token, a private key's PEM block, an Authorization field, and the private members of a JWK (RFC
# 7518).
SECRETS = re.compile(
    r"eyJ[\w-]*\.[\w-]+\.[\w-]*"
    r"|-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(?:-----END [A-Z ]*PRIVATE KEY-----|\Z)"
    r"|(?i:bearer\s+)[\w.~+/=-]{8,}"
    r"|(?<=\"[dkpq]\":)\s*\"[\w-]{16,}\"",
    re.DOTALL,
)
MOST_DEPTH = 6


def _concealed(value: Any, depth: int = 0) -> Any:
    if isinstance(value, str):
        # Most texts are short words: a look for what every secret has is cheaper than the search.
        return SECRETS.sub(WITHHELD, value) if len(value) >= 16 else value
    if isinstance(value, bytes | bytearray | memoryview):
        return f"[{len(value)} bytes]"
    if depth >= MOST_DEPTH:
        return WITHHELD
    if isinstance(value, dict):
        return {_concealed(key, depth + 1): _concealed(inner, depth + 1) for key, inner in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [_concealed(inner, depth + 1) for inner in value]
    if value is None or isinstance(value, int | float):
        return value
    return SECRETS.sub(WITHHELD, str(value))


def conceal(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """A processor of structlog's: the line without tokens, keys and private parts."""
    for name, value in event.items():
        event[name] = _concealed(value)
    return event


def open_log(name: str, form: str = "lines") -> None:
    """Lines for people, or JSON for programs, one object a line."""
    last: list[Any] = [structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"])]
    if form == "json":
        last = [structlog.processors.JSONRenderer(sort_keys=True)]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            conceal,
            *last,
        ],
        logger_factory=structlog.PrintLoggerFactory(),
    )
    structlog.contextvars.bind_contextvars(dispatcher=name)
