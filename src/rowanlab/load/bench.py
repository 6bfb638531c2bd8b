"""``rowanlab bench``: read share, latencies and failover gap, beside baselines in one run.

Each variant has a database group of its own in one fleet, and runs the same load:

- ``session``: the product as it is meant to be used.
- ``primary-only``: rules keep all reads on the primary, as without session consistency.
- ``any-replica``: reads go to any member whatever its state, as a plain balancer does.
- ``direct``: callers connect to the primary without a proxy; only latency is comparable.
"""

import asyncio
import time
from pathlib import Path
from typing import Any

import msgspec
import yaml
from hdrh.histogram import HdrHistogram

from rowanlab.fleet.layout import MEMBER_PASSWORD, FleetOptions, GroupView, Process
from rowanlab.fleet.profiles import Profile
from rowanlab.fleet.runner import Fleet, free_subnet
from rowanlab.load.demo import primary_of
from rowanlab.load.driver import CallerConnection
from rowanlab.load.process import processor_seconds, resident_bytes
from rowanlab.load.running import RunningLoad
from rowanlab.load.workload import LoadOptions

SUBNET = 70
CALLERS = 24
IDLE_CONNECTIONS = 200
IN_FORCE_SECONDS = 30.0
HIGHEST_MICROSECONDS = 60_000_000
UNBOUNDED_SECONDS = 1e9
DIRECT_READS = 300
MEMBER_USER = "rowanrail"  # the default of a group's `backend.user`


class Latency(msgspec.Struct, frozen=True):
    """Quantiles in milliseconds."""

    p50_ms: float
    p99_ms: float


class VariantResult(msgspec.Struct):
    """What one variant measured."""

    variant: str
    operations_per_second: float
    replica_read_share: float
    read: Latency
    write: Latency
    failover_gap_ms: float
    proxy_ms_per_operation: float
    stale_reads: int
    lost: int
    doubled: int
    violations: int


class BenchReport(msgspec.Struct):
    """The last line of ``rowanlab bench``."""

    profile: str
    seconds: float
    callers: int
    variants: list[VariantResult]
    direct_read: Latency
    idle_connection_bytes: float

    @property
    def passed(self) -> bool:
        """Whether the product itself broke no guarantee."""
        return all(item.violations == 0 for item in self.variants if item.variant == "session")


def _latency(seconds: list[float]) -> Latency:
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1e6)))
    return Latency(
        round(histogram.get_value_at_percentile(50) / 1000, 2),
        round(histogram.get_value_at_percentile(99) / 1000, 2),
    )


VARIANTS: dict[str, dict[str, Any]] = {
    "session": {},
    "primary-only": {"rules": [{"replica": False}]},
    "any-replica": {"consistency": "bounded", "maximum_staleness_seconds": UNBOUNDED_SECONDS},
}


def _apply_variants(fleet: Fleet) -> None:
    path = Path(fleet.file.configuration)
    content = yaml.safe_load(path.read_text())
    for group, settings in zip(content["groups"], VARIANTS.values(), strict=True):
        group.update(settings)
    path.write_text(yaml.safe_dump(content))
    version = fleet.apply(path)
    fleet.wait_in_force(version, time.monotonic() + IN_FORCE_SECONDS)


def _reads(fleet: Fleet) -> tuple[int, int]:
    """Return how many reads replicas and primaries have served."""
    proxies = fleet.client().request("GET", "/v1/status").body["proxies"]
    replica = sum(report["replica_reads"] for report in proxies)
    primary = sum(report["primary_reads"] + report["primary_only_reads"] for report in proxies)
    return replica, primary


def _proxy_seconds(fleet: Fleet) -> float:
    return sum(processor_seconds(proxy.pid) for proxy in fleet.file.proxies)


async def _run_variant(
    fleet: Fleet, variant: str, group: GroupView, options: LoadOptions
) -> VariantResult:
    load = RunningLoad(fleet.file, group.database, options)
    reads_before = await asyncio.to_thread(_reads, fleet)
    await load.start()
    used_before = _proxy_seconds(fleet)
    await asyncio.sleep(options.seconds)
    used = _proxy_seconds(fleet) - used_before
    operations = load.oracle.verdict.operations
    reads_after = await asyncio.to_thread(_reads, fleet)
    latencies = [item for caller in load.callers for item in caller.latencies_seconds]
    killed = await asyncio.to_thread(primary_of, fleet, group.name)
    killed_at = asyncio.get_running_loop().time()
    await asyncio.to_thread(fleet.kill, killed)
    await asyncio.sleep(options.seconds / 2)
    verdict = await load.finish()
    replica, primary = (
        after - before for before, after in zip(reads_before, reads_after, strict=True)
    )
    return VariantResult(
        variant=variant,
        operations_per_second=round(operations / options.seconds, 1),
        replica_read_share=round(replica / max(1, replica + primary), 4),
        read=_latency([seconds for is_read, seconds in latencies if is_read]),
        write=_latency([seconds for is_read, seconds in latencies if not is_read]),
        failover_gap_ms=round(load.longest_gap_seconds(killed_at) * 1000, 1),
        proxy_ms_per_operation=round(1000 * used / max(1, operations), 3),
        stale_reads=verdict.stale_reads,
        lost=verdict.lost,
        doubled=verdict.doubled,
        violations=verdict.violations,
    )


async def _direct_latency(fleet: Fleet, group: GroupView) -> Latency:
    """Return the latency of reads at the primary without a proxy between."""
    name = await asyncio.to_thread(primary_of, fleet, group.name)
    member = next(member for member in group.members if member.name == name)
    connection = await CallerConnection.open(
        member.host, member.port, MEMBER_USER, MEMBER_PASSWORD, group.database
    )
    seconds = []
    for _ in range(DIRECT_READS):
        began = time.monotonic()
        await connection.execute("SELECT 1")
        seconds.append(time.monotonic() - began)
    connection.close()
    return _latency(seconds)


async def _idle_connection_bytes(fleet: Fleet, proxy: Process, group: GroupView) -> float:
    """Return the memory that one idle connection takes at a proxy."""
    file = fleet.file
    before = resident_bytes(proxy.pid)
    connections = [
        await CallerConnection.open(
            proxy.host, proxy.port, file.user, file.password, group.database
        )
        for _ in range(IDLE_CONNECTIONS)
    ]
    for connection in connections:
        await connection.execute("SELECT 1")
    grown = resident_bytes(proxy.pid) - before
    for connection in connections:
        connection.close()
    return grown / IDLE_CONNECTIONS


async def _run(fleet: Fleet, profile: Profile, seconds: float, seed: int) -> BenchReport:
    await asyncio.to_thread(_apply_variants, fleet)
    groups = fleet.file.groups
    direct = await _direct_latency(fleet, groups[0])
    idle_bytes = await _idle_connection_bytes(fleet, fleet.file.proxies[0], groups[0])
    options = LoadOptions(CALLERS, seconds, profile.read_share, seed)
    results = [
        await _run_variant(fleet, variant, group, options)
        for variant, group in zip(VARIANTS, groups, strict=True)
    ]
    return BenchReport(profile.name, seconds, CALLERS, results, direct, round(idle_bytes))


def bench(profile: Profile, seconds: float, seed: int, folder: Path) -> BenchReport:
    """Start a fleet and measure all variants one after the other."""
    options = FleetOptions(subnet=free_subnet(SUBNET), groups=len(VARIANTS))
    fleet = Fleet(profile, options, folder)
    try:
        fleet.start()
        return asyncio.run(_run(fleet, profile, seconds, seed))
    finally:
        fleet.stop()
