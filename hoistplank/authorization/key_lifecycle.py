"""The lifecycle of an issuer's keys, as a state machine. No I/O, no clock.

    made --publish--> published --sign--> signing --(another signs)--> verifying --retire--> retired

`published`: in the key set, so that every verifier has the key before the first token is signed with it.
`verifying`: signs no more; its tokens are valid until they expire. A key set holds at most one `signing` key.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from hoistplank.authorization.errors import AuthorizationError


class KeyState(enum.StrEnum):
    """The state of a key, as in the member `state` of key sets."""

    MADE = "made"
    PUBLISHED = "published"
    SIGNING = "signing"
    VERIFYING = "verifying"
    RETIRED = "retired"


class KeyEvent(enum.StrEnum):
    """An event on a key. YIELD happens to the signing key when another key starts to sign."""

    PUBLISH = "publish"
    SIGN = "sign"
    YIELD = "yield"
    RETIRE = "retire"


# Transitions that are not listed are not allowed.
TRANSITIONS = {
    (KeyState.MADE, KeyEvent.PUBLISH): KeyState.PUBLISHED,
    (KeyState.PUBLISHED, KeyEvent.SIGN): KeyState.SIGNING,
    # Returns to the previous key if the new one was a mistake.
    (KeyState.VERIFYING, KeyEvent.SIGN): KeyState.SIGNING,
    (KeyState.SIGNING, KeyEvent.YIELD): KeyState.VERIFYING,
    (KeyState.MADE, KeyEvent.RETIRE): KeyState.RETIRED,
    (KeyState.PUBLISHED, KeyEvent.RETIRE): KeyState.RETIRED,
    (KeyState.VERIFYING, KeyEvent.RETIRE): KeyState.RETIRED,
}
# A verifier accepts a key's signatures from its publication on, whichever key it believes to sign: one that
# learns of a key change later than the signer would otherwise reject good tokens.
ACCEPTED_STATES = frozenset((KeyState.PUBLISHED, KeyState.SIGNING, KeyState.VERIFYING))


class KeyTransitionError(AuthorizationError):
    """A transition that a key's state does not allow; the text says why."""


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """A key of a key ring; `since_us` is the time at which it entered its state."""

    kid: str
    state: KeyState
    since_us: int


def transition(ring: tuple[KeyEntry, ...], kid: str, event: KeyEvent, now: int) -> tuple[KeyEntry, ...]:
    """Returns the ring after an operator's event on one key; raises KeyTransitionError."""
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
    """Returns a hint about the events that the key's state allows."""
    if state is KeyState.SIGNING and event is KeyEvent.RETIRE:
        return "let another key sign first"
    possible = sorted(
        allowed for source, allowed in TRANSITIONS if source is state and allowed is not KeyEvent.YIELD
    )
    return f"it can {' or '.join(possible)}" if possible else "nothing more can be done with it"


def add_key(ring: tuple[KeyEntry, ...], kid: str, now: int) -> tuple[KeyEntry, ...]:
    """Returns the ring with a new key; raises KeyTransitionError if the name is taken."""
    if any(entry.kid == kid for entry in ring):
        raise KeyTransitionError(f"a key is already called '{kid}'")
    return (*ring, KeyEntry(kid, KeyState.MADE, now))


def signing_key(ring: tuple[KeyEntry, ...]) -> str:
    """Returns the ID of the signing key; raises KeyTransitionError if there is none."""
    for entry in ring:
        if entry.state is KeyState.SIGNING:
            return entry.kid
    raise KeyTransitionError("no key is signing")
