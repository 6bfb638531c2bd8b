"""The holder's side of forwarding: runs other gateways' statements on its own connections.

A statement that is answered as not served has not run and never will. Statements that the sender
cancels are ended, and transactions of a lost sender are rolled back.

Owns the statements and transactions of each link. Relies on :mod:`serving_rules` for which of them
run, on ``work`` to run them, on :mod:`message_mapping` to convert them, and on the gateway for
keys, samples and loads.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rowanrail.gateway.relay.message_mapping import (
    apply_session_values,
    build_reply,
    route_from,
    statement_from,
)
from rowanrail.gateway.relay.messages import (
    Cancel,
    DemandReport,
    DemandTotals,
    FromGateway,
    FromHolder,
    Leaving,
    NotServed,
    Ping,
    Pong,
    Rollback,
    RunStatement,
    SampleReply,
    SampleRequest,
)
from rowanrail.gateway.relay.serving_rules import ArrivalDecision, decide_arrival
from rowanrail.gateway.session_context import SessionContext
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.local import LocalExecutor
from rowanrail.gateway.work.ports import AutocommitExecution, TransactionExecution
from rowanrail.kernel.clock import Clock
from rowanrail.members.samples import PositionSample
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, Refusal
from rowanrail.model.trace import Trace
from rowanrail.placement.hashed import Shard
from rowanrail.scheduling.load import LoadReporter, ServiceLoad
from rowanrail.tenants.demand import DemandAggregator, DemandSummary
from rowanrail.tenants.model import ClientIdentity

__all__ = ["LinkServer", "LinkServerHost", "ServedLink"]

IDLE_MARGIN_MS = 1000.0  # the client's gateway ends an idle transaction this much earlier
IDLE_CHECK_MS = 1000.0  # interval between checks for idle transactions

Send = Callable[[FromHolder], None]


class LinkServerHost(Protocol):
    """Interface: what the server of neighbours' links needs of its gateway."""

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""

    def local_work(self, service: str, is_detour: bool = False) -> LocalExecutor | None:
        """Return work on own connections, None if the service is not served here.

        Work that arrived on a detour is not forwarded.
        """

    @property
    def demand(self) -> DemandAggregator:
        """Demand of other gateways' clients."""

    def admits(self, database: str, identity: ClientIdentity, version: int) -> bool:
        """Return whether a neighbour's client may run statements, by the newer configuration.

        Parameters
        ----------
        database : str
            The name that the client connected to.
        identity : ClientIdentity
            The client's tenant and key.
        version : int
            Version of the configuration by which the neighbour accepted the client's key.
        """

    def sample_primary(
        self, service: str, on_sample: Callable[[PositionSample | None], None]
    ) -> None:
        """Sample a service's primary, and call ``on_sample`` with the result.

        It is called with None if no sample is taken in time.
        """

    def load(self, service: str, tenant: str) -> ServiceLoad | None:
        """Return a service's load for a tenant's statements, None if they need not wait."""

    def note_forwarded(self, route: Route, tenant: str, version: int) -> None:
        """Record a neighbour's statement if its regions exclude this gateway.

        Parameters
        ----------
        route : Route
            The statement's route.
        tenant : str
            The client's tenant.
        version : int
            Version of the neighbour's configuration.
        """

    def idle_transaction_seconds(self) -> float:
        """Return how many seconds a transaction may be idle."""


@dataclass(slots=True)
class _Transaction:
    """A transaction of a neighbour's client."""

    local: LocalExecutor
    work: TransactionExecution
    session: SessionContext
    call: int = 0  # id of the running statement's call, 0 while idle
    idle_since: float = 0.0


@dataclass(slots=True)
class _SingleStatement:
    local: LocalExecutor
    work: AutocommitExecution
    session: SessionContext = field(default_factory=SessionContext)


class LinkServer:
    """Serves the links of all neighbours: runs the statements that they forward to this holder.

    Parameters
    ----------
    host : LinkServerHost
        The gateway.
    clock : Clock
        Time and timers.

    Attributes
    ----------
    on_statement : callable
        Called with the shard of each statement that a neighbour sends.
    on_region_report : callable
        Called with each demand report of another region.
    """

    def __init__(self, host: LinkServerHost, clock: Clock) -> None:
        self.host = host
        self.clock = clock
        self.load_reporter = LoadReporter(clock, host.load)
        self.on_region_report: Callable[[DemandReport], None] = lambda message: None
        self._links: dict[ServedLink, None] = {}
        self.on_statement: Callable[[Shard], None] = lambda shard: None

    @property
    def open_transactions(self) -> int:
        """Number of neighbours' transactions that are open here."""
        return sum(link.open_transactions for link in self._links)

    @property
    def running_statements(self) -> int:
        """Number of neighbours' statements that are running here."""
        return sum(link.running_statements for link in self._links)

    def accept(self, send: Send) -> "ServedLink":
        """Serve a neighbour's new connection."""
        link = ServedLink(self, send)
        self._links[link] = None
        if self.host.stopping:
            send(Leaving())
        return link

    def forget(self, link: "ServedLink") -> None:
        """Remove a connection that has ended."""
        self._links.pop(link, None)

    def start(self) -> None:
        """Start the periodic check for idle transactions."""
        self.clock.call_in(IDLE_CHECK_MS, self._end_expired)

    def _end_expired(self) -> None:
        limit = self.host.idle_transaction_seconds() * 1000 + IDLE_MARGIN_MS
        for link in self._links:
            link.end_idle_since(self.clock.now - limit)
        self.clock.call_in(IDLE_CHECK_MS, self._end_expired)

    def announce_leaving(self) -> None:
        """Ask neighbours to send new work to other gateways; open transactions continue."""
        for link in self._links:
            link.send(Leaving())

    def end_idle_transactions(self) -> None:
        """Roll back all idle transactions."""
        for link in self._links:
            link.end_idle_since(self.clock.now)


class ServedLink:
    """One neighbour's connection.

    Parameters
    ----------
    link_server : LinkServer
        The server to which it belongs.
    send : callable
        Sends a message to the neighbour.
    """

    def __init__(self, link_server: LinkServer, send: Send) -> None:
        self.send = send
        self._link_server = link_server
        self._singles: dict[int, _SingleStatement] = {}
        self._transactions: dict[int, _Transaction] = {}

    @property
    def open_transactions(self) -> int:
        """Number of open transactions."""
        return len(self._transactions)

    @property
    def running_statements(self) -> int:
        """Number of running statements."""
        return len(self._singles) + sum(t.call > 0 for t in self._transactions.values())

    def receive(self, message: FromGateway) -> None:
        """Handle a message of the neighbour."""
        if isinstance(message, RunStatement):
            self._link_server.on_statement(Shard.of(message.service, message.tenant))
        match message:
            case RunStatement():
                self._run(message)
            case Rollback(transaction=number):
                self._end(number)
            case Cancel(call=call):
                self._drop(call)
            case SampleRequest(call=call, service=service):
                self._report_sample(call, service)
            case DemandReport():
                self._add_demand(message)
            case Ping():
                self.send(Pong())

    def lost(self) -> None:
        """Handle the end of the connection: cancel its statements, roll back its transactions."""
        self._link_server.forget(self)
        for call in list(self._singles):
            self._drop(call)
        for number in list(self._transactions):
            self._end(number)

    def _report_sample(self, call: int, service: str) -> None:
        def on_sample(sample: PositionSample | None) -> None:
            if sample is None:
                self.send(NotServed(call, f"it does not reach the primary of {service}"))
            else:
                self.send(SampleReply(call, sample.instance, sample.position))

        self._link_server.host.sample_primary(service, on_sample)

    def _add_demand(self, message: DemandReport) -> None:
        aggregator = self._link_server.host.demand
        if message.is_region:
            aggregator.record_region(message.sender, message.report)
            self._link_server.on_region_report(message)
        else:
            aggregator.record_gateway(message.sender, message.report)
        fleet = aggregator.fleet_totals()
        asked = message.report.tenants
        named = {tenant: total for tenant, total in fleet.tenants.items() if tenant in asked}
        self.send(
            DemandTotals(message.call, DemandSummary(named, fleet.gateways, fleet.unknown_windows))
        )

    # Statements

    def _run(self, run: RunStatement) -> None:
        is_open = run.transaction in self._transactions
        begins = run.begins or not run.transaction
        match decide_arrival(is_open, begins, self._admits(run), self._link_server.host.stopping):
            case ArrivalDecision.RUN if is_open:
                self._run_in_transaction(self._transactions[run.transaction], run)
            case ArrivalDecision.RUN:
                self._begin(run)
            case ArrivalDecision.NOT_SERVED:
                self.send(NotServed(run.call, "it is stopping"))
            case ArrivalDecision.DENIED:
                self._end(run.transaction)
                self._refuse(run, Refusal.DENIED, "the key was withdrawn")
            case ArrivalDecision.ENDED:
                self._refuse(run, Refusal.ABORTED, "the transaction was ended at its holder")

    def _admits(self, run: RunStatement) -> bool:
        identity = ClientIdentity(run.tenant, run.key)
        return self._link_server.host.admits(run.database, identity, run.version)

    def _begin(self, run: RunStatement) -> None:
        """Start a single statement or a transaction, if its service is served here."""
        route = route_from(run)
        self._link_server.host.note_forwarded(route, run.tenant, run.version)
        work = self._link_server.host.local_work(run.service, run.is_detour)
        if work is None:
            self.send(NotServed(run.call, f"it does not serve {run.service} now"))
        elif run.transaction:
            session = SessionContext()
            opened = work.transaction(route, session, run.read_only)
            transaction = self._transactions[run.transaction] = _Transaction(work, opened, session)
            self._run_in_transaction(transaction, run)
        else:
            self._run_single(work, run, route)

    def _refuse(self, run: RunStatement, refusal: Refusal, reason: str) -> None:
        """Refuse a statement that must not run, here or at another gateway."""
        trace = Trace(run.service, Stage.ACCEPTED.value)
        self.send(build_reply(run, Answer(refusal=refusal, message=reason), None, trace))

    def _run_single(self, work: LocalExecutor, run: RunStatement, route: Route) -> None:
        session = SessionContext()
        apply_session_values(session, run)
        single = work.autocommit(route, session, run.writes)
        self._singles[run.call] = _SingleStatement(work, single, session)
        single.start(statement_from(run), lambda answer: self._answer_single(run, answer))

    def _answer_single(self, run: RunStatement, answer: Answer) -> None:
        single = self._singles.pop(run.call, None)
        if single is not None:
            floor = single.session.floors.get(run.service)
            load = self._link_server.load_reporter.report(run.service, run.tenant)
            doubts = single.local.reduced_weights()
            self.send(build_reply(run, answer, floor, single.work.trace(), load, doubts))

    def _run_in_transaction(self, transaction: _Transaction, run: RunStatement) -> None:
        apply_session_values(transaction.session, run)
        if run.regions is not None:
            transaction.work.restrict(frozenset(run.regions))
        transaction.call = run.call
        transaction.work.run(
            statement_from(run), lambda answer: self._answer_in_transaction(run, answer)
        )

    def _answer_in_transaction(self, run: RunStatement, answer: Answer) -> None:
        transaction = self._transactions.get(run.transaction)
        if transaction is None or transaction.call != run.call:
            return
        transaction.call = 0
        transaction.idle_since = self._link_server.clock.now
        if answer.refusal is not None or run.kind.value == "commit":
            del self._transactions[run.transaction]
            transaction.work.end()
        floor = transaction.session.floors.get(run.service)
        load = self._link_server.load_reporter.report(run.service, run.tenant)
        doubts = transaction.local.reduced_weights()
        self.send(build_reply(run, answer, floor, transaction.work.trace(), load, doubts))

    def _end(self, number: int) -> None:
        transaction = self._transactions.pop(number, None)
        if transaction is not None:
            transaction.work.finish(_sender_gone())
            transaction.work.end()

    def end_idle_since(self, since: float) -> None:
        """Roll back the transactions that have been idle since ``since`` or longer."""
        for number, transaction in list(self._transactions.items()):
            if not transaction.call and transaction.idle_since <= since:
                self._end(number)

    def _drop(self, call: int) -> None:
        single = self._singles.pop(call, None)
        if single is not None:
            single.work.finish(_sender_gone())


def _sender_gone() -> Answer:
    return Answer(refusal=Refusal.ABORTED, message="the neighbour left")
