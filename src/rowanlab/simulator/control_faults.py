"""Faults on the control plane."""

import asyncio
import random

from rowanlab.simulator.control_world import ControlWorld
from rowanlab.simulator.controls import SimulatedControl


class ControlFaults:
    """Breaks control nodes, proxies and links, and mends them again."""

    def __init__(self, control: ControlWorld) -> None:
        self._control = control
        self._world = control.world
        self.random = random.Random(control.world.random.getrandbits(64))

    def count_fault(self, fault: str) -> None:
        """Count a fault."""
        self._world.fault_count += 1
        self._world.note(f"fault {fault}")

    async def pause(self, least_seconds: float, most_seconds: float) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.random.uniform(least_seconds, most_seconds))

    def pick_node(self) -> SimulatedControl:
        """Return a node, the leader more often than others."""
        leader = self._control.leader()
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(self._control.controls)

    async def wait_for_leader(self) -> SimulatedControl:
        """Return the leader, as soon as there is one."""
        while (leader := self._control.leader()) is None:
            await asyncio.sleep(0.05)
        return leader

    # Single faults

    async def kill_node(self) -> None:
        """Kill a node and start it again."""
        node = self.pick_node()
        self.count_fault(f"kill {node.name}")
        node.kill()
        await self.pause(0.3, 1.5)
        node.restart()

    async def freeze_node(self) -> None:
        """Freeze a node for a while."""
        node = self.pick_node()
        self.count_fault(f"freeze {node.name}")
        self._world.freeze(node.name)
        await self.pause(0.3, 2.0)
        self._world.thaw(node.name)

    async def cut_node(self) -> None:
        """Cut a node off from the other nodes; proxies and operators still reach it."""
        node = self.pick_node()
        self.count_fault(f"cut {node.name}")
        self.isolate(node)
        await self.pause(0.8, 3.0)
        self.rejoin(node)

    async def cut_zone(self) -> None:
        """Cut a zone off, both ways or one way."""
        zones = self._control.zones
        zone = self.random.choice(zones)
        self.count_fault(f"cut zone {zone}")
        pairs = [(zone, other) for other in zones if other != zone]
        if self.random.random() < 0.6:
            pairs += [(other, zone) for other in zones if other != zone]
        for pair in pairs:
            self._world.cut(*pair)
        await self.pause(0.5, 2.0)
        for pair in pairs:
            self._world.heal(*pair)

    async def kill_proxy(self) -> None:
        """Kill a proxy and start it again."""
        proxy = self.random.choice(self._control.proxies)
        self.count_fault(f"kill {proxy.name}")
        proxy.kill()
        await self.pause(0.1, 0.5)
        self._control.start_proxy(proxy)
        while proxy.core is None or proxy.core.in_force.version == 0:
            await asyncio.sleep(0.05)

    # Parts of scripted scenarios

    def isolate(self, node: SimulatedControl) -> None:
        """Cut a node off from the other nodes."""
        for other in self._others(node):
            self._world.cut(node.name, other.name)
            self._world.cut(other.name, node.name)

    def rejoin(self, node: SimulatedControl) -> None:
        """End that cut."""
        for other in self._others(node):
            self._world.heal(node.name, other.name)
            self._world.heal(other.name, node.name)

    def _others(self, node: SimulatedControl) -> list[SimulatedControl]:
        return [other for other in self._control.controls if other is not node]

    async def leader_and_followers(
        self,
    ) -> tuple[SimulatedControl, SimulatedControl, SimulatedControl]:
        """Return the leader and the two others, in random order."""
        leader = await self.wait_for_leader()
        others = self._others(leader)
        self.random.shuffle(others)
        return leader, others[0], others[1]

    def heal_all(self) -> None:
        """Mend everything."""
        self._world.heal_all()
        for node in self._control.controls:
            if not self._world.process(node.name).alive:
                node.restart()
        for proxy in self._control.proxies:
            if not self._world.process(proxy.name).alive:
                self._control.start_proxy(proxy)
