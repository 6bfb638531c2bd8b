"""Scenarios of the control plane, and the guard that each depends on."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from rowanlab.simulator.control_faults import ControlFaults
from rowanlab.simulator.control_world import ControlOptions, ControlWorld
from rowanlab.simulator.permissive import Guard, registry_without
from rowanlab.simulator.scenario import Scenario, SeedResult, run_world
from rowanlab.simulator.world import World

FAULT_SECONDS = 6.0
RECOVERY_SECONDS = 4.0
Script = Callable[[ControlWorld, ControlFaults], Awaitable[None]]


async def _random_faults(
    control: ControlWorld, faults: ControlFaults, kinds: Sequence[Callable[[], Awaitable[None]]]
) -> None:
    end = control.world.loop.now + FAULT_SECONDS
    while control.world.loop.now < end:
        await faults.pause(0.1, 0.6)
        await faults.random.choice(kinds)()


async def _config_durability(control: ControlWorld, faults: ControlFaults) -> None:
    """Inject two concurrent faults into nodes, links and proxies."""
    nodes = [faults.kill_node, faults.kill_node, faults.freeze_node]
    others = [faults.cut_zone, faults.cut_node, faults.cut_node, faults.kill_proxy]
    await asyncio.gather(
        _random_faults(control, faults, nodes), _random_faults(control, faults, others)
    )


async def _operator_race(control: ControlWorld, faults: ControlFaults) -> None:
    """Kill and freeze nodes while operators make conflicting changes."""
    await _random_faults(control, faults, [faults.kill_node, faults.freeze_node])


async def _silent_control(control: ControlWorld, faults: ControlFaults) -> None:
    """Partition the leader from the other nodes; proxies and operators still reach it."""
    for _ in range(3):
        leader = await faults.wait_for_leader()
        faults.count_fault(f"cut {leader.name}")
        faults.isolate(leader)
        await faults.pause(1.5, 3.0)
        faults.rejoin(leader)
        await faults.pause(0.5, 1.0)


async def _repair_then_loss(control: ControlWorld, faults: ControlFaults) -> None:
    """Restart a node with an empty disk, then lose a second node."""
    for _ in range(2):
        if faults.random.random() < 0.6:
            await _lose_disk_while_one_lags(faults)
        else:
            await _lose_second_disk_after_repair(control, faults)
        await _wait_until_all_vote(control)


async def _lose_disk_while_one_lags(faults: ControlFaults) -> None:
    first, second, behind = await faults.leader_and_followers()
    faults.count_fault(f"cut {behind.name}, {second.name} loses its disk, {first.name} dies")
    faults.isolate(behind)
    await faults.pause(0.5, 1.0)
    second.kill()
    first.kill()
    second.restart(lose_disk=True)
    faults.rejoin(behind)
    await faults.pause(2.0, 3.0)
    first.restart()


async def _lose_second_disk_after_repair(control: ControlWorld, faults: ControlFaults) -> None:
    first, second, _ = await faults.leader_and_followers()
    faults.count_fault(f"{second.name} loses its disk, then {first.name} too")
    second.kill()
    await faults.pause(0.1, 0.5)
    second.restart(lose_disk=True)
    await _wait_until_all_vote(control)
    first.kill()
    await faults.pause(0.1, 0.5)
    first.restart(lose_disk=True)


async def _wait_until_all_vote(control: ControlWorld) -> None:
    for _ in range(200):
        leader = control.leader()
        if leader is not None and leader.node is not None:
            voters = sorted(leader.node.consensus.raft.membership.voters)
            if voters == sorted(_identities(control)):
                return
        await asyncio.sleep(0.05)


def _identities(control: ControlWorld) -> list[str]:
    return [
        node.node.consensus.identity.node if node.is_serving and node.node is not None else ""
        for node in control.controls
    ]


async def _restart_catch_up(control: ControlWorld, faults: ControlFaults) -> None:
    """Kill all nodes at once, one of which was behind; a proxy starts only after them."""
    _, late_node, _ = await faults.leader_and_followers()
    faults.count_fault(f"{late_node.name} stays away")
    late_node.kill()
    late_proxy = faults.random.choice(control.proxies)
    late_proxy.kill()
    await faults.pause(2.0, 3.0)
    faults.count_fault("all nodes lose power")
    for node in control.controls:
        node.kill()
    await faults.pause(0.1, 0.5)
    for node in control.controls:
        node.restart()
    await faults.pause(0.5, 1.0)
    control.start_proxy(late_proxy)


async def _run(control: ControlWorld, script: Script) -> int:
    await control.start()
    await asyncio.sleep(0.5)
    faults = ControlFaults(control)
    await script(control, faults)
    faults.heal_all()
    before = control.oracle.verdict.accepted
    await asyncio.sleep(RECOVERY_SECONDS)
    after_heal = control.oracle.verdict.accepted - before
    if after_heal == 0:
        control.oracle.note_not_recovered("no change was accepted after all faults had healed")
    control.finished = True
    await asyncio.sleep(0.5)
    await control.judge()
    return after_heal


def _control_scenario(
    name: str, guard: Guard | None, script: Script, options: ControlOptions
) -> Scenario:
    def run(seed: int, without: Guard | None) -> SeedResult:
        world = World(seed)
        chosen = msgspec.structs.replace(options, honours_sync=without is not Guard.FSYNC)
        control = ControlWorld(world, registry_without(without), chosen)
        return run_world(world, seed, control.oracle, lambda: _run(control, script))

    return Scenario(name, guard, run)


CONTROL_SCENARIOS = [
    _control_scenario(
        "config-durability", Guard.VERSION_MONOTONIC, _config_durability, ControlOptions()
    ),
    _control_scenario(
        "five-control-nodes", None, _config_durability, ControlOptions(nodes=5, proxies_per_zone=1)
    ),
    _control_scenario(
        "operator-race",
        Guard.EXPECTED_VERSION,
        _operator_race,
        ControlOptions(operators=4, proxies_per_zone=1, pause_seconds=0.2),
    ),
    _control_scenario(
        "silent-control",
        Guard.CHECK_QUORUM,
        _silent_control,
        ControlOptions(operators=3, proxies_per_zone=1),
    ),
    _control_scenario(
        "repair-then-loss",
        Guard.LEARNER_FIRST,
        _repair_then_loss,
        ControlOptions(proxies_per_zone=1),
    ),
    _control_scenario(
        "restart-catch-up",
        Guard.FSYNC,
        _restart_catch_up,
        ControlOptions(proxies_per_zone=2, pause_seconds=0.1),
    ),
]
