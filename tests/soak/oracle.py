"""Checks of the answers that clients received against the members' log."""

from dataclasses import dataclass, field

TENANTS = 4  # client n belongs to tenant n % TENANTS
# Error codes which state that a statement took no effect.
NOT_EXECUTED_CODES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY", "UNKNOWN")

# Sliding window for tenants' rate limits, and the tolerated excess as a ratio and in operations.
LIMIT_WINDOW_SECONDS = 5.0
EXCESS_RATIO, EXCESS_OPERATIONS = 0.1, 20


@dataclass(frozen=True)
class RequestedWrite:
    """Session state with which a client requested a write; ``transaction`` is 0 outside of one."""

    values: dict[str, str]
    shape: str = ""
    transaction: int = 0


@dataclass(frozen=True)
class Execution:
    """Connection and session state with which a member ran a statement."""

    connection: int
    values: dict[str, str]
    shape: str = ""


@dataclass
class Verdict:
    """Counts of one run; ``problems`` lists the violations and is empty if there were none."""

    acknowledged: int = 0
    reads: int = 0
    refused: int = 0
    in_doubt: int = 0
    rolled_back: int = 0
    faults: int = 0
    fullest: int = 0  # most operations of a tenant in a window
    problems: list[str] = field(default_factory=list)


class Oracle:
    """Checks the consistency of one service. Written values are unique and identify their write."""

    def __init__(self) -> None:
        self.verdict = Verdict()
        self.acknowledged: dict[str, str] = {}
        self.rolled_back: set[str] = set()
        self._commit_counts: dict[str, int] = {}
        self._not_executed: set[str] = set()
        self._atomic_writes: list[tuple[str, ...]] = []
        self._commit_positions: dict[str, int] = {}
        self._operation_times: dict[str, list[float]] = {}
        self._requests: dict[str, RequestedWrite] = {}
        self._write_connections: dict[int, int] = {}
        self._read_connections: dict[str, int] = {}

    # Events at the members

    def check_tenant(self, tenant: str, key: str) -> None:
        """Check the tenant of a statement; key ``k<n>`` belongs to the tenant of client n."""
        expected = f"t{int(key[1:]) % TENANTS}"
        if tenant != expected:
            self.add_problem(f"UNASKED: a statement on {key} ran for {tenant}, not {expected}")

    def record_request(self, value: str, request: RequestedWrite) -> None:
        """Record a write before it is sent."""
        self._requests[value] = request

    def check_write(self, value: str, execution: Execution) -> None:
        """Check that a write ran with its session's state, on its transaction's connection."""
        request = self._requests.get(value)
        if request is None:
            self.add_problem(f"UNASKED: {value} was written, and nobody asked for it")
        elif (execution.values, execution.shape) != (request.values, request.shape):
            self.add_problem(
                f"PINNED: {value} ran with {execution.values} {execution.shape!r}, not as {request}"
            )
        elif request.transaction:
            first = self._write_connections.setdefault(request.transaction, execution.connection)
            if first != execution.connection:
                self.add_problem(f"PINNED: {value} left the connection of its transaction")

    def check_transaction_read(self, execution: Execution) -> None:
        """Check that all reads of a read-only transaction ran on the same connection.

        Session value ``a`` identifies the transaction.
        """
        name = execution.values.get("a", "")
        first = self._read_connections.setdefault(name, execution.connection)
        if not name or first != execution.connection:
            self.add_problem(f"PINNED: a read of the transaction {name!r} left its connection")

    def record_operation(self, tenant: str, now: float) -> None:
        """Record an operation of a tenant: a single statement or a transaction."""
        self._operation_times.setdefault(tenant, []).append(now)

    def check_limits(self, rate: float, burst: float) -> None:
        """Check that no tenant exceeded its limit, plus the tolerance, in any window."""
        allowed = (1 + EXCESS_RATIO) * (rate * LIMIT_WINDOW_SECONDS + burst) + EXCESS_OPERATIONS
        for tenant, times in self._operation_times.items():
            first = 0
            peak = 0
            for last, time in enumerate(times):
                while time - times[first] > LIMIT_WINDOW_SECONDS:
                    first += 1
                peak = max(peak, last - first + 1)
            self.verdict.fullest = max(self.verdict.fullest, peak)
            if peak > allowed:
                self.add_problem(
                    f"QUOTA: {tenant} ran {peak} in a window, {allowed:.0f} are tolerated"
                )

    def record_commit(self, writes: list[tuple[str, str]]) -> None:
        for _, value in writes:
            self._commit_counts[value] = self._commit_counts.get(value, 0) + 1
            self._commit_positions[value] = len(self._commit_positions)
            if self._commit_counts[value] > 1:
                self.add_problem(f"TWICE: {value} took effect twice")

    def record_rollback(self, writes: list[tuple[str, str]]) -> None:
        for _, value in writes:
            self.rolled_back.add(value)
            self.verdict.rolled_back += 1

    def check_promotions(self, calls: list[tuple[str, int, str, int]]) -> None:
        """Check that no fencing token was used for two different promotions."""
        promotions: dict[int, tuple[str, str]] = {}
        for holder, token, instance, _ in calls:
            if promotions.setdefault(token, (holder, instance)) != (holder, instance):
                self.add_problem(
                    f"ONE: {holder} ordered {instance} under {token} of {promotions[token]}"
                )

    # Answers to clients

    def record_answer(self, values: tuple[str, ...], first_line: str) -> None:
        """Record the answer to a single write or to the commit of several."""
        word, _, rest = first_line.partition(" ")
        code = rest.partition(" ")[0]
        if word == "DONE":
            self.verdict.acknowledged += 1
            self.acknowledged.update(dict.fromkeys(values, "yes"))
            self._atomic_writes.append(values)
        elif word == "ERROR" and code in NOT_EXECUTED_CODES:
            self.verdict.refused += 1
            self._not_executed.update(values)
        else:
            self.verdict.in_doubt += 1

    def check_read(self, value_read: str, expected: list[str]) -> None:
        """Check a read of a key for staleness.

        ``expected`` are the writes to the key that it must reflect, in order of acknowledgement.
        """
        self.verdict.reads += 1
        remaining = [value for value in expected if value not in self.rolled_back]
        if not remaining:
            return
        if self._commit_positions.get(value_read, -1) < self._commit_positions[remaining[-1]]:
            self.add_problem(f"STALE: {value_read} was read after {remaining[-1]}")

    def check_final_state(self, primary_values: set[str], sync_replicas: int = 0) -> None:
        """Check the outcome of all writes against the values in the primary's log.

        With acknowledging replicas a promotion may roll back nothing that a client was told.
        """
        for value in self._not_executed & set(self._commit_counts):
            self.add_problem(f"REFUSED: {value} was called not run, and was committed")
        for value in self.acknowledged:
            may_be_missing = value in self.rolled_back and not sync_replicas
            if value not in primary_values and not may_be_missing:
                self.add_problem(f"LOST: {value} was acknowledged and is not there")
        for values in self._atomic_writes:
            found = [value in primary_values for value in values]
            if any(found) and not all(found):
                self.add_problem(f"PINNED: only a part of {values} is there")

    def add_problem(self, text: str) -> None:
        self.verdict.problems.append(text)
