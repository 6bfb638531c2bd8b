"""Members that lead until they are replaced and don't notice, for simulated gateways.

A replaced primary goes on answering reads, as a replica that may lag; it refuses writes,
plain transactions and what its log lacks. Nothing here knows what the proxy does.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from rowanrail.members.channel import Channel, MemberDriver, Wire
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal, SessionState

MEMBERS = 3
DELAY_SECONDS = (0.0005, 0.02)
WORK_SECONDS = (0.001, 0.02)
LAG_SECONDS = (0.005, 0.03)
ORDER_SECONDS = 1e-6  # between what a stream carries, since timers of one moment have no order
SERVICE = "db"


class MemberClock(Protocol):
    """True time, and calls in the future."""

    @property
    def now(self) -> float:
        """True time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> object:
        """Call ``callback`` after ``delay`` seconds."""


class Entry(msgspec.Struct, frozen=True):
    """A committed write: the requests whose writes it holds."""

    term: int
    requests: tuple[str, ...]


class Execution(msgspec.Struct, frozen=True):
    """A client's read or write as a member ran it.

    :param held: the requests whose commits the member's log held.
    :param tenant: for whom its connection was opened.
    """

    request: str
    writes: bool
    held: frozenset[str]
    values: dict[str, str]
    shape: str
    connection: int
    in_transaction: bool
    tenant: str = ""


Observe = Callable[[Execution], None]
ObserveCommit = Callable[[tuple[str, ...]], None]


class Group:
    """The members of one service, with their log."""

    def __init__(self, clock: MemberClock, randomness: random.Random) -> None:
        self.clock = clock
        self.random = randomness
        self.term = 1
        self.on_execution: Observe = lambda execution: None
        self.on_commit: ObserveCommit = lambda requests: None
        self.on_rolled_back: ObserveCommit = lambda requests: None
        self.members = [Member(self, number) for number in range(MEMBERS)]
        self.members[0].leads = True
        self.connections = 0

    @property
    def primary(self) -> "Member":
        """The member that leads."""
        return next(member for member in self.members if member.leads)

    def records(self) -> list[MemberRecord]:
        """Return the members as they announce themselves."""
        return [member.record() for member in self.members]

    def commit(self, requests: tuple[str, ...]) -> None:
        """Append a commit at the primary and send it to the replicas."""
        self.primary.log.append(Entry(self.term, requests))
        self.on_commit(requests)
        for member in self.members:
            if not member.leads:
                self._replicate(member)

    def _replicate(self, member: "Member") -> None:
        lag = self.random.uniform(*LAG_SECONDS) * member.lag_factor
        self.clock.call_later(lag, member.catch_up)

    def promote(self, member: "Member") -> None:
        """Make a member lead the next term with what it has, and no more."""
        if member.leads:
            return
        old = self.primary
        self.term += 1
        old.leads = False
        member.leads = True
        for entry in old.log[len(member.log) :]:
            self.on_rolled_back(entry.requests)
        for other in self.members:
            del other.log[len(member.log) :]
            for wire in other.wires:
                wire.lost_lead = True


class Member:
    """One member."""

    def __init__(self, group: Group, number: int) -> None:
        self.group = group
        self.instance = f"m{number + 1}"
        self.zone = f"z{number + 1}"
        self.address = f"{self.instance}:1"
        self.leads = False
        self.silent = False
        self.lag_factor = 1.0
        self.log: list[Entry] = []
        self.wires: list[SimulatedWire] = []

    def record(self) -> MemberRecord:
        """Return the member as it announces itself."""
        return MemberRecord(
            self.instance, SERVICE, self.address, self.zone, self.leads, False, 4, 1
        )

    def status(self) -> bytes:
        """Return role, term, and the term and index of the last position received."""
        role = "primary" if self.leads else "replica"
        position = self.position()
        return f"{role} {self.group.term} {position.term} {position.index}".encode()

    def catch_up(self) -> None:
        """Receive the primary's log."""
        if not self.leads:
            self.log[:] = self.group.primary.log

    def position(self) -> Position:
        """Return the log's last position."""
        return Position(self.log[-1].term if self.log else 1, len(self.log))

    def lacks(self, floor: Position) -> bool:
        """Return whether the log lacks a position."""
        if floor.index == 0:
            return False
        if floor.index > len(self.log):
            return True
        return self.log[floor.index - 1].term != floor.term

    def held(self) -> frozenset[str]:
        """Return the requests whose commits the log holds."""
        return frozenset(request for entry in self.log for request in entry.requests)


class SimulatedWire(Wire):
    """One connection, with a delay each way; commands run one after the other."""

    def __init__(self, member: Member, channel: Channel, delay: float) -> None:
        group = member.group
        group.connections += 1
        self.number = group.connections
        self.member = member
        self.channel = channel
        self.delay = delay
        self.closed = False
        self.broken = False
        self.state = SessionState.IDLE
        self.plain = False
        self.lost_lead = False
        self.writes: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self._free_at = 0.0
        self._delivered_at = 0.0
        member.wires.append(self)

    def send(self, commands: list[Command]) -> None:
        """See :meth:`Wire.send`."""
        clock = self.member.group.clock
        for command in commands:
            arrival = max(clock.now + self.delay, self._free_at + ORDER_SECONDS)
            work = 0.0
            if command.request_id:
                work = self.member.group.random.uniform(*WORK_SECONDS)
            self._free_at = arrival + work
            clock.call_later(self._free_at - clock.now, self._run, command)

    def _run(self, command: Command) -> None:
        if self.member.silent:
            # A stream has no holes: where something was not read, nothing after it is.
            self.broken = True
        if self.closed or self.broken:
            return
        answer = self._answer(command)
        clock = self.member.group.clock
        self._delivered_at = max(clock.now + self.delay, self._delivered_at + ORDER_SECONDS)
        clock.call_later(self._delivered_at - clock.now, self._deliver, answer)

    def _deliver(self, answer: Answer) -> None:
        if self.member.silent:
            self.broken = True
        if not self.closed and not self.broken:
            self.channel.answered(answer)

    def close(self) -> None:
        """See :meth:`Wire.close`."""
        self.closed = True
        if self in self.member.wires:
            self.member.wires.remove(self)

    def reset(self) -> None:
        """Break the connection; what has arrived may still run."""
        self.close()
        self.channel.lost("reset")

    # What a member does

    def _answer(self, command: Command) -> Answer:
        refusal = self._refusal(command)
        if refusal is not None and self.state is SessionState.TRANSACTION:
            self.state = SessionState.FAILED
        if refusal is None:
            self._carry_out(command)
        return Answer(
            rows=[self.member.status()] if command.kind is CommandKind.STATUS else [],
            signature=b"sig" if refusal is None and command.request_id else b"",
            refusal=refusal,
            position=self.member.position(),
            state=self.state,
        )

    def _refusal(self, command: Command) -> Refusal | None:
        if self.state is SessionState.FAILED and command.kind is not CommandKind.ROLLBACK:
            return Refusal.INVALID
        if command.floor is not None and self.member.lacks(command.floor):
            return Refusal.BEHIND
        if command.kind is CommandKind.BEGIN and not self.member.leads:
            return Refusal.NOT_PRIMARY
        if command.kind is CommandKind.EXECUTE and self._name(command) not in self.prepared:
            return Refusal.UNKNOWN_NAME
        if not command.request_id:
            return None
        writes = self._writes(command) or (command.text == "COMMIT" and bool(self.writes))
        replaced = self.state is SessionState.TRANSACTION and self.plain and self.lost_lead
        if replaced and command.text != "COMMIT":
            return Refusal.NOT_PRIMARY
        if writes and (not self.member.leads or replaced):
            return Refusal.NOT_PRIMARY
        return None

    def _name(self, command: Command) -> str:
        return command.text.split(" ")[0]

    def _writes(self, command: Command) -> bool:
        if command.kind is CommandKind.EXECUTE:
            return self.prepared[self._name(command)].startswith("WRITE")
        return command.text.startswith("WRITE")

    def _carry_out(self, command: Command) -> None:
        kind = command.kind
        if kind in (CommandKind.BEGIN, CommandKind.BEGIN_READ):
            self.state, self.writes, self.lost_lead = SessionState.TRANSACTION, [], False
            self.plain = kind is CommandKind.BEGIN
        elif kind is CommandKind.ROLLBACK:
            self.state, self.writes = SessionState.IDLE, []
        elif kind is CommandKind.RESET:
            self.values, self.prepared = {}, {}
        elif kind is CommandKind.SET:
            name, _, value = command.text.partition(" ")
            self.values[name] = value
        elif kind is CommandKind.PREPARE:
            name, _, shape = command.text.partition(" ")
            self.prepared[name] = shape
        elif command.text == "COMMIT":
            self.state = SessionState.IDLE
            if self.writes:
                self.member.group.commit(tuple(self.writes))
            self.writes = []
        elif kind is not CommandKind.STATUS:  # a question about the member runs nothing
            self._execute(command)

    def _execute(self, command: Command) -> None:
        writes = self._writes(command)
        shape = ""
        if command.kind is CommandKind.EXECUTE:
            shape = self.prepared[self._name(command)]
        self.member.group.on_execution(
            Execution(
                command.request_id,
                writes,
                self.member.held(),
                dict(self.values),
                shape,
                self.number,
                self.state is SessionState.TRANSACTION,
                self.channel.tenant,
            )
        )
        if writes and self.state is SessionState.TRANSACTION:
            self.writes.append(command.request_id)
        elif writes:
            self.member.group.commit((command.request_id,))


class SimulatedDriver(MemberDriver):
    """Opens connections for one gateway, which may be cut off from members."""

    def __init__(self, group: Group) -> None:
        self.cut: set[str] = set()
        self._group = group
        self._members = {member.address: member for member in group.members}

    def open(self, address: str, service: str, instance: str, channel: Channel) -> None:
        """See :meth:`MemberDriver.open`."""
        delay = self._group.random.uniform(*DELAY_SECONDS)
        self._group.clock.call_later(2 * delay, self._opened, address, channel, delay)

    def _opened(self, address: str, channel: Channel, delay: float) -> None:
        member = self._members[address]
        if address in self.cut or member.silent:
            self._group.clock.call_later(1.0, channel.lost, "no connection in time")
            return
        channel.opened(SimulatedWire(member, channel, delay), member.position())
