"""Stand-in members with execution slots, a bounded queue and service times."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from typing import Any

from tests.soak.oracle import Execution
from tests.support.acknowledging_members import AcknowledgingConnection, AcknowledgingMember
from tests.support.line_member import Member

STATEMENT_SECONDS = 0.004  # slot time of a read, a write or a commit
CONNECT_SECONDS = 0.012  # slot time of a new connection
QUEUE_CAPACITY = 32  # queued statements; further ones fail with BUSY
SLOT_COMMANDS = ("READ", "WRITE", "EXECUTE", "COMMIT")
ZONES = {"i-2": "b"}  # zone of each member; "a" if missing
_connection_ids = itertools.count()  # unlike id(), never reused


class SlottedMember(AcknowledgingMember):
    """Runs statements in order of arrival, at most one per slot at a time."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.active_slots = self.slots
        self.slowdown = 1.0
        self.rejected = 0
        self.paused = False
        # Connections with unprocessed lines, which run even after the peer has disconnected.
        self.pending_connections: set[SlottedConnection] = set()
        self._running_count = 0
        self._queue: deque[tuple[float, Callable[[], None]]] = deque()

    @property
    def zone(self) -> str:
        return ZONES.get(self.instance.partition(".")[0], "a")

    def heartbeat(self, state: str = "ready") -> dict[str, Any]:
        return super().heartbeat(state) | {"zone": self.zone}

    def enqueue(self, seconds: float, done: Callable[[], None]) -> bool:
        """Queue work that takes ``seconds`` and then calls ``done``; return False if full."""
        if len(self._queue) >= QUEUE_CAPACITY:
            self.rejected += 1
            return False
        self._queue.append((seconds, done))
        self._start_queued()
        return True

    def resume(self) -> None:
        """Process the lines that arrived while the member was paused."""
        self.paused = False
        for connection in list(self.pending_connections):
            connection.process_lines()

    def demote(self, term: int) -> None:
        was_primary = self.is_primary
        super().demote(term)
        if was_primary and not self.is_primary:
            self.group.on_demote(self)

    def end_transactions(self) -> None:
        super().end_transactions()
        for connection in self.pending_connections:
            connection.demoted = True

    def stop(self) -> None:
        for connection in self.connections | self.pending_connections:
            connection.aborted = True
        self.pending_connections.clear()
        super().stop()

    def _start_queued(self) -> None:
        while self._queue and self._running_count < self.active_slots:
            seconds, done = self._queue.popleft()
            self._running_count += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.slowdown * seconds, self._finish, done)

    def _finish(self, done: Callable[[], None]) -> None:
        self._running_count -= 1
        done()
        self._start_queued()


class SlottedConnection(AcknowledgingConnection):
    """Processes the lines of a connection in sequence, each after its service time."""

    def __init__(self, member: Member) -> None:
        super().__init__(member)
        self._unprocessed: deque[tuple[float, str]] = deque()
        self._arrived_at = 0.0  # of the line that is processed
        self._is_busy = False
        self.aborted = False
        self._transaction_counted = False  # whether the open transaction has been reported
        self._connection_id = next(_connection_ids)
        self._shape = ""

    def handle_line(self, line: str) -> None:
        self._unprocessed.append((asyncio.get_running_loop().time(), line))
        self.member.group.on_arrival(self.member, self.transport.get_extra_info("peername"), line)
        self.member.pending_connections.add(self)
        self.process_lines()

    def process_lines(self) -> None:
        while self._unprocessed and not self._is_busy and not self.member.paused:
            self._arrived_at, line = self._unprocessed.popleft()
            seconds = self._service_seconds(line)
            if not seconds:
                self._execute(line)
                continue
            self._is_busy = True
            assert isinstance(self.member, SlottedMember)
            if not self.member.enqueue(seconds, lambda line=line: self._complete(line)):
                self._is_busy = False
                self.ready(self.fail("BUSY")) if self.started else self._reject()
        if not self._unprocessed and not self._is_busy:
            self.member.pending_connections.discard(self)

    def _service_seconds(self, line: str) -> float:
        """Return the slot time of a line; 0 if it needs no slot."""
        if not self.started:
            return CONNECT_SECONDS
        words = line.split(" ")[2:]
        if words and words[0] == "AFTER":
            words = words[2:]
        return STATEMENT_SECONDS if words and words[0] in SLOT_COMMANDS else 0.0

    def _reject(self) -> None:
        self.transport.write(f"ERROR BUSY {self.member.instance}\r\n".encode())
        self.transport.close()

    def _complete(self, line: str) -> None:
        self._is_busy = False
        if not self.aborted:
            self._execute(line)
            self.process_lines()

    def _execute(self, line: str) -> None:
        super().handle_line(line)

    def run_begin(self, words: list[str]) -> list[str]:
        self._transaction_counted = False
        return super().run_begin(words)

    def run_read(self, words: list[str]) -> list[str]:
        self._report_zone()
        self._count_operation()
        if self.state == "T" and not self.read_write:
            self.member.group.on_transaction_read(Execution(self._connection_id, self.values))
        return super().run_read(words)

    def run_write(self, words: list[str]) -> list[str]:
        self._report_zone()
        lines = super().run_write(words)
        if not lines[0].startswith("ERROR"):
            self._count_operation()
            self.member.group.on_write(
                words[1], Execution(self._connection_id, self.values, self._shape)
            )
        return lines

    def run_execute(self, words: list[str]) -> list[str]:
        self._shape = self.prepared.get(words[0], ("", ""))[1]
        try:
            return super().run_execute(words)
        finally:
            self._shape = ""

    def _report_zone(self) -> None:
        assert isinstance(self.member, SlottedMember)
        peer = self.transport.get_extra_info("peername")
        self.member.group.on_zone(self.tenant, self.member.zone, self._arrived_at, peer)

    def _count_operation(self) -> None:
        if self.state != "T" or not self._transaction_counted:
            self.member.group.on_operation(self.tenant)
        self._transaction_counted = True


SlottedMember.connection_type = SlottedConnection
