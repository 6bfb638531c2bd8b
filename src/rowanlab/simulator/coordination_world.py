"""Simulated control nodes for gateways, with operators who number versions, and members."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure

from rowanlab.simulator.daemon import DurableDaemon
from rowanlab.simulator.loop import SimulatedProcess
from rowanlab.simulator.network import Channel, ChannelLostError, Served, SimulatedNetwork
from rowanlab.simulator.world import World
from rowanrail.config.settings import CoordinatorSettings
from rowanrail.coordination.duty import Promoter, PromotionOutcome
from rowanrail.coordination.member_questions import StatusReader, StatusReply
from rowanrail.coordination.messages import PutReply
from rowanrail.coordination.node import Coordinator
from rowanrail.coordination.watches import CURRENT_SECONDS
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.kernel.registry import Registry
from rowanrail.members import channel as gateway_channel
from rowanrail.model.members import MemberRecord
from rowanrail.model.routing import ConfigurationFormat
from rowanrail.model.statements import Answer

NODES = 3
RPC_PORT = 7100
CLOCK_RATES = (0.98, 1.02)
CALL_SECONDS = 1.2
REPEAT_SECONDS = 0.15
LATE_SECONDS = 1.5
WATCH_SECONDS = 0.02
# After the acknowledgement of a version, until no node may call an older one the newest: what
# a node's word rests on lasts for CURRENT_SECONDS, and clocks differ by 2 %.
FALSELY_CURRENT_SECONDS = 1.1 * CURRENT_SECONDS


class CoordinationVerdict(msgspec.Struct):
    """Counts of what went wrong, and of what was done."""

    operations: int = 0
    acknowledged: int = 0
    reverted: int = 0
    stale_reads: int = 0
    came_back: int = 0
    falsely_current: int = 0
    same_token: int = 0
    not_recovered: int = 0
    examples: list[str] = []

    @property
    def violations(self) -> int:
        """Return how many guarantees were broken."""
        return (
            self.reverted
            + self.stale_reads
            + self.came_back
            + self.falsely_current
            + self.same_token
            + self.not_recovered
        )


class CoordinationOracle:
    """What operators and members were told."""

    def __init__(self) -> None:
        self.verdict = CoordinationVerdict(examples=[])
        self.highest = 0
        self._acknowledged: list[tuple[float, int]] = [(0.0, 0)]
        self.sent: dict[int, set[bytes]] = {}
        self.leaving: set[str] = set()
        self.ended: set[str] = set()

    def violate(self, field: str, message: str) -> None:
        """Count a broken guarantee."""
        setattr(self.verdict, field, getattr(self.verdict, field) + 1)
        if len(self.verdict.examples) < 10:
            self.verdict.examples.append(f"{field}: {message}")

    def note_not_recovered(self, message: str) -> None:
        """Note that the run could not go on."""
        self.violate("not_recovered", message)

    def judge_document(self, version: int, document: bytes, expected: int) -> None:
        """Judge a configuration that a node was sure of."""
        if version < expected:
            self.violate("stale_reads", f"version {version} was read, {expected} was accepted")
        if version and document not in self.sent.get(version, set()):
            self.violate("reverted", f"version {version} is not what was sent under it")

    def note_acknowledged(self, version: int, now: float) -> None:
        """Note that an operator was told that a version is accepted."""
        self.verdict.acknowledged += 1
        if version > self.highest:
            self.highest = version
            self._acknowledged.append((now, version))

    def judge_current(self, node: str, version: int, now: float) -> None:
        """Judge a node that says that it holds all that is committed."""
        expected = max(v for at, v in self._acknowledged if at <= now - FALSELY_CURRENT_SECONDS)
        if version < expected:
            what = f"{node} calls {version} the newest, {expected} was accepted long before"
            self.violate("falsely_current", what)

    def judge_members(self, node: str, members: dict[str, MemberRecord], sure: set[str]) -> None:
        """Judge the members that a node holds; ``sure`` were acknowledged as ended before."""
        for instance in sure & set(members):
            self.violate("came_back", f"{instance} has ended and is back at {node}")

    def judge_leaving(self, node: str, members: dict[str, MemberRecord], sure: set[str]) -> None:
        """Judge that members acknowledged as leaving are not taken for ready again."""
        for instance in sure & set(members):
            if not members[instance].leaving:
                self.violate("came_back", f"{instance} leaves and is ready again at {node}")


class _NoDriver(gateway_channel.MemberDriver):
    def open(
        self, address: str, service: str, instance: str, channel: gateway_channel.Channel
    ) -> None:
        asyncio.get_running_loop().call_soon(channel.lost, "there are no members here")


class _NoReader(StatusReader):
    def read(self, answer: Answer) -> StatusReply | None:
        return None


class _NoFormat(ConfigurationFormat):
    def parse(self, document: bytes) -> Any:
        return Failure(["documents are not looked into here"])


class _NoPromoter(Promoter):
    async def promote(self, service: str, instance: str, token: int) -> PromotionOutcome:
        return PromotionOutcome.UNKNOWN


class _Unclear(msgspec.Struct, frozen=True):
    message: str


class _OutsideChannel:
    """A call of an operator or a member at one node."""

    def __init__(self, control: "SimulatedCoordinator") -> None:
        self._control = control
        self.reply: Callable[..., None] | None = None

    async def handle(self, payload: Any) -> Any:
        node = self._control.node
        assert node is not None
        method, arguments = payload
        try:
            return await getattr(node.service, method)(*arguments)
        except RowanrailError as error:
            return _Unclear(str(error))

    async def closed(self) -> None:
        """Nothing to do."""


class SimulatedCoordinator(DurableDaemon):
    """A control node across its restarts."""

    def __init__(
        self, world: World, served: Served, name: str, zone: str, registry: Registry
    ) -> None:
        super().__init__(world, name, zone, world.random.uniform(*CLOCK_RATES))
        self.outside_address = f"{name}:8100"
        self.node: Coordinator | None = None
        self.make_ports: Callable[[SimulatedCoordinator], tuple[Any, StatusReader, Promoter]] = (
            lambda control: (_NoDriver(), _NoReader(), _NoPromoter())
        )
        self._served = served
        self._registry = registry

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and has opened its folder."""
        return self._world.process(self.name).alive and hasattr(self.node, "duty")

    def says_current(self) -> bool:
        """Return what the node would tell a gateway; to be called within its process."""
        return self.node is not None and self.node.service.is_current

    def start(self, bootstrap: bool) -> None:
        """See :meth:`DurableDaemon.start`."""
        self.node = None
        process = self._spawn()
        self._launch(process, self._run(process, bootstrap))

    async def _run(self, process: SimulatedProcess, bootstrap: bool) -> None:
        settings = CoordinatorSettings(
            name=self.name,
            zone=self.zone,
            data_folder="",
            listen="",
            host=self.name,
            control_nodes=[f"n{number + 1}:8100" for number in range(NODES)],
            rpc_port=RPC_PORT,
            protocol="",
            bootstrap=bootstrap,
            snapshot_entries=25,
        )
        node = Coordinator(
            settings,
            SimulatedNetwork(self._world, process, self._served),
            self.disk,
            self._randomness(),
            self._registry,
            DecisionLog(self.name, descriptor=-1, wall_clock=self._world.wall_clock),
            _NoFormat(),
        )
        self.node = node
        await node.start(*self.make_ports(self))
        self._served.channels[self.outside_address] = (self.name, lambda: _OutsideChannel(self))


class CoordinationWorld:
    """Control nodes, operators and members of one run."""

    def __init__(self, world: World, registry: Registry) -> None:
        self.world = world
        self.served = Served()
        self.oracle = CoordinationOracle()
        self.finished = False
        self.zones = [f"z{number + 1}" for number in range(NODES)]
        self.controls = [
            SimulatedCoordinator(world, self.served, f"n{number + 1}", zone, registry)
            for number, zone in enumerate(self.zones)
        ]
        self.random = random.Random(world.random.getrandbits(64))

    async def start(self, operators: int, members: int) -> None:
        """Start everything."""
        for control in self.controls:
            control.start(bootstrap=True)
        # A node that is killed before it has set up its folder counts as one without its disk.
        while not all(control.is_serving for control in self.controls):
            await asyncio.sleep(WATCH_SECONDS)
        for number in range(operators):
            process = self.world.spawn(f"o{number + 1}", self.zones[0])
            self.world.run_in(process, self._operate(number))
        for number in range(members):
            process = self.world.spawn(f"m{number + 1}", self.zones[number % NODES])
            self.world.run_in(process, self._live(number))
        self.world.run_in(self.world.spawn("monitor", "nowhere"), self._monitor())

    async def call(self, method: str, *arguments: Any) -> Any:
        """Call any node from outside; None if there was no clear answer."""
        address = self.random.choice(self.controls).outside_address
        try:
            async with asyncio.timeout(CALL_SECONDS):
                channel = await Channel.open(self.world, self.served, address)
                try:
                    channel.send((method, arguments))
                    reply = await channel.receive()
                finally:
                    channel.close()
        except (ChannelLostError, TimeoutError):
            return None
        return None if isinstance(reply, _Unclear) else reply

    # Operators

    async def _operate(self, number: int) -> None:
        """Send versions with gaps, some equal to another operator's, again until acknowledged."""
        step = 0
        while not self.finished:
            step += self.random.randint(1, 3)
            version = step if self.random.random() < 0.7 else max(1, step - 2)
            document = f"{version} of o{number} {self.random.getrandbits(32)}".encode()
            self.oracle.sent.setdefault(version, set()).add(document)
            self.oracle.verdict.operations += 1
            while not self.finished:
                reply = await self.call("put", version, document)
                if isinstance(reply, PutReply):
                    self.oracle.note_acknowledged(version, self.world.loop.now)
                    break
                await asyncio.sleep(REPEAT_SECONDS)
            if self.random.random() < 0.3:
                await self._read()
            step = max(step, self.oracle.highest)
            await asyncio.sleep(self.random.uniform(0.0, 0.15))

    async def _read(self) -> bool:
        expected = self.oracle.highest
        reply = await self.call("document")
        if reply is None:
            return False
        self.oracle.judge_document(reply.version, reply.document, expected)
        return True

    # Members

    async def _live(self, number: int) -> None:
        """Announce one life after the other: ready, leaving, ended; some beats come late."""
        life = 0
        while not self.finished:
            life += 1
            instance = f"m{number}-{life}"
            address = f"a{number if self.random.random() < 0.5 else self.random.randrange(50)}"
            record = MemberRecord(instance, "db", address, "z1", False, False, 3, 0)
            for sequence in range(1, self.random.randint(3, 6)):
                record = msgspec.structs.replace(record, sequence=sequence)
                await self._tell("announce", record)
                self._tell_late("announce", record)
            leaving = msgspec.structs.replace(record, sequence=record.sequence + 1, leaving=True)
            if await self._tell("announce", leaving) is not None:
                self.oracle.leaving.add(instance)
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
            if await self._tell("remove", instance):
                self.oracle.ended.add(instance)

    async def _tell(self, method: str, argument: Any) -> bool | None:
        self.oracle.verdict.operations += 1
        for _ in range(20):
            reply = await self.call(method, argument)
            if reply is not None or (method == "remove" and self._knows_removed(argument)):
                self.oracle.verdict.acknowledged += 1
                return True
            if self.finished:
                return None
            await asyncio.sleep(REPEAT_SECONDS)
        return None

    def _knows_removed(self, instance: str) -> bool:
        """An acknowledgement without content can't be told from none: look at a majority."""
        states = [c.node.state for c in self.controls if c.is_serving and c.node is not None]
        return sum(instance in state.removed for state in states) > NODES // 2

    def _tell_late(self, method: str, argument: Any) -> None:
        async def late() -> None:
            await asyncio.sleep(self.random.uniform(0.2, LATE_SECONDS))
            await self.call(method, argument)

        if self.random.random() < 0.4:
            self.world.run_in(self.world.process("monitor"), late())

    # Judging

    async def _monitor(self) -> None:
        seen: dict[str, int] = {}
        while True:
            for control in self.controls:
                if not control.is_serving or control.node is None:
                    seen.pop(control.name, None)
                    continue
                version = control.node.state.version
                process = self.world.process(control.name)
                if not process.frozen and process.context.run(control.says_current):
                    self.oracle.judge_current(control.name, version, self.world.loop.now)
                if version < seen.get(control.name, 0):
                    what = f"{control.name} went from {seen[control.name]} to {version}"
                    self.oracle.violate("reverted", what)
                seen[control.name] = version
            await asyncio.sleep(WATCH_SECONDS)

    async def judge(self) -> None:
        """Judge what the system holds at the end, at every node."""
        process = self.world.spawn("judge", self.zones[0])
        for _ in range(60):
            if await self.world.run_in(process, self._read()):
                break
            await asyncio.sleep(0.1)
        else:
            self.oracle.note_not_recovered("the configuration can't be read")
        self.finished = True
        await asyncio.sleep(LATE_SECONDS + 1.0)
        for control in self.controls:
            if control.is_serving and control.node is not None:
                members = control.node.state.members
                self.oracle.judge_members(control.name, members, self.oracle.ended)
                self.oracle.judge_leaving(control.name, members, self.oracle.leaving)
