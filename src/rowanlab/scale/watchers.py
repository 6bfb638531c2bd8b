"""Real control nodes under hundreds of stub proxies that share this process."""

import asyncio
import random
import tempfile
import time
from pathlib import Path

import yaml

from rowanlab.fleet.layout import FleetOptions
from rowanlab.fleet.profiles import BLUE_MAHOE
from rowanlab.fleet.runner import Fleet, free_subnet
from rowanlab.scale.slopes import Slope, fit_all, processor_seconds, resident_bytes
from rowanrail.config.model import VersionedConfiguration
from rowanrail.control.messages import ProxyReport
from rowanrail.proxy.config_watch import ConfigurationWatch
from rowanrail.rpc.network import Network
from rowanrail.rpc.tcp import TcpNetwork

SUBNET = 90
CHANGES = 10
IDLE_SECONDS = 6.0
POLL_SECONDS = 0.002
IN_FORCE_SECONDS = 30.0
FIRST_VALUE = 100


class StubCore:
    """Takes versions and does nothing with them."""

    def __init__(self) -> None:
        self.in_force = VersionedConfiguration()

    def apply(self, offered: VersionedConfiguration) -> bool:
        """Take a newer version."""
        if offered.version <= self.in_force.version:
            return False
        self.in_force = offered
        return True

    def set_users(self, users: dict[str, int]) -> None:
        """Nothing to share."""


class StubProxies:
    """Watches of stub proxies, each with its own connection, spread over the nodes."""

    def __init__(self, fleet: Fleet) -> None:
        self.cores: list[StubCore] = []
        self._fleet = fleet
        self._watches: list[ConfigurationWatch] = []
        self._networks: list[Network] = []

    def grow(self, count: int) -> None:
        """Start proxies until there are ``count``."""
        while len(self.cores) < count:
            self._add(len(self.cores))

    def _add(self, number: int) -> None:
        zone = self._fleet.file.controls[number % 3].zone
        controls = sorted(self._fleet.file.controls, key=lambda node: node.zone != zone)
        core, network = StubCore(), TcpNetwork()

        def report() -> ProxyReport:
            version = core.in_force.version
            return ProxyReport(f"stub{number}", zone, f"stub{number}/1", version)

        watch = ConfigurationWatch(core, network, [node.rpc for node in controls], [], report)
        watch.start()
        self.cores.append(core)
        self._watches.append(watch)
        self._networks.append(network)

    async def wait(self, version: int) -> None:
        """Wait until all hold a version."""
        async with asyncio.timeout(IN_FORCE_SECONDS):
            while any(core.in_force.version < version for core in self.cores):
                await asyncio.sleep(POLL_SECONDS)

    async def close(self) -> None:
        """Stop."""
        for watch in self._watches:
            watch.stop()
        await asyncio.gather(*(network.close() for network in self._networks))


class _Changes:
    """Changes one limit of the fleet's configuration."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._path = Path(fleet.file.configuration)
        self._content = yaml.safe_load(self._path.read_text())
        self._value = FIRST_VALUE

    async def apply(self) -> int:
        self._value += 1
        self._content["groups"][0]["limits"]["queue_length"] = self._value
        self._path.write_text(yaml.safe_dump(self._content))
        return await asyncio.to_thread(self._fleet.apply, self._path)


async def _measure(fleet: Fleet, sizes: list[int]) -> list[dict[str, float]]:
    proxies, changes = StubProxies(fleet), _Changes(fleet)
    pids = [control.pid for control in fleet.file.controls]
    results = []
    for size in sizes:
        proxies.grow(size)
        await proxies.wait(await changes.apply())
        began, used = time.monotonic(), sum(processor_seconds(pid) for pid in pids)
        await asyncio.sleep(IDLE_SECONDS)
        used = sum(processor_seconds(pid) for pid in pids) - used
        idle_percent = 100 * used / (time.monotonic() - began)
        times = []
        used_before = sum(processor_seconds(pid) for pid in pids)
        for _ in range(CHANGES):
            await asyncio.sleep(random.Random(size).uniform(0.05, 0.2))
            sent = time.monotonic()
            await proxies.wait(await changes.apply())
            times.append(time.monotonic() - sent)
        used = sum(processor_seconds(pid) for pid in pids) - used_before
        results.append(
            {
                "idle_percent": idle_percent,
                "in_force_ms": 1000 * sorted(times)[len(times) // 2],
                "in_force_max_ms": 1000 * max(times),
                "change_ms": 1000 * used / CHANGES,
                "bytes": float(max(resident_bytes(pid) for pid in pids)),
            }
        )
    await proxies.close()
    return results


UNITS = {
    "idle_percent": "% of a core, 3 nodes together",
    "in_force_ms": "ms from sending a change to its being in force at all, median",
    "in_force_max_ms": "ms, the longest",
    "change_ms": "ms of a core for one change, 3 nodes together",
    "bytes": "bytes resident, the largest node",
}


def watcher_slopes(sizes: list[int]) -> list[Slope]:
    """Start control nodes and return the slopes by number of stub proxies."""
    with tempfile.TemporaryDirectory(prefix="rowanrail-scale-") as scratch:
        options = FleetOptions(subnet=free_subnet(SUBNET), groups=1)
        fleet = Fleet(BLUE_MAHOE, options, Path(scratch))
        try:
            fleet.start()
            results = asyncio.run(_measure(fleet, sizes))
        finally:
            fleet.stop()
    return fit_all("nodes", "proxy", UNITS, sizes, results)
