"""Hypothesis chooses the faults: the same worlds, driven step by step."""

import asyncio
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from rowanlab.simulator.control_faults import ControlFaults
from rowanlab.simulator.control_world import ControlOptions, ControlWorld
from rowanlab.simulator.data_world import ZONES, DataOptions, DataWorld
from rowanlab.simulator.permissive import registry_without
from rowanlab.simulator.world import World
from rowanlab.standin.member import FaultRequest
from rowanrail.kernel.events import disable_logging

FIXED = settings(
    derandomize=True,
    deadline=None,
    max_examples=6,
    stateful_step_count=10,
    database=None,
    suppress_health_check=list(HealthCheck),
)
members = st.integers(0, 2)


class WorldMachine(RuleBasedStateMachine):
    """Steps a world's loop between the rules."""

    def begin(self):
        disable_logging()
        self.world = World(1)
        self.world.loop.set_exception_handler(lambda loop, context: None)
        asyncio.set_event_loop(self.world.loop)

    def step(self, work):
        self.world.loop.run_until_complete(work)

    @rule(tenths=st.integers(1, 10))
    def time_passes(self, tenths):
        self.step(asyncio.sleep(tenths / 10))


class DataMachine(WorldMachine):
    """Members, proxies and callers."""

    def __init__(self):
        super().__init__()
        self.begin()
        self.data = DataWorld(self.world, registry_without(None), 1, DataOptions(callers=4))
        self.step(self.data.start())

    @rule(number=members)
    def kill_member(self, number):
        if self.data.all_voting():
            self.data.members[number].kill()

    @rule(number=members)
    def restart_member(self, number):
        if not self.data.is_running(self.data.members[number]):
            self.data.members[number].restart()

    @rule(number=members)
    def freeze_member(self, number):
        self.world.freeze(f"m{number + 1}")

    @rule(number=members)
    def thaw_member(self, number):
        self.world.thaw(f"m{number + 1}")

    @rule(number=members, tenths=st.integers(0, 10))
    def lag(self, number, tenths):
        member = self.data.members[number]
        if self.data.is_running(member) and hasattr(member.member, "node"):
            member.member.set_faults(FaultRequest(lag_seconds=tenths / 10))

    @rule(here=members, there=members)
    def cut(self, here, there):
        self.world.cut(ZONES[here], ZONES[there])

    @rule()
    def heal(self):
        self.world.heal_all()

    def teardown(self):
        self.world.heal_all()
        for member in self.data.members:
            if not self.data.is_running(member):
                member.restart()
        before = self.data.oracle.verdict.acknowledged
        self.step(asyncio.sleep(4.0))
        after = self.data.oracle.verdict.acknowledged
        self.data.finished = True
        self.world.run(self.finish())
        verdict = self.data.oracle.verdict
        assert verdict.violations == 0, verdict.examples
        assert after > before, "no write was acknowledged after all faults had healed"

    async def finish(self):
        await asyncio.sleep(0.2)
        await self.data.judge()


class ControlMachine(WorldMachine):
    """Control nodes, proxies and operators."""

    def __init__(self):
        super().__init__()
        self.begin()
        self.control = ControlWorld(self.world, registry_without(None), ControlOptions())
        self.faults = ControlFaults(self.control)
        self.step(self.control.start())

    @rule(number=members)
    def kill_node(self, number):
        self.control.controls[number].kill()

    @rule(number=members)
    def restart_node(self, number):
        node = self.control.controls[number]
        if not self.world.process(node.name).alive:
            node.restart()

    @rule(number=members)
    def isolate_node(self, number):
        self.faults.isolate(self.control.controls[number])

    @rule()
    def heal(self):
        self.world.heal_all()

    def teardown(self):
        self.faults.heal_all()
        before = self.control.oracle.verdict.accepted
        self.step(asyncio.sleep(5.0))
        after = self.control.oracle.verdict.accepted
        self.control.finished = True
        self.world.run(self.finish())
        verdict = self.control.oracle.verdict
        assert verdict.violations == 0, verdict.examples
        assert after > before, "no change was accepted after all faults had healed"

    async def finish(self):
        await asyncio.sleep(0.5)
        await self.control.judge()


class TestStateful(unittest.TestCase):
    def test_data_path(self):
        run_state_machine_as_test(DataMachine, settings=FIXED)

    def test_control_plane(self):
        run_state_machine_as_test(ControlMachine, settings=FIXED)
