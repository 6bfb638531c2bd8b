"""A gateway on a manual clock, with fake members that tests control."""

import heapq
from collections.abc import Callable
from typing import Any, Protocol

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.sessions.session import Session
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.registry import Registry
from rowanrail.members.channel import Channel, ChannelTransport, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.routing import Consistency, Route, RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import (
    Answer,
    Command,
    CommandKind,
    Refusal,
    SessionState,
    StatementKind,
    TypedStatement,
)
from rowanrail.placement.hashed import FleetSize

DATABASES = {
    "orders": Consistency.PRIMARY,
    "reports": Consistency.BOUNDED,
    "carts": Consistency.SESSION,
}


class ManualTimer:
    def __init__(self, due: float, order: int, run: Callable[[], None]) -> None:
        self.due, self.order, self.run, self.cancelled = due, order, run, False

    def __lt__(self, other: "ManualTimer") -> bool:
        return (self.due, self.order) < (other.due, other.order)

    def cancel(self) -> None:
        self.cancelled = True


class ManualClock:
    """A clock that advances only in :meth:`advance`, which runs the timers that are due."""

    def __init__(self) -> None:
        self.now = 100.0
        self._timers: list[ManualTimer] = []
        self._order = 0

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> Any:
        self._order += 1
        timer = ManualTimer(self.now + delay, self._order, lambda: callback(*arguments))
        heapq.heappush(self._timers, timer)
        return timer

    def advance(self, seconds: float) -> None:
        until = self.now + seconds
        while self._timers and self._timers[0].due <= until:
            timer = heapq.heappop(self._timers)
            self.now = max(self.now, timer.due)
            if not timer.cancelled:
                timer.run()
        self.now = until


class FakeMember:
    """A member that answers by default; tests can script or withhold its answers."""

    def __init__(self, instance: str, primary: bool, zone: str, slots: int = 3) -> None:
        self.instance = instance
        self.slots = slots
        self.primary = primary
        self.zone = zone
        self.position = Position(1, 10)
        self.reachable = True
        self.silent = False
        self.refuse_start: Refusal | None = None
        self.script: list[Answer | None] = []  # None leaves a data command unanswered
        self.ran: list[tuple[int, Command]] = []
        self.transports: list[FakeTransport] = []

    def record(self, leaving: bool = False, sequence: int = 1) -> MemberRecord:
        return MemberRecord(
            self.instance,
            "db",
            f"{self.instance}:1",
            self.zone,
            self.primary,
            leaving,
            self.slots,
            sequence,
        )

    def texts(self) -> list[str]:
        """Return the texts of the clients' commands that this member received."""
        return [command.text for _, command in self.ran if command.request_id]

    def open_transports(self) -> "list[FakeTransport]":
        return [transport for transport in self.transports if not transport.closed]


class FakeTransport(ChannelTransport):
    def __init__(self, member: FakeMember, channel: Channel) -> None:
        self.member, self.channel, self.closed = member, channel, False
        self.number = len(member.transports)
        self.state = SessionState.IDLE
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}

    def send(self, commands: list[Command]) -> None:
        for command in commands:
            self.member.ran.append((self.number, command))
            if self.member.silent or self.closed:
                continue
            answer = self._answer(command)
            if answer is not None and not self.closed:
                self.channel.answered(answer)

    def _answer(self, command: Command) -> Answer | None:
        member = self.member
        own = not command.request_id
        if not own and member.script:
            scripted = member.script.pop(0)
            if scripted is not None and scripted.refusal and self.state is not SessionState.IDLE:
                self.state = scripted.state or SessionState.FAILED
            return scripted
        refusal = self._refusal(command)
        if refusal is not None:
            return Answer(refusal=refusal, position=member.position, state=self.state)
        self._change(command)
        signature = b"" if own else b"sig"
        rows = [b"row"] if command.kind is not CommandKind.STATUS and not own else []
        return Answer(rows=rows, signature=signature, position=member.position, state=self.state)

    def _refusal(self, command: Command) -> Refusal | None:
        member = self.member
        if command.floor is not None and member.position < command.floor:
            return Refusal.BEHIND
        writes = command.kind is CommandKind.BEGIN or command.text.startswith("WRITE")
        if writes and not member.primary:
            return Refusal.NOT_PRIMARY
        return None

    def _change(self, command: Command) -> None:
        if command.kind in (CommandKind.BEGIN, CommandKind.BEGIN_READ):
            self.state = SessionState.TRANSACTION
        elif command.kind is CommandKind.ROLLBACK or command.text == "COMMIT":
            self.state = SessionState.IDLE
        elif command.kind is CommandKind.RESET:
            self.values, self.prepared = {}, {}
        elif command.kind is CommandKind.SET:
            name, _, value = command.text.partition(" ")
            self.values[name] = value
        elif command.kind is CommandKind.PREPARE:
            name, _, shape = command.text.partition(" ")
            self.prepared[name] = shape
        if command.text.startswith("WRITE") and self.state is SessionState.IDLE:
            self.member.position = Position(
                self.member.position.term, self.member.position.index + 1
            )

    def close(self) -> None:
        self.closed = True


class FakeDriver(MemberDriver):
    def __init__(self, members: list[FakeMember]) -> None:
        self.members = {f"{member.instance}:1": member for member in members}

    def open(self, address: str, service: str, instance: str, channel: Channel) -> None:
        member = self.members[address]
        if not member.reachable:
            channel.lost("refused")
        elif member.refuse_start is not None:
            channel.refused(member.refuse_start, "refused")
        elif not member.silent:
            transport = FakeTransport(member, channel)
            member.transports.append(transport)
            channel.opened(transport, member.position)


class RecordingLog(DecisionLog):
    """A decision log that keeps its lines in memory."""

    written = b""

    def flush(self) -> None:
        self.written += bytes(self._pending)
        self._pending.clear()


def routes(without: tuple[str, ...] = ()) -> dict[str, Route]:
    """Return a route for each consistency level."""
    return {
        name: Route(name, name, "db", kind, 1.0, 0.5, 1.0, 1)
        for name, kind in DATABASES.items()
        if name not in without
    }


class ClockOwner(Protocol):
    """A gateway or harness with a manual clock."""

    clock: ManualClock


class GatewayHarness:
    """A gateway in zone a, and one service with a primary and two replicas."""

    def __init__(self, with_regions: bool = False, slots: int = 3) -> None:
        self.clock = ManualClock()
        self.primary = FakeMember("m1", True, "b", slots)
        self.near = FakeMember("m2", False, "a", slots)
        self.far = FakeMember("m3", False, "c", slots)
        self.members = [self.primary, self.near, self.far]
        self.driver = FakeDriver(self.members)
        self.decisions = RecordingLog("proxy", wall_clock=self.clock.time)
        regions = {"a": "r1", "b": "r1", "c": "r2"}
        locality = Locality("a", regions if with_regions else {})
        self.gateway = Gateway(locality, self.driver, self.clock, self.decisions, Registry())
        self.gateway.start()
        self.configure(1)
        self.announce(1)

    def logs(self) -> list[str]:
        """Return the lines of the gateway's decision log."""
        self.decisions.flush()
        return self.decisions.written.decode().splitlines()

    def configure(self, version: int, **changes: Any) -> None:
        needed = changes.get("acknowledging_replicas", 0)
        services = {"db": ServiceSpec("db", changes.get("connections", 30), needed)}
        allowed = routes(changes.get("without", ()))
        self.gateway.apply(RoutingConfiguration(version, allowed, services, 3.0))

    def announce(self, revision: int, leaving: tuple[str, ...] = ()) -> None:
        records = [member.record(member.instance in leaving) for member in self.members]
        self.gateway.set_directory(Directory(revision, records, FleetSize(3, 3)))

    def client(self, database: str) -> "FakeClient":
        session = self.gateway.open_session(database, "client")
        assert isinstance(session, Session)
        return FakeClient(self, session)


class FakeClient:
    """A client that runs statements in a session and keeps the answers."""

    def __init__(self, owner: ClockOwner, session: Session) -> None:
        self.owner, self.session = owner, session
        self.answers: list[Answer] = []
        self._number = 0

    @property
    def asked(self) -> int:
        """Number of statements that were sent."""
        return self._number

    def ask(self, text: str) -> None:
        self._number += 1
        self.session.execute(statement(f"q{self._number}", text), self.answers.append)

    def run(self, text: str, seconds: float = 0.0) -> Answer:
        """Run a statement, which must be answered within ``seconds``, and return its answer."""
        known = len(self.answers)
        self.ask(text)
        if len(self.answers) == known:
            self.owner.clock.advance(seconds)
        assert len(self.answers) == known + 1, f"{text}: {len(self.answers) - known} answers"
        return self.answers[-1]


def statement(request_id: str, text: str) -> TypedStatement:
    words = text.split(" ")
    kind = StatementKind["BEGIN_READ" if text == "BEGIN READ" else words[0]]
    name = words[1] if len(words) > 1 else ""
    value = " ".join(words[2:])
    writes = False
    if kind is StatementKind.PREPARE:
        writes, value = words[2] == "WRITE", " ".join(words[3:])
    return TypedStatement(request_id, kind, text, name, value, writes)
