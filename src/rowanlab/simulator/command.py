"""The ``rowanlab simulate`` command."""

import sys

import click
import msgspec

from rowanlab.simulator.permissive import Guard
from rowanlab.simulator.report import SeedTask, run_seed, simulate
from rowanlab.simulator.scenarios import SCENARIOS


def _parse_seeds(text: str) -> tuple[int, int]:
    first, _, last = text.partition("-")
    try:
        seeds = int(first), int(last or first)
    except ValueError as error:
        raise click.BadParameter(f"'{text}' is not a range such as 1-50") from error
    if seeds[0] > seeds[1]:
        raise click.BadParameter(f"'{text}' ends before it begins")
    return seeds


@click.command("simulate")
@click.option("--scenario", "name", help="Which scenario; see --list.")
@click.option("--seeds", default="1-20", show_default=True, help="A range, such as 1-500.")
@click.option("--without", type=click.Choice([guard.value for guard in Guard]))
@click.option("--trace", "trace_seed", type=int, help="Print one seed's run as numbered lines.")
@click.option("--cores", type=click.IntRange(1), help="Worker processes; all cores if left out.")
@click.option("--list", "list_only", is_flag=True, help="Name the scenarios and their guards.")
def simulate_command(
    name: str | None,
    seeds: str,
    without: str | None,
    trace_seed: int | None,
    cores: int | None,
    list_only: bool,
) -> None:
    """Run seeds of a scenario in virtual time. Exits 1 if any seed broke a guarantee."""
    if list_only:
        for scenario in SCENARIOS.values():
            click.echo(f"{scenario.name:22} {scenario.guard.value if scenario.guard else '-'}")
        return
    if name not in SCENARIOS:
        raise click.UsageError(f"name a scenario with --scenario: {', '.join(SCENARIOS)}")
    guard = Guard(without) if without else None
    if trace_seed is not None:
        result = run_seed(SeedTask(name, guard, trace_seed, keep_trace=True))
        click.echo("\n".join(result.trace))
        click.echo(msgspec.json.encode(result.verdict).decode())
        sys.exit(1 if result.violated else 0)
    first, last = _parse_seeds(seeds)
    report = simulate(name, guard, first, last, cores)
    click.echo(msgspec.json.encode(report).decode())
    sys.exit(1 if report.violations else 0)
