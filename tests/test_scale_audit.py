"""What a Router holds in a scale run, against what was told."""

from __future__ import annotations

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointsUpdated, PurgeReceived
from hoistplank.decision.purges import ALL_OBJECTS, PurgeWatermark
from hoistplank.decision.router import Router
from hoistplank.lab.scale.hollow import Position
from hoistplank.lab.scale.hollow_audit import Auditor
from hoistplank.lab.scale.hollow_messages import Expect, HostState
from hoistplank.lab.scale.hollow_process import site_of
from hoistplank.lab.scale.scene import S
from tests.scale_rig import NOTHING, scene


def audited(*events: Expect) -> tuple[Auditor, Router]:
    made = scene("(hosts 3)")
    auditor = Auditor()
    for event in events:
        auditor.expect(event)
    return auditor, Router(site_of(made.fleet.settings(made.fleet.seats()[0], 300.0)), 1)


def test_audit_finds_what_a_router_lacks() -> None:
    now = 1_000 * S
    auditor, router = audited(
        Expect(0, 2, "ab", now - 5),
        Expect(0, 3, "cd", now - 4),
        Expect(0, 4, hosts=[HostState("h", "draining", 7, 1.0)]),
        Expect(0, 5, hosts=[HostState("h", "gone", 7, 1.0)]),
    )
    told = Position(0, 1)
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [2, 3]
    router.handle(now, PurgeReceived("ab", 0, 5))
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [3]
    # An older purge of the same object is not enough.
    router.handle(now, PurgeReceived("cd", 0, 6))
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [3]
    # Of two events on one host the later one counts.
    router.handle(
        now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [Endpoint("h", "z0", "box", 0, 1.0, 7, "up")])
    )
    assert [number for number, _ in auditor.missing(router, NOTHING, Position(0, 3), Position(0, 5))] == [5]
    router.handle(
        now, EndpointsUpdated(EndpointListForm.CHANGES, [Endpoint("h", "z0", "box", 0, 1.0, 7, "gone")])
    )
    assert auditor.missing(router, NOTHING, Position(0, 3), Position(0, 5)) == []
    assert auditor.knows(Position(0, 5)) and not auditor.knows(Position(0, 6))
    assert not auditor.knows(Position(1, 1))


def test_audit_lets_a_router_be_ahead_of_what_its_dispatcher_says_but_not_behind() -> None:
    """As in a catch-up, parts of which are applied before its end moves the position."""
    auditor, router = audited(
        Expect(0, 2, hosts=[HostState("h", "draining", 7, 1.0)]),
        Expect(0, 3, hosts=[HostState("h", "gone", 7, 1.0)]),
        Expect(0, 4, hosts=[HostState("h", "ready", 9, 1.0)]),
    )
    told, configured = Position(0, 1), Position(0, 0)
    router.handle(
        1, EndpointsUpdated(EndpointListForm.SNAPSHOT, [Endpoint("h", "z0", "box", 0, 1.0, 7, "up")])
    )
    for position in (2, 3, 4):
        found = auditor.missing(router, configured, told, Position(0, position))
        assert [number for number, _ in found] == [position]
    router.handle(
        2, EndpointsUpdated(EndpointListForm.CHANGES, [Endpoint("h", "z0", "box", 0, 1.0, 9, "up")])
    )
    for position in (2, 3, 4):
        assert auditor.missing(router, configured, told, Position(0, position)) == []
    router.handle(
        3, EndpointsUpdated(EndpointListForm.CHANGES, [Endpoint("h", "z0", "box", 0, 1.0, 11, "up")])
    )
    assert auditor.missing(router, configured, told, Position(0, 2)) != []


def test_audit_takes_a_floor_under_all_objects_for_a_purge() -> None:
    auditor, router = audited(Expect(0, 2, "ab", 50 * S), Expect(0, 3, "cd", 60 * S))
    router.parts.purges.by_key[ALL_OBJECTS] = PurgeWatermark(55 * S, 90 * S)
    assert [number for number, _ in auditor.missing(router, NOTHING, Position(0, 1), Position(0, 3))] == [3]
    # One that is heard long after it was made is in force all the same.
    late_us = 2 * router.parts.purges.hold_us
    router.handle(60 * S + late_us, PurgeReceived("cd", 0, late_us))
    assert auditor.missing(router, NOTHING, Position(0, 2), Position(0, 3)) == []
