"""Scenarios of the gateway: what is done, and which guard each must be seen failing without."""

import random
import time
from collections.abc import Callable

from rowanlab.simulator.gateway_world import GatewayOptions, GatewayWorld
from rowanlab.simulator.permissive import Guard, registry_without
from rowanlab.simulator.scenario import Scenario, SeedResult

FAULT_SECONDS = 6.0
RECOVERY_SECONDS = 3.0
END_SECONDS = 2.0
Fault = Callable[[GatewayWorld, random.Random], None]


def _promote(world: GatewayWorld, randomness: random.Random) -> None:
    replicas = [member for member in world.group.members if not member.leads]
    world.group.promote(max(replicas, key=lambda member: member.position()))


def _lag(world: GatewayWorld, randomness: random.Random) -> None:
    member = randomness.choice(world.group.members)
    member.lag_factor = randomness.uniform(10, 60)
    world.clock.call_later(randomness.uniform(0.3, 1.5), setattr, member, "lag_factor", 1.0)


def _silence(world: GatewayWorld, randomness: random.Random) -> None:
    member = randomness.choice(world.group.members)
    member.silent = True
    world.clock.call_later(randomness.uniform(0.2, 1.2), setattr, member, "silent", False)


def _reset(world: GatewayWorld, randomness: random.Random) -> None:
    for member in world.group.members:
        for wire in list(member.wires):
            if randomness.random() < 0.4:
                wire.reset()


def _cut(world: GatewayWorld, randomness: random.Random) -> None:
    driver = randomness.choice(world.drivers)
    address = randomness.choice(world.group.members).address
    driver.cut.add(address)
    world.clock.call_later(randomness.uniform(0.2, 1.5), driver.cut.discard, address)


def _break_links(world: GatewayWorld, randomness: random.Random) -> None:
    for twin in world.relay.links:
        if randomness.random() < 0.5:
            twin.break_off("reset")


def _freeze_holder(world: GatewayWorld, randomness: random.Random) -> None:
    name = randomness.choice(sorted(world.relay.holders))
    world.relay.frozen.add(name)
    world.clock.call_later(randomness.uniform(0.2, 1.5), world.relay.frozen.discard, name)


def _cut_link(world: GatewayWorld, randomness: random.Random) -> None:
    names = sorted(world.relay.holders)
    ends = (randomness.choice(names), randomness.choice(names))
    world.relay.cut.add(ends)
    world.clock.call_later(randomness.uniform(0.2, 1.5), world.relay.cut.discard, ends)


def _change_keys(world: GatewayWorld, randomness: random.Random) -> None:
    world.keys.change(world.gateways)


def _run(world: GatewayWorld, faults: list[Fault], randomness: random.Random) -> int:
    end = world.clock.now + FAULT_SECONDS
    while world.clock.now < end:
        world.clock.run_until(world.clock.now + randomness.uniform(0.05, 0.4))
        randomness.choice(faults)(world, randomness)
        world.faults += 1
    before = world.oracle.verdict.acknowledged
    world.clock.run_until(world.clock.now + RECOVERY_SECONDS)
    after_heal = world.oracle.verdict.acknowledged - before
    if after_heal == 0:
        world.oracle.note_not_recovered("no write was acknowledged after the faults")
    world.finished = True
    world.clock.run_until(world.clock.now + END_SECONDS)
    world.oracle.finish(world.group.primary.held())
    return after_heal


def _scenario(name: str, guard: Guard, options: GatewayOptions, faults: list[Fault]) -> Scenario:
    def run(seed: int, without: Guard | None) -> SeedResult:
        began = time.monotonic()
        world = GatewayWorld(seed, registry_without(without), options)
        after_heal = 0
        try:
            after_heal = _run(world, faults, random.Random(seed + 1_000_000))
        except Exception as error:  # a run that can't be judged is a violation
            world.oracle.note_not_recovered(f"the run ended with {type(error).__name__}: {error}")
        return SeedResult(
            seed=seed,
            verdict=world.oracle.verdict,
            faults=world.faults,
            acknowledged_after_heal=after_heal,
            seconds=time.monotonic() - began,
        )

    return Scenario(name, guard, run)


GATEWAY_SCENARIOS = [
    _scenario(
        "replaced-primary-reads",
        Guard.LEADERSHIP_PROOF,
        GatewayOptions(read_share=0.6),
        [_promote, _promote, _lag, _lag, _silence, _reset, _cut],
    ),
    _scenario(
        "session-state",
        Guard.STATE_REPLAY,
        GatewayOptions(state_share=0.35),
        [_reset, _reset, _silence, _promote],
    ),
    _scenario(
        "relayed-statements",
        Guard.LINK_OUTCOME,
        GatewayOptions(gateways=4, clients=10, read_share=0.6, shared=True),
        [_break_links, _freeze_holder, _cut_link, _promote, _reset, _silence, _lag],
    ),
    _scenario(
        "tenants-keys",
        Guard.KEY_CHECK,
        GatewayOptions(gateways=6, clients=12, read_share=0.6, tenants=True),
        [_change_keys, _change_keys, _break_links, _freeze_holder, _promote, _reset, _lag],
    ),
]
