"""The life of an issuer's keys, as one table: state and event to state. No I/O, no clock.

    made --publish--> published --sign--> signing --(another signs)--> verifying --retire--> retired

`published`: in the key set, so that everyone who checks tokens has it before the first one is signed.
`verifying`: signs no more, its tokens stand until they expire. A key set may hold only one `signing` key.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from hoistplank.authorization.errors import AuthorizationError


class KeyState(enum.StrEnum):
    """As key sets spell it in a key's `state`."""

    MADE = "made"
    PUBLISHED = "published"
    SIGNING = "signing"
    VERIFYING = "verifying"
    RETIRED = "retired"


class KeyEvent(enum.StrEnum):
    """What happens to a key; YIELD to the signing key when another takes its place."""

    PUBLISH = "publish"
    SIGN = "sign"
    YIELD = "yield"
    RETIRE = "retire"


# What is not here can't be done.
TRANSITIONS = {
    (KeyState.MADE, KeyEvent.PUBLISH): KeyState.PUBLISHED,
    (KeyState.PUBLISHED, KeyEvent.SIGN): KeyState.SIGNING,
    # Back to the last key, where the new one was a mistake.
    (KeyState.VERIFYING, KeyEvent.SIGN): KeyState.SIGNING,
    (KeyState.SIGNING, KeyEvent.YIELD): KeyState.VERIFYING,
    (KeyState.MADE, KeyEvent.RETIRE): KeyState.RETIRED,
    (KeyState.PUBLISHED, KeyEvent.RETIRE): KeyState.RETIRED,
    (KeyState.VERIFYING, KeyEvent.RETIRE): KeyState.RETIRED,
}
# Danger: one that checks tokens later than the signer changes keys would refuse good ones: a published key's
# signature stands from its publication, whatever is believed of who signs.
ACCEPTED_STATES = frozenset((KeyState.PUBLISHED, KeyState.SIGNING, KeyState.VERIFYING))


class KeyTransitionError(AuthorizationError):
    """A change that a key's state does not allow; its text says why."""


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """A key in a ring: `since_us` is when it came into its state."""

    kid: str
    state: KeyState
    since_us: int


def transition(ring: tuple[KeyEntry, ...], kid: str, event: KeyEvent, now: int) -> tuple[KeyEntry, ...]:
    """The ring after an operator's event on one key; raises KeyTransitionError."""
    entry = next((entry for entry in ring if entry.kid == kid), None)
    if entry is None:
        raise KeyTransitionError(f"no key is called '{kid}'")
    state = TRANSITIONS.get((entry.state, event))
    if state is None:
        raise KeyTransitionError(f"key '{kid}' is {entry.state}: {_hint(entry.state, event)}")
    after = []
    for other in ring:
        if other is entry:
            after.append(replace(other, state=state, since_us=now))
        elif state is KeyState.SIGNING and other.state is KeyState.SIGNING:
            yielded = TRANSITIONS[KeyState.SIGNING, KeyEvent.YIELD]
            after.append(replace(other, state=yielded, since_us=now))
        else:
            after.append(other)
    return tuple(after)


def _hint(state: KeyState, event: KeyEvent) -> str:
    """What can be done with a key instead."""
    if state is KeyState.SIGNING and event is KeyEvent.RETIRE:
        return "let another key sign first"
    possible = sorted(way for was, way in TRANSITIONS if was is state and way is not KeyEvent.YIELD)
    return f"it can {' or '.join(possible)}" if possible else "nothing more can be done with it"


def add_key(ring: tuple[KeyEntry, ...], kid: str, now: int) -> tuple[KeyEntry, ...]:
    """The ring with a new key; raises KeyTransitionError where the name is taken."""
    if any(entry.kid == kid for entry in ring):
        raise KeyTransitionError(f"a key is already called '{kid}'")
    return (*ring, KeyEntry(kid, KeyState.MADE, now))


def signing_key(ring: tuple[KeyEntry, ...]) -> str:
    """The name of the key that signs; raises KeyTransitionError where there is none."""
    for entry in ring:
        if entry.state is KeyState.SIGNING:
            return entry.kid
    raise KeyTransitionError("no key is signing")
