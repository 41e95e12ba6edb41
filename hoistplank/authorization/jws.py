"""Parses tokens: JWS compact serialization (RFC 7515 section 7.1) with claims (RFC 7519), not verified.

All checks that need no signature are here, cheapest first: size, form, header, claims, times. No I/O, no
clock: times are passed in as whole microseconds of the Unix clock.
"""

from __future__ import annotations

import binascii
import json
import re
from dataclasses import dataclass
from typing import Any, Never

from hoistplank.authorization.errors import AuthorizationError

ALGORITHMS = ("EdDSA", "ES256")
KEY_ID = re.compile(r"[A-Za-z0-9_-]{1,64}").fullmatch
SEGMENT = re.compile(r"[A-Za-z0-9_-]+").fullmatch
MAX_TEXT_LENGTH = 200  # characters of an issuer, subject, audience or jti
MAX_AUDIENCES = 16
MAX_TIME_S = 1 << 40  # far beyond any clock; larger values are rejected
SIGNATURE_BYTES = 64  # Ed25519 (RFC 8037) and ES256 (RFC 7518 section 3.4) alike
MICROSECONDS = 1_000_000


class InvalidTokenError(AuthorizationError):
    """A token that can't be accepted; `reason` is a short word for counters and answers, never a part of the
    token."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class TokenClaims:
    """The claims of a token, with checked types. Times are whole microseconds of the Unix clock; `signed`
    holds the bytes that the signature covers."""

    algorithm: str
    kid: str
    issuer: str
    audiences: tuple[str, ...]
    subject: str
    expires_us: int
    not_before_us: int
    jti: str
    signed: bytes
    signature: bytes


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Rejects duplicate members: of two claims of one name, some JSON parsers take the first and others the
    last."""
    members = dict(pairs)
    if len(members) != len(pairs):
        raise InvalidTokenError("duplicate")
    return members


def _reject_constant(_text: str) -> Never:
    raise InvalidTokenError("form")


# The decoder reads 1e400 as infinity; `_time_claim` accepts only integers as times.
_decoder = json.JSONDecoder(object_pairs_hook=_reject_duplicates, parse_constant=_reject_constant)


def _decode_segment(segment: str) -> bytes:
    if not SEGMENT(segment) or len(segment) % 4 == 1:
        raise InvalidTokenError("form")
    standard = segment.replace("-", "+").replace("_", "/")
    data = binascii.a2b_base64(standard + "=" * (-len(segment) % 4))
    # Only the canonical encoding is accepted: the last character may hold bits that decoding discards, so one
    # token would have many spellings, and copies of it could fill the token cache.
    if binascii.b2a_base64(data, newline=False).rstrip(b"=") != standard.encode():
        raise InvalidTokenError("form")
    return data


def _decode_object(segment: str) -> dict[str, Any]:
    try:
        value = _decoder.decode(_decode_segment(segment).decode("utf-8"))
    except (ValueError, RecursionError):
        raise InvalidTokenError("form") from None
    if not isinstance(value, dict):
        raise InvalidTokenError("form")
    return value


def _text_claim(claims: dict[str, Any], name: str, *, required: bool = True) -> str:
    value = claims.get(name, None if required else "")
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH or (required and not value):
        raise InvalidTokenError(name)
    return value


def _time_claim(claims: dict[str, Any], name: str, default: int | None) -> int:
    value: object = claims.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_TIME_S:
        raise InvalidTokenError(name)
    return value * MICROSECONDS


def _audiences(claims: dict[str, Any]) -> tuple[str, ...]:
    audience = claims.get("aud")
    audiences = tuple(audience) if isinstance(audience, list) else (audience,)
    if not 1 <= len(audiences) <= MAX_AUDIENCES:
        raise InvalidTokenError("aud")
    if not all(isinstance(name, str) and 0 < len(name) <= MAX_TEXT_LENGTH for name in audiences):
        raise InvalidTokenError("aud")
    return audiences


def _header(segment: str) -> tuple[str, str]:
    """Returns the algorithm and the key ID of a header."""
    header = _decode_object(segment)
    # Rejects `none`, HMAC with a public key as the secret, and every other algorithm before any key lookup.
    algorithm = header.get("alg")
    if algorithm not in ALGORITHMS:
        raise InvalidTokenError("alg")
    if "crit" in header or "b64" in header:
        raise InvalidTokenError("crit")  # RFC 7515 section 4.1.11: unsupported extensions are rejected
    kid = header.get("kid")
    if not isinstance(kid, str) or not KEY_ID(kid):
        raise InvalidTokenError("kid")
    return algorithm, kid


def parse_token(token: str, max_bytes: int) -> TokenClaims:
    """Returns a token's claims without verifying the signature; raises InvalidTokenError with the reason."""
    if len(token) > max_bytes:
        raise InvalidTokenError("size")
    segments = token.split(".")
    if len(segments) != 3:
        raise InvalidTokenError("form")
    algorithm, kid = _header(segments[0])
    claims = _decode_object(segments[1])
    audiences = _audiences(claims)
    signature = _decode_segment(segments[2])
    if len(signature) != SIGNATURE_BYTES:
        raise InvalidTokenError("form")
    return TokenClaims(
        algorithm=algorithm,
        kid=kid,
        issuer=_text_claim(claims, "iss"),
        audiences=audiences,
        subject=_text_claim(claims, "sub"),
        expires_us=_time_claim(claims, "exp", None),
        not_before_us=_time_claim(claims, "nbf", 0),
        jti=_text_claim(claims, "jti", required=False),
        signed=token[: len(segments[0]) + 1 + len(segments[1])].encode("ascii"),
        signature=signature,
    )


def validity_problem(
    expires_us: int, not_before_us: int, now: int, clock_skew_us: int, max_lifetime_us: int
) -> str:
    """Returns why a token is not valid at `now`, or an empty string."""
    if now >= expires_us + clock_skew_us:
        return "expired"
    if now < not_before_us - clock_skew_us:
        return "early"
    return "exp" if expires_us > now + clock_skew_us + max_lifetime_us else ""
