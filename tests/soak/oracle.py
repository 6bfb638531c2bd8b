"""What clients were told, held against what the members' log shows."""

from dataclasses import dataclass, field

TENANTS = 4  # client n is one of tenant n modulo this
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY", "UNKNOWN")


# A tenant's limit holds over each span of so many seconds; so much beyond it is tolerated.
WINDOW_SECONDS = 5.0
EXCESS, SLACK = 0.1, 20


@dataclass(frozen=True)
class Asked:
    """What a client's session had when it asked for a write, and of which transaction it was."""

    values: dict[str, str]
    shape: str = ""
    transaction: int = 0


@dataclass(frozen=True)
class Execution:
    """With what a member ran a statement, and on which of its connections."""

    connection: int
    values: dict[str, str]
    shape: str = ""


@dataclass
class Verdict:
    """Counts of one run; ``problems`` is empty if every rule held."""

    acknowledged: int = 0
    reads: int = 0
    refused: int = 0
    in_doubt: int = 0
    rolled_back: int = 0
    faults: int = 0
    fullest: int = 0  # operations of a tenant in a window of its limit
    problems: list[str] = field(default_factory=list)


class Oracle:
    """Judges one service. Values are unique, so that a value names its write."""

    def __init__(self) -> None:
        self.verdict = Verdict()
        self.acknowledged: dict[str, str] = {}
        self.rolled_back: set[str] = set()
        self._committed: dict[str, int] = {}
        self._promised: set[str] = set()
        self._together: list[tuple[str, ...]] = []
        self._order: dict[str, int] = {}
        self._began: dict[str, list[float]] = {}
        self._asked: dict[str, Asked] = {}
        self._connections: dict[int, int] = {}
        self._read_connections: dict[str, int] = {}

    # What the members did

    def ran(self, tenant: str, thing: str) -> None:
        """Judge for whom a statement ran: client n, whose thing is ``kn``, has one tenant."""
        wanted = f"t{int(thing[1:]) % TENANTS}"
        if tenant != wanted:
            self.problem(f"UNASKED: a statement on {thing} ran for {tenant}, not {wanted}")

    def asked(self, value: str, asked: Asked) -> None:
        """Note a write before it is sent."""
        self._asked[value] = asked

    def wrote(self, value: str, run: Execution) -> None:
        """Judge a write that ran: with its session's values, on its transaction's connection."""
        asked = self._asked.get(value)
        if asked is None:
            self.problem(f"UNASKED: {value} was written, and nobody asked for it")
        elif (run.values, run.shape) != (asked.values, asked.shape):
            self.problem(f"PINNED: {value} ran with {run.values} {run.shape!r}, not as {asked}")
        elif asked.transaction:
            first = self._connections.setdefault(asked.transaction, run.connection)
            if first != run.connection:
                self.problem(f"PINNED: {value} left the connection of its transaction")

    def read_in_transaction(self, run: Execution) -> None:
        """Judge a read of a transaction that only reads, which its session's value names."""
        name = run.values.get("a", "")
        first = self._read_connections.setdefault(name, run.connection)
        if not name or first != run.connection:
            self.problem(f"PINNED: a read of the transaction {name!r} left its connection")

    def began(self, tenant: str, now: float) -> None:
        """Note an operation of a tenant that ran: a single statement, or a transaction."""
        self._began.setdefault(tenant, []).append(now)

    def judge_limits(self, rate: float, burst: float) -> None:
        """Judge that no tenant ran more than its limit in any window."""
        allowed = (1 + EXCESS) * (rate * WINDOW_SECONDS + burst) + SLACK
        for tenant, moments in self._began.items():
            first = 0
            most = 0
            for last, moment in enumerate(moments):
                while moment - moments[first] > WINDOW_SECONDS:
                    first += 1
                most = max(most, last - first + 1)
            self.verdict.fullest = max(self.verdict.fullest, most)
            if most > allowed:
                self.problem(f"QUOTA: {tenant} ran {most} in a window, {allowed:.0f} are tolerated")

    def committed(self, writes: list[tuple[str, str]]) -> None:
        for _, value in writes:
            self._committed[value] = self._committed.get(value, 0) + 1
            self._order[value] = len(self._order)
            if self._committed[value] > 1:
                self.problem(f"TWICE: {value} took effect twice")

    def undone(self, writes: list[tuple[str, str]]) -> None:
        for _, value in writes:
            self.rolled_back.add(value)
            self.verdict.rolled_back += 1

    def judge_orders(self, calls: list[tuple[str, int, str, int]]) -> None:
        """Judge the orders to promote: a token stands for one order of one node."""
        orders: dict[int, tuple[str, str]] = {}
        for holder, token, instance, _ in calls:
            if orders.setdefault(token, (holder, instance)) != (holder, instance):
                self.problem(f"ONE: {holder} ordered {instance} under {token} of {orders[token]}")

    # What clients were told

    def answered(self, values: tuple[str, ...], first_line: str) -> None:
        """Note the answer to a single write, or to the commit of several."""
        word, _, rest = first_line.partition(" ")
        code = rest.partition(" ")[0]
        if word == "DONE":
            self.verdict.acknowledged += 1
            self.acknowledged.update(dict.fromkeys(values, "yes"))
            self._together.append(values)
        elif word == "ERROR" and code in PROMISES:
            self.verdict.refused += 1
            self._promised.update(values)
        else:
            self.verdict.in_doubt += 1

    def read(self, seen: str, must_see: list[str]) -> None:
        """Judge a read of a key; ``must_see`` are its writes acknowledged before, in order."""
        self.verdict.reads += 1
        kept = [value for value in must_see if value not in self.rolled_back]
        if not kept:
            return
        if self._order.get(seen, -1) < self._order[kept[-1]]:
            self.problem(f"STALE: {seen} was read after {kept[-1]}")

    def finish(self, held: set[str]) -> None:
        """Judge what can be judged only at the end; ``held`` is what the primary's log holds."""
        for value in self._promised & set(self._committed):
            self.problem(f"REFUSED: {value} was called not run, and was committed")
        for value in self.acknowledged:
            if value not in held and value not in self.rolled_back:
                self.problem(f"LOST: {value} was acknowledged and is not there")
        for values in self._together:
            present = [value in held for value in values]
            if any(present) and not all(present):
                self.problem(f"PINNED: only a part of {values} is there")

    def problem(self, text: str) -> None:
        self.verdict.problems.append(text)
