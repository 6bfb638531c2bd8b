"""Command line of the soak test; ``--seeds 1-7`` runs several seeds in sequence."""

import asyncio
import sys
from pathlib import Path

import click

from tests.soak.run import Soak


@click.command()
@click.option("--seconds", default=60.0, help="How long faults are caused.")
@click.option("--seeds", default="1", help="A seed of faults and clients, or FIRST-LAST.")
@click.option("--network", default=0, help="Differs for soaks that run side by side, 0 to 255.")
@click.option("--holders", default="hashed", help="`planned` needs about 35 s until it plans.")
@click.option(
    "--beside",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Another checkout: every other process is started from it, and some change sides when "
    "they are started again, as in an upgrade in steps. Both run on this Python's packages.",
)
@click.option("--sync-replicas", default=0, help="Replicas that must hold a commit; 0 or 1.")
def main(
    seconds: float,
    seeds: str,
    network: int,
    holders: str,
    beside: Path | None,
    sync_replicas: int,
) -> None:
    """Run fault soaks and print a verdict of each; exit code 1 if a rule was broken."""
    first, _, last = seeds.partition("-")
    failed_runs = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = Soak(seconds, seed, network, holders, beside, sync_replicas)
        verdict = asyncio.run(soak.run())
        failed_runs += bool(verdict.problems)
        click.echo(f"seed {seed}, faults: {', '.join(soak.fault_log)}")
        click.echo(f"seed {seed}, {verdict}")
        if beside is not None:
            starts, others = soak.start_counts
            click.echo(f"seed {seed}, {others} of {starts} starts of processes from {beside}")
    sys.exit(1 if failed_runs else 0)


main()
