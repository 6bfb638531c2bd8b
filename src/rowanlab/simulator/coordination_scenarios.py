"""Scenarios of the control nodes for gateways."""

import asyncio
from collections.abc import Awaitable, Callable

from rowanlab.simulator.coordination_world import CoordinationWorld, SimulatedCoordinator
from rowanlab.simulator.permissive import Guard, registry_without
from rowanlab.simulator.promotion_world import PromotionWorld
from rowanlab.simulator.scenario import Scenario, SeedResult, run_world
from rowanlab.simulator.world import World

FAULT_SECONDS = 6.0
RECOVERY_SECONDS = 3.0


async def _kill(coordination: CoordinationWorld, node: SimulatedCoordinator) -> None:
    node.kill()
    await asyncio.sleep(coordination.random.uniform(0.2, 1.2))
    node.restart()


async def _isolate(coordination: CoordinationWorld, node: SimulatedCoordinator) -> None:
    world = coordination.world
    others = [other for other in coordination.controls if other is not node]
    for other in others:
        world.cut(node.name, other.name)
        world.cut(other.name, node.name)
    await asyncio.sleep(coordination.random.uniform(0.5, 2.0))
    for other in others:
        world.heal(node.name, other.name)
        world.heal(other.name, node.name)


async def _freeze(coordination: CoordinationWorld, node: SimulatedCoordinator) -> None:
    coordination.world.freeze(node.name)
    await asyncio.sleep(coordination.random.uniform(0.3, 1.5))
    coordination.world.thaw(node.name)


async def _fill_disk(coordination: CoordinationWorld, node: SimulatedCoordinator) -> None:
    node.disk.full = True
    await asyncio.sleep(coordination.random.uniform(0.1, 2.5))
    node.disk.full = False


Fault = Callable[[CoordinationWorld, SimulatedCoordinator], Awaitable[None]]
PROCESS_FAULTS: list[Fault] = [_kill, _kill, _isolate, _freeze]
DISK_FAULTS: list[Fault] = [_fill_disk, _fill_disk, _kill, _isolate, _freeze]


async def _run(
    coordination: CoordinationWorld, operators: int, members: int, faults: list[Fault]
) -> int:
    world = coordination.world
    await coordination.start(operators, members)
    end = world.loop.now + FAULT_SECONDS
    while world.loop.now < end:
        await asyncio.sleep(coordination.random.uniform(0.1, 0.5))
        fault = coordination.random.choice(faults)
        node = coordination.random.choice(coordination.controls)
        world.fault_count += 1
        world.note(f"fault {fault.__name__} {node.name}")
        await fault(coordination, node)
    before = coordination.oracle.verdict.acknowledged
    await asyncio.sleep(RECOVERY_SECONDS)
    after_heal = coordination.oracle.verdict.acknowledged - before
    if after_heal == 0:
        coordination.oracle.note_not_recovered("nothing was acknowledged after the faults")
    coordination.finished = True
    await asyncio.sleep(0.5)
    await coordination.judge()
    return after_heal


async def _dark_primary(coordination: PromotionWorld) -> None:
    """A primary is dark for a while; it comes back as what it is by then."""
    member = coordination.group.primary
    member.silent = True
    for wire in list(member.wires):
        wire.broken = True
    await asyncio.sleep(coordination.random.uniform(1.0, 4.0))
    member.silent = False
    member.catch_up()


async def _run_promotions(coordination: PromotionWorld) -> int:
    world = coordination.world
    await coordination.start(operators=0, members=0)
    await coordination.start_members()
    await asyncio.sleep(2.0)
    for _ in range(6):
        world.fault_count += 1
        await _dark_primary(coordination)
        node = coordination.random.choice(coordination.controls)
        await coordination.random.choice([_kill, _isolate, _freeze])(coordination, node)
    coordination.platform.loses_answers = False
    before = coordination.oracle.verdict.acknowledged
    world.run_in(world.spawn("fault", "nowhere"), _dark_primary_for_good(coordination))
    await asyncio.sleep(2 * RECOVERY_SECONDS)
    coordination.finished = True
    await coordination.judge()
    return coordination.oracle.verdict.acknowledged - before


async def _dark_primary_for_good(coordination: PromotionWorld) -> None:
    coordination.group.primary.silent = True


def _promotion(name: str, guard: Guard) -> Scenario:
    def run(seed: int, without: Guard | None) -> SeedResult:
        world = World(seed)
        coordination = PromotionWorld(world, registry_without(without))
        return run_world(world, seed, coordination.oracle, lambda: _run_promotions(coordination))

    return Scenario(name, guard, run)


def _scenario(
    name: str,
    guard: Guard,
    operators: int,
    members: int,
    faults: list[Fault] = PROCESS_FAULTS,
) -> Scenario:
    def run(seed: int, without: Guard | None) -> SeedResult:
        world = World(seed)
        coordination = CoordinationWorld(world, registry_without(without))
        return run_world(
            world, seed, coordination.oracle, lambda: _run(coordination, operators, members, faults)
        )

    return Scenario(name, guard, run)


COORDINATION_SCENARIOS = [
    _scenario("numbered-versions", Guard.VERSION_MONOTONIC, operators=3, members=0),
    _scenario("announced-members", Guard.INCARNATION, operators=0, members=4),
    _scenario("full-disks", Guard.VERSION_MONOTONIC, operators=3, members=2, faults=DISK_FAULTS),
    _promotion("promotion", Guard.FENCING_TOKEN),
]
