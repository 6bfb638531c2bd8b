"""``python -m tests.soak --seconds 120 --seeds 7``; several seeds run one after the other."""

import asyncio
import sys

import click

from tests.soak.run import Soak


@click.command()
@click.option("--seconds", default=60.0, help="How long faults are caused.")
@click.option("--seeds", default="1", help="A seed of faults and clients, or FIRST-LAST.")
@click.option("--network", default=0, help="Differs for soaks that run side by side, 0 to 255.")
@click.option("--holders", default="hashed", help="`planned` needs about 35 s until it plans.")
def main(seconds: float, seeds: str, network: int, holders: str) -> None:
    """Run fault soaks and print a verdict of each; exit code 1 if a rule was broken."""
    first, _, last = seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = Soak(seconds, seed, network, holders)
        verdict = asyncio.run(soak.run())
        broken += bool(verdict.problems)
        click.echo(f"seed {seed}, faults: {', '.join(soak.log)}")
        click.echo(f"seed {seed}, {verdict}")
    sys.exit(1 if broken else 0)


main()
