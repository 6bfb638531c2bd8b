"""Every scenario must pass with its guard, fail without it, and be deterministic."""

import unittest

from rowanlab.fleet.workers import map_over_cores, usable_cores
from rowanlab.simulator.report import SeedTask, run_seed
from rowanlab.simulator.scenario import SeedResult
from rowanlab.simulator.scenarios import SCENARIOS

HOLDING_SEEDS = range(1, 4)
FAILING_SEEDS = 50  # each scenario must fail within these without its guard
SEEDS_AT_A_TIME = 10


class TestScenarios(unittest.TestCase):
    """Runs a few seeds of each scenario; ``rowanlab simulate`` runs more."""

    holding: dict[str, list[SeedResult]]
    passing_without_guard: set[str]

    @classmethod
    def setUpClass(cls) -> None:
        tasks = [SeedTask(name, None, seed) for name in SCENARIOS for seed in HOLDING_SEEDS]
        cls.holding = {}
        for task, result in cls.run_tasks(tasks):
            cls.holding.setdefault(task.scenario, []).append(result)
        cls.passing_without_guard = {
            item.name for item in SCENARIOS.values() if item.guard is not None
        }
        for first in range(1, FAILING_SEEDS + 1, SEEDS_AT_A_TIME):
            cls.run_without_guards(range(first, first + SEEDS_AT_A_TIME))

    @classmethod
    def run_without_guards(cls, seeds: range) -> None:
        """Run seeds, without the guard, of the scenarios that have not failed yet."""
        tasks = [
            SeedTask(name, SCENARIOS[name].guard, seed)
            for name in sorted(cls.passing_without_guard)
            for seed in seeds
        ]
        for task, result in cls.run_tasks(tasks):
            if result.violated:
                cls.passing_without_guard.discard(task.scenario)

    @staticmethod
    def run_tasks(tasks: list[SeedTask]) -> list[tuple[SeedTask, SeedResult]]:
        if not tasks:
            return []
        return list(zip(tasks, map_over_cores(run_seed, tasks, usable_cores()), strict=True))

    def test_holds_with_all_guards(self) -> None:
        for name in SCENARIOS:
            for result in self.holding[name]:
                with self.subTest(scenario=name, seed=result.seed):
                    self.assertEqual(result.verdict.violations, 0, result.verdict.examples)
                    self.assertGreater(result.acknowledged_after_heal, 0)

    def test_fails_without_its_guard(self) -> None:
        self.assertEqual(self.passing_without_guard, set())


class TestRepeatability(unittest.TestCase):
    """Equal seeds must give equal traces, also in processes with other hash seeds."""

    def test_same_trace(self) -> None:
        for name in ("everything", "planned-stop"):
            task = SeedTask(name, None, 3, keep_trace=True)
            first, second = map_over_cores(run_seed, [task, task], 2)
            with self.subTest(scenario=name):
                self.assertGreater(len(first.trace), 100)
                self.assertEqual(first.trace, second.trace)
