"""Keys of an issuer through their lives, as one table: state and event to state. No I/O, no clock.

    made --publish--> published --sign--> signing --(another signs)--> verifying --retire--> retired

`published`: in the key set, so that everyone who checks tokens has it before the first one is signed.
`verifying`: signs no
more, its tokens stand until they expire. A key set may hold only one `signing` key.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MADE, PUBLISHED, SIGNING, VERIFYING, RETIRED = "made", "published", "signing", "verifying", "retired"
STATES = (MADE, PUBLISHED, SIGNING, VERIFYING, RETIRED)

# What is not here can't be done. `yield` is what a signing key does when another takes its place.
MOVES = {
    (MADE, "publish"): PUBLISHED,
    (PUBLISHED, "sign"): SIGNING,
    (VERIFYING, "sign"): SIGNING,  # back to the last key, where the new one was a mistake
    (SIGNING, "yield"): VERIFYING,
    (MADE, "retire"): RETIRED,
    (PUBLISHED, "retire"): RETIRED,
    (VERIFYING, "retire"): RETIRED,
}
# Danger: one that checks tokens later than the signer changes keys would refuse good ones: a published key's
# signature stands from its publication, whatever is believed of who signs.
ACCEPTED = (PUBLISHED, SIGNING, VERIFYING)


class BadMove(Exception):
    """A change that a key's state does not allow; its text says why."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key in a ring: `since_us` is when it came into its state."""

    kid: str
    state: str
    since_us: int


def moved(ring: tuple[Entry, ...], kid: str, event: str, now: int) -> tuple[Entry, ...]:
    """The ring after an operator's event on one key; raises BadMove."""
    entry = next((entry for entry in ring if entry.kid == kid), None)
    if entry is None:
        raise BadMove(f"no key is called '{kid}'")
    state = MOVES.get((entry.state, event))
    if state is None:
        able = sorted({word for was, word in MOVES if was == entry.state and word != "yield"})
        hint = f"it can {' or '.join(able)}" if able else "nothing more can be done with it"
        if entry.state == SIGNING and event == "retire":
            hint = "let another key sign first"
        raise BadMove(f"key '{kid}' is {entry.state}: {hint}")
    out = []
    for other in ring:
        if other is entry:
            out.append(replace(other, state=state, since_us=now))
        elif state == SIGNING and other.state == SIGNING:
            out.append(replace(other, state=MOVES[SIGNING, "yield"], since_us=now))
        else:
            out.append(other)
    return tuple(out)


def added(ring: tuple[Entry, ...], kid: str, now: int) -> tuple[Entry, ...]:
    """The ring with a new key; raises BadMove where the name is taken."""
    if any(entry.kid == kid for entry in ring):
        raise BadMove(f"a key is already called '{kid}'")
    return (*ring, Entry(kid, MADE, now))


def signer(ring: tuple[Entry, ...]) -> str:
    """The key that signs; raises BadMove where there is none."""
    for entry in ring:
        if entry.state == SIGNING:
            return entry.kid
    raise BadMove("no key is signing")
