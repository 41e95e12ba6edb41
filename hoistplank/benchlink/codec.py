"""Lines of the simulator's wire to values and back. Nothing here judges."""

from __future__ import annotations

from hoistplank.interface import Decision, HostEntry, Result
from hoistplank.settings_reader import FactError, Fields

RESULTS = {
    "GOOD": Result.SUCCEEDED,
    "BAD": Result.ERROR,
    "FULL": Result.FULL,
    "LATE": Result.LATE,
    "NOCONN": Result.NO_CONNECTION,
    "RST": Result.BROKEN,
    "CXL": Result.WITHDRAWN,
    "NOP": Result.NEVER_SENT,
    "MISS": Result.MISS,
}
STATES = {"U": "up", "L": "draining", "D": "gone"}


def seconds(us: int) -> str:
    sign, us = ("-", -us) if us < 0 else ("", us)
    whole, rest = divmod(us, 1_000_000)
    return f"{sign}{whole}.{rest:06d}".rstrip("0").rstrip(".") if rest else f"{sign}{whole}"


def entry(fields: Fields) -> HostEntry:
    state = fields.text("health", "U")
    if state not in STATES:
        raise FactError(f"field 'health' has no state '{state[:20]}'")
    return HostEntry(
        fields.text("host"),
        fields.text("rack_zone", ""),
        fields.text("type", ""),
        fields.whole("stripe", 0),
        fields.number("units", 1.0),
        fields.micros("online_since", 0),
        STATES[state],
    )


def line(instance: str, d: Decision) -> str:
    """One decision as one line of the wire."""
    whose = f"dispatcher_id={instance}"
    if d.act == "attempt":
        bits = (1 if d.join else 0) + (8 if d.renew else 0)
        if not d.source:
            return f"SEND {whose} request_id={d.request} host={d.host} within={seconds(d.within_us)}"
        return (
            f"SERVE_VIA {whose} request_id={d.request} host={d.host} within={seconds(d.within_us)}"
            f" miss_from={d.source} retain={d.keep} oldness={seconds(d.oldest_us)} bits={bits}"
        )
    if d.act == "wake":
        return f"ARM {whose} tag={d.token} sleep_for={seconds(d.wait_us)}"
    if d.act == "reject":
        return f"DECLINE {whose} request_id={d.request} not_before_for={seconds(d.wait_us)}"
    if d.act == "fail":
        return f"ERROR {whose} request_id={d.request}"
    if d.act == "withdraw":
        return f"STOP_ATTEMPT {whose} request_id={d.request} trial={d.attempt}"
    if d.act == "probe":
        return f"PING {whose} host={d.host}"
    if d.act == "follow":
        return f"FOLLOW {whose} on=1"
    raise ValueError(f"no line of the wire for '{d.act}'")
