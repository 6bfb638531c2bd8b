"""``python -m tests.soak --seconds 120 --seed 7``."""

import asyncio
import sys

import click

from tests.soak.run import Soak


@click.command()
@click.option("--seconds", default=60.0, help="How long faults are caused.")
@click.option("--seed", default=1, help="Seed of faults and clients.")
def main(seconds: float, seed: int) -> None:
    """Run a fault soak and print its verdict; exit code 1 if a rule was broken."""
    soak = Soak(seconds, seed)
    verdict = asyncio.run(soak.run())
    click.echo(f"faults: {', '.join(soak.log)}")
    click.echo(verdict)
    sys.exit(1 if verdict.problems else 0)


main()
