"""How much an old list is worth, worked out from its own history of changes. No I/O, no clock.

Hosts are taken to go at a steady rate, so many for each second that one of them stands in the list. The rate
is learned
from what was seen (with the little that is believed before anything was seen), and halves in weight with
time, so that
a quiet month is not drowned by one deploy long ago.
"""

from __future__ import annotations

from math import ceil, exp, log

from hoistplank.store.schemas import RemovalHistory

HALF_LIFE_S = 7 * 86_400.0
# Before anything is seen: one host in a day and a half of host-time, worth as much as that one going. Far too
# high
# for a quiet fleet and too low for a rolling one; both show within a day of watching.
BELIEVED_WENT, BELIEVED_HOST_S = 1.0, 1.5 * 86_400.0
# A host that lives says nothing to one probe in ten: it stalls, is overloaded, a connection is lost.
MUTE_WHILE_ALIVE = 0.1
GIVE_UP_BELOW = 0.01  # a host that is alive with less than this chance is not felt out again
WANTED_GOOD = 4  # hosts found alive in each wave, if the list is worth what is believed of it
LEAST_WAVE, MOST_WAVE = 4, 48


def decayed(history: RemovalHistory, now_us: int) -> RemovalHistory:
    """The same history, as much as it still weighs."""
    gone_s = max(0.0, (now_us - history.updated_us) / 1e6) if history.updated_us else 0.0
    part = 0.5 ** (gone_s / HALF_LIFE_S)
    return RemovalHistory(history.removed * part, history.host_seconds * part, now_us)


def watched(history: RemovalHistory, now_us: int, hosts: int, went: int) -> RemovalHistory:
    """The history after so many hosts stood in the list since its last moment, and so many went."""
    before = decayed(history, now_us)
    spent_s = max(0.0, (now_us - history.updated_us) / 1e6) if history.updated_us else 0.0
    return RemovalHistory(before.removed + went, before.host_seconds + hosts * spent_s, now_us)


def rate(history: RemovalHistory) -> float:
    """Hosts that go, for each host and second."""
    return (history.removed + BELIEVED_WENT) / (history.host_seconds + BELIEVED_HOST_S)


def alive(history: RemovalHistory, age_s: float) -> float:
    """The chance that a host of a list that old is still there; a list from the future counts as of now."""
    return exp(-rate(history) * max(0.0, age_s))


def tries(chance: float) -> int:
    """How many probes without an answer a host gets before it is dropped unheard: 2 at least, 8 at most."""
    if chance >= 1.0:
        return 8
    odds = max(chance, 1e-9) / (1.0 - chance)
    enough = log(GIVE_UP_BELOW / (1 - GIVE_UP_BELOW) / odds) / log(MUTE_WHILE_ALIVE)
    return max(2, min(8, ceil(enough)))


def wave(chance: float, dispatchers: int) -> int:
    """How many hosts are felt out at once: as many as hold a few good ones, fewer where many dispatchers do
    the same."""
    wanted = ceil(WANTED_GOOD / max(0.05, chance))
    return max(LEAST_WAVE, min(MOST_WAVE, wanted, ceil(4 * MOST_WAVE / max(1, dispatchers))))
