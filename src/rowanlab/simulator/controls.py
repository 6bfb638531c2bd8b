"""Simulated control nodes and operators."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from rowanlab.load.control_oracle import AttemptedChange, ChangeOutcome, ControlOracle
from rowanlab.simulator.daemon import DurableDaemon
from rowanlab.simulator.loop import SimulatedProcess
from rowanlab.simulator.network import Channel, ChannelLostError, EndpointRegistry, SimulatedNetwork
from rowanlab.simulator.world import World
from rowanrail.config.model import Configuration, UserSpec
from rowanrail.config.settings import ControlSettings, NodeAddress
from rowanrail.kernel.errors import InvalidRequestError, RowanrailError
from rowanrail.kernel.registry import Registry
from rowanrail.sql_control.messages import (
    ApplyRequest,
    ChangeReply,
    ReadReply,
    ReadRequest,
    Verdict,
)
from rowanrail.sql_control.node import ControlNode

CALL_TIMEOUT_SECONDS = 3.0
CHANGE_TIMEOUT_SECONDS = 30.0
RETRY_INTERVAL_SECONDS = 0.2
REGISTER_COUNT = 4


class ErrorReply(msgspec.Struct, frozen=True):
    """An error reply to an operator, as sent over a channel.

    :param invalid: whether the request itself is invalid, so that it must not be retried.
    """

    message: str
    invalid: bool


class _OperatorChannel:
    """The control node's side of an operator's connection."""

    def __init__(self, control: "SimulatedControl") -> None:
        self._control = control
        self.reply: Callable[..., None] | None = None

    async def handle(self, payload: Any) -> Any:
        node = self._control.node
        assert node is not None
        try:
            return await node.service.call_leader_with_retry(payload)
        except RowanrailError as error:
            return ErrorReply(str(error), isinstance(error, InvalidRequestError))

    async def closed(self) -> None:
        """Do nothing: requests are independent of the connection."""


class SimulatedControl(DurableDaemon):
    """A control node whose disk persists across restarts of its process."""

    def __init__(
        self,
        world: World,
        endpoints: EndpointRegistry,
        name: str,
        zone: str,
        nodes: list[NodeAddress],
        registry: Registry,
        rate: float,
        honours_sync: bool,
        snapshot_entries: int,
    ) -> None:
        super().__init__(world, name, zone, rate, honours_sync)
        self.rpc_address = f"{name}:7100"
        self.operator_address = f"{name}:8100"
        self.node: ControlNode | None = None
        self._endpoints = endpoints
        self._nodes = nodes
        self._registry = registry
        self._snapshot_entries = snapshot_entries

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and has opened its data folder."""
        return self._world.process(self.name).alive and hasattr(self.node, "service")

    def set_nodes(self, nodes: list[NodeAddress]) -> None:
        """Set the control nodes that the settings name from the next start on."""
        self._nodes = nodes

    def start(self, bootstrap: bool) -> None:
        """Start the node's process."""
        self.node = None
        process = self._spawn()
        self._launch(process, self._run(process, bootstrap))

    async def _run(self, process: SimulatedProcess, bootstrap: bool) -> None:
        world = self._world
        settings = ControlSettings(
            name=self.name,
            zone=self.zone,
            cluster="simulated",
            data_folder="",
            rpc_listen=self.rpc_address,
            http_listen="",
            nodes=self._nodes,
            operators=[],
            snapshot_entries=self._snapshot_entries,
        )
        node = ControlNode(
            settings,
            SimulatedNetwork(world, process, self._endpoints),
            self.disk,
            self._new_random(),
            self._registry,
            world.wall_clock,
        )
        self.node = node
        await node.start(bootstrap)
        self._endpoints.channels[self.operator_address] = (
            self.name,
            lambda: _OperatorChannel(self),
        )


class Operator:
    """An operator that repeatedly reads the configuration and changes one of its registers.

    A register is the password hash of one user.

    :param addresses: the addresses at which control nodes serve operators.
    """

    def __init__(
        self,
        world: World,
        endpoints: EndpointRegistry,
        name: str,
        addresses: list[str],
        oracle: ControlOracle,
        pause_seconds: float,
    ) -> None:
        self.name = name
        self._world = world
        self._endpoints = endpoints
        self._addresses = addresses
        self._oracle = oracle
        self._pause_seconds = pause_seconds
        self._random = random.Random(world.random.getrandbits(64))
        self._changes = 0

    async def run(self, until: Callable[[], bool]) -> None:
        """Make changes until ``until`` returns true."""
        while not until():
            read = await self.read()
            if read is not None:
                await self.change(read)
            await asyncio.sleep(self._pause_seconds * self._random.uniform(0.5, 1.5))

    async def read(self) -> ReadReply | None:
        """Read the configuration at a random node; return None on failure."""
        expected = self._oracle.newest()
        address = self._random.choice(self._addresses)
        reply = await self._request(address, ReadRequest())
        if not isinstance(reply, ReadReply):
            return None
        self._oracle.end_read(expected, reply.version, address)
        return reply

    async def change(self, read: ReadReply) -> None:
        """Send a change based on a read, and retry it until it is answered."""
        self._changes += 1
        register = f"u{self._random.randrange(REGISTER_COUNT)}"
        value = f"{self._random.getrandbits(160):040x}"
        change_id = f"{self.name}-{self._changes}"
        change = AttemptedChange(change_id, register, value, read.version)
        request = ApplyRequest(
            change_id, self.name, read.version, _with_register(read.configuration, register, value)
        )
        self._oracle.begin_change(change)
        deadline = self._world.loop.now + CHANGE_TIMEOUT_SECONDS
        while self._world.loop.now < deadline:
            reply = await self._request(self._random.choice(self._addresses), request)
            if isinstance(reply, ChangeReply):
                self._record_outcome(change, reply)
                return
            if isinstance(reply, ErrorReply) and reply.invalid:
                self._oracle.end_change(change, ChangeOutcome.REFUSED)
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        self._oracle.end_change(change, ChangeOutcome.UNKNOWN)

    def _record_outcome(self, change: AttemptedChange, reply: ChangeReply) -> None:
        outcome = reply.outcome
        accepted = outcome.verdict is Verdict.ACCEPTED
        recorded = ChangeOutcome.ACCEPTED if accepted else ChangeOutcome.CONFLICT
        self._oracle.end_change(change, recorded, outcome.version)

    async def _request(self, address: str, request: Any) -> Any:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                channel = await Channel.open(self._world, self._endpoints, address)
                try:
                    channel.send(request)
                    return await channel.receive()
                finally:
                    channel.close()
        except (ChannelLostError, TimeoutError):
            return None


def _with_register(configuration: Configuration, register: str, value: str) -> Configuration:
    users = [user for user in configuration.users if user.name != register]
    users = sorted([*users, UserSpec(register, value)], key=lambda user: user.name)
    return msgspec.structs.replace(configuration, users=users)
