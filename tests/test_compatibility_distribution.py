"""Compatibility with recorded lines of control replicas, dispatchers, peers and operators."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from hoistplank.distribution.follower_state import FollowerState, Verdict
from hoistplank.distribution.messages import (
    Acknowledgement,
    AcknowledgementRow,
    FollowRequest,
    PeerSubscription,
    Redirect,
    ReplicaLine,
    ReplicatedEvent,
    RequestLine,
    StatusRequest,
    encode,
    read_replica_line,
    read_request,
)
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.status import StatusResponse
from hoistplank.distribution.versions import NOTHING, Version
from tests.fixture_files import fixture_json

CONNECTIONS: list[dict[str, Any]] = fixture_json("distribution/connections.json")
DISPATCHERS = [connection for connection in CONNECTIONS if connection["from"] == "dispatcher"]


def lines(which: str, *senders: str) -> list[str]:
    """Returns the distinct lines that were sent ('asked') or answered on the connections of `senders`."""
    found = [line for row in CONNECTIONS if row["from"] in senders for line in row[which] if line]
    return list(dict.fromkeys(found))


def text(message: msgspec.Struct) -> str:
    return encode(message).decode().removesuffix("\n")


def request_line(request: FollowRequest | Acknowledgement | PeerSubscription | StatusRequest) -> RequestLine:
    if isinstance(request, FollowRequest):
        return RequestLine(follow=request)
    if isinstance(request, Acknowledgement):
        return RequestLine(acknowledgement=request)
    if isinstance(request, PeerSubscription):
        return RequestLine(peer_subscription=request)
    return RequestLine(status=request)


def test_recording_contains_every_kind_of_request() -> None:
    kinds = {type(read_request(line.encode())) for line in lines("asked", "dispatcher", "peer", "operator")}
    assert kinds == {FollowRequest, Acknowledgement, PeerSubscription, StatusRequest}


@pytest.mark.parametrize("line", lines("asked", "dispatcher", "peer", "operator"))
def test_request_is_unchanged_by_decoding_and_encoding(line: str) -> None:
    assert text(request_line(read_request(line.encode()))) == line


@pytest.mark.parametrize("line", lines("answered", "dispatcher"))
def test_replica_line_is_unchanged_by_decoding_and_encoding(line: str) -> None:
    message = read_replica_line(line.encode())
    assert text(ReplicaLine(redirect=message) if isinstance(message, Redirect) else message) == line


@pytest.mark.parametrize("line", lines("answered", "peer"))
def test_peer_row_is_unchanged_by_decoding_and_encoding(line: str) -> None:
    assert text(msgspec.json.decode(line, type=AcknowledgementRow)) == line


@pytest.mark.parametrize("line", lines("answered", "operator"))
def test_status_is_unchanged_by_decoding_and_encoding(line: str) -> None:
    assert text(msgspec.json.decode(line, type=StatusResponse)) == line


@pytest.mark.parametrize("number", range(len(DISPATCHERS)))
def test_dispatcher_decides_on_recorded_lines_as_recorded(number: int) -> None:
    state, now = FollowerState(), 1_000_000
    state.connection_opened(now)
    found: list[object] = []
    for line in DISPATCHERS[number]["answered"]:
        now += 700_000
        event = read_replica_line(line.encode())
        if not isinstance(event, ReplicatedEvent):
            found.append("redirect")
            continue
        verdict = state.receive(now, event)
        if verdict is Verdict.APPLY and event.configuration is not None:
            if "bad" in event.configuration.text:
                state.mark_configuration_refused(event.version, "the form 'bad'")
            else:
                state.mark_configuration_applied(event.version)
        state.mark_applied(state.received)
        found.append([verdict.value, text(state.acknowledgement()), state.is_silent(now)])
    assert found == fixture_json("distribution/judged.json")[number]


def test_replica_forwards_recorded_events_as_recorded() -> None:
    expected = fixture_json("distribution/replica_state.json")
    state, now = ReplicatedState(60_000_000), 1_700_000_000_000_000

    def since(version: Version) -> list[str]:
        return [line.decode().removesuffix("\n") for line in state.lines_since(version)]

    forwarded = []
    for line in expected["events"]:
        event = read_replica_line(line.encode())
        assert isinstance(event, ReplicatedEvent)
        now += 1_000_000
        previous = state.version
        assert state.apply(now, event)
        forwarded.append(since(previous))
    assert forwarded == expected["handed_on"]
    assert since(NOTHING) == expected["from_nothing"]
    assert since(Version(7, 4)) == expected["from_4"]
