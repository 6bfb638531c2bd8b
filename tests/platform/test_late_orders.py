"""Promotion orders without an answer that are carried out late, with processes.

The primary is dark for a while. Its clients must get acknowledgements again soon after it is back,
and what was acknowledged must be in the log of each member that takes over.

``python -m tests.platform.test_late_orders [CHECKOUT]`` prints the longest time without an
acknowledged write for 0, 1 and 2 acknowledging replicas, with the programs of another checkout.
"""

import asyncio
import itertools
import sys
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from tests.support.acknowledging_members import (
    AcknowledgingConnection,
    AcknowledgingGroup,
    AcknowledgingMember,
)
from tests.support.platform_fleet import DEFAULT_NETWORK, LineClient, PlatformFleet, configuration

DARK_SECONDS = 2.4
PROMOTE_SECONDS = 0.6
SLACK_SECONDS = 1.0
DOWN_SECONDS = 1.0
CLIENTS = 4
PAUSE_SECONDS = 0.05  # of a client between two writes
CALM_SECONDS = 4.0  # after a late order was carried out
NEVER = 3600.0
FIRST_NETWORK = 130  # of the fleets that run side by side


class DarkConnection(AcknowledgingConnection):
    """Drops what arrives while its member is dark."""

    def handle_line(self, line: str) -> None:
        member = self.member
        assert isinstance(member, DarkMember)
        if not member.is_dark:
            super().handle_line(line)


class DarkMember(AcknowledgingMember):
    """A member that may neither run nor answer anything for a while, nor send its log."""

    connection_type = DarkConnection
    is_dark = False

    def set_dark(self, is_dark: bool) -> None:
        self.is_dark = is_dark
        self.is_running = not is_dark
        if not is_dark:
            self.acknowledging_group.replicate()


class CheckedGroup(AcknowledgingGroup):
    """Compares what clients were told with the log of each member that takes over."""

    def __init__(self) -> None:
        super().__init__("db")
        self.told: dict[str, float] = {}  # acknowledged values with their times
        self.missing: set[str] = set()
        self.takeovers: list[str] = []

    def promote(self, instance: str) -> None:
        member = self.members[instance]
        assert isinstance(member, DarkMember)
        if member.is_running and not member.is_primary:
            self.takeovers.append(instance)
            if self.sync_replicas:
                self.missing |= self.told.keys() - set(member.values)
        super().promote(instance)


class LateOrderRun:
    """One fleet with clients that write, from the loss of its primary until all is calm again."""

    def __init__(self, network: int, needed: int, late: float, checkout: Path | None) -> None:
        self.group = CheckedGroup()
        self.group.sync_replicas = needed
        self.fleet = PlatformFleet(3, 1, group=self.group, member_type=DarkMember, network=network)
        if checkout is not None:
            self.fleet.checkouts = [checkout]
        self.needed = needed
        self.late = late
        self.is_over = False

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    async def run(self, scenario: Callable[["LateOrderRun"], Awaitable[None]]) -> "LateOrderRun":
        async with self.fleet as fleet:
            services = [{"name": "db", "max-conns": 40, "sync-replicas": self.needed}]
            await fleet.until(lambda: fleet.put(configuration(2, services=services)), 200)
            fleet.platform.promote_seconds = PROMOTE_SECONDS
            fleet.platform.late = [self.late]
            clients = [asyncio.ensure_future(self._write(n)) for n in range(CLIENTS)]
            await asyncio.sleep(3.0)
            self.first = fleet.members[0]
            self.dark_at = self.now()
            await scenario(self)
            await asyncio.sleep(CALM_SECONDS)
            self.ended_at = self.now()
            self.is_over = True
            await asyncio.gather(*clients)
        return self

    async def _write(self, client_number: int) -> None:
        """Write on the primary's route until the run is over; connect again after failures."""
        client: LineClient | None = None
        for number in itertools.count():
            if self.is_over:
                break
            value = f"c{client_number}-{number}"
            try:
                client = client or await self.fleet.client("orders")
                lines = await client.query(f"WRITE key-{client_number} {value}")
            except (OSError, TimeoutError):
                lines = []
            if len(lines) >= 2 and lines[-2].startswith("DONE"):
                self.group.told[value] = self.now()
            if not lines or not lines[-1].startswith("READY I"):
                client = None
            await asyncio.sleep(PAUSE_SECONDS)

    async def dark(self, member: AcknowledgingMember, seconds: float = DARK_SECONDS) -> None:
        assert isinstance(member, DarkMember)
        self.fleet.states[member.instance] = "gone"
        member.set_dark(True)
        await asyncio.sleep(seconds)
        member.set_dark(False)
        self.fleet.states[member.instance] = "ready"

    async def ordered(self) -> None:
        """Wait until the order was sent that gets no answer."""
        async with asyncio.timeout(DARK_SECONDS):
            while self.fleet.platform.late:
                await asyncio.sleep(0.01)
        self.detected_in = self.now() - self.dark_at

    @property
    def gap(self) -> float:
        """Longest time without an acknowledged write since the primary was dark."""
        times = sorted(at for at in self.group.told.values() if at >= self.dark_at)
        moments = [self.dark_at, *times, self.ended_at]
        return max(b - a for a, b in itertools.pairwise(moments))

    @property
    def allowed_gap(self) -> float:
        return DARK_SECONDS + self.detected_in + PROMOTE_SECONDS + SLACK_SECONDS


async def lose_primary(run: LateOrderRun) -> None:
    """The primary is dark and back; nothing else happens."""
    await asyncio.gather(run.dark(run.first), run.ordered())
    await asyncio.sleep(min(run.late, 9.0))


async def lose_leader(run: LateOrderRun) -> None:
    """The leading control node is killed after the order, and is back later."""
    dark = asyncio.ensure_future(run.dark(run.first))
    await run.ordered()
    leader = await run.fleet.leader()
    run.fleet.kill(leader)
    await asyncio.sleep(DOWN_SECONDS)
    run.fleet.restart(leader)
    await dark
    await asyncio.sleep(run.late)


async def lose_all_control_nodes(run: LateOrderRun) -> None:
    """All control nodes are killed after the order, and are back later."""
    dark = asyncio.ensure_future(run.dark(run.first))
    await run.ordered()
    for host in run.fleet.control_hosts:
        run.fleet.kill(host)
    await asyncio.sleep(DOWN_SECONDS)
    for host in run.fleet.control_hosts:
        run.fleet.restart(host)
    await dark
    await asyncio.sleep(run.late)


async def lose_primary_twice(run: LateOrderRun) -> None:
    """The primary is dark once more, a second after it was back."""
    await asyncio.gather(run.dark(run.first), run.ordered())
    await asyncio.sleep(1.0)
    await run.dark(run.first)
    await asyncio.sleep(run.late)


async def restart_replica(run: LateOrderRun) -> None:
    """A replica that the order doesn't name starts again, which ends its pause."""
    await asyncio.gather(run.dark(run.first), run.ordered())
    await asyncio.sleep(1.0)
    named = run.fleet.platform.calls[-1][2] if run.fleet.platform.calls else ""
    others = [m for m in run.fleet.members[1:] if m.instance != named]
    await run.dark(others[0], 1.0)
    others[0].replication_paused = False
    await asyncio.sleep(run.late)


SCENARIOS: dict[str, tuple[Callable[[LateOrderRun], Awaitable[None]], float]] = {
    "order 12 s late": (lose_primary, 12.0),
    "order never carried out": (lose_primary, NEVER),
    "leader killed": (lose_leader, 9.0),
    "all control nodes killed": (lose_all_control_nodes, 9.0),
    "primary dark twice": (lose_primary_twice, 9.0),
    "replica starts again": (restart_replica, 9.0),
}


@dataclass
class LateOrderCase:
    """A scenario with a number of acknowledging replicas, and its result."""

    name: str
    needed: int
    run: LateOrderRun


async def play(needed: int, checkout: Path | None = None) -> list[LateOrderCase]:
    """Play all scenarios side by side."""
    runs = [
        LateOrderRun(FIRST_NETWORK + DEFAULT_NETWORK + number, needed, late, checkout)
        for number, (_, late) in enumerate(SCENARIOS.values())
    ]
    scenarios = [scenario for scenario, _ in SCENARIOS.values()]
    await asyncio.gather(
        *(run.run(scenario) for run, scenario in zip(runs, scenarios, strict=True))
    )
    return [LateOrderCase(name, needed, run) for name, run in zip(SCENARIOS, runs, strict=True)]


class LateOrdersTest(unittest.TestCase):
    def check(self, needed: int) -> None:
        for case in asyncio.run(play(needed)):
            with self.subTest(case.name):
                self.assertEqual(case.run.group.missing, set())
                self.assertLess(case.run.gap, case.run.allowed_gap)

    # Writes rested until the old order happened to be carried out, and what was acknowledged by a
    # replica that had started again was lost then.
    def test_writes_return_with_the_primary_and_nothing_acknowledged_is_lost(self) -> None:
        self.check(1)


def main() -> None:
    checkout = Path(sys.argv[1]).resolve() if len(sys.argv) > 1 else None
    for needed in (0, 1, 2):
        for case in asyncio.run(play(needed, checkout)):
            run = case.run
            print(
                f"sync-replicas {needed}, {case.name}: {run.gap:.1f} s without an acknowledged "
                f"write (allowed {run.allowed_gap:.1f}), {len(run.group.missing)} of "
                f"{len(run.group.told)} lost, takeovers {len(run.group.takeovers)}, "
                f"calls {len(run.fleet.platform.calls)}"
            )


if __name__ == "__main__":
    main()
