"""The simulator adapter: times in both directions, a launch and a request, errors for malformed lines."""

import pytest

from hoistplank.benchlink.codec import format_seconds
from hoistplank.benchlink.hosting import Hosting
from hoistplank.wire_fields import FieldError, parse_seconds

LAUNCH = (
    "LAUNCH dispatcher_id=d/1 salt=7 areas=hub,z1 models=box,parent,origin zone=z1 group_size=1 later.key=x"
    " classes.count=1 classes.0.name=page classes.0.target=0.3 classes.0.give_up=2.5"
    " classes.0.semantics=idempotent family_info.second_tier_kind=1 family_info.master_kind=2"
    " limits.max_attempts=6"
)
LIST_LINES = [
    "SHEET buffer=3 members_list=2",
    "ITEM host=a:1 rack_zone=z1 type=box health=U",
    "ITEM host=o:1 type=origin",
    "PEERS_KNOWN dispatcher_id=d/1 form=warm_copy buffer=3",
    "SHEET buffer=3 members_list=0",
]
REQUEST = "DEMAND request_id=00ff file=ab lane=page give_up_at=4.5 dispatcher_id=d/1"


def process_batch(*lines: str) -> list[str]:
    return list(Hosting().process(["FRAME moment=2.5", *lines, "COMMIT"]))


@pytest.mark.parametrize("text", ["0", "0.000001", "392845.868034", "7.5"])
def test_time_round_trip(text: str) -> None:
    assert format_seconds(parse_seconds(text, "time")) == text


def test_request_is_sent_to_a_host_of_the_list() -> None:
    reply = process_batch(LAUNCH, *LIST_LINES, REQUEST)[0].split("\n")
    attempt = "SERVE_VIA dispatcher_id=d/1 request_id=00ff host=a:1 within=2 miss_from=o:1 retain=2"
    assert reply[0].startswith(attempt)
    assert reply[-2:] == ["DONE", ""]


def test_stopped_instance_has_no_actions() -> None:
    assert process_batch(LAUNCH, *LIST_LINES, REQUEST, "HALT dispatcher_id=d/1") == ["DONE\n"]


@pytest.mark.parametrize(
    "line, message",
    [
        ("DEMAND request_id=1 lane=page dispatcher_id=d/1", "line 8: DEMAND: field 'give_up_at' is absent"),
        ("TICK_DUE dispatcher_id=d/1 tag=x", "line 8: TICK_DUE: field 'tag' is not a whole number"),
        ("TICK_DUE tag", "line 8: TICK_DUE: field 'tag' is not a name=value pair"),
    ],
)
def test_error_names_line_and_field(line: str, message: str) -> None:
    with pytest.raises(FieldError, match=message.replace("=", ".")):
        process_batch(LAUNCH, *LIST_LINES, line)
