"""`hoistplank lab`: emulated days, experiments, comparisons, reports and the load tool."""

from __future__ import annotations

import click

from hoistplank.cli.lab_days import day, days
from hoistplank.cli.lab_experiments import compare, report, run
from hoistplank.cli.lab_fleet import fleet
from hoistplank.cli.lab_load import load
from hoistplank.cli.lab_profile import profile
from hoistplank.cli.lab_soak import soak
from hoistplank.cli.scale import scale


@click.group()
def lab() -> None:
    """Emulate caches, parents and an origin; generate load; run experiments and report on them.

    \b
    Play one day:        hoistplank lab day vanish
    Run an experiment:   hoistplank lab run deploy/lab/defences.sexp
    Report its results:  hoistplank lab report lab-results/defences
    Load a dispatcher:   hoistplank lab load 127.0.0.1:9000 --plan "10s:200" --tracks "page=9
    booking=1!"
    """


for command in (compare, day, days, fleet, load, profile, report, run, scale, soak):
    lab.add_command(command)
