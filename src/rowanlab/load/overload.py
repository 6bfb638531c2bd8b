"""``rowanlab overload``: goodput and refusals at one, two and four times the capacity.

Requests arrive at a fixed rate, whether earlier ones were answered or not. Members are slow
enough (20 ms a statement, 5 at a time) to be the bottleneck.
"""

import asyncio
import time
from collections import deque
from pathlib import Path

import msgspec
import yaml
from hdrh.histogram import HdrHistogram

from rowanlab.fleet.layout import FleetFile, FleetOptions
from rowanlab.fleet.profiles import Profile
from rowanlab.fleet.runner import Fleet, free_subnet
from rowanlab.load.driver import CallerConnection, CallError
from rowanlab.load.oracle import Outcome
from rowanlab.load.workload import connectors, prepare

SUBNET = 80
SERVICE_SECONDS = 0.02
DEADLINE_SECONDS = 1.0
CLOSED_CALLERS = 30
CONNECTIONS = 600
SECONDS = 5.0
SETTLE_SECONDS = 12.0
IN_FORCE_SECONDS = 30.0
FACTORS = (1.0, 2.0, 4.0)
HIGHEST_MICROSECONDS = 60_000_000
INSERT = "INSERT INTO edits (operation, part, owner, name, number) VALUES ('{}', 1, 'o', 'k', 1)"


class LoadLevel(msgspec.Struct):
    """What one level of load came to.

    :param goodput_per_second: writes acknowledged within their deadline.
    :param longest_refusal_ms: longest time that a refused request waited for its refusal.
    :param not_sent: arrivals for which the load had no connection left.
    """

    factor: float
    offered_per_second: float
    goodput_per_second: float
    p99_ms: float
    refused: int
    longest_refusal_ms: float
    unknown: int
    not_sent: int


class OverloadReport(msgspec.Struct):
    """The last line of ``rowanlab overload``."""

    profile: str
    capacity_per_second: float
    levels: list[LoadLevel]
    goodput_kept: float

    @property
    def passed(self) -> bool:
        """Whether nine tenths of the goodput are kept at four times the capacity."""
        return self.goodput_kept >= 0.9


class _Load:
    """Sends inserts over a fixed set of connections and counts what becomes of them."""

    def __init__(self, connections: list[CallerConnection]) -> None:
        self._idle = deque(connections)
        self._number = 0
        self.reset()

    def reset(self) -> None:
        self.latencies = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
        self.acknowledged = 0
        self.refused = 0
        self.longest_refusal_seconds = 0.0
        self.unknown = 0
        self.not_sent = 0

    async def send(self) -> None:
        """Send one insert, if a connection is idle."""
        if not self._idle:
            self.not_sent += 1
            return
        connection = self._idle.popleft()
        self._number += 1
        began = time.monotonic()
        try:
            await connection.execute(INSERT.format(self._number))
            seconds = time.monotonic() - began
            self.latencies.record_value(int(seconds * 1e6))
            self.acknowledged += 1
        except CallError as error:
            self._count_error(error, time.monotonic() - began)
        self._idle.append(connection)

    def _count_error(self, error: CallError, seconds: float) -> None:
        if error.outcome is Outcome.NOT_RUN:
            self.refused += 1
            self.longest_refusal_seconds = max(self.longest_refusal_seconds, seconds)
        else:
            self.unknown += 1


async def _capacity(load: _Load) -> float:
    """Return the writes per second that callers get who wait for each answer."""
    end = time.monotonic() + SECONDS

    async def call() -> None:
        while time.monotonic() < end:
            await load.send()

    await asyncio.gather(*(call() for _ in range(CLOSED_CALLERS)))
    return load.acknowledged / SECONDS


async def _level(load: _Load, factor: float, per_second: float) -> LoadLevel:
    load.reset()
    tasks = []
    began = time.monotonic()
    arrivals = int(per_second * SECONDS)
    for number in range(arrivals):
        due = began + number / per_second
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.ensure_future(load.send()))
    await asyncio.gather(*tasks)
    seconds = max(SECONDS, time.monotonic() - began)
    return LoadLevel(
        factor=factor,
        offered_per_second=round(per_second, 1),
        goodput_per_second=round(load.acknowledged / seconds, 1),
        p99_ms=round(load.latencies.get_value_at_percentile(99) / 1000, 1),
        refused=load.refused,
        longest_refusal_ms=round(load.longest_refusal_seconds * 1000, 1),
        unknown=load.unknown,
        not_sent=load.not_sent,
    )


def _set_deadline(fleet: Fleet) -> None:
    path = Path(fleet.file.configuration)
    content = yaml.safe_load(path.read_text())
    content["groups"][0]["limits"]["statement_deadline_seconds"] = DEADLINE_SECONDS
    path.write_text(yaml.safe_dump(content))
    fleet.wait_in_force(fleet.apply(path), time.monotonic() + IN_FORCE_SECONDS)


async def _open(file: FleetFile, database: str) -> list[CallerConnection]:
    connections = []
    for number in range(CONNECTIONS):
        proxy = file.proxies[number % len(file.proxies)]
        connections.append(
            await CallerConnection.open(proxy.host, proxy.port, file.user, file.password, database)
        )
    return connections


async def _run(fleet: Fleet, profile: Profile) -> OverloadReport:
    await asyncio.to_thread(_set_deadline, fleet)
    database = fleet.file.groups[0].database
    await prepare(connectors(fleet.file, database)[0])
    connections = await _open(fleet.file, database)
    await asyncio.sleep(SETTLE_SECONDS)  # until every proxy has its share of the connections
    load = _Load(connections)
    capacity = await _capacity(load)
    levels = [await _level(load, factor, factor * capacity) for factor in FACTORS]
    for connection in connections:
        connection.close()
    kept = levels[-1].goodput_per_second / max(1.0, levels[0].goodput_per_second)
    return OverloadReport(profile.name, round(capacity, 1), levels, round(kept, 3))


def overload(profile: Profile, folder: Path) -> OverloadReport:
    """Start a fleet with slow members and measure all levels."""
    options = FleetOptions(subnet=free_subnet(SUBNET), groups=1, service_seconds=SERVICE_SECONDS)
    fleet = Fleet(profile, options, folder)
    try:
        fleet.start()
        return asyncio.run(_run(fleet, profile))
    finally:
        fleet.stop()
