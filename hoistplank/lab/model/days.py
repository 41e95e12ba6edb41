"""Named days: templates of fault scripts whose values are drawn from a seed."""

from __future__ import annotations

import re

from hoistplank.lab.model.streams import RandomStream, RandomStreams

# Templates by name: `[low,high]` is drawn for each seed; durations are limited to three fifths of the day.
DAYS = {
    "age": "(age caches:[0.1,0.4] [4,10]x over [8,15]s for [15,20]s)",
    "crash": "(crash caches:[0.1,0.5] for [1,5]s)",
    "cut": "(cut z0 hub for [2,8]s)",
    "deploy": "(deploy caches batch [0.1,0.25] drain [2,4]s)",
    "drain": "(drain caches:[0.1,0.4] for [2,8]s)",
    "flush": "(flush [0.3,1])",
    "halfopen": "(halfopen caches:[0.1,0.3] for [3,12]s)",
    "herd": "(herd video [0.2,0.5] objects 2 for [5,25]s)",
    "kill": "(kill [0.2,0.5] for [1,6]s)",
    "loggap": "(loggap for [4,10]s) (crash caches:0.2 for 1s)",
    "loglate": "(loglate [4,15]x for [8,20]s) (deploy caches batch 0.2 drain 2s)",
    "lose": "(lose caches:[0.1,0.4] [0.02,0.2] for [5,20]s)",
    "origin-slow": "(slow origin [3,8]x for [5,20]s)",
    "parent-gone": "(vanish p0 for [6,20]s noticed [4,8]s)",
    "parent-slow": "(slow p0 [4,12]x for [6,20]s)",
    "pauses": "(pause caches:[0.2,0.5] [0.1,0.6]s every [0.8,3]s for [10,35]s)",
    "reset": "(reset caches:[0.2,0.6] [0.05,0.4] for [5,20]s)",
    "scan": "(scan [0.08,0.25] for [8,25]s)",
    "shrink": "(shrink caches [0.05,0.3]x for [8,20]s)",
    "slow": "(slow caches:[0.1,0.25] [3,10]x for [10,35]s)",
    "spoil": "(spoil caches:[0.2,0.6] [0.05,0.4] for [5,20]s)",
    "stall": "(stall caches:[0.08,0.2] for [5,25]s)",
    "surge": "(surge z0 [1.5,2.5]x for [4,12]s)",
    "tail": "(tail page [0.01,0.04] [8,30]x for [10,30]s)",
    "thin-link": "(link caches:[0.2,0.5] [0.15,0.5]x for [5,20]s)",
    "vanish": "(vanish caches:[0.05,0.2] for [8,30]s noticed [4,8]s)",
}


RANGE = re.compile(r"\[([0-9.]+),([0-9.]+)\](s?)")


def _fill_template(template: str, random: RandomStream, seconds: float) -> str:
    def value(match: re.Match[str]) -> str:
        drawn = random.between(float(match[1]), float(match[2]))
        return f"{int(min(drawn, 0.6 * seconds) * 1000)}ms" if match[3] else f"{drawn:.2f}"

    return RANGE.sub(value, template)


def draw_day(day: str, seed: int, seconds: float) -> str:
    """Return the script of a day.

    `day` is `calm`, one of `DAYS`, several joined by '+', or `any` (one to three of them).
    """
    random = RandomStreams(seed).stream(f"day {day}")
    if day == "calm":
        return ""
    names = day.split("+")
    if day == "any":
        order, all_names = random.shuffled(len(DAYS)), sorted(DAYS)
        names = [all_names[n] for n in order[: 1 + random.below(3)]]
    forms = []
    for name in names:
        if name not in DAYS:
            raise ValueError(f"unknown day '{name}', expected calm, any, {', '.join(sorted(DAYS))}")
        at = int(random.between(0.1, 0.3) * seconds * 1000)
        forms.append(f"(at {at}ms {_fill_template(DAYS[name], random, seconds)})")
    return "\n".join(forms)
