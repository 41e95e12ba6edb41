"""Settings of a small site and events of its change log, with the platform's names and units."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "areas": ["hub", "z1"],
    "models": ["box", "parent", "origin"],
    "zone": "z1",
    "group_size": 1,
    "index": 0,
    "classes": [
        {
            "name": "page",
            "target": 0.3,
            "aim_stretch": 2.0,
            "give_up": 2.5,
            "semantics": "idempotent",
            "gain": 1.0,
        },
        {
            "name": "booking",
            "target": 0.7,
            "give_up": 3.0,
            "semantics": "deduplicated",
            "group": "all",
            "dedup_window": 3.0,
            "gain": 3.0,
        },
    ],
    "family_info": {
        "second_tier_kind": 1,
        "master_kind": 2,
        "uncached": [False, True],
        "may_pass_by": True,
        "joins": True,
        "stream_kb_per_s": 3400.0,
        "zone_link_kb_per_s": [0.0, 800000.0],
        "instances_by_zone": [0, 1],
        "purge_grace": 1.0,
    },
    "limits": {
        "connect_timeout": 0.4,
        "max_attempts": 3,
        "may_cancel": True,
        "retry_after": True,
        "max_retry_after": 1.0,
        "open_cap": 100,
        "streams_per_conn": 10,
        "idle_close": 30.0,
    },
    "rules": {
        "stop_sending_within": 0.25,
        "cold_from": 0.2,
        "cold": 10.0,
        "fall_multiple": 2.5,
        "tip_after": 1.5,
    },
    "discovery": "automatic",
    "weights": "nominal",
    "round": 0.001,
}


def endpoint_entry(uid: str, model: str, port: int, state: str = "ready") -> dict[str, Any]:
    """Return a host as the change log lists it; `model` is `box` (a cache host), `parent` or `origin`."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "z1" if model == "box" else "hub",
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 100,
        "boot_ms": 0,
    }


def fleet_event(seq: int, targets: list[dict[str, Any]], whole: bool = False) -> dict[str, Any]:
    """Return a change-log event with endpoints: the changed ones, or with `whole` the full list."""
    return {"seq": seq, "fleet": {"rev": seq, "all": whole, "targets": targets}}
