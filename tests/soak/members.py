"""Members with slots and a queue of their own, whose work takes time."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from typing import Any

from tests.soak.oracle import Execution
from tests.support.line_member import Member, MemberConnection

WORK_SECONDS = 0.004  # of a slot for a read, a write or a commit
OPENING_SECONDS = 0.012  # of a slot for a new connection
QUEUE = 32  # statements that wait for a slot; more are turned away
SLOT_TAKERS = ("READ", "WRITE", "EXECUTE", "COMMIT")
_numbers = itertools.count()  # of connections; the ids of objects are used again


class SlottedMember(Member):
    """Runs as many statements at a time as it has slots, in the order in which they came."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.usable = self.slots
        self.slowness = 1.0
        self.turned_away = 0
        self.silent = False
        # Connections with lines that have arrived; these run, also if their sender has gone.
        self.pending: set[SlottedConnection] = set()
        self._running = 0
        self._waiting: deque[tuple[float, Callable[[], None]]] = deque()

    def take_slot(self, seconds: float, done: Callable[[], None]) -> bool:
        """Call ``done`` after the work; return False if the queue is full."""
        if len(self._waiting) >= QUEUE:
            self.turned_away += 1
            return False
        self._waiting.append((seconds, done))
        self._go_on()
        return True

    def speak_again(self) -> None:
        """Take what has arrived while the member was silent."""
        self.silent = False
        for connection in list(self.pending):
            connection.take_waiting()

    def end_transactions(self) -> None:
        super().end_transactions()
        for connection in self.pending:
            connection.demoted = True

    def stop(self) -> None:
        for connection in self.connections | self.pending:
            connection.has_crashed = True
        self.pending.clear()
        super().stop()

    def _go_on(self) -> None:
        while self._waiting and self._running < self.usable:
            seconds, done = self._waiting.popleft()
            self._running += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.slowness * seconds, self._end, done)

    def _end(self, done: Callable[[], None]) -> None:
        self._running -= 1
        done()
        self._go_on()


class SlottedConnection(MemberConnection):
    """Takes one line after the other, each when its work is done."""

    def __init__(self, member: Member) -> None:
        super().__init__(member)
        self._lines: deque[str] = deque()
        self._is_at_work = False
        self.has_crashed = False
        self._has_counted = False  # the open transaction, against its tenant's limit
        self._number = next(_numbers)
        self._shape = ""

    def handle_line(self, line: str) -> None:
        self._lines.append(line)
        self.member.pending.add(self)
        self.take_waiting()

    def take_waiting(self) -> None:
        while self._lines and not self._is_at_work and not self.member.silent:
            line = self._lines.popleft()
            seconds = self._seconds(line)
            if not seconds:
                self._run(line)
                continue
            self._is_at_work = True
            assert isinstance(self.member, SlottedMember)
            if not self.member.take_slot(seconds, lambda line=line: self._done(line)):
                self._is_at_work = False
                self.ready(self.fail("BUSY")) if self.started else self._turn_away()
        if not self._lines and not self._is_at_work:
            self.member.pending.discard(self)

    def _seconds(self, line: str) -> float:
        """Return for how long a line takes a slot."""
        if not self.started:
            return OPENING_SECONDS
        words = line.split(" ")[2:]
        if words and words[0] == "AFTER":
            words = words[2:]
        return WORK_SECONDS if words and words[0] in SLOT_TAKERS else 0.0

    def _turn_away(self) -> None:
        self.transport.write(f"ERROR BUSY {self.member.instance}\r\n".encode())
        self.transport.close()

    def _done(self, line: str) -> None:
        self._is_at_work = False
        if not self.has_crashed:
            self._run(line)
            self.take_waiting()

    def _run(self, line: str) -> None:
        super().handle_line(line)

    def run_begin(self, words: list[str]) -> list[str]:
        self._has_counted = False
        return super().run_begin(words)

    def run_read(self, words: list[str]) -> list[str]:
        self._count()
        if self.state == "T" and not self.read_write:
            self.member.group.read_in_transaction(Execution(self._number, self.values))
        return super().run_read(words)

    def run_write(self, words: list[str]) -> list[str]:
        lines = super().run_write(words)
        if not lines[0].startswith("ERROR"):
            self._count()
            self.member.group.wrote(words[1], Execution(self._number, self.values, self._shape))
        return lines

    def run_execute(self, words: list[str]) -> list[str]:
        self._shape = self.prepared.get(words[0], ("", ""))[1]
        try:
            return super().run_execute(words)
        finally:
            self._shape = ""

    def _count(self) -> None:
        if self.state != "T" or not self._has_counted:
            self.member.group.on_operation(self.tenant)
        self._has_counted = True


SlottedMember.connection_type = SlottedConnection
