"""Reads the settings of a dispatcher into `RouterSettings`, for the simulator and for real dispatchers.

This is the only module that translates the external names of the settings. Both programs use the same names
and units: the simulator as flat pairs, the configuration file as nested JSON, which `wire_fields.flatten`
turns into such pairs. A missing value gets the default of the simulator's protocol.
"""

from __future__ import annotations

from hoistplank.decision.settings import (
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT,
    RouterSettings,
    RuleLimits,
    TrafficClass,
)
from hoistplank.wire_fields import FieldError, Fields, parse_numbers, parse_seconds

SEMANTICS = {"idempotent": IDEMPOTENT, "deduplicated": KEYED, "at_most_once": NON_IDEMPOTENT}
LOAD_REPORT_NAMES = {"rif": "held", "busy": "busy", "x0": "hit_share", "x1": "link_full", "q": "queued"}
SITE_PREFIX = "family_info."  # the prefix of the fields that describe caches, parents and origin


def read_settings(fields: Fields) -> RouterSettings:
    """Returns the settings of a router. Raises FieldError if a field is missing or can't be read."""
    zone = fields.text("zone", "")
    zones = _list_values(fields, "areas")
    zone_index = zones.index(zone) if zone in zones else -1
    links = parse_numbers(
        fields.text(SITE_PREFIX + "zone_link_kb_per_s", ""), SITE_PREFIX + "zone_link_kb_per_s"
    )
    by_zone = parse_numbers(
        fields.text(SITE_PREFIX + "instances_by_zone", ""), SITE_PREFIX + "instances_by_zone"
    )
    dispatchers = fields.integer("group_size", 1)
    report_names = _list_values(fields, "report.fields")
    return RouterSettings(
        rules=_read_rules(fields),
        traffic_classes=tuple(
            _read_traffic_class(fields, index) for index in range(fields.integer("classes.count", 0))
        ),
        zone=zone,
        dispatcher_index=fields.integer("index", 0),
        dispatchers=dispatchers,
        dispatchers_in_zone=int(by_zone[zone_index]) if 0 <= zone_index < len(by_zone) else dispatchers,
        zone_link_kb_per_s=links[zone_index] if 0 <= zone_index < len(links) else 0.0,
        stream_kb_per_s=fields.number(SITE_PREFIX + "stream_kb_per_s", 0.0),
        links_declared=fields.text("weights", "none") == "nominal",
        caches_join_fills=fields.flag(SITE_PREFIX + "joins"),
        cache_status_complete=fields.text(SITE_PREFIX + "notes_given", "none") == "all",
        peer_sources=fields.text(SITE_PREFIX + "sideways", "none"),
        parent_kind=_host_kind(fields, SITE_PREFIX + "second_tier_kind"),
        origin_kind=_host_kind(fields, SITE_PREFIX + "master_kind"),
        load_report_fields=tuple(LOAD_REPORT_NAMES.get(name, name) for name in report_names),
        load_reports_in_answers=fields.text("report.how", "none") == "answers",
        tick_us=fields.microseconds("round", 0),
    )


def _read_rules(fields: Fields) -> RuleLimits:
    purge_grace = SITE_PREFIX + "purge_grace"
    return RuleLimits(
        drain_grace_us=fields.microseconds("rules.stop_sending_within", 0),
        warm_up_initial_share=fields.number("rules.cold_from", 1.0),
        warm_up_us=fields.microseconds("rules.cold", 0),
        overload_window_us=fields.microseconds("rules.tip_after", 0),
        overload_multiple=fields.number("rules.fall_multiple", 0.0),
        parent_warm_up_initial_share=fields.number(SITE_PREFIX + "parent_starts_at", 1.0),
        parent_warm_up_us=fields.microseconds(SITE_PREFIX + "parent_ramp", 0),
        parent_overload_multiple=fields.number(SITE_PREFIX + "parent_fall_multiple", 0.0),
        purge_delay_us=fields.microseconds(SITE_PREFIX + "purge_takes", 0),
        answer_slack_us=fields.microseconds("rules.answer_slack", 0),
        connect_timeout_us=fields.microseconds("limits.connect_timeout", 0),
        max_attempts=fields.integer("limits.max_attempts", 1),
        may_hedge=fields.flag("limits.parallel_tries"),
        may_cancel=fields.flag("limits.may_cancel"),
        may_health_check=fields.flag("limits.probes"),
        may_bypass_caches=fields.flag(SITE_PREFIX + "may_pass_by"),
        may_send_retry_after=fields.flag("limits.retry_after"),
        max_retry_after_us=fields.microseconds("limits.max_retry_after", 0),
        must_watch_endpoints=fields.text("discovery", "") == "subscribe",
        poll_interval_us=fields.microseconds("rules.ask_every", 0),
        purge_grace_us=fields.microseconds(purge_grace) if purge_grace in fields.pairs else None,
    )


def _read_traffic_class(fields: Fields, index: int) -> TrafficClass:
    prefix = f"classes.{index}."
    semantics = fields.text(prefix + "semantics")
    if semantics not in SEMANTICS:
        raise FieldError(
            f"field '{prefix}semantics' must be idempotent, deduplicated or at_most_once,"
            f" found '{semantics[:20]}'"
        )
    uncached = _list_values(fields, SITE_PREFIX + "uncached")
    stale_shares = _list_values(fields, SITE_PREFIX + "worth_when_old")
    return TrafficClass(
        name=fields.text(prefix + "name"),
        latency_objective_us=fields.microseconds(prefix + "target"),
        objective_stretch=fields.number(prefix + "aim_stretch", 0.0),
        deadline_us=fields.microseconds(prefix + "give_up"),
        priority_weight=fields.number(prefix + "gain", 1.0),
        late_value_share=fields.number(prefix + "late_value", 0.0),
        semantics=SEMANTICS[semantics],
        deduplication_scope=fields.text(prefix + "group", ""),
        deduplication_window_us=fields.microseconds(prefix + "dedup_window", 0),
        fresh_us=_list_seconds(fields, SITE_PREFIX + "lifetime_by_class", index),
        stale_window_us=_list_seconds(fields, SITE_PREFIX + "class_grace", index),
        stale_value_share=parse_numbers(stale_shares[index], SITE_PREFIX + "worth_when_old")[0]
        if index < len(stale_shares)
        else 0.0,
        uncached=index < len(uncached) and uncached[index] in ("true", "1"),
        streamed=fields.flag(prefix + "stream"),
    )


def _list_values(fields: Fields, name: str) -> list[str]:
    return [value for value in fields.text(name, "").split(",") if value]


def _list_seconds(fields: Fields, name: str, index: int) -> int:
    row = _list_values(fields, name)
    return parse_seconds(row[index], name) if index < len(row) else 0


def _host_kind(fields: Fields, name: str) -> str:
    kinds, index = _list_values(fields, "models"), fields.integer(name, -1)
    return kinds[index] if 0 <= index < len(kinds) else ""
