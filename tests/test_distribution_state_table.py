"""The state table of a follower of a control replica: phase x kind of line -> verdict."""

from __future__ import annotations

import pytest

from hoistplank.distribution.follower_state import FollowerState, LineKind, Phase, Verdict
from hoistplank.distribution.messages import CatchUp, ReplicatedEvent
from hoistplank.distribution.versions import Version
from hoistplank.protocol.changelog import Purge

NEXT = {
    LineKind.HEARTBEAT: ReplicatedEvent(5, 7),
    LineKind.EVENT: ReplicatedEvent(6, 7, 5, invalidate=Purge(2.0, "p")),
    LineKind.BEGIN: ReplicatedEvent(8, 7, 5, catch_up=CatchUp.BEGIN),
    LineKind.PART: ReplicatedEvent(7, 7, invalidate=Purge(2.0, "p"), catch_up=CatchUp.PART),
    LineKind.END: ReplicatedEvent(8, 7, 5, catch_up=CatchUp.END),
}
VERDICTS = {
    Phase.LIVE: (Verdict.HEARTBEAT, Verdict.APPLY, Verdict.HEARTBEAT, Verdict.GAP, Verdict.GAP),
    Phase.CATCHING_UP: (
        Verdict.HEARTBEAT,
        Verdict.GAP,
        Verdict.HEARTBEAT,
        Verdict.APPLY,
        Verdict.HEARTBEAT,
    ),
    Phase.SKIPPING: (Verdict.HEARTBEAT, Verdict.GAP, Verdict.HEARTBEAT, Verdict.BEHIND, Verdict.BEHIND),
}
BEGINS = {
    Phase.CATCHING_UP: ReplicatedEvent(8, 7, 5, catch_up=CatchUp.BEGIN),
    Phase.SKIPPING: ReplicatedEvent(4, 7, catch_up=CatchUp.BEGIN),
}


@pytest.mark.parametrize("phase", Phase)
def test_each_kind_of_line_has_one_verdict_in_each_phase(phase: Phase) -> None:
    """Checks the whole state table, for a follower at 7/5 and lines that are valid in some phase."""
    for kind, verdict in zip(LineKind, VERDICTS[phase], strict=True):
        follower = FollowerState()
        for place in (CatchUp.BEGIN, CatchUp.END):
            follower.receive(0, ReplicatedEvent(5, 7, catch_up=place))
        assert follower.received == Version(7, 5)
        if phase in BEGINS:
            follower.receive(0, BEGINS[phase])
        assert LineKind.of(NEXT[kind]) is kind
        assert follower.receive(0, NEXT[kind]) is verdict, (phase, kind)
