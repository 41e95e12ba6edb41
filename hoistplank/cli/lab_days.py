"""`hoistplank lab days` and `day`: list the emulated days, and play one of them."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from hoistplank.cli.failure import fail
from hoistplank.cli.lab_output import Row
from hoistplank.operator_configuration.errors import ConfigurationError

RATE_PER_HOST = 20.0  # requests per second
HOSTS_PER_LOCATION = 20
DISPATCHERS_PER_LOCATION = 3


@click.command()
def days() -> None:
    """List the days, the policies, and the faults that a script may contain."""
    from hoistplank.lab.model.days import DAYS
    from hoistplank.lab.model.faults import KINDS
    from hoistplank.lab.policies import policy_names

    click.echo("days: calm, any, or some of these joined by '+'")
    for name, text in DAYS.items():
        click.echo(f"  {name:<12} {text}")
    click.echo(f"policies: {', '.join(policy_names())}, text-REVISION")
    click.echo("faults:")
    for name, words in KINDS.items():
        shown = [word if isinstance(word, str) else f"<{word.expected.split(',')[0]}>" for word in words]
        click.echo(f"  ({name} {' '.join(shown)})")


@click.command()
@click.argument("name", default="calm")
@click.option("--policy", default="module", show_default=True)
@click.option(
    "--size", type=click.IntRange(1, 20_000), default=12, show_default=True, help="Number of cache hosts."
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 3_600), default=20, show_default=True)
@click.option("--load", "share", type=click.FloatRange(0.05, 5), default=0.75, show_default=True)
@click.option("--sockets", is_flag=True, help="Use real dispatcher processes, in real time.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole result as one JSON object.")
def day(  # noqa: PLR0913 (one parameter per option)
    name: str, policy: str, size: int, seed: int, seconds: float, share: float, sockets: bool, as_json: bool
) -> None:
    """Play the day NAME, or the script in file NAME. Exit code 1: a rule was violated, or the day is void."""
    from hoistplank.lab.backends.sockets import RunTooLateError
    from hoistplank.lab.experiment import Cell
    from hoistplank.lab.model.days import draw_day
    from hoistplank.lab.model.faults import script
    from hoistplank.lab.policy import UnknownPolicyError
    from hoistplank.lab.worker import Job, play

    try:
        text = Path(name).read_text() if Path(name).is_file() else draw_day(name, seed, seconds)
        script(text, name)
        cell = Cell(
            Path(name).stem,
            text,
            size,
            seed,
            policy,
            seconds,
            RATE_PER_HOST,
            share,
            HOSTS_PER_LOCATION,
            DISPATCHERS_PER_LOCATION,
            "sockets" if sockets else "virtual",
        )
        result = play(Job(cell))
    except (OSError, ValueError, ConfigurationError, UnknownPolicyError) as error:
        fail(str(error))
    except (RunTooLateError, RuntimeError) as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(result))
    else:
        _print_day(text, result)
    sys.exit(1 if any(result["broken"].values()) else 0)


def _print_day(text: str, result: Row) -> None:
    click.echo(f"{text or 'no faults'}")
    click.echo(
        f"score {result['score']:.3f} of the utility requested; {result['events']} events in "
        f"{result['took_s']:.1f} s"
    )
    for cause, lost in sorted(result["lost"].items(), key=lambda pair: -pair[1]):
        click.echo(f"  lost {lost / sum(result['asked']):.3f}  {cause}")
    for line in result["breaches"]:
        click.echo(f"  {line}")
