"""One statement under way at another gateway: its deadline, its holder, its one answer.

Owns the statement's timers and its call on a link. Relies on :mod:`holder_choice` for where it
goes, on :mod:`remote_admission` for whether it is sent, and on :mod:`forwarding_rules` for what
follows when no answer comes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from rowanrail.gateway.policies import LinkOutcome
from rowanrail.gateway.relay.forwarding_rules import (
    HOLDER_RETRY_AFTER_MS,
    PLACE_RETRY_MS,
    LostAtHolder,
    PlaceLater,
    PlaceNow,
    Refuse,
    RejectNotRun,
    Verdict,
    may_be_kept,
    without_holder,
)
from rowanrail.gateway.relay.holder_choice import HeldAt, HeldHere, NoHolder, WhereHeld
from rowanrail.gateway.relay.link import Link, Outcome, Replied
from rowanrail.gateway.relay.remote_admission import RemoteAdmission, RemoteRequest
from rowanrail.gateway.relay.terms import Outgoing, answer_of, reply_margin, run_of
from rowanrail.gateway.session_values import SessionValues
from rowanrail.gateway.work.attempts import Sent
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.local import LocalWork
from rowanrail.gateway.work.refusals import busy, rejection
from rowanrail.kernel.clock import Clock, Timer
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, TypedStatement
from rowanrail.model.trace import Rejection, Trace
from rowanrail.placement.hashed import Shard
from rowanrail.scheduling.admission import Forecast, RejectionCause

__all__ = ["Forwarded", "ForwardingTerms", "Placement"]


class Placement(Protocol):
    """Says at which gateway a service's statements run."""

    def where_held(self, shard: Shard) -> WhereHeld:
        """Return where statements of a service, or of some tenants of it, run now."""

    @property
    def note_answer(self) -> Callable[[Link], None]:
        """Note that the gateway behind a link answered."""


@dataclass(frozen=True, slots=True)
class ForwardingTerms:
    """Where statements of one service go, and by which terms.

    Parameters
    ----------
    placement : Placement
        Says at which gateway they run.
    local : LocalWork
        For the case that it is this gateway in the end.
    clock : Clock
        Time and timers.
    link_outcome : LinkOutcome
        Says what may be promised when a link is lost.
    remote_admission : RemoteAdmission
        Rejects what the holders would reject.
    is_detour : bool
        Whether they go to a gateway that reaches the primary because this one does not.
    version : int
        Of the configuration by which clients' keys were taken.
    """

    placement: Placement
    local: LocalWork
    clock: Clock
    link_outcome: LinkOutcome
    remote_admission: RemoteAdmission
    is_detour: bool = False
    version: int = 0


class Forwarded:
    """One statement under way at a neighbour, with its deadline and its one answer."""

    def __init__(self, work: ForwardingTerms, route: Route, session: SessionValues) -> None:
        self._work = work
        self._route = route
        self._session = session
        self._respond: AnswerCallback | None = None
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
        self._holder_trace: Trace | None = None
        self._rejection: Rejection | None = None

    def trace(self) -> Trace:
        """See :meth:`rowanrail.gateway.work.ports.SingleStatement.trace`."""
        if self._holder_trace is not None:
            return msgspec.structs.replace(self._holder_trace, via=self._peer)
        stage = Stage.SENT if self._sent else Stage.WAITS_FOR_HOLDER
        return Trace(
            self._route.service,
            stage.value,
            attempts=self._attempts,
            via=self._peer,
            rejection=self._rejection,
        )

    @property
    def _left(self) -> float:
        return self._began + self._route.timeout_seconds * 1000 - self._work.clock.now

    def _begin(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        self._statement = statement
        self._respond = respond
        self._holder_trace = None
        self._rejection = None
        self._sent = False
        self._attempts = 0
        self._began = self._work.clock.now
        timeout = self._route.timeout_seconds * 1000
        self._timer = self._work.clock.call_in(timeout, self._timed_out)

    @property
    def _kind(self) -> Sent:
        """What the statement is, for the rules."""
        raise NotImplementedError

    def _ask(self, link: Link, transaction: int = 0, read_only: bool = False) -> None:
        assert self._statement is not None
        self._attempts += 1
        self._sent = True
        self._peer = link.peer
        self._link = link
        self._call = link.number_call()
        outgoing = Outgoing(
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
        link.ask(run_of(outgoing, self._call), self._settled, may_be_kept(self._kind))

    def _settled(self, outcome: Outcome) -> None:
        raise NotImplementedError

    def _timed_out(self) -> None:
        raise NotImplementedError

    def _run_here(self) -> None:
        raise NotImplementedError

    def _run_at(self, link: Link) -> None:
        raise NotImplementedError

    def _is_rejected(self, link: Link, writes: bool) -> bool:
        """Return whether its holder would reject it or can't answer in time; then answer so."""
        rejected = self._work.remote_admission.judge(
            RemoteRequest(
                link.peer,
                self._route.service,
                self._session.identity.tenant,
                self._route.priority,
                writes,
                time_left=self._left,
                time_given=self._route.timeout_seconds * 1000,
                round_trip=reply_margin(self._work.is_detour),
                is_retry=self._session.is_retrying,
            )
        )
        if rejected is None:
            return False
        self._peer = link.peer
        self._rejection = rejected.rejection
        self._finish(rejected.answer)
        return True

    def _place(self) -> None:
        if self._respond is None:
            return
        shard = Shard.of(self._route.service, self._session.identity.tenant)
        match self._work.placement.where_held(shard):
            case HeldHere():
                self._run_here()
            case HeldAt(link=link):
                self._run_at(link)
            case NoHolder():
                self._wait_for_holder("no gateway of the zone holds connections")

    def _replied(self, outcome: Replied) -> Answer:
        reply, link = outcome.reply, self._link
        self._call = 0
        if link is not None:
            self._work.placement.note_answer(link)
        service = self._route.service
        floor = self._session.floors.get(service)
        if reply.floor is not None and (floor is None or reply.floor > floor):
            self._session.floors[service] = reply.floor
        self._work.local.note_doubts(reply.doubts)
        self._holder_trace = reply.trace
        self._work.remote_admission.note(
            self._peer, service, self._session.identity.tenant, reply.load
        )
        return answer_of(reply)

    def _lost(self, is_kept: bool, reason: str) -> Answer:
        self._work.remote_admission.forget(self._peer)
        return Answer(refusal=self._work.link_outcome.refusal(is_kept), message=reason)

    def _follow(self, verdict: Verdict, reason: str) -> None:
        """Do what the rules say."""
        match verdict:
            case PlaceNow():
                self._work.remote_admission.forget(self._peer)
                self._place()
            case PlaceLater():
                self._wait_for_holder(reason)
            case RejectNotRun():
                self._reject(reason)
            case Refuse(refusal=refusal):
                self._finish(Answer(refusal=refusal, message=reason))
            case LostAtHolder(may_be_kept=is_kept):
                self._finish(self._lost(is_kept, reason))

    def _wait_for_holder(self, reason: str) -> None:
        """Look for a holder again in a moment, or reject what can't be in time any more."""
        objective = self._route.objective_seconds * 1000
        match without_holder(self._work.clock.now, self._began, objective):
            case PlaceLater():
                self._retry = self._work.clock.call_in(PLACE_RETRY_MS, self._place)
            case RejectNotRun():
                self._reject(reason)

    def _reject(self, reason: str) -> None:
        """Answer that nothing ran, and when to retry: no holder was found in time."""
        retry_after = self._work.remote_admission.retry_after(HOLDER_RETRY_AFTER_MS)
        unknown = Forecast(0.0, 0.0)
        self._rejection = rejection(
            RejectionCause.NO_PLACE, unknown, self._left, self._route.priority, retry_after
        )
        self._finish(busy(reason, retry_after))

    def finish(self, answer: Answer) -> None:
        """See :meth:`rowanrail.gateway.work.ports.SingleStatement.finish`."""
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
