"""What a site tells at start, read into `RouterSettings`: one place for the simulator and the sockets alike.

Both hand over the same names and units: the simulator as flat pairs, the configuration file as nested JSON,
which `flat` turns into such pairs. Nothing here judges; an absent value takes the wire's own default.
"""

from __future__ import annotations

from decimal import Decimal, InvalidOperation
from typing import Any

from hoistplank.decision.settings import (
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT,
    RouterSettings,
    RuleLimits,
    TrafficClass,
)

SEMANTICS = {"idempotent": IDEMPOTENT, "deduplicated": KEYED, "at_most_once": NON_IDEMPOTENT}
REPORT_NAMES = {"rif": "held", "busy": "busy", "x0": "hit_share", "x1": "link_full", "q": "queued"}


class FactError(Exception):
    """A value that can't be read; its text names the field."""


class Fields:
    """The pairs of one line. Each getter names the field in its complaint."""

    __slots__ = ("pairs",)

    def __init__(self, parts: list[str]) -> None:
        self.pairs: dict[str, str] = {}
        for part in parts:
            name, equals, value = part.partition("=")
            if not equals:
                raise FactError(f"field '{part[:40]}' is no name=value pair")
            self.pairs[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        value = self.pairs.get(name, default)
        if value is None:
            raise FactError(f"field '{name}' is absent")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise FactError(f"field '{name}' is no whole number") from None

    def number(self, name: str, default: float | None = None) -> float:
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            found = float(self.text(name))
        except ValueError:
            raise FactError(f"field '{name}' is no number") from None
        if found != found or found in (float("inf"), float("-inf")):
            raise FactError(f"field '{name}' is not finite")
        return found

    def micros(self, name: str, default: int | None = None) -> int:
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        return micros(self.text(name), name)

    def flag(self, name: str) -> bool:
        return self.pairs.get(name, "0") in ("1", "true")


def micros(text: str, name: str) -> int:
    """Decimal seconds to whole microseconds, exactly."""
    head, dot, tail = text.partition(".")
    if head.isdecimal() and (tail.isdecimal() if dot else True) and len(tail) <= 6:
        return int(head) * 1_000_000 + int(tail.ljust(6, "0") or 0)
    try:
        scaled = Decimal(text) * 1_000_000
        return int(scaled.to_integral_value())
    except (InvalidOperation, ValueError, OverflowError):
        raise FactError(f"field '{name}' is no time") from None


def numbers(text: str, name: str) -> list[float]:
    try:
        return [float(value) for value in text.split(",") if value]
    except ValueError:
        raise FactError(f"field '{name}' is no row of numbers") from None


def flat(value: Any, path: str = "") -> dict[str, str]:
    """Nested JSON as the pairs of the simulator's first message: `a.b`, `rows.0.name` with `rows.count`."""
    dot = path + "." if path else ""
    if isinstance(value, dict):
        return {name: text for key, inner in value.items() for name, text in flat(inner, dot + key).items()}
    if isinstance(value, list):
        if any(isinstance(inner, dict) for inner in value):
            rows = {f"{i}": inner for i, inner in enumerate(value)}
            return flat(rows, path) | {dot + "count": str(len(value))}
        return {path: ",".join(flat(inner, path).get(path, "") for inner in value)}
    if value is None:
        return {}
    return {path: str(int(value)) if isinstance(value, bool) else str(value)}


def _row(facts: Fields, name: str) -> list[str]:
    return [value for value in facts.text(name, "").split(",") if value]


def _times(facts: Fields, name: str, index: int) -> int:
    row = _row(facts, name)
    return micros(row[index], name) if index < len(row) else 0


def _kind(facts: Fields, name: str) -> str:
    kinds, index = _row(facts, "models"), facts.whole(name, -1)
    return kinds[index] if 0 <= index < len(kinds) else ""


def traffic_class(facts: Fields, index: int) -> TrafficClass:
    at, info = f"classes.{index}.", "family_info."
    semantics = facts.text(at + "semantics")
    if semantics not in SEMANTICS:
        raise FactError(f"field '{at}semantics' has no meaning '{semantics[:20]}'")
    uncached, old = _row(facts, info + "uncached"), _row(facts, info + "worth_when_old")
    return TrafficClass(
        name=facts.text(at + "name"),
        latency_objective_us=facts.micros(at + "target"),
        objective_stretch=facts.number(at + "aim_stretch", 0.0),
        deadline_us=facts.micros(at + "give_up"),
        priority_weight=facts.number(at + "gain", 1.0),
        late_value_share=facts.number(at + "late_value", 0.0),
        semantics=SEMANTICS[semantics],
        deduplication_scope=facts.text(at + "group", ""),
        deduplication_window_us=facts.micros(at + "dedup_window", 0),
        fresh_us=_times(facts, info + "lifetime_by_class", index),
        stale_window_us=_times(facts, info + "class_grace", index),
        stale_value_share=numbers(old[index], info + "worth_when_old")[0] if index < len(old) else 0.0,
        uncached=index < len(uncached) and uncached[index] in ("true", "1"),
        streamed=facts.flag(at + "stream"),
    )


def site(facts: Fields) -> RouterSettings:
    info = "family_info."
    zones, zone = _row(facts, "areas"), facts.text("zone", "")
    place = zones.index(zone) if zone in zones else -1
    links = numbers(facts.text(info + "zone_link_kb_per_s", ""), info + "zone_link_kb_per_s")
    here = numbers(facts.text(info + "instances_by_zone", ""), info + "instances_by_zone")
    group = facts.whole("group_size", 1)
    rules = RuleLimits(
        drain_grace_us=facts.micros("rules.stop_sending_within", 0),
        warm_up_initial_share=facts.number("rules.cold_from", 1.0),
        warm_up_us=facts.micros("rules.cold", 0),
        overload_window_us=facts.micros("rules.tip_after", 0),
        overload_multiple=facts.number("rules.fall_multiple", 0.0),
        parent_warm_up_initial_share=facts.number(info + "parent_starts_at", 1.0),
        parent_warm_up_us=facts.micros(info + "parent_ramp", 0),
        parent_overload_multiple=facts.number(info + "parent_fall_multiple", 0.0),
        purge_delay_us=facts.micros(info + "purge_takes", 0),
        answer_slack_us=facts.micros("rules.answer_slack", 0),
        connect_timeout_us=facts.micros("limits.connect_timeout", 0),
        max_attempts=facts.whole("limits.max_attempts", 1),
        may_hedge=facts.flag("limits.parallel_tries"),
        may_cancel=facts.flag("limits.may_cancel"),
        may_health_check=facts.flag("limits.probes"),
        may_bypass_caches=facts.flag(info + "may_pass_by"),
        may_send_retry_after=facts.flag("limits.retry_after"),
        max_retry_after_us=facts.micros("limits.max_retry_after", 0),
        must_watch_endpoints=facts.text("discovery", "") == "subscribe",
        poll_interval_us=facts.micros("rules.ask_every", 0),
    )
    return RouterSettings(
        rules=rules,
        traffic_classes=tuple(traffic_class(facts, i) for i in range(facts.whole("classes.count", 0))),
        zone=zone,
        dispatcher_index=facts.whole("index", 0),
        dispatchers=group,
        dispatchers_in_zone=int(here[place]) if 0 <= place < len(here) else group,
        zone_link_kb_per_s=links[place] if 0 <= place < len(links) else 0.0,
        stream_kb_per_s=facts.number(info + "stream_kb_per_s", 0.0),
        links_declared=facts.text("weights", "none") == "nominal",
        caches_join_fills=facts.flag(info + "joins"),
        cache_status_complete=facts.text(info + "notes_given", "none") == "all",
        sideways_sources=facts.text(info + "sideways", "none"),
        parent_kind=_kind(facts, info + "second_tier_kind"),
        origin_kind=_kind(facts, info + "master_kind"),
        load_report_fields=tuple(REPORT_NAMES.get(name, name) for name in _row(facts, "report.fields")),
        load_reports_in_answers=facts.text("report.how", "none") == "answers",
        tick_us=facts.micros("round", 0),
    )
