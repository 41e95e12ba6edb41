"""FastCGI 1.0 as an application in the role of a responder, without I/O: bytes in, events out.

`RequestReader` turns the records of one connection into events; the `encode_` functions return the bytes of
responses.
"""

from hoistplank.protocol.fastcgi.events import (
    Event,
    FastCgiRequest,
    ProtocolReply,
    RequestAborted,
    RequestReceived,
)
from hoistplank.protocol.fastcgi.reader import RequestReader, ShedCheck
from hoistplank.protocol.fastcgi.records import (
    ABORT_REQUEST,
    BEGIN_REQUEST,
    END_REQUEST,
    GET_VALUES,
    GET_VALUES_RESULT,
    HEADER,
    KEEP_CONN,
    OVERLOADED,
    PARAMS,
    REQUEST_COMPLETE,
    RESPONDER,
    STDIN,
    STDOUT,
    UNKNOWN_ROLE,
    UNKNOWN_TYPE,
    decode_pairs,
    encode_end_request,
    encode_pair,
    encode_record,
)
from hoistplank.protocol.fastcgi.responses import (
    encode_head,
    encode_response,
    encode_response_without_body,
)

__all__ = [
    "ABORT_REQUEST",
    "BEGIN_REQUEST",
    "END_REQUEST",
    "GET_VALUES",
    "GET_VALUES_RESULT",
    "HEADER",
    "KEEP_CONN",
    "OVERLOADED",
    "PARAMS",
    "REQUEST_COMPLETE",
    "RESPONDER",
    "STDIN",
    "STDOUT",
    "UNKNOWN_ROLE",
    "UNKNOWN_TYPE",
    "Event",
    "FastCgiRequest",
    "ProtocolReply",
    "RequestAborted",
    "RequestReader",
    "RequestReceived",
    "ShedCheck",
    "decode_pairs",
    "encode_end_request",
    "encode_head",
    "encode_pair",
    "encode_record",
    "encode_response",
    "encode_response_without_body",
]
