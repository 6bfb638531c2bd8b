"""The client's side: work that is sent to the neighbour that holds the connections.

What a refusal promises is decided here as for work on own connections: a write whose link was
lost after it was sent is in doubt; a transaction without its commit sent is aborted, since the
neighbour can't commit what it was not asked to.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from rowanrail.gateway.channel import Respond
from rowanrail.gateway.model import Answer, Refusal, Route, StatementKind, Trace, TypedStatement
from rowanrail.gateway.operation import HOLD_SHARE, Stage, busy
from rowanrail.gateway.policies import LinkOutcome
from rowanrail.gateway.session_values import SessionValues, is_write
from rowanrail.gateway.work import LocalWork, SingleStatement, WorkInTransaction
from rowanrail.kernel.clock import Clock, Timer
from rowanrail.relay.link import Counted, Link, Lost, Outcome, Refused, Replied, Told
from rowanrail.relay.messages import End
from rowanrail.relay.neighbours import At, Here, Nowhere, Place
from rowanrail.relay.placement import Part
from rowanrail.relay.terms import Order, answer_of, run_of

__all__ = ["ForwardedStatement", "ForwardedTransaction", "ForwardedWork"]

RETRY_MS = 10.0  # a link inside a zone opens within it
LATE = "no answer in time"


class Placement(Protocol):
    """Says at which gateway a service's statements run."""

    def place_part(self, part: Part) -> Place:
        """Return where statements of a service, or of some tenants of it, run now."""

    @property
    def note_up(self) -> Callable[[Link], None]:
        """Note that the gateway behind a link answered."""


class ForwardedWork:
    """Statements of one service at whichever gateway holds its connections.

    Parameters
    ----------
    neighbours : Neighbours
        Says where that is.
    local : LocalWork
        For the case that it is this gateway in the end.
    clock : Clock
        Time and timers.
    link_outcome : LinkOutcome
        Says what a lost link leaves in doubt.
    is_detour : bool
        Whether it goes to a gateway that reaches the primary because this one does not.
    version : int
        Of the configuration by which clients' keys were taken.
    """

    __slots__ = ("clock", "is_detour", "link_outcome", "local", "neighbours", "version")

    def __init__(
        self,
        neighbours: Placement,
        local: LocalWork,
        clock: Clock,
        link_outcome: LinkOutcome,
        is_detour: bool = False,
        version: int = 0,
    ) -> None:
        self.is_detour = is_detour
        self.version = version
        self.neighbours = neighbours
        self.local = local
        self.clock = clock
        self.link_outcome = link_outcome

    def single(self, route: Route, session: SessionValues, writes: bool) -> SingleStatement:
        """See :meth:`rowanrail.gateway.work.Work.single`."""
        return ForwardedStatement(self, route, session, writes)

    def transaction(
        self, route: Route, session: SessionValues, read_only: bool
    ) -> WorkInTransaction:
        """See :meth:`rowanrail.gateway.work.Work.transaction`."""
        return ForwardedTransaction(self, route, session, read_only)


class _Forwarded:
    """One statement under way at a neighbour, with its deadline and its one answer."""

    def __init__(self, work: ForwardedWork, route: Route, session: SessionValues) -> None:
        self._work = work
        self._route = route
        self._session = session
        self._respond: Respond | None = None
        self._statement: TypedStatement | None = None
        self._began = 0.0
        self._timer: Timer | None = None
        self._retry: Timer | None = None
        self._link: Link | None = None
        self._call = 0
        self._sent = False
        self._attempts = 0
        self._ran = False  # whether a statement of its transaction was answered
        self._peer = ""
        self._told: Trace | None = None

    def trace(self) -> Trace:
        """See :meth:`rowanrail.gateway.work.SingleStatement.trace`."""
        if self._told is not None:
            return msgspec.structs.replace(self._told, via=self._peer)
        stage = Stage.SENT if self._sent else Stage.WAITS_FOR_HOLDER
        return Trace(self._route.service, stage.value, attempts=self._attempts, via=self._peer)

    @property
    def _left(self) -> float:
        return self._began + self._route.timeout_seconds * 1000 - self._work.clock.now

    def _begin(self, statement: TypedStatement, respond: Respond) -> None:
        self._statement = statement
        self._respond = respond
        self._told = None
        self._sent = False
        self._attempts = 0
        self._began = self._work.clock.now
        timeout = self._route.timeout_seconds * 1000
        self._timer = self._work.clock.call_in(timeout, self._timed_out)

    @property
    def _keeps_nothing(self) -> bool:
        """Whether nothing is kept of the statement, though it may have run at the holder."""
        raise NotImplementedError

    def _ask(self, link: Link, transaction: int = 0, read_only: bool = False) -> None:
        assert self._statement is not None
        self._attempts += 1
        self._sent = True
        self._peer = link.peer
        self._link = link
        self._call = link.number_call()
        order = Order(
            self._statement,
            self._route,
            self._session,
            self._left,
            transaction,
            read_only,
            self._work.is_detour,
            begins=not self._ran,
            version=self._work.version,
        )
        link.ask(run_of(order, self._call), self._settled, self._keeps_nothing)

    def _settled(self, outcome: Outcome) -> None:
        raise NotImplementedError

    def _timed_out(self) -> None:
        raise NotImplementedError

    def _run_here(self) -> None:
        raise NotImplementedError

    def _run_at(self, link: Link) -> None:
        raise NotImplementedError

    def _place(self) -> None:
        if self._respond is None:
            return
        part = Part.of(self._route.service, self._session.identity.tenant)
        match self._work.neighbours.place_part(part):
            case Here():
                self._run_here()
            case At(link=link):
                self._run_at(link)
            case Nowhere():
                self._place_later("no gateway of the zone holds connections; retry in 1 s")

    def _replied(self, outcome: Replied) -> Answer:
        reply, link = outcome.reply, self._link
        self._call = 0
        if link is not None:
            self._work.neighbours.note_up(link)
        service = self._route.service
        floor = self._session.floors.get(service)
        if reply.floor is not None and (floor is None or reply.floor > floor):
            self._session.floors[service] = reply.floor
        self._work.local.note_doubts(reply.doubts)
        self._told = reply.trace
        return answer_of(reply)

    def _lost(self, may_be_kept: bool, reason: str) -> Answer:
        return Answer(refusal=self._work.link_outcome.refusal(may_be_kept), message=reason)

    def _place_later(self, reason: str) -> None:
        """Look for a place again in a moment, or refuse once it can't be in time any more."""
        hold = HOLD_SHARE * self._route.objective_seconds * 1000
        if self._work.clock.now + RETRY_MS > self._began + hold:
            self._finish(busy(reason))
            return
        self._retry = self._work.clock.call_in(RETRY_MS, self._place)

    def finish(self, answer: Answer) -> None:
        """See :meth:`rowanrail.gateway.work.SingleStatement.finish`."""
        self._finish(answer)

    def _finish(self, answer: Answer) -> None:
        respond, self._respond = self._respond, None
        for timer in (self._timer, self._retry):
            if timer is not None:
                timer.cancel()
        self._timer = self._retry = None
        if self._call and self._link is not None:
            self._link.drop(self._call)
            self._call = 0
        if respond is not None:
            respond(answer)


class ForwardedStatement(_Forwarded):
    """A single read or write; a read is asked for again elsewhere when its link is lost."""

    def __init__(
        self, work: ForwardedWork, route: Route, session: SessionValues, writes: bool
    ) -> None:
        super().__init__(work, route, session)
        self._writes = writes
        self._here: SingleStatement | None = None

    def start(self, statement: TypedStatement, respond: Respond) -> None:
        """See :meth:`rowanrail.gateway.work.SingleStatement.start`."""
        self._begin(statement, respond)
        self._place()

    def trace(self) -> Trace:
        """See :meth:`rowanrail.gateway.work.SingleStatement.trace`."""
        return super().trace() if self._here is None else self._here.trace()

    @property
    def _keeps_nothing(self) -> bool:
        return not self._writes

    def _run_at(self, link: Link) -> None:
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
            case Refused(reason=reason):
                self._call = 0
                self._sent = False
                self._place_later(reason)
            case Lost(reason=reason):
                self._call = 0
                if self._keeps_nothing:
                    self._place()
                else:
                    self._finish(self._lost(True, reason))
            case Told() | Counted():
                pass  # neither was asked for here

    def _timed_out(self) -> None:
        refusal = Refusal.BUSY
        if self._call:
            refusal = Refusal.OUTCOME_UNKNOWN if self._writes else Refusal.TIMEOUT
        self._finish(Answer(refusal=refusal, message=LATE))

    def finish(self, answer: Answer) -> None:
        """See :meth:`rowanrail.gateway.work.SingleStatement.finish`."""
        if self._here is not None:
            self._here.finish(answer)
        self._finish(answer)


class ForwardedTransaction(_Forwarded):
    """A transaction that stays at the neighbour where its first statement ran."""

    def __init__(
        self, work: ForwardedWork, route: Route, session: SessionValues, read_only: bool
    ) -> None:
        super().__init__(work, route, session)
        self._read_only = read_only
        self._wrote = False
        self._number = 0  # 0 until its first statement was sent, and after its end
        self._here: WorkInTransaction | None = None

    def run(self, statement: TypedStatement, respond: Respond) -> None:
        """See :meth:`rowanrail.gateway.work.WorkInTransaction.run`."""
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
        """See :meth:`rowanrail.gateway.work.WorkInTransaction.trace`."""
        return super().trace() if self._here is None else self._here.trace()

    def _run_at(self, link: Link) -> None:
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
    def _keeps_nothing(self) -> bool:
        return not (self._commits and self._wrote)

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
            case Refused(reason=reason):
                self._call = 0
                self._sent = False
                self._refused(reason)
            case Lost(reason=reason):
                self._call = 0
                self._end_there()
                self._finish(self._lost(not self._keeps_nothing, reason))
            case Told() | Counted():
                pass  # neither was asked for here

    def _refused(self, reason: str) -> None:
        """Begin elsewhere if nothing of the transaction ran; else it is over."""
        self._number = 0
        if self._ran:
            self._finish(Answer(refusal=Refusal.ABORTED, message=reason))
        else:
            self._place_later(reason)

    def _timed_out(self) -> None:
        if self._call:
            self._finish(self._lost(not self._keeps_nothing, LATE))
        else:
            self._finish(busy(LATE))
        self.end()

    def end(self) -> None:
        """See :meth:`rowanrail.gateway.work.WorkInTransaction.end`."""
        if self._here is not None:
            self._here.end()
        self._end_there()

    def _end_there(self) -> None:
        """Have the neighbour roll back what it holds open."""
        number, self._number = self._number, 0
        if number and self._link is not None:
            self._link.tell(End(number))

    def finish(self, answer: Answer) -> None:
        """See :meth:`rowanrail.gateway.work.WorkInTransaction.finish`."""
        if self._here is not None:
            self._here.finish(answer)
        self._finish(answer)
