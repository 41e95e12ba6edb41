"""Tokens as bytes: JWS compact serialization (RFC 7515 section 7.1) with claims (RFC 7519), read but not
proven.

All that can be told without a signature is told here, cheapest first: size, form, header, claims, times. No
I/O, no
clock: times are handed in as whole microseconds of the Unix clock.
"""

from __future__ import annotations

import binascii
import json
import re
from dataclasses import dataclass
from typing import Any, Never

ALGORITHMS = ("EdDSA", "ES256")
KID = re.compile(r"[A-Za-z0-9_-]{1,64}").fullmatch
SEGMENT = re.compile(r"[A-Za-z0-9_-]+").fullmatch
MOST_TEXT = 200  # characters of an issuer, subject, audience or jti
LATEST_S = 1 << 40  # far beyond any clock: what is above it is no time


class BadToken(Exception):
    """A token that can't stand; `cause` is a short word for counts and answers, never a part of the token."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


@dataclass(frozen=True, slots=True)
class Claims:
    """What a token says, in the types that it must have. Times are whole microseconds of the Unix clock."""

    algorithm: str
    kid: str
    issuer: str
    audiences: tuple[str, ...]
    subject: str
    expires_us: int
    not_before_us: int
    jti: str
    signed: bytes  # what the signature covers
    signature: bytes


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Danger: of two claims of one name, one reader takes the first and another the last."""
    found = dict(pairs)
    if len(found) != len(pairs):
        raise BadToken("duplicate")
    return found


def _no_number(text: str) -> Never:
    raise BadToken("form")


# 1e400 is infinity to the reader: a time is a whole number here, so nothing else is let in as one.
_json = json.JSONDecoder(object_pairs_hook=_once, parse_constant=_no_number)


def _decoded(segment: str) -> bytes:
    if not SEGMENT(segment) or len(segment) % 4 == 1:
        raise BadToken("form")
    data = binascii.a2b_base64(segment.replace("-", "+").replace("_", "/") + "=" * (-len(segment) % 4))
    # Danger: the last character may hold bits that are thrown away, so that one token has many spellings, and
    # a table of known ones could be filled with copies of it.
    if (
        binascii.b2a_base64(data, newline=False).rstrip(b"=")
        != segment.replace("-", "+").replace("_", "/").encode()
    ):
        raise BadToken("form")
    return data


def _object(segment: str) -> dict[str, Any]:
    try:
        found = _json.decode(_decoded(segment).decode("utf-8"))
    except (ValueError, RecursionError):
        raise BadToken("form") from None
    if not isinstance(found, dict):
        raise BadToken("form")
    return found


def _word(found: dict[str, Any], name: str, needed: bool = True) -> str:
    value = found.get(name, None if needed else "")
    if not isinstance(value, str) or len(value) > MOST_TEXT or (needed and not value):
        raise BadToken(name)
    return value


def _time(found: dict[str, Any], name: str, default: int | None) -> int:
    value: object = found.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= LATEST_S:
        raise BadToken(name)
    return value * 1_000_000


def parse(token: str, most_bytes: int) -> Claims:
    """A token's claims, not proven; raises BadToken with the cause."""
    if len(token) > most_bytes:
        raise BadToken("size")
    parts = token.split(".")
    if len(parts) != 3:
        raise BadToken("form")
    header = _object(parts[0])
    # `none`, HMAC under a public key and all else that was not asked for end here, before any key is looked
    # at.
    algorithm = header.get("alg")
    if algorithm not in ALGORITHMS:
        raise BadToken("alg")
    if "crit" in header or "b64" in header:
        raise BadToken("crit")  # RFC 7515 section 4.1.11: extensions that are not understood
    kid = header.get("kid")
    if not isinstance(kid, str) or not KID(kid):
        raise BadToken("kid")
    claims = _object(parts[1])
    audience = claims.get("aud")
    audiences = tuple(audience) if isinstance(audience, list) else (audience,)
    if not 1 <= len(audiences) <= 16 or not all(
        isinstance(a, str) and 0 < len(a) <= MOST_TEXT for a in audiences
    ):
        raise BadToken("aud")
    signature = _decoded(parts[2])
    if len(signature) != 64:  # Ed25519 (RFC 8037) and ES256 (RFC 7518 section 3.4) alike
        raise BadToken("form")
    return Claims(
        algorithm,
        kid,
        _word(claims, "iss"),
        audiences,
        _word(claims, "sub"),
        _time(claims, "exp", None),
        _time(claims, "nbf", 0),
        _word(claims, "jti", needed=False),
        token[: len(parts[0]) + 1 + len(parts[1])].encode("ascii"),
        signature,
    )


def in_time(expires_us: int, not_before_us: int, now: int, skew_us: int, longest_us: int) -> str:
    """Why a token does not stand at this moment, or nothing."""
    if now >= expires_us + skew_us:
        return "expired"
    if now < not_before_us - skew_us:
        return "early"
    return "exp" if expires_us > now + skew_us + longest_us else ""
