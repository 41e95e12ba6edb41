"""Wire format of the distribution's lines: it must not change when names in the code do."""

from __future__ import annotations

import msgspec
import pytest

from hoistplank.distribution.messages import (
    Acknowledgement,
    AcknowledgementRow,
    CatchUp,
    Configuration,
    FollowRequest,
    PeerSubscription,
    Redirect,
    Refusal,
    ReplicatedEvent,
    RequestLine,
    StatusRequest,
    VersionFields,
    encode,
    read_replica_line,
    read_request,
)
from hoistplank.distribution.status import (
    ChangeRow,
    MissingRow,
    PeerRow,
    ReplicaLoad,
    SilentRow,
    StatusResponse,
)
from hoistplank.protocol.changelog import Fleet, Purge, Target

AT = VersionFields(7, 3)
AT_TEXT = '{"epoch":7,"number":3}'
NOTHING_TEXT = '{"epoch":0,"number":0}'
REFUSAL = Refusal(AT, "1:1: no")
ACKNOWLEDGEMENT = Acknowledgement(AT, VersionFields(7, 2), REFUSAL)
ACKNOWLEDGEMENT_TEXT = (
    f'{{"version":{AT_TEXT},"configuration":{{"epoch":7,"number":2}},'
    f'"refused":{{"version":{AT_TEXT},"reason":"1:1: no"}}}}'
)

REQUESTS = [
    (
        RequestLine(follow=FollowRequest("d1", 5, "east", AT)),
        f'{{"follow":{{"dispatcher":"d1","incarnation":5,"region":"east","at":{AT_TEXT}}}}}',
    ),
    (RequestLine(acknowledgement=ACKNOWLEDGEMENT), f'{{"in_force":{ACKNOWLEDGEMENT_TEXT}}}'),
    (
        RequestLine(acknowledgement=Acknowledgement(AT)),
        f'{{"in_force":{{"version":{AT_TEXT},"configuration":{NOTHING_TEXT},"refused":null}}}}',
    ),
    (RequestLine(peer_subscription=PeerSubscription("c2")), '{"report":{"replica":"c2"}}'),
    (RequestLine(status=StatusRequest(AT)), f'{{"status":{{"version":{AT_TEXT}}}}}'),
]


@pytest.mark.parametrize("request_line, text", REQUESTS)
def test_request_lines_match_the_wire_format(request_line: RequestLine, text: str) -> None:
    assert encode(request_line) == text.encode() + b"\n"
    fields = msgspec.structs.astuple(request_line)
    assert read_request(text.encode()) == next(field for field in fields if field is not None)


EVENTS = [
    (ReplicatedEvent(4, 7), '{"seq":4,"epoch":7}'),
    (
        ReplicatedEvent(4, 7, 3, invalidate=Purge(1.0, "ab")),
        '{"seq":4,"epoch":7,"after":3,"invalidate":{"time":1.0,"object":"ab","bucket":0}}',
    ),
    (
        ReplicatedEvent(4, 7, 3, configuration=Configuration("(a)")),
        '{"seq":4,"epoch":7,"after":3,"configuration":{"text":"(a)"}}',
    ),
    (
        ReplicatedEvent(4, 7, catch_up=CatchUp.PART, fleet=Fleet(2, True, [Target("a", "127.0.0.1:1")])),
        '{"seq":4,"epoch":7,"fleet":{"rev":2,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","az":"",'
        '"model":"","pod_group":0,"state":"ready","capacity_hint":1.0,"boot_ms":0}]},"catch_up":"part"}',
    ),
    (ReplicatedEvent(4, 7, 3, catch_up=CatchUp.BEGIN), '{"seq":4,"epoch":7,"after":3,"catch_up":"begin"}'),
    (ReplicatedEvent(4, 7, 3, catch_up=CatchUp.END), '{"seq":4,"epoch":7,"after":3,"catch_up":"end"}'),
]


@pytest.mark.parametrize("event, text", EVENTS)
def test_event_lines_match_the_wire_format(event: ReplicatedEvent, text: str) -> None:
    assert encode(event) == text.encode() + b"\n"
    assert read_replica_line(text.encode()) == event


def test_redirect_is_read() -> None:
    assert read_replica_line(b'{"redirect":{"reason":"full"}}') == Redirect("full")


def test_peer_rows_match_the_wire_format() -> None:
    row = AcknowledgementRow("d1", 5, ACKNOWLEDGEMENT, "east", False, 9)
    text = (
        f'{{"dispatcher":"d1","incarnation":5,"in_force":{ACKNOWLEDGEMENT_TEXT},"region":"east",'
        '"connected":false,"heard_ago_us":9}'
    )
    assert encode(row) == text.encode() + b"\n"
    assert msgspec.json.decode(text, type=AcknowledgementRow) == row


def test_status_matches_the_wire_format() -> None:
    missing = MissingRow("d2", AT, 9, True, "no")
    response = StatusResponse(
        replica="c1",
        region="east",
        version=AT,
        configuration=AT,
        log_heard_ago_us=1,
        connected=2,
        load=ReplicaLoad(1, 2, 3, 4, 5, 6, 7),
        events=ChangeRow(AT, 1, 2, [missing]),
        configurations=ChangeRow(AT, 2, 2, []),
        silent=[SilentRow("d3", 8)],
        peers=[PeerRow("c2")],
    )
    text = (
        f'{{"replica":"c1","region":"east","version":{AT_TEXT},"configuration":{AT_TEXT},"log_heard_ago_us":1,'
        '"connected":2,"load":{"dispatchers":1,"catching_up":2,"waiting":3,"hosts":4,"purges":5,"bytes":6,'
        f'"cut_off":7}},"events":{{"version":{AT_TEXT},"in_force":1,"total":2,"missing":[{{"dispatcher":"d2",'
        f'"version":{AT_TEXT},"heard_ago_us":9,"connected":true,"refused":"no"}}],"unreadable":""}},'
        f'"configurations":{{"version":{AT_TEXT},"in_force":2,"total":2,"missing":[],"unreadable":""}},'
        '"unheard":[{"dispatcher":"d3","heard_ago_us":8}],"peers":[{"name":"c2","heard_ago_us":null}],'
        '"change":null}'
    )
    assert msgspec.json.encode(response) == text.encode()
    assert msgspec.json.decode(text, type=StatusResponse) == response
