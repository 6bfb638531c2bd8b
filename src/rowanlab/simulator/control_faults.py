"""Fault injection into the control plane."""

import asyncio
import random

from rowanlab.simulator.control_world import ControlWorld
from rowanlab.simulator.controls import SimulatedControl


class ControlFaults:
    """Injects faults into control nodes, proxies and links, and repairs them."""

    def __init__(self, control: ControlWorld) -> None:
        self._control = control
        self._world = control.world
        self.random = random.Random(control.world.random.getrandbits(64))

    def count_fault(self, fault: str) -> None:
        """Count a fault and add it to the trace."""
        self._world.fault_count += 1
        self._world.note(f"fault {fault}")

    async def pause(self, least_seconds: float, most_seconds: float) -> None:
        """Wait for a uniformly distributed time."""
        await asyncio.sleep(self.random.uniform(least_seconds, most_seconds))

    def pick_node(self) -> SimulatedControl:
        """Return a random node, preferring the leader."""
        leader = self._control.leader()
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(self._control.controls)

    async def wait_for_leader(self) -> SimulatedControl:
        """Wait until there is a leader and return it."""
        while (leader := self._control.leader()) is None:
            await asyncio.sleep(0.05)
        return leader

    # Single faults

    async def kill_node(self) -> None:
        """Kill a node and restart it."""
        node = self.pick_node()
        self.count_fault(f"kill {node.name}")
        node.kill()
        await self.pause(0.3, 1.5)
        node.restart()

    async def freeze_node(self) -> None:
        """Freeze a node temporarily."""
        node = self.pick_node()
        self.count_fault(f"freeze {node.name}")
        self._world.freeze(node.name)
        await self.pause(0.3, 2.0)
        self._world.thaw(node.name)

    async def cut_node(self) -> None:
        """Partition a node from the other nodes; proxies and operators still reach it."""
        node = self.pick_node()
        self.count_fault(f"cut {node.name}")
        self.isolate(node)
        await self.pause(0.8, 3.0)
        self.rejoin(node)

    async def cut_zone(self) -> None:
        """Partition a zone from the others, in both directions or one."""
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
        """Kill a proxy, restart it and wait until it has a configuration."""
        proxy = self.random.choice(self._control.proxies)
        self.count_fault(f"kill {proxy.name}")
        proxy.kill()
        await self.pause(0.1, 0.5)
        self._control.start_proxy(proxy)
        while proxy.core is None or proxy.core.in_force.version == 0:
            await asyncio.sleep(0.05)

    # Steps of scripted scenarios

    def isolate(self, node: SimulatedControl) -> None:
        """Partition a node from the other nodes."""
        for other in self._others(node):
            self._world.cut(node.name, other.name)
            self._world.cut(other.name, node.name)

    def rejoin(self, node: SimulatedControl) -> None:
        """End the partition made by :meth:`isolate`."""
        for other in self._others(node):
            self._world.heal(node.name, other.name)
            self._world.heal(other.name, node.name)

    def _others(self, node: SimulatedControl) -> list[SimulatedControl]:
        return [other for other in self._control.controls if other is not node]

    async def leader_and_followers(
        self,
    ) -> tuple[SimulatedControl, SimulatedControl, SimulatedControl]:
        """Return the leader, followed by the two other nodes in random order."""
        leader = await self.wait_for_leader()
        others = self._others(leader)
        self.random.shuffle(others)
        return leader, others[0], others[1]

    def heal_all(self) -> None:
        """Remove all cuts and restart all dead processes."""
        self._world.heal_all()
        for node in self._control.controls:
            if not self._world.process(node.name).alive:
                node.restart()
        for proxy in self._control.proxies:
            if not self._world.process(proxy.name).alive:
                self._control.start_proxy(proxy)
