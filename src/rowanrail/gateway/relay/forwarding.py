"""The sender's side of forwarding: single statements and transactions that run at a holder.

Refusals mean the same as for work on own connections. A write whose link was lost after it was sent
has an unknown outcome. A transaction whose commit was not sent is aborted, since the holder does
not commit unless asked.

Owns the holder of each open transaction. Relies on :mod:`forwarding_rules` for the refusals.
"""

import msgspec

from rowanrail.gateway.relay.forwarded_call import ForwardedCall, ForwardingContext, HolderLocator
from rowanrail.gateway.relay.forwarding_rules import (
    after_link_loss,
    after_not_served,
    after_timeout,
)
from rowanrail.gateway.relay.link import (
    Link,
    Lost,
    NotRun,
    Outcome,
    Replied,
    Sampled,
    TotalsReceived,
)
from rowanrail.gateway.relay.messages import Rollback
from rowanrail.gateway.session_context import SessionContext, is_write
from rowanrail.gateway.work.attempts import SentRequest
from rowanrail.gateway.work.ports import AutocommitExecution, TransactionExecution
from rowanrail.gateway.work.refusals import NO_ANSWER_MESSAGE
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.data_regions import intersect_regions
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, Refusal, StatementKind, TypedStatement
from rowanrail.model.trace import Trace

__all__ = ["ForwardedStatement", "ForwardedTransaction", "ForwardedWork", "HolderLocator"]


class ForwardedWork(ForwardingContext):
    """Work for one service that runs at the gateway that holds its connections."""

    __slots__ = ()

    def autocommit(
        self, route: Route, session: SessionContext, writes: bool
    ) -> AutocommitExecution:
        """Return a single statement of a session, not yet started."""
        return ForwardedStatement(self, route, session, writes)

    def transaction(
        self, route: Route, session: SessionContext, read_only: bool
    ) -> TransactionExecution:
        """Return a transaction of a session, not yet started."""
        return ForwardedTransaction(self, route, session, read_only)


class ForwardedStatement(ForwardedCall):
    """A single read or write; a read is retried at another gateway if its link is lost."""

    def __init__(
        self, context: ForwardedWork, route: Route, session: SessionContext, writes: bool
    ) -> None:
        super().__init__(context, route, session)
        self._writes = writes
        self._local: AutocommitExecution | None = None

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run the statement; ``respond`` is called once with the answer."""
        self._begin(statement, respond)
        self._dispatch()

    def trace(self) -> Trace:
        """Return how the statement ran, here or at its holder."""
        return super().trace() if self._local is None else self._local.trace()

    @property
    def _sent_kind(self) -> SentRequest:
        return SentRequest.WRITE if self._writes else SentRequest.READ

    def _run_remotely(self, link: Link) -> None:
        if not self._rejects(link, self._writes):
            self._send(link)

    def _run_locally(self) -> None:
        assert self._statement is not None
        if self._timer is not None:
            self._timer.cancel()
        remaining = msgspec.structs.replace(
            self._route, timeout_seconds=max(self._time_left, 1.0) / 1000
        )
        self._local = self._context.local.autocommit(remaining, self._session, self._writes)
        self._local.start(self._statement, self._finish)

    def _on_outcome(self, outcome: Outcome) -> None:
        match outcome:
            case Replied():
                self._finish(self._accept_reply(outcome))
            case NotRun(reason=reason):
                self._call_id = 0
                self._sent = False
                self._apply_decision(after_not_served(has_run=False), reason)
            case Lost(reason=reason):
                self._call_id = 0
                self._apply_decision(after_link_loss(self._sent_kind), reason)
            case Sampled() | TotalsReceived():
                pass  # answers to other requests

    def _on_timeout(self) -> None:
        self._apply_decision(
            after_timeout(self._sent_kind, is_pending=self._call_id > 0), NO_ANSWER_MESSAGE
        )

    def finish(self, answer: Answer) -> None:
        """End the statement with an answer, wherever it runs."""
        if self._local is not None:
            self._local.finish(answer)
        self._finish(answer)


class ForwardedTransaction(ForwardedCall):
    """A transaction; all its statements run at the gateway that ran the first one."""

    def __init__(
        self, context: ForwardedWork, route: Route, session: SessionContext, read_only: bool
    ) -> None:
        super().__init__(context, route, session)
        self._read_only = read_only
        self._wrote = False
        self._number = 0  # id on its link; 0 before its first statement is sent, and after its end
        self._local: TransactionExecution | None = None

    def run(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """Run the next statement; ``respond`` is called once with the answer."""
        if self._local is not None:
            self._local.run(statement, respond)
            return
        self._begin(statement, respond)
        if is_write(statement, self._session):
            self._wrote = True
        if not self._number or self._link is None:
            self._dispatch()
        elif self._may_send(self._link):
            self._send(self._link, self._number, self._read_only)
        else:
            self._end_at_holder()
            reason = f"gateway {self._link.peer} is outside the regions of the statement"
            self._finish(Answer(refusal=Refusal.ABORTED, message=reason))

    def restrict(self, regions: frozenset[str]) -> None:
        """Restrict the further statements to regions."""
        allowed = intersect_regions(self._route.regions, regions)
        self._route = msgspec.structs.replace(self._route, regions=allowed)
        if self._local is not None:
            self._local.restrict(regions)

    def trace(self) -> Trace:
        """Return how the last statement ran, here or at its holder."""
        return super().trace() if self._local is None else self._local.trace()

    def _run_remotely(self, link: Link) -> None:
        if self._rejects(link, writes=not self._read_only):
            return
        self._number = link.next_transaction_id()
        self._send(link, self._number, self._read_only)

    def _run_locally(self) -> None:
        statement, respond = self._statement, self._respond
        assert statement is not None and respond is not None
        if self._timer is not None:
            self._timer.cancel()
        self._respond = None
        self._local = self._context.local.transaction(self._route, self._session, self._read_only)
        self._local.run(statement, respond)

    @property
    def _sent_kind(self) -> SentRequest:
        return SentRequest.COMMIT if self._commits and self._wrote else SentRequest.IN_TRANSACTION

    @property
    def _commits(self) -> bool:
        return self._statement is not None and self._statement.kind is StatementKind.COMMIT

    def _on_outcome(self, outcome: Outcome) -> None:
        match outcome:
            case Replied(reply=reply):
                self._has_run = True
                if reply.refusal is not None or self._commits:
                    self._number = 0
                self._finish(self._accept_reply(outcome))
            case NotRun(reason=reason):
                self._call_id = 0
                self._sent = False
                self._number = 0
                self._apply_decision(after_not_served(self._has_run), reason)
            case Lost(reason=reason):
                self._call_id = 0
                self._end_at_holder()
                self._apply_decision(after_link_loss(self._sent_kind), reason)
            case Sampled() | TotalsReceived():
                pass  # answers to other requests

    def _on_timeout(self) -> None:
        self._apply_decision(
            after_timeout(self._sent_kind, is_pending=self._call_id > 0), NO_ANSWER_MESSAGE
        )
        self.end()

    def end(self) -> None:
        """End the transaction; what is still open is rolled back."""
        if self._local is not None:
            self._local.end()
        self._end_at_holder()

    def _end_at_holder(self) -> None:
        """Ask the holder to roll back the transaction if it is open."""
        number, self._number = self._number, 0
        if number and self._link is not None:
            self._link.notify(Rollback(number))

    def finish(self, answer: Answer) -> None:
        """End the running statement with an answer."""
        if self._local is not None:
            self._local.finish(answer)
        self._finish(answer)
