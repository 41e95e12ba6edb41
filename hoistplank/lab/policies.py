"""The policies that the laboratory's dispatchers can run, by name.

They are the Router (`module`), the Router with one defence off, the Router of an older revision, simple
baselines, and `seer`, an oracle that reads the state of the simulated world. The oracle is an upper bound, so
that a score can be given as its share of the gap between the `random` baseline and the oracle. No dispatcher
outside the laboratory uses these policies by name.
"""

from __future__ import annotations

from pathlib import Path

from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.lab.ablations import ABLATED_PARTS, ABLATED_SETTINGS
from hoistplank.lab.baselines import BASELINES
from hoistplank.lab.model.world import World
from hoistplank.lab.older_revisions import load_router
from hoistplank.lab.oracle import oracle_router
from hoistplank.lab.policy import Policy, PolicyFactory, UnknownPolicyError


def policy_names() -> list[str]:
    """Returns the names of all policies except those of older revisions."""
    return [
        "module",
        *(f"without-{name}" for name in (*ABLATED_PARTS, *ABLATED_SETTINGS)),
        *BASELINES,
        "seer",
    ]


def policy(name: str, checkouts: dict[str, Path] | None = None) -> PolicyFactory:
    """Returns the factory of a policy.

    `name` is `module`, `without-DEFENCE`, `text-REVISION`, a baseline's name, or `seer`. `checkouts` maps
    older revisions to the folders of their checkouts. Raises UnknownPolicyError.
    """
    if name == "module":
        return lambda settings, seed, _world: Router(settings, seed)
    if name.startswith("without-") and name[8:] in ABLATED_PARTS:
        types = ABLATED_PARTS[name[8:]]
        return lambda settings, seed, _world: Router(settings, seed, types)
    if name.startswith("without-") and name[8:] in ABLATED_SETTINGS:
        change_settings = ABLATED_SETTINGS[name[8:]]
        return lambda settings, seed, _world: Router(change_settings(settings), seed)
    if name.startswith("text-") and checkouts is not None and name[5:] in checkouts:
        older_router = load_router(checkouts[name[5:]], name[5:])
        return lambda settings, seed, _world: older_router(settings, seed)
    if name in BASELINES:
        baseline = BASELINES[name]
        return lambda settings, seed, _world: baseline(settings, seed)
    if name == "seer":

        def make(settings: RouterSettings, seed: int, world: World | None) -> Policy:
            if world is None:
                raise UnknownPolicyError(
                    "policy 'seer' reads the simulated world, which it can't do on sockets"
                )
            return oracle_router(settings, seed, world)

        return make
    raise UnknownPolicyError(
        f"unknown policy '{name}', expected one of {', '.join(policy_names())} or text-REVISION"
    )
