"""A simulated data path: one database group, proxies and callers in three zones."""

import asyncio
import random

import msgspec

from rowanlab.load.oracle import Oracle
from rowanlab.load.workload import (
    Caller,
    Connect,
    LoadOptions,
    count_rows_by_operation,
    create_tables,
)
from rowanlab.simulator.backend import SimulatedMember
from rowanlab.simulator.network import EndpointRegistry
from rowanlab.simulator.proxies import SimulatedCaller, SimulatedProxy
from rowanlab.simulator.world import World
from rowanrail.config.model import (
    Configuration,
    GroupConsistency,
    GroupSpec,
    LimitsSpec,
    MemberSpec,
    SiteSpec,
    UserSpec,
    VersionedConfiguration,
)
from rowanrail.config.settings import NodeAddress
from rowanrail.kernel.registry import Registry
from rowanrail.sql_proxy.backend import MemberRole

ZONES = ["z1", "z2", "z3"]
GROUP = "group"
READY_SECONDS = 10.0
CLOCK_RATES = (0.98, 1.02)


class DataOptions(msgspec.Struct, frozen=True):
    """Size and workload of a data-path run."""

    callers: int = 5
    proxies: int = 2
    read_share: float = 0.5
    pause_seconds: float = 0.08
    consistency: GroupConsistency = GroupConsistency.SESSION
    statement_deadline_seconds: float = 2.0


class DataWorld:
    """The members, proxies and callers of one run."""

    def __init__(self, world: World, registry: Registry, seed: int, options: DataOptions) -> None:
        self.world = world
        self.options = options
        self.oracle = Oracle(world.note)
        self.endpoints = EndpointRegistry()
        self.finished = False
        self.members = self._create_members()
        self.configuration = self._create_configuration()
        self.proxies = [
            SimulatedProxy(
                world,
                self.endpoints,
                f"p{number + 1}",
                ZONES[number],
                registry,
                self._rate(),
                [],
                [],
            )
            for number in range(options.proxies)
        ]
        self._seed = seed
        self._caller_starts = 0
        self._callers: list[Caller] = []

    def _rate(self) -> float:
        return self.world.random.uniform(*CLOCK_RATES)

    def _create_members(self) -> list[SimulatedMember]:
        names = [f"m{number + 1}" for number in range(len(ZONES))]
        nodes = [NodeAddress(name, f"{name}:7000") for name in names]
        return [
            SimulatedMember(self.world, self.endpoints, GROUP, name, zone, nodes, self._rate())
            for name, zone in zip(names, ZONES, strict=True)
        ]

    def _create_configuration(self) -> VersionedConfiguration:
        group = GroupSpec(
            name=GROUP,
            databases=["data"],
            members=[
                MemberSpec(member.name, member.zone, member.address) for member in self.members
            ],
            consistency=self.options.consistency,
            limits=LimitsSpec(
                statement_deadline_seconds=self.options.statement_deadline_seconds,
                failover_wait_seconds=1.5,
                transaction_idle_seconds=2.0,
            ),
        )
        configuration = Configuration(
            sites=[SiteSpec("site", "region", ZONES)],
            groups=[group],
            users=[UserSpec("caller", "0" * 40)],
        )
        return VersionedConfiguration(1, configuration)

    async def start(self) -> None:
        """Start all processes, wait for a primary and create the tables."""
        for member in self.members:
            member.start(bootstrap=True)
        for proxy in self.proxies:
            proxy.start(self.configuration)
        while self.primary() is None:
            await asyncio.sleep(0.05)
        process = self.world.spawn("setup", ZONES[0])
        await self.world.run_in(process, create_tables(self.connectors()[0]))
        for number in range(self.options.callers):
            self.start_caller(f"c{number + 1}", ZONES[number % len(ZONES)])

    def connectors(self) -> list[Connect]:
        """Return a connect function for each proxy."""

        def to(proxy: SimulatedProxy) -> Connect:
            async def connect() -> SimulatedCaller:
                return await SimulatedCaller.open(self.world, self.endpoints, proxy)

            return connect

        return [to(proxy) for proxy in self.proxies]

    def start_caller(self, name: str, zone: str) -> None:
        """Start a caller's process. Each start writes to keys of its own."""
        self._caller_starts += 1
        options = LoadOptions(
            callers=self.options.callers,
            seconds=0.0,
            read_share=self.options.read_share,
            seed=self._seed,
            pause_seconds=self.options.pause_seconds,
        )
        caller = Caller(
            f"{name}x{self._caller_starts}",
            self.connectors(),
            self.oracle,
            options,
            self.world.wall_clock,
        )
        self._callers.append(caller)
        process = self.world.spawn(name, zone)
        self.world.run_in(process, caller.run(lambda: self.finished))

    def primary(self) -> SimulatedMember | None:
        """Return the established primary with the highest term."""
        best: SimulatedMember | None = None
        best_term = -1
        for member in self.members:
            if not self.is_running(member) or member.member is None:
                continue
            if not hasattr(member.member, "node"):
                continue
            status = member.member.status()
            if status.role is MemberRole.PRIMARY and status.term > best_term:
                best, best_term = member, status.term
        return best

    def is_running(self, member: SimulatedMember) -> bool:
        """Return whether a member's process is alive."""
        return self.world.process(member.name).alive

    def all_voting(self) -> bool:
        """Return whether every member runs and is a voter."""
        for member in self.members:
            if not self.is_running(member) or member.member is None:
                return False
            if not hasattr(member.member, "node"):
                return False
            if member.member.status().role is MemberRole.LEARNER:
                return False
        return True

    async def judge(self) -> None:
        """Pass the final contents, as read by a new session, to the oracle."""
        for member in self.members:
            late = member.late_work + (member.member.late_work if member.member else 0)
            self.oracle.note_late_work(member.name, late)
        process = self.world.spawn("judge", ZONES[0])
        rows = await self.world.run_in(process, count_rows_by_operation(self.connectors()))
        self.oracle.judge(rows)

    def new_random(self) -> random.Random:
        """Return a new random generator, seeded by the world's."""
        return random.Random(self.world.random.getrandbits(64))
