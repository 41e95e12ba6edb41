"""What a Router holds in a scale run, against what was told."""

from __future__ import annotations

from hoistplank.choice import ALL_OBJECTS, Router
from hoistplank.interface import HostEntry
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
    router.purged(now, "ab", 0, 5)
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [3]
    # An older purge of the same object is not enough.
    router.purged(now, "cd", 0, 6)
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [3]
    # Of two events on one host the later one counts.
    router.hosts_listed(now, "whole", [HostEntry("h", "z0", "box", 0, 1.0, 7, "up")])
    assert [number for number, _ in auditor.missing(router, NOTHING, Position(0, 3), Position(0, 5))] == [5]
    router.hosts_listed(now, "changes", [HostEntry("h", "z0", "box", 0, 1.0, 7, "gone")])
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
    router.hosts_listed(1, "whole", [HostEntry("h", "z0", "box", 0, 1.0, 7, "up")])
    for position in (2, 3, 4):
        found = auditor.missing(router, configured, told, Position(0, position))
        assert [number for number, _ in found] == [position]
    router.hosts_listed(2, "changes", [HostEntry("h", "z0", "box", 0, 1.0, 9, "up")])
    for position in (2, 3, 4):
        assert auditor.missing(router, configured, told, Position(0, position)) == []
    router.hosts_listed(3, "changes", [HostEntry("h", "z0", "box", 0, 1.0, 11, "up")])
    assert auditor.missing(router, configured, told, Position(0, 2)) != []


def test_audit_takes_a_floor_under_all_objects_for_a_purge() -> None:
    auditor, router = audited(Expect(0, 2, "ab", 50 * S), Expect(0, 3, "cd", 60 * S))
    router.floors[ALL_OBJECTS] = (55 * S, 90 * S)
    assert [number for number, _ in auditor.missing(router, NOTHING, Position(0, 1), Position(0, 3))] == [3]
    # One that is heard long after it was made is in force all the same.
    router.purged(60 * S + 2 * router.floors_us, "cd", 0, 2 * router.floors_us)
    assert auditor.missing(router, NOTHING, Position(0, 2), Position(0, 3)) == []
