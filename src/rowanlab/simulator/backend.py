"""Simulated members of a database group, and the driver that connects to them."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from rowanlab.simulator.daemon import DurableDaemon
from rowanlab.simulator.loop import SimulatedProcess
from rowanlab.simulator.network import Channel, ChannelLostError, EndpointRegistry, SimulatedNetwork
from rowanlab.simulator.world import World
from rowanlab.standin.member import Member, MemberSettings
from rowanlab.standin.session import MemberSession
from rowanrail.config.settings import NodeAddress
from rowanrail.kernel.errors import BackendConnectError, BackendLostError, BackendRefusedError
from rowanrail.kernel.registry import Registry
from rowanrail.sql_proxy.backend import (
    BackendConnection,
    BackendDriver,
    MemberStatus,
    StatementResult,
)

CONNECT_SECONDS = 0.01
STATUS_REQUEST = "status"


class Refusal(msgspec.Struct, frozen=True):
    """A refusal by a member, as sent over a channel."""

    code: int
    message: str


class SimulatedConnection(BackendConnection):
    """A connection to a simulated member; as on the wire, answers carry no request ids."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    async def execute(self, sql: str) -> StatementResult:
        """Run a statement and return the next answer.

        :raises BackendRefusedError: if the member refuses the statement.
        :raises BackendLostError: if the connection is lost.
        """
        answer = await self._request(sql)
        if isinstance(answer, Refusal):
            raise BackendRefusedError(answer.code, answer.message, peer=self._channel.peer)
        if not isinstance(answer, StatementResult):
            return StatementResult()  # the answer to another request: accepted as on the wire
        return answer

    async def status(self) -> MemberStatus:
        """Return the member's status.

        :raises BackendLostError: if the connection is lost or the answer is not a status.
        """
        answer = await self._request(STATUS_REQUEST)
        if not isinstance(answer, MemberStatus):
            raise BackendLostError("not a status", step="status", peer=self._channel.peer)
        return answer

    async def _request(self, payload: str) -> Any:
        try:
            self._channel.send(payload)
            return await self._channel.receive()
        except ChannelLostError as error:
            raise BackendLostError(str(error), step="execute", peer=self._channel.peer) from error

    def is_clean(self) -> bool:
        """Return whether no unread answer has arrived."""
        return not self._channel.has_unread()

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()


class SimulatedDriver(BackendDriver):
    """Opens connections to simulated members."""

    def __init__(self, world: World, endpoints: EndpointRegistry) -> None:
        self._world = world
        self._endpoints = endpoints

    async def connect(
        self, address: str, user: str, password: str, database: str
    ) -> BackendConnection:
        """Connect to a member.

        :raises BackendConnectError: if the connection is refused.
        """
        try:
            channel = await Channel.open(self._world, self._endpoints, address)
        except ChannelLostError as error:
            raise BackendConnectError(str(error), step="connect", peer=address) from error
        await asyncio.sleep(CONNECT_SECONDS)
        return SimulatedConnection(channel)


class _MemberChannel:
    """The member's side of one connection."""

    def __init__(self, member: "SimulatedMember") -> None:
        assert member.member is not None
        self._member = member
        self._session = MemberSession(member.member)
        self.reply: Callable[..., None] | None = None

    async def handle(self, payload: Any) -> Any:
        assert self._member.member is not None
        if payload == STATUS_REQUEST:
            return self._member.member.status()
        try:
            answer: Any = await self._session.execute(payload)
        except BackendRefusedError as error:
            answer = Refusal(error.code, error.message)
        if self._member.repeats_answers and self.reply is not None:
            self.reply(answer, answer)
            return None
        return answer

    async def closed(self) -> None:
        self._session.roll_back()


class SimulatedMember(DurableDaemon):
    """A member whose disk persists across restarts of its process."""

    def __init__(
        self,
        world: World,
        endpoints: EndpointRegistry,
        group: str,
        name: str,
        zone: str,
        nodes: list[NodeAddress],
        rate: float,
    ) -> None:
        super().__init__(world, name, zone, rate)
        self.address = f"{name}:3306"
        self.member: Member | None = None
        self.late_work = 0
        self.repeats_answers = False
        self._endpoints = endpoints
        self._group = group
        self._nodes = nodes

    def start(self, bootstrap: bool) -> None:
        """Start the member's process."""
        process = self._spawn()
        self._launch(process, self._run(process, bootstrap))

    async def _run(self, process: SimulatedProcess, bootstrap: bool) -> None:
        world = self._world
        network = SimulatedNetwork(world, process, self._endpoints)
        settings = MemberSettings(
            group=self._group,
            name=self.name,
            zone=self.zone,
            listen=self.address,
            rpc_listen=f"{self.name}:7000",
            data_folder="",
            nodes=self._nodes,
            service_seconds=0.0005,
            heartbeat_seconds=0.05,
            election_timeout_seconds=0.3,
            lock_wait_seconds=1.0,
        )
        self.member = Member(
            settings,
            network,
            self.disk,
            world.scratch_file(),
            self._new_random(),
            Registry(),
        )
        await self.member.start(bootstrap)
        self._endpoints.channels[self.address] = (self.name, lambda: _MemberChannel(self))

    def kill(self) -> None:
        """Kill the process and discard unsynced data."""
        if self.member is not None:
            self.late_work += self.member.late_work
            self.member.late_work = 0
            if self._world.process(self.name).alive:
                self.member.engine.close()
        super().kill()
