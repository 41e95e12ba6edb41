"""What a site tells at start, read into a `Site`: one place for the simulator and the sockets alike.

Both hand over the same names and units: the simulator as flat pairs, the configuration file as nested JSON,
which `flat` turns into such pairs. Nothing here judges; an absent value takes the wire's own default.
"""

from __future__ import annotations

from decimal import Decimal, InvalidOperation
from typing import Any

from hoistplank.interface import IDEMPOTENT, KEYED, NON_IDEMPOTENT, HouseRules, Site, TrafficClass

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
        target_us=facts.micros(at + "target"),
        target_stretch=facts.number(at + "aim_stretch", 0.0),
        deadline_us=facts.micros(at + "give_up"),
        utility=facts.number(at + "gain", 1.0),
        late_share=facts.number(at + "late_value", 0.0),
        semantics=SEMANTICS[semantics],
        dedup_group=facts.text(at + "group", ""),
        dedup_window_us=facts.micros(at + "dedup_window", 0),
        fresh_us=_times(facts, info + "lifetime_by_class", index),
        grace_us=_times(facts, info + "class_grace", index),
        old_share=numbers(old[index], info + "worth_when_old")[0] if index < len(old) else 0.0,
        uncached=index < len(uncached) and uncached[index] in ("true", "1"),
        streamed=facts.flag(at + "stream"),
    )


def site(facts: Fields) -> Site:
    info = "family_info."
    zones, zone = _row(facts, "areas"), facts.text("zone", "")
    place = zones.index(zone) if zone in zones else -1
    links = numbers(facts.text(info + "zone_link_kb_per_s", ""), info + "zone_link_kb_per_s")
    here = numbers(facts.text(info + "instances_by_zone", ""), info + "instances_by_zone")
    group = facts.whole("group_size", 1)
    rules = HouseRules(
        drain_us=facts.micros("rules.stop_sending_within", 0),
        cold_from=facts.number("rules.cold_from", 1.0),
        cold_us=facts.micros("rules.cold", 0),
        tip_us=facts.micros("rules.tip_after", 0),
        tip_multiple=facts.number("rules.fall_multiple", 0.0),
        parent_cold_from=facts.number(info + "parent_starts_at", 1.0),
        parent_cold_us=facts.micros(info + "parent_ramp", 0),
        parent_tip_multiple=facts.number(info + "parent_fall_multiple", 0.0),
        purge_takes_us=facts.micros(info + "purge_takes", 0),
        slack_us=facts.micros("rules.answer_slack", 0),
        connect_us=facts.micros("limits.connect_timeout", 0),
        max_attempts=facts.whole("limits.max_attempts", 1),
        may_pair=facts.flag("limits.parallel_tries"),
        may_withdraw=facts.flag("limits.may_cancel"),
        may_probe=facts.flag("limits.probes"),
        may_pass_by=facts.flag(info + "may_pass_by"),
        may_name_return=facts.flag("limits.retry_after"),
        max_return_us=facts.micros("limits.max_retry_after", 0),
        must_follow=facts.text("discovery", "") == "subscribe",
        ask_every_us=facts.micros("rules.ask_every", 0),
    )
    return Site(
        rules=rules,
        traffic_classes=tuple(traffic_class(facts, i) for i in range(facts.whole("classes.count", 0))),
        zone=zone,
        number=facts.whole("index", 0),
        dispatchers=group,
        dispatchers_here=int(here[place]) if 0 <= place < len(here) else group,
        link_kb_s=links[place] if 0 <= place < len(links) else 0.0,
        stream_kb_s=facts.number(info + "stream_kb_per_s", 0.0),
        links_told=facts.text("weights", "none") == "nominal",
        joins=facts.flag(info + "joins"),
        notes_all=facts.text(info + "notes_given", "none") == "all",
        sources_beside=facts.text(info + "sideways", "none"),
        parent_kind=_kind(facts, info + "second_tier_kind"),
        origin_kind=_kind(facts, info + "master_kind"),
        report_fields=tuple(REPORT_NAMES.get(name, name) for name in _row(facts, "report.fields")),
        reports_in_answers=facts.text("report.how", "none") == "answers",
        tick_us=facts.micros("round", 0),
    )
