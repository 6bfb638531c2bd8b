"""The scenarios: what is done, and which guard each of them must be seen failing without."""

import asyncio
import time
from collections.abc import Callable

import msgspec

from rowanlab.load.oracle import Verdict
from rowanlab.simulator.data_world import DataOptions, DataWorld
from rowanlab.simulator.faults import FaultInjector, FaultKind, FaultPlan
from rowanlab.simulator.permissive import Guard, registry_without
from rowanlab.simulator.world import World
from rowanrail.kernel.events import observe

GIVE_UP_SECONDS = 120.0


class SeedResult(msgspec.Struct):
    """What became of one seed."""

    seed: int
    verdict: Verdict
    faults: int = 0
    acknowledged_after_heal: int = 0
    trace: list[str] = []
    seconds: float = 0.0

    @property
    def violated(self) -> bool:
        """Whether a guarantee was broken, or the run did not recover."""
        return self.verdict.violations > 0


Runner = Callable[[int, Guard | None], SeedResult]


class Scenario(msgspec.Struct, frozen=True):
    """A scenario by name."""

    name: str
    guard: Guard | None
    run: Runner


_SCENARIOS: dict[str, Scenario] = {}


def add_scenario(name: str, guard: Guard | None, run: Runner) -> None:
    """Register a scenario."""
    _SCENARIOS[name] = Scenario(name, guard, run)


def scenarios() -> dict[str, Scenario]:
    """Return all scenarios by name."""
    return _SCENARIOS


async def _run_data(world: World, data: DataWorld, plan: FaultPlan) -> int:
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


def run_data_scenario(
    seed: int, guard: Guard | None, options: DataOptions, plan: FaultPlan
) -> SeedResult:
    """Run one seed of a data-path scenario."""
    began = time.monotonic()
    world = World(seed)
    data = DataWorld(world, registry_without(guard), seed, options)
    stop_observing = observe(lambda event, message: world.note(f"RR{event.number:04d} {message}"))

    async def limited() -> int:
        async with asyncio.timeout(GIVE_UP_SECONDS):
            return await _run_data(world, data, plan)

    after_heal = 0
    try:
        after_heal = world.run(limited())
    except Exception as error:  # a run that can't be judged is a violation, whatever the reason
        data.oracle.note_not_recovered(f"the run ended with {type(error).__name__}: {error}")
    finally:
        stop_observing()
    return SeedResult(
        seed=seed,
        verdict=data.oracle.verdict,
        faults=world.fault_count,
        acknowledged_after_heal=after_heal,
        trace=world.trace,
        seconds=time.monotonic() - began,
    )


def _add_data(name: str, guard: Guard | None, options: DataOptions, plan: FaultPlan) -> None:
    def run(seed: int, without: Guard | None) -> SeedResult:
        return run_data_scenario(seed, without, options, plan)

    add_scenario(name, guard, run)


_MEMBER_FAULTS = [FaultKind.KILL_PRIMARY, FaultKind.FREEZE_MEMBER, FaultKind.CUT_PRIMARY]

_add_data(
    "read-your-writes",
    Guard.FRESHNESS,
    DataOptions(read_share=0.7),
    FaultPlan([FaultKind.LAG, FaultKind.LAG, FaultKind.KILL_PRIMARY, FaultKind.LOST_DISK]),
)
_add_data(
    "replaced-primary",
    Guard.TERM_CONFIRMATION,
    DataOptions(read_share=0.2),
    FaultPlan([FaultKind.CUT_PRIMARY, FaultKind.CUT_ZONE, FaultKind.FREEZE_MEMBER]),
)
_add_data(
    "transaction-mixing",
    Guard.PINNING,
    DataOptions(read_share=0.2, callers=8),
    FaultPlan([FaultKind.KILL_CALLER, FaultKind.KILL_PROXY, FaultKind.KILL_PRIMARY]),
)
_add_data(
    "answer-matching",
    Guard.LATE_ANSWER_DISCARD,
    DataOptions(read_share=0.7, statement_deadline_seconds=0.5),
    FaultPlan([FaultKind.LATE_ANSWER, FaultKind.REPEATED_ANSWER, FaultKind.FREEZE_MEMBER]),
)
_add_data(
    "not-run",
    Guard.OUTCOME_CLASSIFICATION,
    DataOptions(read_share=0.2, statement_deadline_seconds=1.0),
    FaultPlan([*_MEMBER_FAULTS, FaultKind.LATE_ANSWER, FaultKind.CUT_ZONE_ONE_WAY]),
)
_add_data(
    "at-most-once",
    Guard.REQUEST_RECORD,
    DataOptions(read_share=0.2, statement_deadline_seconds=1.0),
    FaultPlan([*_MEMBER_FAULTS, FaultKind.LATE_ANSWER, FaultKind.KILL_PROXY]),
)
_add_data(
    "leaving-backend",
    Guard.LEAVING_CHECK,
    DataOptions(),
    FaultPlan([FaultKind.LEAVING], seconds=6.0),
)
_add_data(
    "planned-stop",
    Guard.DRAIN_WAIT,
    DataOptions(read_share=0.4, callers=8),
    FaultPlan([FaultKind.STOP_PROXY]),
)
_add_data(
    "everything",
    None,
    DataOptions(proxies=3),
    FaultPlan(list(FaultKind), seconds=8.0, at_once=2, recovery_seconds=5.0),
)
