"""Runs a scenario with many seeds and summarizes the results."""

import time

import msgspec

from rowanlab.fleet.workers import map_over_cores, usable_cores
from rowanlab.simulator.permissive import Guard
from rowanlab.simulator.scenario import SeedResult
from rowanlab.simulator.scenarios import SCENARIOS
from rowanrail.kernel.events import disable_logging


class SeedTask(msgspec.Struct, frozen=True):
    """One run of a scenario, with a seed."""

    scenario: str
    without: Guard | None
    seed: int
    keep_trace: bool = False


class SimulationReport(msgspec.Struct):
    """The summary of all seeds of a scenario, printed as JSON by ``rowanlab simulate``.

    :param violations: number of seeds that broke a guarantee or did not recover.
    :param acknowledged: number of acknowledged writes.
    :param acknowledged_after_heal: number of those after all faults had healed.
    :param seconds: wall-clock time of the whole run.
    """

    scenario: str
    without: str | None
    seeds: str
    violations: int = 0
    first_violation_seed: int | None = None
    operations: int = 0
    acknowledged: int = 0
    acknowledged_after_heal: int = 0
    faults: int = 0
    seconds: float = 0.0
    examples: list[str] = []

    def add(self, result: SeedResult) -> None:
        """Add the result of one seed."""
        verdict = result.verdict
        self.operations += verdict.operations
        self.acknowledged += verdict.acknowledged
        self.acknowledged_after_heal += result.acknowledged_after_heal
        self.faults += result.faults
        if not result.violated:
            return
        self.violations += 1
        if self.first_violation_seed is None:
            self.first_violation_seed = result.seed
        if len(self.examples) < 5:
            first = verdict.examples[0] if verdict.examples else "no example"
            self.examples.append(f"seed {result.seed}: {first}")


def run_seed(task: SeedTask) -> SeedResult:
    """Run one seed with logging turned off."""
    disable_logging()
    result = SCENARIOS[task.scenario].run(task.seed, task.without)
    if not task.keep_trace:
        result.trace = []
    return result


def simulate(
    scenario: str,
    without: Guard | None,
    first_seed: int,
    last_seed: int,
    cores: int | None = None,
) -> SimulationReport:
    """Run a scenario with the seeds ``first_seed`` to ``last_seed``, both included.

    :param cores: number of worker processes; all usable cores by default.
    """
    started = time.monotonic()
    report = SimulationReport(
        scenario, without.value if without else None, f"{first_seed}-{last_seed}"
    )
    tasks = [SeedTask(scenario, without, seed) for seed in range(first_seed, last_seed + 1)]
    for result in map_over_cores(run_seed, tasks, cores or usable_cores()):
        report.add(result)
    report.seconds = round(time.monotonic() - started, 2)
    return report
