"""Scenarios of the data path, and the guard that each depends on."""

import asyncio

from rowanlab.simulator.data_world import DataOptions, DataWorld
from rowanlab.simulator.faults import FaultInjector, FaultKind, FaultPlan
from rowanlab.simulator.permissive import Guard, registry_without
from rowanlab.simulator.scenario import Scenario, SeedResult, run_world
from rowanlab.simulator.world import World


async def _run_data(data: DataWorld, plan: FaultPlan) -> int:
    await data.start()
    await asyncio.sleep(0.5)
    await FaultInjector(data, plan).run()
    before = data.oracle.verdict.acknowledged
    await asyncio.sleep(plan.recovery_seconds)
    after_heal = data.oracle.verdict.acknowledged - before
    if after_heal == 0:
        data.oracle.note_not_recovered("no write was acknowledged after all faults had healed")
    data.finished = True
    await asyncio.sleep(0.2)
    await data.judge()
    return after_heal


def _data_scenario(
    name: str, guard: Guard | None, options: DataOptions, plan: FaultPlan
) -> Scenario:
    def run(seed: int, without: Guard | None) -> SeedResult:
        world = World(seed)
        data = DataWorld(world, registry_without(without), seed, options)
        return run_world(world, seed, data.oracle, lambda: _run_data(data, plan))

    return Scenario(name, guard, run)


_MEMBER_FAULTS = [FaultKind.KILL_PRIMARY, FaultKind.FREEZE_MEMBER, FaultKind.CUT_PRIMARY]

DATA_SCENARIOS = [
    _data_scenario(
        "read-your-writes",
        Guard.FRESHNESS,
        DataOptions(read_share=0.7),
        FaultPlan([FaultKind.LAG, FaultKind.LAG, FaultKind.KILL_PRIMARY, FaultKind.LOST_DISK]),
    ),
    _data_scenario(
        "replaced-primary",
        Guard.TERM_CONFIRMATION,
        DataOptions(read_share=0.2),
        FaultPlan([FaultKind.CUT_PRIMARY, FaultKind.CUT_ZONE, FaultKind.FREEZE_MEMBER]),
    ),
    _data_scenario(
        "transaction-mixing",
        Guard.PINNING,
        DataOptions(read_share=0.2, callers=6),
        FaultPlan([FaultKind.KILL_CALLER, FaultKind.KILL_PROXY, FaultKind.KILL_PRIMARY]),
    ),
    _data_scenario(
        "answer-matching",
        Guard.LATE_ANSWER_DISCARD,
        DataOptions(read_share=0.7, statement_deadline_seconds=0.5),
        FaultPlan([FaultKind.LATE_ANSWER, FaultKind.REPEATED_ANSWER, FaultKind.FREEZE_MEMBER]),
    ),
    _data_scenario(
        "not-run",
        Guard.OUTCOME_CLASSIFICATION,
        DataOptions(read_share=0.2, statement_deadline_seconds=1.0),
        FaultPlan([*_MEMBER_FAULTS, FaultKind.LATE_ANSWER, FaultKind.CUT_ZONE_ONE_WAY]),
    ),
    _data_scenario(
        "at-most-once",
        Guard.REQUEST_RECORD,
        DataOptions(read_share=0.1, callers=7, statement_deadline_seconds=1.0),
        FaultPlan([*_MEMBER_FAULTS, FaultKind.LATE_ANSWER, FaultKind.KILL_PROXY]),
    ),
    _data_scenario(
        "leaving-backend",
        Guard.LEAVING_CHECK,
        DataOptions(),
        FaultPlan([FaultKind.LEAVING], seconds=6.0),
    ),
    _data_scenario(
        "planned-stop",
        Guard.DRAIN_WAIT,
        DataOptions(read_share=0.4, callers=6),
        FaultPlan([FaultKind.STOP_PROXY]),
    ),
    _data_scenario(
        "everything",
        None,
        DataOptions(proxies=3),
        FaultPlan(list(FaultKind), seconds=8.0, concurrent_faults=2, recovery_seconds=5.0),
    ),
]
