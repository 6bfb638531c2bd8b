"""The ``rowanlab demo`` command: a short load during which a primary is killed."""

import asyncio
from pathlib import Path

import msgspec

from rowanlab.fleet.layout import FleetOptions
from rowanlab.fleet.profiles import BLUE_MAHOE
from rowanlab.fleet.runner import Fleet, free_subnet
from rowanlab.load.oracle import Verdict
from rowanlab.load.running import RunningLoad
from rowanlab.load.workload import LoadOptions

SUBNET = 30
CALLERS = 24
LOAD_SECONDS = 12.0
KILL_AFTER_SECONDS = 5.0


class DemoSummary(msgspec.Struct):
    """The results of the demonstration."""

    verdict: Verdict
    replica_read_share: float
    failover_gap_seconds: float
    killed: str

    @property
    def passed(self) -> bool:
        """Whether no guarantee was broken and writes were acknowledged."""
        return self.verdict.violations == 0 and self.verdict.acknowledged > 0


def primary_of(fleet: Fleet, group: str) -> str:
    """Return the name of a group's primary as reported by proxies, empty if there is none."""
    status = fleet.client().request("GET", "/v1/status").body
    best = ("", -1)
    for report in status["proxies"]:
        for member in report["groups"]:
            is_primary = member["group"] == group and member["role"] == "primary"
            if is_primary and member["reachable"] and member["term"] > best[1]:
                best = (member["member"], member["term"])
    return best[0]


def replica_read_share(fleet: Fleet) -> float:
    """Return the fraction of reads that replicas served."""
    status = fleet.client().request("GET", "/v1/status").body
    replica = sum(report["replica_reads"] for report in status["proxies"])
    primary = sum(report["primary_reads"] for report in status["proxies"])
    return float(replica / (replica + primary)) if replica + primary else 0.0


async def run_demo(fleet: Fleet) -> DemoSummary:
    """Run the load on a running fleet, and kill a primary midway."""
    group = fleet.file.groups[0]
    options = LoadOptions(CALLERS, LOAD_SECONDS, BLUE_MAHOE.read_share, seed=1)
    load = RunningLoad(fleet.file, group.database, options)
    await load.start()
    await asyncio.sleep(KILL_AFTER_SECONDS)
    killed = await asyncio.to_thread(primary_of, fleet, group.name)
    killed_at = asyncio.get_running_loop().time()
    await asyncio.to_thread(fleet.kill, killed)
    await asyncio.sleep(LOAD_SECONDS - KILL_AFTER_SECONDS)
    verdict = await load.finish()
    share = await asyncio.to_thread(replica_read_share, fleet)
    return DemoSummary(verdict, share, load.longest_gap_seconds(killed_at), killed)


def demo(folder: Path) -> bool:
    """Start a fleet, run the demonstration, print a summary and return whether it passed."""
    options = FleetOptions(subnet=free_subnet(SUBNET), groups=1)
    fleet = Fleet(BLUE_MAHOE, options, folder)
    print("starting 3 control nodes, 3 proxies, 3 database members, links with delays ...")
    try:
        fleet.start()
        print(f"fleet ready; load for {LOAD_SECONDS:.0f} s, a primary is killed midway ...")
        summary = asyncio.run(run_demo(fleet))
    finally:
        fleet.stop()
    verdict = summary.verdict
    print(f"killed primary            {summary.killed}")
    print(f"acknowledged writes       {verdict.acknowledged}")
    print(f"refused as not run        {verdict.not_run}")
    print(f"outcome unknown           {verdict.unknown}")
    print(f"reads                     {verdict.reads}")
    print(f"replica share of reads    {summary.replica_read_share:.1%}")
    print(f"failover gap              {summary.failover_gap_seconds * 1000:.0f} ms")
    print(f"lost writes               {verdict.lost}")
    print(f"doubled writes            {verdict.doubled}")
    print(f"stale reads               {verdict.stale_reads}")
    print(f"mixed answers             {verdict.mixed}")
    print(f"false 'not run'           {verdict.false_not_run}")
    for example in verdict.examples:
        print(f"  {example}")
    print("passed" if summary.passed else "FAILED")
    return summary.passed
