"""The data oracle, which checks the outcomes reported to callers against the database.

It shares no code with the product, so that a fault can't affect both.
"""

import enum
from collections.abc import Callable

import msgspec


class Outcome(enum.Enum):
    """The outcome of a write as reported to its caller."""

    ACKNOWLEDGED = "acknowledged"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"
    FAILED = "failed"


class Write(msgspec.Struct):
    """One write as its caller saw it.

    :param number: position in the sequence of writes to ``key``, from 1.
    :param parts: number of rows that the write inserts.
    """

    operation: str
    key: str
    number: int
    parts: int
    outcome: Outcome = Outcome.UNKNOWN


class Verdict(msgspec.Struct):
    """Counts of operations by outcome, and of broken guarantees."""

    acknowledged: int = 0
    unknown: int = 0
    not_run: int = 0
    failed: int = 0
    reads: int = 0
    lost: int = 0
    doubled: int = 0
    stale_reads: int = 0
    mixed: int = 0
    false_not_run: int = 0
    cut_by_stop: int = 0
    late_work: int = 0
    not_recovered: int = 0
    examples: list[str] = []

    @property
    def operations(self) -> int:
        """Number of completed reads and writes, whatever their outcome."""
        writes = self.acknowledged + self.unknown + self.not_run + self.failed
        return writes + self.reads

    @property
    def violations(self) -> int:
        """Number of broken guarantees."""
        data = self.lost + self.doubled + self.stale_reads + self.mixed + self.false_not_run
        return data + self.cut_by_stop + self.late_work + self.not_recovered


class Oracle:
    """Records all writes and checks reads and the final contents against them.

    Every key has a single writer, which numbers its writes in increasing order.

    :param note: called with a line of text for each event.
    """

    def __init__(self, note: Callable[[str], None] = lambda message: None) -> None:
        self.verdict = Verdict()
        self._trace = note
        self._writes: dict[str, Write] = {}
        self._acknowledged: dict[str, int] = {}
        self._attempted: dict[str, int] = {}

    def begin_write(self, operation: str, key: str, parts: int = 1) -> Write:
        """Record that a write is about to be sent, and return it with its number."""
        number = self._attempted.get(key, 0) + 1
        self._attempted[key] = number
        write = Write(operation, key, number, parts)
        self._writes[operation] = write
        self._trace(f"sends {operation} as number {number} of {key}")
        return write

    def end_write(self, write: Write, outcome: Outcome) -> None:
        """Record the outcome that was reported to the caller."""
        write.outcome = outcome
        self._trace(f"{write.operation} is {outcome.value}")
        if outcome is Outcome.ACKNOWLEDGED:
            self.verdict.acknowledged += 1
            known = self._acknowledged.get(write.key, 0)
            self._acknowledged[write.key] = max(known, write.number)
        elif outcome is Outcome.UNKNOWN:
            self.verdict.unknown += 1
        elif outcome is Outcome.NOT_RUN:
            self.verdict.not_run += 1
        else:
            self.verdict.failed += 1

    def expected(self, key: str) -> int:
        """Return the lowest number that a read starting now may return."""
        return self._acknowledged.get(key, 0)

    def keys(self) -> list[str]:
        """Return all keys, sorted."""
        return sorted(self._attempted)

    def end_read(self, key: str, expected: int, seen: int, where: str) -> None:
        """Check a read, which returned ``seen`` as the highest number of ``key``."""
        self.verdict.reads += 1
        self._trace(f"read of {key} by {where} saw {seen}, at least {expected} was due")
        if seen < expected:
            self.verdict.stale_reads += 1
            self._record_violation(
                f"stale read of {key} by {where}: saw {seen}, expected {expected}"
            )
        if seen > self._attempted.get(key, 0):
            self.verdict.mixed += 1
            self._record_violation(f"read of {key} by {where} saw {seen}, which nobody wrote")

    def note_mixed(self, message: str) -> None:
        """Record that a caller received another caller's data or a partial result."""
        self.verdict.mixed += 1
        self._record_violation(message)

    def note_interrupted_request(self, message: str) -> None:
        """Record that a planned stop interrupted a request."""
        self.verdict.cut_by_stop += 1
        self._record_violation(message)

    def note_late_work(self, member: str, count: int) -> None:
        """Record how much new work a leaving member received."""
        if count:
            self.verdict.late_work += count
            self._record_violation(f"{member} got {count} pieces of new work while leaving")

    def note_not_recovered(self, message: str) -> None:
        """Record that the system did not recover after all faults had healed."""
        self.verdict.not_recovered += 1
        self._record_violation(message)

    def judge(self, rows: dict[str, int]) -> Verdict:
        """Check the database's final contents, given as the number of rows by operation."""
        for write in self._writes.values():
            found = rows.get(write.operation, 0)
            if found > write.parts:
                self.verdict.doubled += 1
                self._record_violation(f"{write.operation} is there {found} times")
            elif 0 < found < write.parts:
                self.verdict.mixed += 1
                self._record_violation(f"{write.operation} is there in part")
            if write.outcome is Outcome.ACKNOWLEDGED and found == 0:
                self.verdict.lost += 1
                self._record_violation(f"{write.operation} was acknowledged and is not there")
            if write.outcome in (Outcome.NOT_RUN, Outcome.FAILED) and found:
                self.verdict.false_not_run += 1
                self._record_violation(f"{write.operation} was refused as not run and is there")
        for operation in rows:
            if operation not in self._writes:
                self.note_mixed(f"{operation} is there and nobody wrote it")
        return self.verdict

    def _record_violation(self, message: str) -> None:
        self._trace(f"VIOLATION: {message}")
        if len(self.verdict.examples) < 20:
            self.verdict.examples.append(message)
