"""Simulated control nodes of gateways, with disks that can fail."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
from returns.result import Failure

from rowanlab.simulator.daemon import DurableDaemon
from rowanlab.simulator.loop import SimulatedProcess
from rowanlab.simulator.network import EndpointRegistry, SimulatedNetwork
from rowanlab.simulator.world import World
from rowanrail.config.settings import CoordinatorSettings, rpc_addresses
from rowanrail.coordination.failover_controller import Promoter, PromotionOutcome
from rowanrail.coordination.messages import DocumentReply, PutReply
from rowanrail.coordination.node import Coordinator
from rowanrail.coordination.status_queries import StatusReader, StatusReply
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.registry import Registry
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.routing import ConfigurationFormat
from rowanrail.model.statements import Answer

NODES = 3
RPC_PORT = 7100
API_PORT = 8100
CLOCK_RATES = (0.98, 1.02)
WATCH_SECONDS = 0.02


class _NoDriver(MemberDriver):
    def open(self, address: str, service: str, instance: str, channel: Channel) -> None:
        asyncio.get_running_loop().call_soon(channel.lost, "no members are simulated")


class _NoReader(StatusReader):
    def read(self, answer: Answer) -> StatusReply | None:
        return None


class _NoFormat(ConfigurationFormat):
    def parse(self, document: bytes) -> Any:
        return Failure(["documents are not parsed"])


class _NoPromoter(Promoter):
    async def promote(self, service: str, instance: str, token: int) -> PromotionOutcome:
        return PromotionOutcome.UNKNOWN


class SimulatedControl(DurableDaemon):
    """A control node whose disk persists across restarts of its process."""

    node: Coordinator

    def __init__(self, world: World, endpoints: EndpointRegistry, name: str, zone: str) -> None:
        super().__init__(world, name, zone, world.random.uniform(*CLOCK_RATES))
        self.ports: tuple[MemberDriver, StatusReader, Promoter] = (
            _NoDriver(),
            _NoReader(),
            _NoPromoter(),
        )
        self._endpoints = endpoints
        self.seeds = [f"n{number + 1}:{API_PORT}" for number in range(NODES)]
        self.tolerated_losses = 1

    @property
    def api_address(self) -> str:
        """Address that settings give for this node."""
        return f"{self.name}:{API_PORT}"

    def start(self, bootstrap: bool) -> None:
        process = self._spawn()
        self._launch(process, self._run(process, bootstrap))

    async def _run(self, process: SimulatedProcess, bootstrap: bool) -> None:
        settings = CoordinatorSettings(
            name=self.name,
            zone=self.zone,
            data_folder="",
            listen="",
            host=self.name,
            control_nodes=list(self.seeds),
            rpc_port=RPC_PORT,
            protocol="",
            bootstrap=bootstrap,
            tolerated_losses=self.tolerated_losses,
            snapshot_entries=25,
        )
        self.node = Coordinator(
            settings,
            SimulatedNetwork(self._world, process, self._endpoints),
            self.disk,
            self._new_random(),
            Registry(),
            DecisionLog(self.name, descriptor=-1, wall_clock=self._world.wall_clock),
            _NoFormat(),
            lambda: rpc_addresses(self.seeds, RPC_PORT),
        )
        await self.node.start(*self.ports)


class SimulatedControls:
    """Control nodes, each in its own zone; by default three, all of which are seeds."""

    def __init__(self, world: World, count: int = NODES, tolerated_losses: int = 1) -> None:
        self.world = world
        endpoints = EndpointRegistry()
        self.nodes = [
            SimulatedControl(world, endpoints, f"n{number}", f"z{number}")
            for number in range(1, count + 1)
        ]
        for control in self.nodes:
            control.seeds = [each.api_address for each in self.nodes]
            control.tolerated_losses = tolerated_losses

    async def start(self) -> None:
        """Start all nodes and wait until each has opened its data folder."""
        for control in self.nodes:
            control.start(bootstrap=True)
        while not all(hasattr(c, "node") and hasattr(c.node, "failover") for c in self.nodes):
            await asyncio.sleep(WATCH_SECONDS)

    async def leader(self) -> SimulatedControl:
        """Return the node that leads, once there is one."""
        while True:
            for control in self.nodes:
                if control.node.consensus.raft.is_established_leader:
                    return control
            await asyncio.sleep(WATCH_SECONDS)

    async def run(self, control: SimulatedControl, work: Coroutine[Any, Any, Any]) -> Any:
        """Run work in a node's process and return its result."""
        return await self.world.run_in(self.world.process(control.name), work)

    async def call(self, control: SimulatedControl, request: msgspec.Struct) -> Any:
        """Send a node a message and return the reply."""
        return await self.run(control, control.node.service.handle(request))

    async def put(self, control: SimulatedControl, version: int) -> PutReply:
        """Have a node store a configuration."""
        reply: PutReply = await self.run(
            control, control.node.service.put(version, f"{version}".encode())
        )
        return reply

    async def read(self, control: SimulatedControl) -> DocumentReply:
        """Return the configuration as a node reads it."""
        reply: DocumentReply = await self.run(control, control.node.service.document())
        return reply
