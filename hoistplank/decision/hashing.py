"""64-bit hash keys and weighted rendezvous scores, which are the same in every process."""

from __future__ import annotations

from hashlib import blake2b
from math import log

WORD = 0xFFFFFFFFFFFFFFFF


def hash_key(text: str) -> int:
    """Returns the 64-bit hash key of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def rendezvous_score(key: int, salt: int, weight: float) -> float:
    """Returns the score of a host for a key; the host with the lowest score comes first.

    Weighted rendezvous hashing: when a host is added or removed, the order of the others stays the same.
    `salt` is the hash key of the host's name.
    """
    mixed = (key ^ salt) * 0x9E3779B97F4A7C15 & WORD
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & WORD
    return -log(((mixed ^ mixed >> 32) + 1) / 2**64) / weight
