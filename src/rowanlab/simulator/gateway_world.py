"""Simulated gateways before one service, with clients and faults, in virtual time."""

import random

import msgspec

from rowanlab.simulator.event_clock import EventClock
from rowanlab.simulator.gateway_keys import SimulatedKeys
from rowanlab.simulator.gateway_members import SERVICE, Group, SimulatedDriver
from rowanlab.simulator.gateway_oracle import Asked, GatewayOracle
from rowanlab.simulator.relay_network import RelayNetwork
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.gateway import Gateway, Peers
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.neighbours import Neighbour, Neighbours
from rowanrail.gateway.relay.serving import Holder
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.session import Session
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.registry import Registry
from rowanrail.model.routing import Consistency, Route, RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, SessionState, StatementKind, TypedStatement
from rowanrail.placement.hashed import Population
from rowanrail.placement.planned import PlannedHolders

STALENESS_SECONDS = 0.5
PAUSE_SECONDS = (0.002, 0.08)
ANNOUNCE_SECONDS = 0.3
SHAPES = ("one", "two", "three")
VALUES = ("x", "y")
CONNECTIONS = 60
RELAY_DELAY_MS = (0.1, 5.0)
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
CROWDED = Population(100, 10)  # so many that a zone shares one gateway's connections


class GatewayOptions(msgspec.Struct, frozen=True):
    """Size of a run, and how often clients use what a session keeps.

    :param state_share: share of the operations that set, prepare or execute.
    :param shared: whether the gateways stand in one zone and share one's connections.
    :param tenants: whether clients have keys, and regions hold the members' connections.
    """

    gateways: int = 3
    clients: int = 8
    read_share: float = 0.7
    transaction_share: float = 0.2
    state_share: float = 0.1
    shared: bool = False
    tenants: bool = False


class GatewayWorld:
    """Gateways, members and clients of one seed."""

    def __init__(self, seed: int, registry: Registry, options: GatewayOptions) -> None:
        self.random = random.Random(seed)
        self.clock = EventClock()
        self.oracle = GatewayOracle()
        self.options = options
        self.group = Group(self.clock, self.random)
        self.group.on_execution = self.oracle.on_execution
        self.group.on_commit = self.oracle.on_commit
        self.group.on_rolled_back = self.oracle.on_rolled_back
        self.faults = 0
        self.finished = False
        self.drivers: list[SimulatedDriver] = []
        self.gateways: list[Gateway] = []
        self._groups: dict[str, list[Neighbour]] = {}
        self.keys = SimulatedKeys(self.clock, self.random, _configuration())
        relay_clock = Clock(self.clock)
        self.relay = RelayNetwork(relay_clock, lambda: self.random.uniform(*RELAY_DELAY_MS))
        for number in range(options.gateways):
            name = f"g{number}"
            driver = SimulatedDriver(self.group)
            zone = "z1" if options.shared else f"z{number % 3 + 1}"
            log = DecisionLog(name, descriptor=-1)
            opener = self.relay.opener(name)
            neighbours = Neighbours(name, relay_clock, opener)
            detours = Detours(name, relay_clock, opener)
            group = REGIONS[zone] if options.tenants else zone
            gateway = Gateway(
                Locality(zone, REGIONS if options.tenants else {}),
                driver,
                self.clock,
                log,
                registry,
                Peers(neighbours, detours, PlannedHolders(name, group, relay_clock)),
            )
            self._groups.setdefault(group, []).append(Neighbour(name, name))
            gateway.start()
            gateway.apply(self._first_configuration())
            holder = self.relay.holders[name] = Holder(gateway, relay_clock)
            holder.start()
            self.drivers.append(driver)
            self.gateways.append(gateway)
        self._revision = 0
        self._announce()
        self._next = 0
        for _ in range(options.clients):
            SimulatedClient(self)

    def _announce(self) -> None:
        self._revision += 1
        for gateway in self.gateways:
            gateway.set_directory(self._directory(gateway.zone))
        self.clock.call_later(ANNOUNCE_SECONDS, self._announce)

    def _first_configuration(self) -> RoutingConfiguration:
        return self.keys.configuration() if self.options.tenants else _configuration()

    def _directory(self, zone: str) -> Directory:
        records = self.group.records()
        population = Population(self.options.gateways, self.options.gateways)
        if self.options.shared:
            population = CROWDED
        group = zone
        if self.options.tenants:
            group = REGIONS[zone]
            population = Population(self.options.gateways, len(self._groups), is_regional=True)
        others = {name: listed for name, listed in self._groups.items() if name != group}
        return Directory(self._revision, records, population, self._groups[group], others)

    def unique(self) -> int:
        """Return a number that no other call returns."""
        self._next += 1
        return self._next


def _configuration() -> RoutingConfiguration:
    routes = {
        kind.value: Route(kind.value, kind.value, SERVICE, kind, 0.8, 0.6, STALENESS_SECONDS)
        for kind in Consistency
    }
    return RoutingConfiguration(1, routes, {SERVICE: ServiceSpec(SERVICE, CONNECTIONS)}, 2.0)


class SimulatedClient:
    """A client: sessions one after the other, operations one after the other."""

    def __init__(self, world: GatewayWorld) -> None:
        self._world = world
        self._left = 0
        self._session: Session | None = None
        self._later(self._next_operation)

    def _later(self, function: "object") -> None:
        delay = self._world.random.uniform(*PAUSE_SECONDS)
        self._world.clock.call_later(delay, function)  # type: ignore[arg-type]

    def _new_session(self) -> None:
        world = self._world
        if self._session is not None:
            self._session.close()
        self._kind = world.random.choice(list(Consistency))
        gateway = world.random.choice(world.gateways)
        self._key = world.keys.draw() if world.options.tenants else "client"
        opened = gateway.open_session(self._kind.value, self._key)
        self._session = opened if isinstance(opened, Session) else None
        self._number = world.unique()
        self._values: dict[str, str] = {}
        self._names: dict[str, str] = {}
        self._left = world.random.randint(3, 25)

    def _next_operation(self) -> None:
        world = self._world
        if world.finished:
            return
        if self._session is None or self._left <= 0:
            self._new_session()
        if self._session is None:  # its key is withdrawn
            self._later(self._next_operation)
            return
        self._left -= 1
        draw = world.random.random()
        if draw < world.options.state_share:
            self._change_state()
        elif draw < world.options.state_share + world.options.transaction_share:
            self._begin()
        else:
            self._lone(self._draw_text())

    # Session values and prepared names

    def _change_state(self) -> None:
        random_ = self._world.random
        name = random_.choice("ab")
        if random_.random() < 0.5:
            value = random_.choice(VALUES)
            self._values[name] = value
            self._own(StatementKind.SET, f"SET {name} {value}", name, value)
        else:
            mode, shape = random_.choice(("READ", "WRITE")), random_.choice(SHAPES)
            self._names[name] = f"{mode} {shape}"
            text = f"PREPARE {name} {mode} {shape}"
            self._own(StatementKind.PREPARE, text, name, shape, mode == "WRITE")

    def _own(
        self, kind: StatementKind, text: str, name: str, value: str, writes: bool = False
    ) -> None:
        assert self._session is not None
        statement = TypedStatement("own", kind, text, name, value, writes)
        self._session.execute(statement, lambda answer: self._later(self._next_operation))

    def _draw_text(self) -> str:
        random_ = self._world.random
        if self._names and random_.random() < 0.3:
            return f"EXECUTE {random_.choice(sorted(self._names))} k"
        return "READ k" if random_.random() < self._world.options.read_share else "WRITE k v"

    def _statement(self, text: str, transaction: int, covered: frozenset[str]) -> TypedStatement:
        world = self._world
        request = f"q{world.unique()}"
        word, _, rest = text.partition(" ")
        name, _, value = rest.partition(" ")
        shape = self._names[name] if word == "EXECUTE" else ""
        world.oracle.ask(
            Asked(
                request,
                self._number,
                dict(self._values),
                shape,
                covered,
                transaction,
                self._session.identity.tenant if self._session is not None else "",
                world.options.tenants and world.keys.is_forbidden(self._key),
            )
        )
        return TypedStatement(request, StatementKind[word], text, name, value)

    def _writes(self, statement: TypedStatement) -> bool:
        if statement.kind is StatementKind.EXECUTE:
            return self._names[statement.name].startswith("WRITE")
        return statement.kind is StatementKind.WRITE

    def _covered(self) -> frozenset[str]:
        world = self._world
        return frozenset(
            world.oracle.must_see(self._kind, self._number, world.clock.now, STALENESS_SECONDS)
        )

    # Lone statements

    def _lone(self, text: str) -> None:
        assert self._session is not None
        statement = self._statement(text, 0, frozenset())
        writes = self._writes(statement)
        if not writes:
            statement = self._statement(text, 0, self._covered())

        def answered(answer: Answer) -> None:
            now = self._world.clock.now
            self._world.oracle.answer(statement.request_id, answer, writes, self._number, now)
            self._later(self._next_operation)

        self._session.execute(statement, answered)

    # Transactions

    def _begin(self) -> None:
        assert self._session is not None
        read_only = self._world.random.random() < 0.4
        self._transaction = self._world.unique()
        self._written: list[str] = []
        self._steps = self._world.random.randint(1, 4)
        self._snapshot = self._covered()
        self._read_only = read_only
        kind = StatementKind.BEGIN_READ if read_only else StatementKind.BEGIN
        text = "BEGIN READ" if read_only else "BEGIN"
        self._session.execute(
            TypedStatement("own", kind, text), lambda answer: self._later(self._step)
        )

    def _step(self) -> None:
        assert self._session is not None
        if self._session.state is not SessionState.TRANSACTION:
            self._end(StatementKind.ROLLBACK)
            return
        if self._steps == 0:
            rolls_back = self._world.random.random() < 0.2
            self._end(StatementKind.ROLLBACK if rolls_back else StatementKind.COMMIT)
            return
        self._steps -= 1
        text = "READ k" if self._read_only else self._draw_text()
        statement = self._statement(text, self._transaction, self._snapshot)
        if self._writes(statement):
            self._written.append(statement.request_id)

        def answered(answer: Answer) -> None:
            if answer.refusal is not None:
                self._tell(answer)
                self._later(lambda: self._end(StatementKind.ROLLBACK))
            else:
                self._later(self._step)

        self._session.execute(statement, answered)

    def _tell(self, answer: Answer) -> None:
        now = self._world.clock.now
        for request in self._written:
            self._world.oracle.answer(request, answer, True, self._number, now)

    def _end(self, kind: StatementKind) -> None:
        assert self._session is not None
        request = f"q{self._world.unique()}"

        def answered(answer: Answer) -> None:
            if kind is StatementKind.COMMIT:
                self._tell(answer)
            self._later(self._next_operation)

        self._session.execute(TypedStatement(request, kind, kind.name), answered)
