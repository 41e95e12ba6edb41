"""How far an old list can be trusted, from its own history of removals. No I/O, no clock.

Hosts are assumed to be removed at a steady rate. It is estimated from the removals that were seen, with a
weak prior for the time before any were, and halves in weight with time, so that one deploy long ago does not
outweigh a quiet month.
"""

from __future__ import annotations

from math import ceil, exp, log

from hoistplank.store.schemas import RemovalHistory

HALF_LIFE_S = 7 * 86_400.0
# The prior: one removal in a day and a half of host time. Far too high for a quiet fleet and too low for a
# rolling one; both show within a day of observation.
PRIOR_REMOVED, PRIOR_HOST_SECONDS = 1.0, 1.5 * 86_400.0
# A live host fails to answer one probe in ten: it stalls, is overloaded, a connection is lost.
NO_RESPONSE_WHILE_ALIVE = 0.1
GIVE_UP_BELOW = 0.01  # a host that is alive with less than this probability is not probed again
MIN_ATTEMPTS, MAX_ATTEMPTS = 2, 8
HEALTHY_WANTED = 4  # healthy hosts in each round of probes, if the list is as good as it is estimated to be
MIN_CONCURRENCY, MAX_CONCURRENCY = 4, 48
MIN_ASSUMED_SURVIVAL = 0.05  # below it a round of probes does not grow further
FLEET_CONCURRENCY = 4 * MAX_CONCURRENCY  # probes at once of all dispatchers that start together
SMALLEST_PROBABILITY = 1e-9  # keeps the odds of a host that is surely gone above 0


def _seconds_since_update(history: RemovalHistory, now_us: int) -> float:
    return max(0.0, (now_us - history.updated_us) / 1e6) if history.updated_us else 0.0


def decay_history(history: RemovalHistory, now_us: int) -> RemovalHistory:
    """The history with the weight that it still has at `now_us`."""
    weight = 0.5 ** (_seconds_since_update(history, now_us) / HALF_LIFE_S)
    return RemovalHistory(history.removed * weight, history.host_seconds * weight, now_us)


def update_history(history: RemovalHistory, now_us: int, hosts: int, removed: int) -> RemovalHistory:
    """The history after `hosts` were listed since its last update, `removed` of which went away."""
    decayed = decay_history(history, now_us)
    observed_s = _seconds_since_update(history, now_us)
    return RemovalHistory(decayed.removed + removed, decayed.host_seconds + hosts * observed_s, now_us)


def removal_rate(history: RemovalHistory) -> float:
    """Removals for each host and second."""
    return (history.removed + PRIOR_REMOVED) / (history.host_seconds + PRIOR_HOST_SECONDS)


def survival_probability(history: RemovalHistory, age_s: float) -> float:
    """The probability that a host of a list `age_s` old is still there; a list from the future counts as
    new."""
    return exp(-removal_rate(history) * max(0.0, age_s))


def max_probe_attempts(probability: float) -> int:
    """How many unanswered probes a host gets before it is dropped: as many as bring its probability of being
    alive below `GIVE_UP_BELOW`, within the bounds."""
    if probability >= 1.0:
        return MAX_ATTEMPTS
    odds = max(probability, SMALLEST_PROBABILITY) / (1.0 - probability)
    attempts = log(GIVE_UP_BELOW / (1 - GIVE_UP_BELOW) / odds) / log(NO_RESPONSE_WHILE_ALIVE)
    return max(MIN_ATTEMPTS, min(MAX_ATTEMPTS, ceil(attempts)))


def probe_concurrency(probability: float, dispatchers: int) -> int:
    """How many hosts are probed at once: enough to find a few healthy ones, fewer where many dispatchers do
    the same."""
    wanted = ceil(HEALTHY_WANTED / max(MIN_ASSUMED_SURVIVAL, probability))
    fair_share = ceil(FLEET_CONCURRENCY / max(1, dispatchers))
    return max(MIN_CONCURRENCY, min(MAX_CONCURRENCY, wanted, fair_share))
