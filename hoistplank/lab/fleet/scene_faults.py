"""The faults that a scene may hold: the words of each, beyond those of the laboratory's days."""

from __future__ import annotations

from hoistplank.lab.model.faults import KINDS as DAY_FAULTS
from hoistplank.lab.model.faults import (
    SHARE,
    SPAN,
    STEP,
    TIMES,
    FaultWords,
    ScheduledFault,
)
from hoistplank.operator_configuration.values import (
    TEXT,
    matching,
    number,
    one_of,
)

WHO = matching(
    r"(dispatchers(:[01](\.\d{1,4})?)?|z\d{1,4}|d\d{1,4})",
    "dispatchers: d0, those of z0, or 'dispatchers' with a share as 'dispatchers:0.3'",
)


PARTY = matching(
    r"(clients|log|origin|hub|dispatchers|caches|dz?\d{1,4}|[zp]\d{1,4}|c\d{1,4}-\d{1,4})",
    "a party: clients, log, origin, hub, dispatchers, dz0 (those of z0), d0, caches, z0 (its own), p0, c0-0",
)


PLACE = matching(r"z\d{1,4}", "a location, as z0")


HUBS = matching(r"h[01]", "a hub: h0 or h1, half of the parents each")


WHAT = one_of("caches", "all", "dispatchers", "link", "view")


RATE = number(1, 1_000_000)


KINDS: FaultWords = {
    **DAY_FAULTS,
    # Dispatcher processes.
    "down": (WHO, "for", SPAN),  # killed; started again under the same name
    "freeze": (WHO, "for", SPAN),  # stopped by a signal, then continued
    "restart": (WHO, "within", SPAN, "down", SPAN),  # each killed at its own moment, and away so long
    "older": (WHO, TEXT, "down", SPAN),  # restarted with this operator's file, which stands beside the scene
    "starve": (WHO, SHARE, "for", SPAN),  # this share of its core is taken away
    "skew": (WHO, STEP, "for", SPAN),  # its clock is off by so much
    # Paths, from one party to another: this direction alone.
    "hush": (PARTY, PARTY, "for", SPAN),  # silence without a reset
    "delay": (PARTY, PARTY, SPAN, "spread", SPAN, "for", SPAN),
    "pace": (PARTY, PARTY, RATE, "for", SPAN),  # kB a second
    "break": (PARTY, PARTY, "for", SPAN),  # both directions: reset, and refused until it ends
    "halfway": (PARTY, PARTY),  # connections that are up stay up, and nothing comes through them any more
    "loss": (PARTY, PARTY, SHARE, "for", SPAN),  # of datagrams, as the next four
    "double": (PARTY, PARTY, SHARE, "for", SPAN),
    "jumble": (PARTY, PARTY, SHARE, SPAN, "for", SPAN),
    "tardy": (PARTY, PARTY, SHARE, SPAN, "for", SPAN),
    "flip": (PARTY, PARTY, SHARE, "for", SPAN),
    # Places.
    "gone": (PLACE, WHAT, "for", SPAN, "noticed", SPAN),
    "hub": (HUBS, "for", SPAN, "noticed", SPAN),
    "flap": (PLACE, WHAT, "on", SPAN, "off", SPAN, "for", SPAN),
    # Clients.
    "move": (PLACE, PLACE, SHARE, "after", SPAN, "spread", SPAN, "for", SPAN),
    "uneven": (PLACE, TIMES, "for", SPAN),  # its first dispatcher gets so many times what each other gets
}


OF_PROCESSES = frozenset(
    {"older", "starve", "pace", "break", "halfway", "loss", "double", "jumble", "tardy", "flip"}
)


DATAGRAMS = frozenset({"loss", "double", "jumble", "tardy", "flip"})


def lasts(row: ScheduledFault) -> int:
    """How long a fault lasts (us), by its own words; 0 of one that is over at once."""
    kinds = KINDS[row.kind]
    named = {word: at for at, word in enumerate(kinds) if isinstance(word, str)}
    at = named.get("for", named.get("within"))
    return int(row.values[at - sum(spot < at for spot in named.values())]) if at is not None else 0
