"""Stable 64-bit keys and the weighted rendezvous order of hosts; neither depends on the process."""

from __future__ import annotations

from hashlib import blake2b
from math import log

WORD = 0xFFFFFFFFFFFFFFFF


def hash_key(text: str) -> int:
    """A 64-bit key of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def rendezvous_score(key: int, salt: int, weight: float) -> float:
    """A host's place in the order for a key, least first.

    Weighted rendezvous hashing: when a host comes or goes, the order of the others stays. `salt` is the key
    of the host's name.
    """
    mixed = (key ^ salt) * 0x9E3779B97F4A7C15 & WORD
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & WORD
    return -log(((mixed ^ mixed >> 32) + 1) / 2**64) / weight
