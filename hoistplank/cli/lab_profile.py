"""`hoistplank lab profile`: CPU time of a request by layer."""

from __future__ import annotations

import json

import click


@click.command()
@click.option("--rate", type=click.FloatRange(1, 100_000), default=400, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 600), default=10, show_default=True)
@click.option(
    "--fresh", type=click.FloatRange(0, 1), default=0.0, help="Share of requests on new connections."
)
@click.option("--json", "as_json", is_flag=True)
def profile(rate: float, seconds: float, fresh: float, as_json: bool) -> None:
    """Measure the CPU time of a request by layer, in a dispatcher started for it with fake servers."""
    from hoistplank.lab.load.errors import LoadError
    from hoistplank.lab.profile import run as run_profile

    try:
        found = run_profile(rate, seconds, fresh)
    except (LoadError, RuntimeError) as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(found))
        return
    click.echo(
        f"{found['cpu_us_a_visit']} us of CPU per request at {rate:g} requests per second, "
        f"{fresh:.0%} on new connections"
    )
    for name, share in found["shares"].items():
        click.echo(f"  {share:6.1%}  {name}")
