"""The policies that a laboratory's dispatchers can run, by name.

They are the Router, the Router with one defence off, the Router of an older revision, plain baselines, and
`seer`, which looks at the world itself: the best that could be done, so that each figure reads as a share of
the way from floor to top. They are of the laboratory only.
"""

from __future__ import annotations

from pathlib import Path

from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.lab.ablations import WITHOUT_PART, WITHOUT_SETTING
from hoistplank.lab.baselines import BASELINES
from hoistplank.lab.model.world import World
from hoistplank.lab.older_revisions import load_router
from hoistplank.lab.oracle import seer
from hoistplank.lab.policy import Policy, PolicyFactory, UnknownPolicyError


def policy_names() -> list[str]:
    """The names of all policies but those of older revisions."""
    return ["module", *(f"without-{name}" for name in (*WITHOUT_PART, *WITHOUT_SETTING)), *BASELINES, "seer"]


def policy(name: str, texts: dict[str, Path] | None = None) -> PolicyFactory:
    """By name: `module`, `without-DEFENCE`, `text-REVISION` (of `texts`), a baseline, or `seer`."""
    if name == "module":
        return lambda site, seed, _world: Router(site, seed)
    if name.startswith("without-") and name[8:] in WITHOUT_PART:
        types = WITHOUT_PART[name[8:]]
        return lambda site, seed, _world: Router(site, seed, types)
    if name.startswith("without-") and name[8:] in WITHOUT_SETTING:
        changed = WITHOUT_SETTING[name[8:]]
        return lambda site, seed, _world: Router(changed(site), seed)
    if name.startswith("text-") and texts is not None and name[5:] in texts:
        old = load_router(texts[name[5:]], name[5:])
        return lambda site, seed, _world: old(site, seed)
    if name in BASELINES:
        plain = BASELINES[name]
        return lambda site, seed, _world: plain(site, seed)
    if name == "seer":

        def make(site: RouterSettings, seed: int, world: World | None) -> Policy:
            if world is None:
                raise UnknownPolicyError("'seer' looks at the world itself: it has none on sockets")
            return seer(site, seed, world)

        return make
    raise UnknownPolicyError(f"no policy '{name}'; there are {', '.join(policy_names())} and text-REVISION")
