"""Fault injection into the data path: members, proxies, callers and links."""

import asyncio
import enum
import random

import msgspec

from rowanlab.simulator.backend import SimulatedMember
from rowanlab.simulator.data_world import ZONES, DataWorld
from rowanlab.standin.member import FaultRequest


class FaultKind(enum.Enum):
    """A kind of fault that can be injected."""

    KILL_PRIMARY = "kill-primary"
    KILL_REPLICA = "kill-replica"
    FREEZE_MEMBER = "freeze-member"
    CUT_PRIMARY = "cut-primary"
    CUT_ZONE = "cut-zone"
    CUT_ZONE_ONE_WAY = "cut-zone-one-way"
    LAG = "lag"
    LOST_DISK = "lost-disk"
    LATE_ANSWER = "late-answer"
    REPEATED_ANSWER = "repeated-answer"
    KILL_PROXY = "kill-proxy"
    FREEZE_PROXY = "freeze-proxy"
    STOP_PROXY = "stop-proxy"
    KILL_CALLER = "kill-caller"
    LEAVING = "leaving"


class FaultPlan(msgspec.Struct, frozen=True):
    """The faults of a run.

    :param kinds: the kinds to choose from; repeated ones are chosen more often.
    :param seconds: for how long faults are injected.
    :param pause_seconds: bounds of the pause between faults.
    """

    kinds: list[FaultKind]
    seconds: float = 4.0
    concurrent_faults: int = 1
    pause_seconds: tuple[float, float] = (0.2, 0.8)
    recovery_seconds: float = 4.0  # longer than a delayed answer can hold locks


class FaultInjector:
    """Injects the faults of a plan, repairs each, and heals everything at the end."""

    def __init__(self, data: DataWorld, plan: FaultPlan) -> None:
        self._data = data
        self._world = data.world
        self._plan = plan
        self._random: random.Random = data.new_random()
        self._busy: set[str] = set()
        self._actions = {
            FaultKind.KILL_PRIMARY: self._kill_primary,
            FaultKind.KILL_REPLICA: self._kill_replica,
            FaultKind.FREEZE_MEMBER: self._freeze_member,
            FaultKind.CUT_PRIMARY: self._cut_primary,
            FaultKind.CUT_ZONE: self._cut_zone,
            FaultKind.CUT_ZONE_ONE_WAY: self._cut_zone_one_way,
            FaultKind.LAG: self._lag,
            FaultKind.LOST_DISK: self._lose_disk,
            FaultKind.LATE_ANSWER: self._late_answer,
            FaultKind.REPEATED_ANSWER: self._repeated_answer,
            FaultKind.KILL_PROXY: self._kill_proxy,
            FaultKind.FREEZE_PROXY: self._freeze_proxy,
            FaultKind.STOP_PROXY: self._stop_proxy,
            FaultKind.KILL_CALLER: self._kill_caller,
            FaultKind.LEAVING: self._leave,
        }

    async def run(self) -> None:
        """Inject faults concurrently, then heal everything."""
        workers = [
            asyncio.ensure_future(self._inject_faults())
            for _ in range(self._plan.concurrent_faults)
        ]
        await asyncio.gather(*workers)
        self._world.heal_all()
        for member in self._data.members:
            self._set_faults(member, FaultRequest(lag_seconds=0.0, answer_delay_seconds=0.0))
            if not self._data.is_running(member):
                member.restart()

    async def _inject_faults(self) -> None:
        end = self._world.loop.now + self._plan.seconds
        while self._world.loop.now < end:
            await asyncio.sleep(self._random.uniform(*self._plan.pause_seconds))
            kind = self._random.choice(self._plan.kinds)
            self._world.fault_count += 1
            self._world.note(f"fault {kind.value}")
            await self._actions[kind]()

    def _random_seconds(self, least: float, most: float) -> float:
        return self._random.uniform(least, most)

    @staticmethod
    def _set_faults(member: SimulatedMember, request: FaultRequest) -> None:
        if member.member is not None and hasattr(member.member, "node"):
            member.member.set_faults(request)

    def _pick_member(self, primary: bool) -> SimulatedMember | None:
        current = self._data.primary()
        candidates = [
            member
            for member in self._data.members
            if self._data.is_running(member) and (member is current) == primary
        ]
        return self._random.choice(candidates) if candidates else None

    async def _kill(self, member: SimulatedMember | None, lose_disk: bool = False) -> None:
        if member is None or member.name in self._busy:
            return
        self._busy.add(member.name)
        member.kill()
        await asyncio.sleep(self._random_seconds(0.3, 1.5))
        member.restart(lose_disk)
        await asyncio.sleep(self._random_seconds(0.2, 0.8))
        self._busy.discard(member.name)

    async def _kill_primary(self) -> None:
        await self._kill(self._pick_member(primary=True))

    async def _kill_replica(self) -> None:
        await self._kill(self._pick_member(primary=False))

    async def _lose_disk(self) -> None:
        # A group is only required to survive one lost disk at a time.
        if self._data.all_voting() and not self._busy:
            await self._kill(self._pick_member(primary=False), lose_disk=True)
            for _ in range(60):
                if self._data.all_voting():
                    return
                await asyncio.sleep(0.1)

    async def _freeze_member(self) -> None:
        member = self._pick_member(primary=self._random.random() < 0.6)
        await self._freeze(member.name if member else None)

    async def _freeze_proxy(self) -> None:
        await self._freeze(self._random.choice(self._data.proxies).name)

    async def _freeze(self, name: str | None) -> None:
        if name is None or name in self._busy or not self._world.process(name).alive:
            return
        self._busy.add(name)
        self._world.freeze(name)
        await asyncio.sleep(self._random_seconds(0.2, 2.0))
        self._world.thaw(name)
        self._busy.discard(name)

    async def _cut_primary(self) -> None:
        """Partition the primary from the other members; sometimes drop its traffic to a proxy."""
        member = self._pick_member(primary=True)
        if member is None:
            return
        pairs = []
        for other in self._data.members:
            if other is not member:
                pairs += [(member.name, other.name), (other.name, member.name)]
        if self._random.random() < 0.3:
            pairs.append((member.name, self._random.choice(self._data.proxies).name))
        await self._cut(pairs)

    async def _cut_zone(self) -> None:
        zone = self._random.choice(ZONES)
        await self._cut(self._zone_pairs(zone))

    def _zone_pairs(self, zone: str) -> list[tuple[str, str]]:
        others = [other for other in ZONES if other != zone]
        return [(zone, other) for other in others] + [(other, zone) for other in others]

    async def _cut_zone_one_way(self) -> None:
        zone = self._random.choice(ZONES)
        pairs = self._zone_pairs(zone)
        half = len(pairs) // 2
        await self._cut(pairs[:half] if self._random.random() < 0.5 else pairs[half:])

    async def _cut(self, pairs: list[tuple[str, str]]) -> None:
        for source, target in pairs:
            self._world.cut(source, target)
        await asyncio.sleep(self._random_seconds(0.3, 2.0))
        for pair in pairs:
            self._world.heal(*pair)

    async def _lag(self) -> None:
        member = self._pick_member(primary=False)
        if member is not None:
            self._set_faults(member, FaultRequest(lag_seconds=self._random_seconds(0.05, 1.0)))
            await asyncio.sleep(self._random_seconds(0.3, 1.5))
            self._set_faults(member, FaultRequest(lag_seconds=0.0))

    async def _late_answer(self) -> None:
        member = self._random.choice(self._data.members)
        self._set_faults(member, FaultRequest(answer_delay_seconds=self._random_seconds(0.3, 3.0)))
        await asyncio.sleep(self._random_seconds(0.3, 1.5))
        self._set_faults(member, FaultRequest(answer_delay_seconds=0.0))

    async def _repeated_answer(self) -> None:
        member = self._random.choice(self._data.members)
        member.repeats_answers = True
        await asyncio.sleep(self._random_seconds(0.05, 0.3))
        member.repeats_answers = False

    async def _kill_proxy(self) -> None:
        proxy = self._random.choice(self._data.proxies)
        if proxy.name in self._busy:
            return
        self._busy.add(proxy.name)
        proxy.kill()
        await asyncio.sleep(self._random_seconds(0.1, 0.8))
        proxy.start(self._data.configuration)
        self._busy.discard(proxy.name)

    async def _stop_proxy(self) -> None:
        proxy = self._random.choice(self._data.proxies)
        process = self._world.process(proxy.name)
        if proxy.name in self._busy or not process.alive:
            return
        self._busy.add(proxy.name)
        task = self._world.run_in(process, proxy.stop(3.0))
        while self._world.process(proxy.name).alive and not task.done():
            await asyncio.sleep(0.05)
        await asyncio.sleep(self._random_seconds(0.1, 0.3))
        proxy.start(self._data.configuration)
        self._busy.discard(proxy.name)

    async def _kill_caller(self) -> None:
        name = f"c{self._random.randint(1, self._data.options.callers)}"
        zone = self._world.process(name).zone
        self._world.kill(name)
        await asyncio.sleep(self._random_seconds(0.05, 0.3))
        self._data.start_caller(name, zone)

    async def _leave(self) -> None:
        member = self._pick_member(primary=self._random.random() < 0.5)
        if member is None or "leaving" in self._busy:
            return
        self._busy.add("leaving")
        self._set_faults(member, FaultRequest(leaving=True))
        await asyncio.sleep(self._random_seconds(3.5, 5.0))
        self._set_faults(member, FaultRequest(leaving=False))
        self._busy.discard("leaving")
