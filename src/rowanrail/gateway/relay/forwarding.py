"""The sender's side: single statements and transactions at the gateway that holds the connections.

A refusal promises the same as for work on own connections: the outcome of a write whose link was
lost after it was sent is unknown; a transaction whose commit was not sent is aborted, since the
holder can't commit what it was not asked to.

Owns which transaction is open at which holder. Relies on :mod:`forwarding_rules` for the promises.
"""

import msgspec

from rowanrail.gateway.relay.forwarded import Forwarded, ForwardingTerms, Placement
from rowanrail.gateway.relay.forwarding_rules import (
    after_loss,
    after_not_served,
    after_timeout,
)
from rowanrail.gateway.relay.link import Counted, Link, Lost, NotRun, Outcome, Replied, Sampled
from rowanrail.gateway.relay.messages import End
from rowanrail.gateway.session_values import SessionValues, is_write
from rowanrail.gateway.work.attempts import Sent
from rowanrail.gateway.work.ports import SingleStatement, WorkInTransaction
from rowanrail.gateway.work.refusals import LATE
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, StatementKind, TypedStatement
from rowanrail.model.trace import Trace

__all__ = ["ForwardedStatement", "ForwardedTransaction", "ForwardedWork", "Placement"]


class ForwardedWork(ForwardingTerms):
    """Statements of one service at whichever gateway holds its connections."""

    __slots__ = ()

    def single(self, route: Route, session: SessionValues, writes: bool) -> SingleStatement:
        """See :meth:`rowanrail.gateway.work.ports.Work.single`."""
        return ForwardedStatement(self, route, session, writes)

    def transaction(
        self, route: Route, session: SessionValues, read_only: bool
    ) -> WorkInTransaction:
        """See :meth:`rowanrail.gateway.work.ports.Work.transaction`."""
        return ForwardedTransaction(self, route, session, read_only)


class ForwardedStatement(Forwarded):
    """A single read or write; a read is asked for again elsewhere when its link is lost."""

    def __init__(
        self, work: ForwardedWork, route: Route, session: SessionValues, writes: bool
    ) -> None:
        super().__init__(work, route, session)
        self._writes = writes
        self._here: SingleStatement | None = None

    def start(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """See :meth:`rowanrail.gateway.work.ports.SingleStatement.start`."""
        self._begin(statement, respond)
        self._place()

    def trace(self) -> Trace:
        """See :meth:`rowanrail.gateway.work.ports.SingleStatement.trace`."""
        return super().trace() if self._here is None else self._here.trace()

    @property
    def _kind(self) -> Sent:
        return Sent.WRITE if self._writes else Sent.READ

    def _run_at(self, link: Link) -> None:
        if not self._is_rejected(link, self._writes):
            self._ask(link)

    def _run_here(self) -> None:
        assert self._statement is not None
        if self._timer is not None:
            self._timer.cancel()
        left = msgspec.structs.replace(self._route, timeout_seconds=max(self._left, 1.0) / 1000)
        self._here = self._work.local.single(left, self._session, self._writes)
        self._here.start(self._statement, self._finish)

    def _settled(self, outcome: Outcome) -> None:
        match outcome:
            case Replied():
                self._finish(self._replied(outcome))
            case NotRun(reason=reason):
                self._call = 0
                self._sent = False
                self._follow(after_not_served(has_run=False), reason)
            case Lost(reason=reason):
                self._call = 0
                self._follow(after_loss(self._kind), reason)
            case Sampled() | Counted():
                pass  # neither was asked for here

    def _timed_out(self) -> None:
        self._follow(after_timeout(self._kind, is_owed=self._call > 0), LATE)

    def finish(self, answer: Answer) -> None:
        """See :meth:`rowanrail.gateway.work.ports.SingleStatement.finish`."""
        if self._here is not None:
            self._here.finish(answer)
        self._finish(answer)


class ForwardedTransaction(Forwarded):
    """A transaction that stays at the neighbour where its first statement ran."""

    def __init__(
        self, work: ForwardedWork, route: Route, session: SessionValues, read_only: bool
    ) -> None:
        super().__init__(work, route, session)
        self._read_only = read_only
        self._wrote = False
        self._number = 0  # 0 until its first statement was sent, and after its end
        self._here: WorkInTransaction | None = None

    def run(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        """See :meth:`rowanrail.gateway.work.ports.WorkInTransaction.run`."""
        if self._here is not None:
            self._here.run(statement, respond)
            return
        self._begin(statement, respond)
        if is_write(statement, self._session):
            self._wrote = True
        if self._number and self._link is not None:
            self._ask(self._link, self._number, self._read_only)
        else:
            self._place()

    def trace(self) -> Trace:
        """See :meth:`rowanrail.gateway.work.ports.WorkInTransaction.trace`."""
        return super().trace() if self._here is None else self._here.trace()

    def _run_at(self, link: Link) -> None:
        if self._is_rejected(link, writes=not self._read_only):
            return
        self._number = link.number_transaction()
        self._ask(link, self._number, self._read_only)

    def _run_here(self) -> None:
        statement, respond = self._statement, self._respond
        assert statement is not None and respond is not None
        if self._timer is not None:
            self._timer.cancel()
        self._respond = None
        self._here = self._work.local.transaction(self._route, self._session, self._read_only)
        self._here.run(statement, respond)

    @property
    def _kind(self) -> Sent:
        return Sent.COMMIT if self._commits and self._wrote else Sent.IN_TRANSACTION

    @property
    def _commits(self) -> bool:
        return self._statement is not None and self._statement.kind is StatementKind.COMMIT

    def _settled(self, outcome: Outcome) -> None:
        match outcome:
            case Replied(reply=reply):
                self._ran = True
                if reply.refusal is not None or self._commits:
                    self._number = 0
                self._finish(self._replied(outcome))
            case NotRun(reason=reason):
                self._call = 0
                self._sent = False
                self._number = 0
                self._follow(after_not_served(self._ran), reason)
            case Lost(reason=reason):
                self._call = 0
                self._end_there()
                self._follow(after_loss(self._kind), reason)
            case Sampled() | Counted():
                pass  # neither was asked for here

    def _timed_out(self) -> None:
        self._follow(after_timeout(self._kind, is_owed=self._call > 0), LATE)
        self.end()

    def end(self) -> None:
        """See :meth:`rowanrail.gateway.work.ports.WorkInTransaction.end`."""
        if self._here is not None:
            self._here.end()
        self._end_there()

    def _end_there(self) -> None:
        """Have the neighbour roll back what it holds open."""
        number, self._number = self._number, 0
        if number and self._link is not None:
            self._link.notify(End(number))

    def finish(self, answer: Answer) -> None:
        """See :meth:`rowanrail.gateway.work.ports.WorkInTransaction.finish`."""
        if self._here is not None:
            self._here.finish(answer)
        self._finish(answer)
