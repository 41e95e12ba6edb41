"""Estimates which share of an old list's hosts still exists, from its removal history. No I/O, no clock.

Hosts are assumed to be removed at a constant rate. It is estimated from the observed removals, with a weak
prior for the time before any were observed. Observations halve in weight over HALF_LIFE_S, so that one old
deploy doesn't outweigh a month without removals.
"""

from __future__ import annotations

from math import ceil, exp, log

from hoistplank.store.schemas import RemovalHistory

HALF_LIFE_S = 7 * 86_400.0
# The prior: one removal in a day and a half of host time. It is far too high for a fleet with few changes and
# too low during a rolling deploy; a day of observation corrects either.
PRIOR_REMOVED, PRIOR_HOST_SECONDS = 1.0, 1.5 * 86_400.0
# The probability that a live host leaves a probe unanswered: a stall, overload, a lost connection.
NO_RESPONSE_WHILE_ALIVE = 0.1
MIN_ALIVE_PROBABILITY = 0.01  # a host less likely to be alive than this is not probed again
MIN_ATTEMPTS, MAX_ATTEMPTS = 2, 8
TARGET_HEALTHY_HOSTS = 4  # expected healthy hosts in each round of probes, by the estimate
MIN_CONCURRENCY, MAX_CONCURRENCY = 4, 48
MIN_ASSUMED_SURVIVAL = 0.05  # a round of probes doesn't grow further below this
FLEET_CONCURRENCY = 4 * MAX_CONCURRENCY  # concurrent probes of all dispatchers that start together
MIN_PROBABILITY = 1e-9  # keeps the odds above 0, for the logarithm


def _seconds_since_update(history: RemovalHistory, now_us: int) -> float:
    return max(0.0, (now_us - history.updated_us) / 1e6) if history.updated_us else 0.0


def decay_history(history: RemovalHistory, now_us: int) -> RemovalHistory:
    """Returns the history with its weight decayed to `now_us`."""
    weight = 0.5 ** (_seconds_since_update(history, now_us) / HALF_LIFE_S)
    return RemovalHistory(history.removed * weight, history.host_seconds * weight, now_us)


def update_history(history: RemovalHistory, now_us: int, hosts: int, removed: int) -> RemovalHistory:
    """Returns the history after `hosts` were listed since its last update and `removed` of them removed."""
    decayed = decay_history(history, now_us)
    observed_s = _seconds_since_update(history, now_us)
    return RemovalHistory(decayed.removed + removed, decayed.host_seconds + hosts * observed_s, now_us)


def removal_rate(history: RemovalHistory) -> float:
    """Returns the estimated removals per host and second."""
    return (history.removed + PRIOR_REMOVED) / (history.host_seconds + PRIOR_HOST_SECONDS)


def survival_probability(history: RemovalHistory, age_s: float) -> float:
    """Returns the probability that a host of a list `age_s` old still exists; a list from the future counts
    as new."""
    return exp(-removal_rate(history) * max(0.0, age_s))


def max_probe_attempts(probability: float) -> int:
    """Returns how many unanswered probes withdraw a host: as many as bring its probability of being alive
    below `MIN_ALIVE_PROBABILITY`, between MIN_ATTEMPTS and MAX_ATTEMPTS."""
    if probability >= 1.0:
        return MAX_ATTEMPTS
    odds = max(probability, MIN_PROBABILITY) / (1.0 - probability)
    attempts = log(MIN_ALIVE_PROBABILITY / (1 - MIN_ALIVE_PROBABILITY) / odds) / log(NO_RESPONSE_WHILE_ALIVE)
    return max(MIN_ATTEMPTS, min(MAX_ATTEMPTS, ceil(attempts)))


def probe_concurrency(probability: float, dispatchers: int) -> int:
    """Returns how many hosts to probe at once: enough to find a few healthy ones, fewer if many dispatchers
    start together."""
    wanted = ceil(TARGET_HEALTHY_HOSTS / max(MIN_ASSUMED_SURVIVAL, probability))
    fair_share = ceil(FLEET_CONCURRENCY / max(1, dispatchers))
    return max(MIN_CONCURRENCY, min(MAX_CONCURRENCY, wanted, fair_share))
