"""Planned moves of a primary whose replicas receive its commits late. Runs processes."""

import asyncio
import itertools
import os
import statistics
import unittest

from tests.support.line_member import Group
from tests.support.platform_fleet import PlatformFleet, configuration

# ROWANRAIL_TEST_MOVES sets another number of moves.
MOVES = int(os.environ.get("ROWANRAIL_TEST_MOVES", "6"))
MOVES_WITHOUT_LEADER = max(2, MOVES // 5)
PROMOTE_SECONDS = float(os.environ.get("ROWANRAIL_TEST_PROMOTE_SECONDS", "0.3"))
WRITERS = 4
USUAL_LAG_SECONDS, LONGEST_LAG_SECONDS = 0.06, 0.36
SLOW_COMMITS = 150  # of as many in a row, each of these numbers of commits begins a slow spell
MOVE_TIMEOUT_SECONDS = 15.0
SETTLE_SECONDS = 0.3  # between two moves


class LaggingGroup(Group):
    """A group whose replicas are 60 ms behind, and 360 ms in every seventh spell of commits."""

    def __init__(self) -> None:
        super().__init__("db", USUAL_LAG_SECONDS)
        self.commits = 0

    def lag(self) -> float:
        self.commits += 1
        is_slow = self.commits // SLOW_COMMITS % 7 == 6
        return LONGEST_LAG_SECONDS if is_slow else USUAL_LAG_SECONDS


class Writers:
    """Clients that write distinct values, singly and in transactions."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.acknowledged: list[str] = []
        self.refused: list[str] = []  # with the promise that nothing was kept
        self.unclear = 0
        self.ended = False
        self.acknowledged_at: list[float] = []
        self._numbers = itertools.count()

    async def run(self, host: str, in_transactions: bool) -> None:
        client = await self.fleet.client("orders", host)
        while not self.ended:
            value = f"v{next(self._numbers)}"
            write = f"WRITE key {value}"
            texts = ["BEGIN", write, "COMMIT"] if in_transactions else [write]
            lines: list[str] = []
            for text in texts:
                lines = await client.query(text)
                if not lines or lines[0].startswith("ERROR"):
                    break
            self._record(value, lines)
            if not lines:
                client = await self.fleet.client("orders", host)
            elif not lines[-1].startswith("READY I"):
                await client.query("ROLLBACK")
            await asyncio.sleep(0.002)

    def _record(self, value: str, lines: list[str]) -> None:
        if not lines:
            self.unclear += 1
        elif lines[0].startswith("DONE sig."):
            self.acknowledged.append(value)
            self.acknowledged_at.append(asyncio.get_running_loop().time())
        elif lines[0].split(" ")[1] in ("BUSY", "ABORTED", "LAGGING", "READONLY"):
            self.refused.append(value)
        else:
            self.unclear += 1

    def longest_pause(self, since: float) -> float:
        """Return the longest time without an acknowledgement after ``since``."""
        times = [since, *(at for at in self.acknowledged_at if at >= since)]
        return max((after - before for before, after in itertools.pairwise(times)), default=0.0)


class PlannedMoveTest(unittest.IsolatedAsyncioTestCase):
    async def run_moves(self, number: int, kill_leader: bool) -> None:
        """Move the primary a number of times under writes, and check which writes were kept."""
        async with PlatformFleet(controls=3, proxies=2, group=LaggingGroup()) as fleet:
            fleet.platform.promote_seconds = PROMOTE_SECONDS
            writers = Writers(fleet)
            tasks = [
                asyncio.ensure_future(writers.run(fleet.proxy_hosts[n % 2], n == 0))
                for n in range(WRITERS)
            ]
            pauses = [await self.move_primary(fleet, writers, kill_leader) for _ in range(number)]
            writers.ended = True
            await asyncio.gather(*tasks)
            kept = [value for _, writes in fleet.group.newest_log for _, value in writes]
            print(
                f"{number} moves, writes {len(writers.acknowledged)}, "
                f"refused {len(writers.refused)}, unclear {writers.unclear}, "
                f"pause {statistics.median(pauses):.3f} s, at most {max(pauses):.3f} s"
            )
            self.assertEqual(sorted(set(writers.acknowledged) - set(kept)), [])
            self.assertEqual(sorted(set(writers.refused) & set(kept)), [])
            self.assertEqual(len(kept), len(set(kept)))
            logs = "".join(fleet.log(host) for host in fleet.control_hosts)
            # A killed leader has not written its last lines; the next one orders the promotion.
            signs = ["it has all commits of the demoted primary"]
            if not kill_leader:
                signs = [f'"event":{event}' for event in (480, 481, 482)]
            for sign in signs:
                self.assertGreaterEqual(logs.count(sign), number, sign)

    async def move_primary(
        self, fleet: PlatformFleet, writers: Writers, kill_leader: bool
    ) -> float:
        """Have the primary leave and return; return the pause of writes in seconds."""
        loop = asyncio.get_running_loop()
        leader = await fleet.leader()
        began = loop.time()
        leaving = fleet.group.primary
        fleet.states[leaving.instance] = "draining"
        async with asyncio.timeout(MOVE_TIMEOUT_SECONDS):
            while leaving.is_primary:
                await asyncio.sleep(0.002)
            if kill_leader:
                fleet.kill(leader)
            while not any(member.is_primary for member in fleet.members):
                await asyncio.sleep(0.01)
            moved = loop.time()
            while not any(at > moved for at in writers.acknowledged_at[-1:]):
                await asyncio.sleep(0.01)
        if kill_leader:
            fleet.restart(leader)
            await fleet.until(lambda: self.has_leader(fleet), True)
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.states[leaving.instance] = "ready"
        await asyncio.sleep(SETTLE_SECONDS)
        return writers.longest_pause(began)

    @staticmethod
    async def has_leader(fleet: PlatformFleet) -> bool:
        return bool(await fleet.leader())

    async def test_no_acknowledged_commit_is_lost_by_planned_moves(self):
        await self.run_moves(MOVES, kill_leader=False)

    async def test_none_is_lost_if_the_leader_is_killed_after_the_demotion(self):
        await self.run_moves(MOVES_WITHOUT_LEADER, kill_leader=True)

    async def test_a_primary_moves_into_the_regions_of_its_routes(self):
        regions = {"a": "east", "b": "west"}
        async with PlatformFleet(controls=3, proxies=1, regions=regions) as fleet:
            fleet.members[2].zone = "b"
            routes = [
                {**route, "allowed-regions": ["west"]} for route in configuration(2)["routes"]
            ]
            self.assertEqual(await fleet.put(configuration(2, routes=routes)), 200)
            async with asyncio.timeout(MOVE_TIMEOUT_SECONDS):
                while not fleet.members[2].is_primary:
                    await asyncio.sleep(0.01)
            logs = "".join(fleet.log(host) for host in fleet.control_hosts)
            self.assertIn("outside the regions", logs)
            metrics = await fleet.metrics(await fleet.leader())
            self.assertIn("rowanrail_control_primary_moves", metrics)
