"""What groups cost an idle proxy: watching members, memory, reports and configuration."""

import asyncio
import random
import time

from rowanlab.scale.slopes import resident_bytes
from rowanlab.scale.stubs import ZONES, StubDriver, configuration
from rowanrail.control.messages import WatchReply, WatchRequest
from rowanrail.kernel.registry import Registry
from rowanrail.proxy.config_watch import ConfigurationWatch
from rowanrail.proxy.core import ProxyCore
from rowanrail.proxy.report import make_report
from rowanrail.rpc.codec import FrameKind, encode_frame
from rowanrail.rpc.network import Handler, Listener, Network

IDLE_SECONDS = 9.0  # longer than the interval between background rounds
POLLS = 20
CHANGES = 10


class _SilentNetwork(Network):
    """Answers every watch at once with nothing newer; counts the bytes asked."""

    def __init__(self, version: int) -> None:
        self.calls = 0
        self.sent_bytes = 0
        self._version = version

    async def serve(self, address: str, handler: Handler) -> Listener:
        raise NotImplementedError

    async def call(self, address: str, request: object, timeout_seconds: float) -> WatchReply:
        assert isinstance(request, WatchRequest)
        self.calls += 1
        self.sent_bytes += len(encode_frame(FrameKind.REQUEST, self.calls, request))
        return WatchReply(self._version, "", False, False, None)

    def notify(self, address: str, notice: object) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        """Nothing is open."""


def _core(driver: StubDriver, groups: int) -> ProxyCore:
    core = ProxyCore(ZONES[0], {}, driver, Registry(), random.Random(1))
    core.start()
    core.apply(configuration(groups))
    return core


async def _idle(groups: int) -> dict[str, float]:
    """Return what an idle proxy with a number of groups costs."""
    before_bytes = resident_bytes()
    driver = StubDriver()
    core = _core(driver, groups)
    await asyncio.sleep(1.0)  # the first round of all members
    began_cpu, began, counted = time.process_time(), time.monotonic(), driver.status_count
    await asyncio.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - began
    used = time.process_time() - began_cpu
    polls = (driver.status_count - counted) / seconds
    memory_bytes = resident_bytes() - before_bytes
    costs = {"core_percent": 100 * used / seconds, "polls": polls, "bytes": float(memory_bytes)}
    costs.update(await _watch(core))
    costs["change_ms"] = _change(core, groups)
    core.close()
    return costs


async def _watch(core: ProxyCore) -> dict[str, float]:
    """Return processor time and bytes of one watch request."""
    network = _SilentNetwork(core.in_force.version)
    watch = ConfigurationWatch(
        core, network, ["stub:1"], [], lambda: make_report(core, "p", ZONES[0], "p/1")
    )
    watch.hold(core.in_force)
    began = time.process_time()
    for _ in range(POLLS):
        await watch.poll_once()
    used = time.process_time() - began
    return {"poll_ms": 1000 * used / POLLS, "poll_bytes": network.sent_bytes / network.calls}


def _change(core: ProxyCore, groups: int) -> float:
    """Return the processor time of putting one changed group in force, in milliseconds."""
    offers = [configuration(groups, 2 + number, 300 + number) for number in range(CHANGES)]
    began = time.process_time()
    for offered in offers:
        core.apply(offered)
    return 1000 * (time.process_time() - began) / CHANGES


def idle_costs(groups: int) -> dict[str, float]:
    """Like :func:`_idle`, in a worker process."""
    return asyncio.run(_idle(groups))


PROXY_UNITS = {
    "core_percent": "% of a core",
    "polls": "status questions/s",
    "bytes": "bytes",
    "poll_ms": "ms of a core for one watch",
    "poll_bytes": "bytes for one watch",
    "change_ms": "ms of a core for one change",
}
