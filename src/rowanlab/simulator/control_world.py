"""A simulated control plane: control nodes, proxies in their zones, and operators."""

import asyncio
import hashlib

import msgspec

from rowanlab.load.control_oracle import ControlOracle, FinalRevision
from rowanlab.simulator.controls import Operator, SimulatedControl
from rowanlab.simulator.network import EndpointRegistry
from rowanlab.simulator.proxies import SimulatedProxy
from rowanlab.simulator.world import World
from rowanrail.config.model import Configuration, SiteSpec, UserSpec
from rowanrail.config.settings import NodeAddress
from rowanrail.kernel.registry import Registry
from rowanrail.sql_control.messages import ApplyRequest, ChangeReply, ReadReply

ZONES = ["z1", "z2", "z3", "z4", "z5"]
CLOCK_RATES = (0.98, 1.02)
POLL_SECONDS = 0.02
IN_FORCE_TIMEOUT_SECONDS = 5.0
INITIAL_CHANGE_ID = "first"


class ControlOptions(msgspec.Struct, frozen=True):
    """Size of a control-plane run.

    :param nodes: number of control nodes, each in its own zone.
    :param honours_sync: whether the nodes' disks make synced data durable.
    """

    nodes: int = 3
    operators: int = 2
    proxies_per_zone: int = 2
    pause_seconds: float = 0.15
    snapshot_entries: int = 25
    honours_sync: bool = True


class ControlWorld:
    """The control nodes, proxies and operators of one run."""

    def __init__(self, world: World, registry: Registry, options: ControlOptions) -> None:
        self.world = world
        self.options = options
        self.oracle = ControlOracle(world.note)
        self.endpoints = EndpointRegistry()
        self.finished = False
        self.zones = ZONES[: options.nodes]
        names = [f"n{number + 1}" for number in range(options.nodes)]
        nodes = [NodeAddress(name, f"{name}:7100") for name in names]
        self.controls = [
            SimulatedControl(
                world,
                self.endpoints,
                name,
                zone,
                nodes,
                registry,
                world.random.uniform(*CLOCK_RATES),
                options.honours_sync,
                options.snapshot_entries,
            )
            for name, zone in zip(names, self.zones, strict=True)
        ]
        self.proxies = [
            self._create_proxy(zone, number, registry)
            for zone in self.zones
            for number in range(options.proxies_per_zone)
        ]
        self.operators = [self._create_operator(f"o{n + 1}") for n in range(options.operators)]
        self._zone_floors: dict[str, int] = {}

    def _create_proxy(self, zone: str, number: int, registry: Registry) -> SimulatedProxy:
        own = [control.rpc_address for control in self.controls if control.zone == zone]
        others = [control.rpc_address for control in self.controls if control.zone != zone]
        name = f"p-{zone}-{number + 1}"
        peers = [
            f"p-{zone}-{other + 1}:7000"
            for other in range(self.options.proxies_per_zone)
            if other != number
        ]
        rate = self.world.random.uniform(*CLOCK_RATES)
        return SimulatedProxy(
            self.world, self.endpoints, name, zone, registry, rate, [*own, *others], peers
        )

    def _create_operator(self, name: str) -> Operator:
        addresses = [control.operator_address for control in self.controls]
        return Operator(
            self.world, self.endpoints, name, addresses, self.oracle, self.options.pause_seconds
        )

    async def start(self) -> None:
        """Start all processes and apply the initial configuration."""
        for control in self.controls:
            control.start(bootstrap=True)
        while self.leader() is None:
            await asyncio.sleep(POLL_SECONDS)
        await self._apply_initial_configuration()
        self.world.run_in(self.world.spawn("monitor", "nowhere"), self._monitor())
        for proxy in self.proxies:
            self.start_proxy(proxy)
        for operator in self.operators:
            process = self.world.spawn(operator.name, ZONES[0])
            self.world.run_in(process, operator.run(lambda: self.finished))

    async def _apply_initial_configuration(self) -> None:
        users = [UserSpec(f"u{number}", "0" * 40) for number in range(4)]
        first = Configuration(sites=[SiteSpec("site", "region", self.zones)], users=users)
        leader = self.leader()
        assert leader is not None and leader.node is not None
        request = ApplyRequest(INITIAL_CHANGE_ID, "setup", 0, first)
        service = leader.node.service
        process = self.world.process(leader.name)
        reply = await self.world.run_in(process, service.call_leader_with_retry(request))
        assert isinstance(reply, ChangeReply)

    def leader(self) -> SimulatedControl | None:
        """Return the established leader with the highest term."""
        found = [
            control
            for control in self.controls
            if control.is_serving
            and control.node is not None
            and control.node.consensus.raft.is_established_leader
        ]
        return max(found, key=_term, default=None)

    # Proxies

    def start_proxy(self, proxy: SimulatedProxy) -> None:
        """Start a proxy, whose first version is checked against those in force in its zone."""
        floor = self._zone_version(proxy)
        proxy.start(None)
        self._zone_floors[proxy.incarnation] = floor

    def _zone_version(self, starting: SimulatedProxy) -> int:
        """Return the highest version in force at the zone's other running proxies."""
        versions = [
            proxy.core.in_force.version
            for proxy in self.proxies
            if proxy.zone == starting.zone
            and proxy is not starting
            and proxy.core is not None
            and self.world.process(proxy.name).alive
        ]
        return max(versions, default=0)

    async def _monitor(self) -> None:
        while True:
            for proxy in self.proxies:
                if proxy.core is not None and self.world.process(proxy.name).alive:
                    self._check_proxy(proxy)
            for control in self.controls:
                if control.is_serving and control.node is not None:
                    raft = control.node.consensus.raft
                    if raft.is_leader:
                        self.oracle.note_leader(raft.term, raft.node)
            await asyncio.sleep(POLL_SECONDS)

    def _check_proxy(self, proxy: SimulatedProxy) -> None:
        assert proxy.core is not None
        version = proxy.core.in_force.version
        if version:
            self.oracle.note_in_force(proxy.incarnation, version)
            floor = self._zone_floors.pop(proxy.incarnation, None)
            if floor is not None:
                self.oracle.check_first_version(proxy.incarnation, floor)

    # Final checks

    async def judge(self) -> None:
        """Check the final history, the versions in force and the committed logs."""
        read = await self._read_final_configuration()
        if read is None:
            self.oracle.note_not_recovered("the configuration can't be read")
            return
        history = [FinalRevision(item.version, item.change_id) for item in read.history]
        registers = {user.name: user.password_hash for user in read.configuration.users}
        self.oracle.judge(history, registers)
        await self._check_in_force(read.version)
        self._check_logs()

    async def _read_final_configuration(self) -> ReadReply | None:
        judge = self._create_operator("judge")
        process = self.world.spawn("judge", ZONES[0])
        for _ in range(50):
            reply: ReadReply | None = await self.world.run_in(process, judge.read())
            if reply is not None:
                return reply
            await asyncio.sleep(0.1)
        return None

    async def _check_in_force(self, version: int) -> None:
        deadline = self.world.loop.now + IN_FORCE_TIMEOUT_SECONDS
        while self.world.loop.now < deadline:
            behind = [proxy.name for proxy in self.proxies if _in_force(proxy) < version]
            if not behind:
                return
            await asyncio.sleep(POLL_SECONDS)
        self.oracle.note_not_in_force(f"{', '.join(behind)} did not take version {version}")

    def _check_logs(self) -> None:
        for control in self.controls:
            if not control.is_serving or control.node is None:
                continue
            raft = control.node.consensus.raft
            first = raft.log.snapshot_index + 1
            for entry in raft.log.entries_between(first, raft.commit_index):
                text = f"{entry.term}/{entry.kind}/{hashlib.sha256(entry.data).hexdigest()}"
                self.oracle.note_committed(entry.index, text, control.name)


def _term(control: SimulatedControl) -> int:
    assert control.node is not None
    return control.node.consensus.raft.term


def _in_force(proxy: SimulatedProxy) -> int:
    return proxy.core.in_force.version if proxy.core is not None else 0
