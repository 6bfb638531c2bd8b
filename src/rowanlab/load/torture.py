"""The ``rowanlab torture`` command: a load on a fleet with random faults."""

import asyncio
import random
import signal
import statistics
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from rowanlab.fleet import faults
from rowanlab.fleet.forwarder import Direction
from rowanlab.fleet.layout import FleetOptions, Process
from rowanlab.fleet.profiles import Profile
from rowanlab.fleet.runner import Fleet, free_subnet
from rowanlab.load.demo import primary_of
from rowanlab.load.running import RunningLoad
from rowanlab.load.workload import LoadOptions
from rowanlab.standin.member import FaultRequest

SUBNET = 40
CALLERS = 16
GAP_WINDOW_SECONDS = 10.0
RECOVERY_SECONDS = 6.0
PAUSE_SECONDS = (0.5, 2.0)


class TortureReport(msgspec.Struct):
    """The results, printed as JSON by ``rowanlab torture``.

    :param failover_gap_ms: longest time without an acknowledged write after a primary was
        killed, as the median over all such kills.
    """

    profile: str
    seed: int
    seconds: float
    acknowledged: int
    acknowledged_after_heal: int
    not_run: int
    unknown: int
    reads: int
    lost: int
    doubled: int
    stale_reads: int
    mixed: int
    false_not_run: int
    faults: dict[str, int]
    failover_gap_ms: float | None
    failover_gap_max_ms: float | None
    examples: list[str]

    @property
    def passed(self) -> bool:
        """Whether no guarantee was broken and writes succeeded after the faults."""
        broken = self.lost + self.doubled + self.stale_reads + self.mixed + self.false_not_run
        return broken == 0 and self.acknowledged_after_heal > 0


class FleetFaultInjector:
    """Injects random faults into a fleet, one at a time, and repairs each."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.counts: dict[str, int] = {}
        self.killed_at: list[float] = []
        self._fleet = fleet
        self._group = fleet.file.groups[0]
        self._random = random.Random(seed)
        self._faults: dict[str, Callable[[], Awaitable[None]]] = {
            "kill-primary": self._kill_primary,
            "kill-replica": self._kill_replica,
            "kill-proxy": self._kill_proxy,
            "kill-control": self._kill_control,
            "freeze": self._freeze,
            "cut": self._cut,
            "lag": self._lag,
        }

    async def run(self, seconds: float) -> None:
        """Inject faults for the given time, beginning with a killed primary."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        name = "kill-primary"
        while loop.time() < end:
            self.counts[name] = self.counts.get(name, 0) + 1
            await self._faults[name]()
            await self._pause(*PAUSE_SECONDS)
            name = self._random.choice(sorted(self._faults))

    async def _pause(self, least: float, most: float) -> None:
        await asyncio.sleep(self._random.uniform(least, most))

    async def _primary(self) -> str:
        while not (name := await asyncio.to_thread(primary_of, self._fleet, self._group.name)):
            await asyncio.sleep(0.05)
        return name

    async def _kill(self, name: str) -> None:
        await asyncio.to_thread(self._fleet.kill, name)
        await self._pause(0.5, 2.5)
        await asyncio.to_thread(self._fleet.restart, name)
        await self._pause(0.5, 1.0)

    async def _kill_primary(self) -> None:
        name = await self._primary()
        self.killed_at.append(asyncio.get_running_loop().time())
        await self._kill(name)

    async def _kill_replica(self) -> None:
        primary = await self._primary()
        replicas = [member.name for member in self._group.members if member.name != primary]
        await self._kill(self._random.choice(replicas))

    async def _kill_proxy(self) -> None:
        await self._kill(self._random.choice(self._fleet.file.proxies).name)

    async def _kill_control(self) -> None:
        await self._kill(self._random.choice(self._fleet.file.controls).name)

    def _any_process(self) -> Process:
        file = self._fleet.file
        return self._random.choice([*self._group.members, *file.controls, *file.proxies])

    async def _freeze(self) -> None:
        name = self._any_process().name
        self._fleet.signal(name, signal.SIGSTOP)
        await self._pause(0.5, 3.0)
        self._fleet.signal(name, signal.SIGCONT)

    async def _cut(self) -> None:
        zone = self._random.choice(self._fleet.file.zones())
        direction = self._random.choice(list(Direction))
        await asyncio.to_thread(faults.cut, self._fleet.file, zone, direction, True)
        await self._pause(0.5, 3.0)
        await asyncio.to_thread(faults.cut, self._fleet.file, zone, Direction.BOTH, False)

    async def _lag(self) -> None:
        name = self._random.choice(self._group.members).name
        lag_seconds = self._random.uniform(0.1, 1.0)
        await self._set_lag(name, lag_seconds)
        await self._pause(0.5, 2.0)
        await self._set_lag(name, 0.0)

    async def _set_lag(self, name: str, seconds: float) -> None:
        request = FaultRequest(lag_seconds=seconds)
        await asyncio.to_thread(faults.set_member_faults, self._fleet.file, name, request)


async def _run(fleet: Fleet, profile: Profile, seconds: float, seed: int) -> TortureReport:
    options = LoadOptions(CALLERS, seconds, profile.read_share, seed)
    load = RunningLoad(fleet.file, fleet.file.groups[0].database, options)
    await load.start()
    await asyncio.sleep(1.0)
    injector = FleetFaultInjector(fleet, seed)
    await injector.run(seconds)
    before = load.oracle.verdict.acknowledged
    await asyncio.sleep(RECOVERY_SECONDS)
    after_heal = load.oracle.verdict.acknowledged - before
    verdict = await load.finish()
    gaps = [
        load.longest_gap_seconds(at, at + GAP_WINDOW_SECONDS) * 1000 for at in injector.killed_at
    ]
    return TortureReport(
        profile=profile.name,
        seed=seed,
        seconds=seconds,
        acknowledged=verdict.acknowledged,
        acknowledged_after_heal=after_heal,
        not_run=verdict.not_run,
        unknown=verdict.unknown,
        reads=verdict.reads,
        lost=verdict.lost,
        doubled=verdict.doubled,
        stale_reads=verdict.stale_reads,
        mixed=verdict.mixed,
        false_not_run=verdict.false_not_run,
        faults=injector.counts,
        failover_gap_ms=round(statistics.median(gaps), 1) if gaps else None,
        failover_gap_max_ms=round(max(gaps), 1) if gaps else None,
        examples=verdict.examples,
    )


def torture(profile: Profile, seconds: float, seed: int, folder: Path) -> TortureReport:
    """Start a fleet, run the load under faults and return the report."""
    fleet = Fleet(profile, FleetOptions(subnet=free_subnet(SUBNET), groups=1), folder)
    try:
        fleet.start()
        return asyncio.run(_run(fleet, profile, seconds, seed))
    finally:
        fleet.stop()
