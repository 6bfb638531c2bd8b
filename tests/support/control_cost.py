"""Traffic and processor time of a control node and its gateways, in virtual time."""

import asyncio
import json
import sys
import time
import zlib
from dataclasses import dataclass, field

import msgspec
from returns.result import Success

from rowanlab.simulator.loop import VirtualLoop
from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.commands import Announce, PutDocument, SetGateways
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.health_filter import reportable_health
from rowanrail.directory.messages import GatewayRecord, GatewayReport
from rowanrail.gateway.discovery.control_plane_client import ControlPlaneClient
from rowanrail.gateway.services.locality import Locality
from rowanrail.kernel.errors import TransportError
from rowanrail.model.members import MemberRecord, PrimaryHealth
from rowanrail.model.routing import RoutingConfiguration
from rowanrail.rpc.codec import FrameKind, encode_frame
from tests.coordination.test_directory import FakeNode

ZONES = 6
MACHINES_PER_SERVICE = 7.5
MEMBERS_PER_SERVICE = 3
ROUTES = 40
START_SECONDS = 4.0
CALM_SECONDS = 4.0
STORM_SECONDS = 4.0
STORM_VERSIONS = 20


@dataclass
class PhaseCost:
    """Cost of one phase: a control node's traffic, and the processor time of the simulation."""

    bytes_sent: int = 0
    bytes_received: int = 0
    cpu_seconds: float = 0.0


@dataclass
class FleetCosts:
    """The costs of all phases of one run."""

    machines: int
    phases: dict[str, PhaseCost] = field(default_factory=dict)


class JsonFormat:
    def parse(self, document):
        return Success(RoutingConfiguration(json.loads(document)["version"], {}, {}))


class NullLog:
    def note(self, event, **fields):
        pass


class FakeGateway:
    """Keeps the last configuration version and directory that it received."""

    def __init__(self):
        self.access = self
        self.directory = None
        self.version = 0

    def apply(self, configuration):
        self.version = configuration.version

    def set_directory(self, directory):
        self.directory = directory

    def set_evacuations(self, evacuations):
        pass

    def note_confirmed(self, asked_at_ms):
        pass

    def note_control_up_to_date(self, peer):
        pass


class CountingNetwork:
    """Passes calls to a control node and counts the bytes of their frames."""

    def __init__(self, service):
        self.service = service
        self.cost = PhaseCost()

    async def call(self, address, request, timeout_seconds):
        if type(request).__name__ == "LoggedDirectoryRequest":
            raise TransportError("not listening yet", peer=address)
        self.cost.bytes_received += len(encode_frame(FrameKind.REQUEST, 1, request))
        reply = await self.service.handle(request)
        self.cost.bytes_sent += len(encode_frame(FrameKind.REPLY, 1, reply))
        return reply


def document(version):
    """Return a compressed configuration document."""
    routes = [
        {
            "name": f"r-{incompressible_word(number)}",
            "host": f"fiti{incompressible_word(number)}",
            "path-prefix": "/",
            "kind": "read_your_writes",
            "timeout-ms": 1000 + version,
            "target-latency-ms": 800,
            "priority": number % 3,
            "service": f"db{number}",
            "max-attempts": 2,
            "max-staleness-ms": 2500,
        }
        for number in range(ROUTES)
    ]
    return zlib.compress(json.dumps({"version": version, "routes": routes}).encode())


def incompressible_word(number):
    """Return a deterministic word that does not compress well."""
    return f"{zlib.crc32(str(number).encode()):08x}"


class ControlledFleet:
    """A control node, gateways, and services whose number is proportional to the machines."""

    def __init__(self, machines):
        self.costs = FleetCosts(machines)
        self.services = max(2, round(machines / MACHINES_PER_SERVICE))
        self.state = CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())
        self.service = CoordinationService(FakeNode(), self.state, None, "z0")
        self.network = CountingNetwork(self.service)
        self.gateways = [
            GatewayRecord(
                f"front-z{n % ZONES}-{n}", f"z{n % ZONES}", f"10.1.{n // 250}.{n % 250}:1"
            )
            for n in range(machines)
        ]
        self.members = [
            MemberRecord(
                f"i-{incompressible_word(1000 + n)}",
                f"db{n // MEMBERS_PER_SERVICE}",
                f"10.128.{n // 250}.{n % 250}:8080",
                f"z{n % ZONES}",
                n % MEMBERS_PER_SERVICE == 0,
                False,
                5,
                1,
            )
            for n in range(self.services * MEMBERS_PER_SERVICE)
        ]
        self.followers = []
        self.replaced = 0
        self._index = 0

    def apply(self, command):
        self._index += 1
        data = msgspec.msgpack.encode(command)
        self.state.apply(Entry(1, self._index, EntryKind.COMMAND, data))
        self.service.notice_change()

    def _follow(self, record):
        gateway = FakeGateway()
        health = [PrimaryHealth(f"db{n}", "", -1, 0) for n in range(self.services)]
        client = ControlPlaneClient(
            gateway,
            self.network,
            ["c1:1"],
            JsonFormat(),
            lambda: GatewayReport(
                record.name, record.zone, reportable_health(health), 0, record.relay_address
            ),
            NullLog(),
            Locality(record.zone),
        )
        client.start()
        self.followers.append((gateway, client))

    async def _phase(self, name, playing, seconds):
        self.network.cost = self.costs.phases[name] = PhaseCost()
        started = time.process_time()
        playing = asyncio.ensure_future(playing)
        await asyncio.sleep(seconds)
        await playing
        self.network.cost.cpu_seconds = time.process_time() - started

    async def _start(self):
        """Announce all members and gateways, as at a first start."""
        self.apply(PutDocument(1, document(1)))
        for record in self.gateways:
            self._follow(record)
        batches = [self.gateways[n :: int(START_SECONDS)] for n in range(int(START_SECONDS))]
        steps = len(self.members)
        for number, record in enumerate(self.members):
            if number % max(1, steps // int(START_SECONDS)) == 0 and batches:
                self.apply(SetGateways(batches.pop(), []))
            self.apply(Announce(record))
            await asyncio.sleep(START_SECONDS / steps)
        for batch in batches:
            self.apply(SetGateways(batch, []))

    async def _restarts(self):
        """Replace one member every half second."""
        self.replaced = int(CALM_SECONDS / 0.5)
        for number in range(self.replaced):
            before = self.members[number]
            self.apply(Announce(msgspec.structs.replace(before, leaving=True, sequence=9)))
            await asyncio.sleep(0.25)
            after = msgspec.structs.replace(
                before, instance=f"i-{incompressible_word(9000 + number)}"
            )
            self.apply(Announce(after))
            await asyncio.sleep(0.25)

    async def _configuration_burst(self):
        for version in range(2, 2 + STORM_VERSIONS):
            self.apply(PutDocument(version, document(version)))
            await asyncio.sleep(STORM_SECONDS / STORM_VERSIONS)

    async def _idle(self):
        pass

    async def run(self):
        """Run all phases and return their costs."""
        await self._phase("start", self._start(), START_SECONDS + 1.0)
        await self._phase("calm", self._idle(), CALM_SECONDS)
        await self._phase("restarts", self._restarts(), CALM_SECONDS + 1.0)
        await self._phase("storm", self._configuration_burst(), STORM_SECONDS + 1.0)
        for _, client in self.followers:
            client.stop()
        await asyncio.sleep(0)
        return self.costs


def simulate_fleet(machines):
    """Run all phases of a fleet and return the fleet."""
    loop = VirtualLoop()
    fleet = ControlledFleet(machines)
    try:
        loop.run_until_complete(fleet.run())
    finally:
        loop.close()
    return fleet


if __name__ == "__main__":
    for size in map(int, sys.argv[1:] or ("30", "100", "300")):
        costs = simulate_fleet(size).costs
        for name, cost in costs.phases.items():
            print(
                f"{size:4} {name:9} sent {cost.bytes_sent / 1e3:10.1f} KB, taken "
                f"{cost.bytes_received / 1e3:8.1f} KB, {cost.cpu_seconds:7.3f} s of processor"
            )
