"""The control-plane oracle, which checks changes, reads, versions in force and logs.

It shares no code with the product, so that a fault can't affect both.
"""

import enum
from collections.abc import Callable

import msgspec

NO_VERSION = -1


class ChangeOutcome(enum.Enum):
    """The outcome of a change as reported to its operator."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class AttemptedChange(msgspec.Struct):
    """One change as its operator sees it: ``register`` is set to ``value``."""

    change_id: str
    register: str
    value: str
    expected_version: int
    outcome: ChangeOutcome = ChangeOutcome.UNKNOWN
    version: int = NO_VERSION


class FinalRevision(msgspec.Struct, frozen=True):
    """One version in the system's final history."""

    version: int
    change_id: str


class ControlVerdict(msgspec.Struct):
    """Counts of operations by outcome, and of broken guarantees."""

    accepted: int = 0
    conflicts: int = 0
    refused: int = 0
    unknown: int = 0
    reads: int = 0
    lost: int = 0
    reverted: int = 0
    lost_updates: int = 0
    stale_reads: int = 0
    versions_went_back: int = 0
    two_leaders: int = 0
    logs_differ: int = 0
    not_in_force: int = 0
    not_recovered: int = 0
    examples: list[str] = []

    @property
    def operations(self) -> int:
        """Number of completed changes and reads."""
        return self.accepted + self.conflicts + self.refused + self.unknown + self.reads

    @property
    def acknowledged(self) -> int:
        """Number of accepted changes."""
        return self.accepted

    @property
    def violations(self) -> int:
        """Number of broken guarantees."""
        changes = self.lost + self.reverted + self.lost_updates + self.stale_reads
        nodes = self.versions_went_back + self.two_leaders + self.logs_differ
        return changes + nodes + self.not_in_force + self.not_recovered


class ControlOracle:
    """Checks changes, reads, versions in force, leaders and logs.

    :param note: called with a line of text for each event.
    """

    def __init__(self, note: Callable[[str], None] = lambda message: None) -> None:
        self.verdict = ControlVerdict()
        self._trace = note
        self._changes: dict[str, AttemptedChange] = {}
        self._by_version: dict[int, AttemptedChange] = {}
        self._newest = 0
        self._in_force: dict[str, int] = {}
        self._leaders: dict[int, str] = {}
        self._entries: dict[int, str] = {}

    # Operators

    def begin_change(self, change: AttemptedChange) -> None:
        """Record that a change is about to be sent for the first time."""
        self._changes[change.change_id] = change
        self._trace(f"sends change {change.change_id} against {change.expected_version}")

    def end_change(
        self, change: AttemptedChange, outcome: ChangeOutcome, version: int = NO_VERSION
    ) -> None:
        """Record the outcome that was reported to the operator."""
        change.outcome, change.version = outcome, version
        self._trace(f"change {change.change_id} is {outcome.value} ({version})")
        if outcome is ChangeOutcome.CONFLICT:
            self.verdict.conflicts += 1
        elif outcome is ChangeOutcome.REFUSED:
            self.verdict.refused += 1
        elif outcome is ChangeOutcome.UNKNOWN:
            self.verdict.unknown += 1
        else:
            self.verdict.accepted += 1
            self._accept(change)

    def _accept(self, change: AttemptedChange) -> None:
        if change.version != change.expected_version + 1:
            self.verdict.lost_updates += 1
            self._record_violation(
                f"{change.change_id} against {change.expected_version} became {change.version}"
            )
        other = self._by_version.get(change.version)
        if other is not None:
            self.verdict.lost += 1
            self._record_violation(
                f"{other.change_id} and {change.change_id} both became {change.version}"
            )
        self._by_version[change.version] = change
        self._newest = max(self._newest, change.version)

    def newest(self) -> int:
        """Return the newest accepted version, which a read starting now must see."""
        return self._newest

    def end_read(self, expected: int, seen: int, where: str) -> None:
        """Check a read, which returned the version ``seen``."""
        self.verdict.reads += 1
        self._trace(f"read at {where} saw {seen}, at least {expected} was due")
        if seen < expected:
            self.verdict.stale_reads += 1
            self._record_violation(f"stale read at {where}: saw {seen}, expected {expected}")

    # Proxies and nodes

    def note_in_force(self, incarnation: str, version: int) -> None:
        """Check that the version in force never decreases during one run of a proxy."""
        known = self._in_force.get(incarnation, 0)
        if version < known:
            self._record_regression(f"{incarnation} went back from {known} to {version}")
        self._in_force[incarnation] = version

    def check_first_version(self, incarnation: str, floor: int) -> None:
        """Check a proxy's first version against the one in force in its zone."""
        version = self._in_force[incarnation]
        if version < floor:
            self._record_regression(f"{incarnation} began with {version}, its zone had {floor}")

    def _record_regression(self, message: str) -> None:
        self.verdict.versions_went_back += 1
        self._record_violation(message)

    def note_leader(self, term: int, node: str) -> None:
        """Check that a term has only one leader."""
        known = self._leaders.setdefault(term, node)
        if known != node:
            self.verdict.two_leaders += 1
            self._record_violation(f"{known} and {node} both lead in term {term}")

    def note_committed(self, index: int, entry: str, node: str) -> None:
        """Check that all nodes have committed the same entry at an index."""
        known = self._entries.setdefault(index, entry)
        if known != entry:
            self.verdict.logs_differ += 1
            self._record_violation(f"{node} holds another entry at {index}")

    def note_not_in_force(self, message: str) -> None:
        """Record that a version did not come into force at all proxies."""
        self.verdict.not_in_force += 1
        self._record_violation(message)

    def note_not_recovered(self, message: str) -> None:
        """Record that the system did not recover after all faults had healed."""
        self.verdict.not_recovered += 1
        self._record_violation(message)

    # Final checks

    def judge(self, history: list[FinalRevision], registers: dict[str, str]) -> None:
        """Check the final history and the final contents of the registers."""
        found = {revision.change_id: revision.version for revision in history}
        if len(found) != len(history):
            self.verdict.lost += 1
            self._record_violation("a change is in the history twice")
        oldest = min(found.values(), default=0)
        for change in self._changes.values():
            if change.outcome is not ChangeOutcome.ACCEPTED or change.version >= oldest:
                self._judge_change(change, found.get(change.change_id))
        expected: dict[str, str] = {}
        for revision in sorted(history, key=lambda item: item.version):
            known = self._changes.get(revision.change_id)
            if known is not None:
                expected[known.register] = known.value
        for register, value in expected.items():
            if registers.get(register) != value:
                self.verdict.reverted += 1
                self._record_violation(f"{register} is {registers.get(register)}, not {value}")

    def _judge_change(self, change: AttemptedChange, version: int | None) -> None:
        if change.outcome is ChangeOutcome.ACCEPTED and version != change.version:
            self.verdict.lost += 1
            self._record_violation(
                f"{change.change_id} was accepted as {change.version}, is {version}"
            )
        refused = change.outcome in (ChangeOutcome.CONFLICT, ChangeOutcome.REFUSED)
        if refused and version is not None:
            self.verdict.reverted += 1
            self._record_violation(f"{change.change_id} was refused and is version {version}")

    def _record_violation(self, message: str) -> None:
        self._trace(f"VIOLATION: {message}")
        if len(self.verdict.examples) < 20:
            self.verdict.examples.append(message)
