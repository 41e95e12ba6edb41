"""The parsers: messages split at every byte, and malformed input with its error messages."""

import struct
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from hoistplank.decision.events import Endpoint
from hoistplank.protocol import cachewire, changelog, fastcgi
from hoistplank.protocol.errors import ProtocolError

LONG_VALUE = "v" * 300
PARAMS = b"".join(
    fastcgi.encode_pair(name.encode(), value.encode())
    for name, value in {
        "SCRIPT_NAME": "/api/v2/page",
        "HTTP_X_CHUNK": "3",
        "L" * 200: LONG_VALUE,
        "EMPTY": "",
    }.items()
)


def encode_begin(number: int, role: int = 1, flags: int = 1) -> bytes:
    return fastcgi.encode_record(fastcgi.BEGIN_REQUEST, number, struct.pack(">HB5x", role, flags))


def encode_padded(kind: int, number: int, content: bytes) -> bytes:
    return fastcgi.HEADER.pack(1, kind, number, len(content), 5) + content + b"\0" * 5


# Two requests: interleaved and padded records, parameters in several records, repeated empty records.
INTERLEAVED_REQUESTS = b"".join(
    (
        encode_begin(1),
        encode_begin(2),
        fastcgi.encode_record(fastcgi.PARAMS, 1, PARAMS[:7]),
        encode_padded(fastcgi.PARAMS, 2, PARAMS),
        fastcgi.encode_record(fastcgi.PARAMS, 1, PARAMS[7:]),
        fastcgi.encode_record(fastcgi.PARAMS, 2),
        fastcgi.encode_record(fastcgi.PARAMS, 2),
        encode_padded(fastcgi.STDIN, 2, b"\0\r\n" * 9),
        fastcgi.encode_record(fastcgi.PARAMS, 1),
        fastcgi.encode_record(fastcgi.STDIN, 1),
        fastcgi.encode_record(fastcgi.STDIN, 1),
        fastcgi.encode_record(fastcgi.STDIN, 2),
    )
)
ENCODED_ANSWERS = (
    b"0123456789abcdef served detail=hit,digest=4be0,dated=1764576000123,use=inflight:7;util:0.61 8\r\n"
    b"a\r\nb\0\r\nc\r\n"
    b"00 not_here - 0\r\n\r\n"
    b"t1 green\r\n"
    b"01 still_good digest=aa 0\r\n\r\n"
)
CHANGE_LOG_LINES = (
    b'{"seq":41,"fleet":{"rev":7,"all":false,"new":1,"targets":[{"uid":"s-1","endpoint":"10.1.0.9:5050",'
    b'"az":"east","model":"std","pod_group":2,"state":"draining","capacity_hint":4,"boot_ms":17}]}}\n41\n'
    b'{"seq":42,"invalidate":{"object":"7f3a9c21e0b4d655","time":1764576000123}}\n'
)


def read_split(reader: Any, data: bytes, at: int) -> list[Any]:
    """The messages that a reader returns for data that arrives in two parts, split at `at`."""
    buffer, start, found = bytearray(data), 0, list[Any]()
    for end in (at, len(data)):
        while True:
            start, more = reader.read(buffer, start, end)
            found += more
            if not more:
                break
    assert start == len(data)
    return found


def read_split_anywhere(make_reader: Callable[[], Any], data: bytes) -> Iterator[list[Any]]:
    for at in range(len(data) + 1):
        yield read_split(make_reader(), data, at)


def test_requests_split_anywhere_are_decoded() -> None:
    for first, second in read_split_anywhere(lambda: fastcgi.RequestReader(32), INTERLEAVED_REQUESTS):
        assert (first.request.number, first.request.body, second.request.body) == (1, b"", b"\0\r\n" * 9)
        for whole in (first, second):
            fields = whole.request.parameters()
            assert (
                fields["SCRIPT_NAME"] == "/api/v2/page"
                and fields["L" * 200] == LONG_VALUE
                and fields["EMPTY"] == ""
            )


def encode_request(number: int, flags: int = 1, body: bytes = b"") -> bytes:
    """A request with its records in the order of web servers."""
    return b"".join(
        (
            encode_begin(number, flags=flags),
            encode_padded(fastcgi.PARAMS, number, PARAMS),
            fastcgi.encode_record(fastcgi.PARAMS, number),
            encode_padded(fastcgi.STDIN, number, body) if body else b"",
            fastcgi.encode_record(fastcgi.STDIN, number),
        )
    )


def test_complete_and_split_requests_decode_alike() -> None:
    data = encode_request(1) + encode_request(2, flags=0, body=b"abc") + encode_request(3, body=b"x" * 40_000)
    whole = read_split(fastcgi.RequestReader(32), data, len(data))
    assert [event.request.number for event in whole] == [1, 2, 3]
    for at in (0, 1, 8, 16, 24, 60, len(encode_request(1)) - 1, len(encode_request(1)) + 3, len(data) - 9):
        assert read_split(fastcgi.RequestReader(32), data, at) == whole
    reader = fastcgi.RequestReader(32)
    read_split(reader, data, len(data))
    assert reader.held_bytes == sum(event.request.held_bytes for event in whole) and reader.complete == {
        1,
        2,
        3,
    }
    for number in (1, 2, 3):
        reader.release(number)
    assert reader.held_bytes == 0 and not reader.requests


@pytest.mark.parametrize("at_once", [True, False])
def test_load_shedding_rejects_a_request_once_and_skips_its_content(at_once: bool) -> None:
    checked = list[int]()

    def shed(number: int, script: bytes) -> bytes | None:
        assert script in (b"/api/v2/page", b"")  # empty while its parameters are not read yet
        checked.append(number)
        return b"no" if number != 2 else None

    data = encode_request(1) + encode_request(2) + encode_request(3, flags=0)
    reader = fastcgi.RequestReader(32, shed)
    found = read_split(reader, data, len(data) if at_once else 20)
    assert checked == [1, 2, 3] and reader.shed_count == 2 and reader.close_requested
    assert [type(event) for event in found] == [
        fastcgi.ProtocolReply,
        fastcgi.RequestReceived,
        fastcgi.ProtocolReply,
    ]
    assert not reader.shed_requests and list(reader.requests) == [2]


@pytest.mark.parametrize(
    "data",
    [
        encode_begin(1, role=2) + encode_request(1)[16:],  # an unsupported role
        encode_request(1)[:16]
        + fastcgi.encode_record(fastcgi.PARAMS, 2, PARAMS)
        + encode_request(1)[-16:],  # parameters with another request number
        encode_request(1)[:-8]
        + fastcgi.encode_record(fastcgi.STDIN, 1, b"y") * 2
        + fastcgi.encode_record(fastcgi.STDIN, 1),
        encode_begin(1)
        + fastcgi.encode_record(fastcgi.PARAMS, 1)
        + fastcgi.encode_record(fastcgi.STDIN, 1),  # no parameters at all
    ],
)
def test_unusual_requests_decode_alike_whole_and_split(data: bytes) -> None:
    at_once = read_split(fastcgi.RequestReader(32), data, len(data))
    assert all(read_split(fastcgi.RequestReader(32), data, at) == at_once for at in range(0, 40, 3))


def test_answers_split_anywhere_are_decoded() -> None:
    for served, missed, probed, unchanged in read_split_anywhere(cachewire.AnswerReader, ENCODED_ANSWERS):
        assert (served.body, served.cache_status()) == (b"a\r\nb\0\r\nc", 1)
        assert served.load_report(("rif", "busy")) == [7.0, 0.61] and served.load_report(("x0",)) == []
        assert (missed.request_id, missed.status, missed.body) == ("00", "not_here", b"")
        assert (probed.request_id, probed.status, unchanged.status) == ("t1", "green", "still_good")


def test_change_log_lines_split_anywhere_are_decoded() -> None:
    for listed, position, purged in read_split_anywhere(changelog.ChangeLogReader, CHANGE_LOG_LINES):
        entry = listed.fleet.targets[0].to_endpoint()
        assert entry == Endpoint(
            "s-1", "east", "std", 2, 4.0, 17_000, "draining"
        ) and position == changelog.Position(41)
        assert (purged.invalidate.object, purged.seq) == ("7f3a9c21e0b4d655", 42)


@pytest.mark.parametrize(
    "configuration",
    ['{"text":"(log)"}', '{"text":5}', '"' + "x" * 1_100_000 + '"'],
    ids=["good", "typed", "long"],
)
def test_configuration_event_is_decoded_whatever_its_content(configuration: str) -> None:
    reader = changelog.ChangeLogReader()
    data = f'{{"seq":7,"epoch":3,"configuration":{configuration}}}\n{{"seq":7,"epoch":3}}\n'.encode()
    event, position = read_split(reader, data, 65_536)
    assert (event.seq, event.epoch, event.has_configuration, event.is_position) == (7, 3, True, False)
    assert bytes(event.configuration) == configuration.encode()
    assert position == changelog.Position(7) and reader.epoch == 3


@pytest.mark.parametrize(
    "make_reader, data, message",
    [
        (lambda: fastcgi.RequestReader(2), b"GET / HTTP/1.1\r\n\r\n", "version 71"),
        (lambda: fastcgi.RequestReader(2), encode_begin(1) + encode_begin(1), "begins while it is open"),
        (lambda: fastcgi.RequestReader(2), fastcgi.encode_record(1, 1, b"\0"), "too short"),
        (
            lambda: fastcgi.RequestReader(2),
            fastcgi.encode_record(9, 0, b"\x05\x05ab"),
            "longer than the rest of its stream",
        ),
        (cachewire.AnswerReader, b"01 fine - 0\r\n\r\n", "unknown status 'fine'"),
        (cachewire.AnswerReader, b"01 served - 240001\r\n", "length '240001'"),
        (cachewire.AnswerReader, b"01 served - -1\r\n", "length '-1'"),
        (cachewire.AnswerReader, b"01 served x 3\r\n", "'x' of an answer has no value"),
        (cachewire.AnswerReader, b"01 served - 1\r\nabc\r\n", "not followed by CR LF"),
        (cachewire.AnswerReader, b"01\r\n", "1 words"),
        (cachewire.AnswerReader, b"x" * 5000, "too long"),
        (changelog.ChangeLogReader, b"{no json\n", "can't be read"),
        (changelog.ChangeLogReader, b'{"seq":"a"}\n', "seq"),
        (
            changelog.ChangeLogReader,
            CHANGE_LOG_LINES.replace(b"draining", b"asleep"),
            "unknown state 'asleep'",
        ),
        (changelog.ChangeLogReader, CHANGE_LOG_LINES.replace(b":5050", b":x"), "no address"),
    ],
)
def test_malformed_input_raises_a_descriptive_error(
    make_reader: Callable[[], Any], data: bytes, message: str
) -> None:
    with pytest.raises(ProtocolError, match=message):
        read_split(make_reader(), data, len(data))


@pytest.mark.parametrize("data", [b"\x05", b"\x05\x85\0", b"\x03\x01ab", b"\x84\0\0"])
def test_truncated_parameters_raise_an_error(data: bytes) -> None:
    with pytest.raises(ProtocolError, match="a parameter"):
        fastcgi.decode_pairs(data)


def test_reader_replies_to_management_and_rejected_records() -> None:
    reader = fastcgi.RequestReader(1)
    data = b"".join(
        (
            fastcgi.encode_record(
                fastcgi.GET_VALUES,
                0,
                fastcgi.encode_pair(b"FCGI_MPXS_CONNS", b"") + fastcgi.encode_pair(b"OTHER", b""),
            ),
            fastcgi.encode_record(77, 0),
            encode_begin(5, role=2),
            encode_begin(1),
            encode_begin(2),
            fastcgi.encode_record(fastcgi.STDIN, 9, b"x"),
            fastcgi.encode_record(8, 1, b"data"),
            fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1),
            fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1),
        )
    )
    replies = read_split(reader, data, len(data))
    assert [event.data for event in replies[:-1]] == [
        fastcgi.encode_record(fastcgi.GET_VALUES_RESULT, 0, fastcgi.encode_pair(b"FCGI_MPXS_CONNS", b"1")),
        fastcgi.encode_record(fastcgi.UNKNOWN_TYPE, 0, b"\x4d" + bytes(7)),
        fastcgi.encode_end_request(5, 0, fastcgi.UNKNOWN_ROLE),
        fastcgi.encode_end_request(2, 0, fastcgi.OVERLOADED),
    ]
    assert replies[-1] == fastcgi.RequestAborted(1, False)


def test_large_response_is_split_into_records() -> None:
    body, data, at, out = bytes(range(256)) * 900, b"", 0, b""
    data = fastcgi.encode_response(3, 200, (("X-Valid", "1"),), body)
    while at < len(data):
        version, kind, number, length, padding = fastcgi.HEADER.unpack_from(data, at)
        assert (version, number) == (1, 3)
        out += data[at + 8 : at + 8 + length] if kind == fastcgi.STDOUT else b""
        at += 8 + length + padding
    head, _, rest = out.partition(b"\r\n\r\n")
    assert rest == body and head.startswith(b"Status: 200\r\n") and b"X-Valid: 1" in head
    assert kind == fastcgi.END_REQUEST
