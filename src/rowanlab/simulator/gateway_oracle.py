"""The oracle of simulated gateways: what clients were told, against what members ran."""

import msgspec

from rowanlab.simulator.gateway_members import Execution
from rowanrail.model.routing import Consistency
from rowanrail.model.statements import NOT_RUN, Answer


class Asked(msgspec.Struct):
    """A client's statement.

    :param covered: requests whose commits a read must see, as known when it was asked.
    :param tenant: whose key the client named.
    :param is_forbidden: whether the key had been withdrawn everywhere when it was asked.
    """

    request: str
    session: int
    values: dict[str, str]
    shape: str
    covered: frozenset[str]
    transaction: int
    tenant: str = ""
    is_forbidden: bool = False


class GatewayVerdict(msgspec.Struct):
    """Counts of what went wrong, and of what was done."""

    operations: int = 0
    acknowledged: int = 0
    stale: int = 0
    values_differ: int = 0
    shapes_differ: int = 0
    transactions_mixed: int = 0
    run_twice: int = 0
    false_promises: int = 0
    lost: int = 0
    not_recovered: int = 0
    wrong_tenant: int = 0
    withdrawn_key: int = 0
    examples: list[str] = []

    @property
    def violations(self) -> int:
        """Return how many guarantees were broken."""
        return (
            self.stale
            + self.values_differ
            + self.shapes_differ
            + self.transactions_mixed
            + self.run_twice
            + self.false_promises
            + self.lost
            + self.not_recovered
            + self.wrong_tenant
            + self.withdrawn_key
        )


class GatewayOracle:
    """Judges one run. Shares no code with the proxy's decisions."""

    def __init__(self) -> None:
        self.verdict = GatewayVerdict(examples=[])
        self.acknowledged: dict[str, tuple[float, int]] = {}
        self.rolled_back: set[str] = set()
        self._asked: dict[str, Asked] = {}
        self._commits: dict[str, int] = {}
        self._promised: set[str] = set()
        self._stale: list[tuple[str, frozenset[str]]] = []
        self._connections: dict[int, int] = {}

    def must_see(self, kind: Consistency, session: int, now: float, staleness: float) -> set[str]:
        """Return the requests whose commits a read that is asked now must see."""
        seen = set()
        for request, (moment, owner) in self.acknowledged.items():
            own = kind is Consistency.SESSION and owner == session
            if own or kind is Consistency.PRIMARY or moment < now - staleness:
                seen.add(request)
        return seen

    def ask(self, asked: Asked) -> None:
        """Note a statement before it is handed over."""
        self.verdict.operations += 1
        self._asked[asked.request] = asked

    def answer(self, request: str, answer: Answer, writes: bool, session: int, now: float) -> None:
        """Note an answer to a lone statement, or to a commit for each of its writes."""
        if answer.refusal is None and writes:
            self.verdict.acknowledged += 1
            self.acknowledged[request] = (now, session)
        elif answer.refusal in NOT_RUN and writes:
            self._promised.add(request)

    def on_execution(self, execution: Execution) -> None:
        """Judge what a member ran."""
        asked = self._asked.get(execution.request)
        if asked is None:
            self._violate("transactions_mixed", f"{execution.request} was asked by nobody")
            return
        if execution.tenant != asked.tenant:
            what = f"{execution.request} of {asked.tenant!r} ran for {execution.tenant!r}"
            self._violate("wrong_tenant", what)
        if asked.is_forbidden:
            self._violate("withdrawn_key", f"{execution.request} ran with a withdrawn key")
        if execution.values != asked.values:
            what = f"{execution.request} ran with {execution.values}, not {asked.values}"
            self._violate("values_differ", what)
        if execution.shape != asked.shape:
            what = f"{execution.request} ran {execution.shape!r}, not {asked.shape!r}"
            self._violate("shapes_differ", what)
        if asked.transaction:
            known = self._connections.setdefault(asked.transaction, execution.connection)
            if known != execution.connection or not execution.in_transaction:
                self._violate("transactions_mixed", f"{execution.request} left its transaction")
        elif execution.in_transaction:
            self._violate("transactions_mixed", f"{execution.request} ran in a transaction")
        missing = asked.covered - execution.held
        if missing:
            self._stale.append((execution.request, missing))

    def on_commit(self, requests: tuple[str, ...]) -> None:
        """Note a commit at a member."""
        for request in requests:
            self._commits[request] = self._commits.get(request, 0) + 1
            if self._commits[request] > 1:
                self._violate("run_twice", f"{request} took effect twice")

    def on_rolled_back(self, requests: tuple[str, ...]) -> None:
        """Note commits that a promotion undid."""
        self.rolled_back.update(requests)

    def finish(self, held: frozenset[str]) -> None:
        """Judge what can only be judged at the end."""
        for request, missing in self._stale:
            real = missing - self.rolled_back
            if real:
                self._violate("stale", f"{request} did not see {sorted(real)[0]}")
        for request in sorted(self._promised & set(self._commits)):
            self._violate("false_promises", f"{request} was called not run, and committed")
        for request in self.acknowledged:
            if request not in held and request not in self.rolled_back:
                self._violate("lost", f"{request} was acknowledged and is not there")

    def note_not_recovered(self, message: str) -> None:
        """Note that the run could not go on."""
        self._violate("not_recovered", message)

    def _violate(self, field: str, message: str) -> None:
        setattr(self.verdict, field, getattr(self.verdict, field) + 1)
        if len(self.verdict.examples) < 10:
            self.verdict.examples.append(f"{field}: {message}")
