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
    HOLDER_LOOKUP_INTERVAL_MS,
    HOLDER_RETRY_AFTER_MS,
    LinkLost,
    Refuse,
    RejectNotRun,
    RetryLater,
    RetryNow,
    Verdict,
    may_persist,
    without_holder,
)
from rowanrail.gateway.relay.holder_choice import (
    HeldLocally,
    HeldRemotely,
    HolderLocation,
    NoHolder,
)
from rowanrail.gateway.relay.link import Link, Outcome, Replied
from rowanrail.gateway.relay.message_mapping import (
    OutgoingStatement,
    answer_from,
    build_run_message,
    reply_margin,
)
from rowanrail.gateway.relay.remote_admission import RemoteAdmission, RemoteRequest
from rowanrail.gateway.session_context import SessionContext
from rowanrail.gateway.work.attempts import SentRequest
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.local import LocalExecutor
from rowanrail.gateway.work.refusals import busy_answer, rejection_record
from rowanrail.kernel.clock import Clock, Timer
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, TypedStatement
from rowanrail.model.trace import Rejection, Trace
from rowanrail.placement.hashed import Shard
from rowanrail.scheduling.admission import Forecast, RejectionCause

__all__ = ["ForwardedCall", "ForwardingContext", "HolderLocator"]


class HolderLocator(Protocol):
    """Says at which gateway a service's statements run."""

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """Return where statements of a service, or of some tenants of it, run now."""

    @property
    def note_answer(self) -> Callable[[Link], None]:
        """Note that the gateway behind a link answered."""


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Where statements of one service go, and by which terms.

    Parameters
    ----------
    placement : HolderLocator
        Says at which gateway they run.
    local : LocalExecutor
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

    placement: HolderLocator
    local: LocalExecutor
    clock: Clock
    link_outcome: LinkOutcome
    remote_admission: RemoteAdmission
    is_detour: bool = False
    version: int = 0


class ForwardedCall:
    """One statement under way at a neighbour, with its deadline and its one answer."""

    def __init__(self, context: ForwardingContext, route: Route, session: SessionContext) -> None:
        self._context = context
        self._route = route
        self._session = session
        self._respond: AnswerCallback | None = None
        self._statement: TypedStatement | None = None
        self._began_at = 0.0
        self._timer: Timer | None = None
        self._retry: Timer | None = None
        self._link: Link | None = None
        self._call_id = 0
        self._sent = False
        self._attempts = 0
        self._has_run = False  # whether a statement of its transaction was answered
        self._peer = ""
        self._holder_trace: Trace | None = None
        self._rejection: Rejection | None = None

    def trace(self) -> Trace:
        """See :meth:`rowanrail.gateway.work.ports.AutocommitExecution.trace`."""
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
    def _time_left(self) -> float:
        return self._began_at + self._route.timeout_seconds * 1000 - self._context.clock.now

    def _begin(self, statement: TypedStatement, respond: AnswerCallback) -> None:
        self._statement = statement
        self._respond = respond
        self._holder_trace = None
        self._rejection = None
        self._sent = False
        self._attempts = 0
        self._began_at = self._context.clock.now
        timeout = self._route.timeout_seconds * 1000
        self._timer = self._context.clock.call_in(timeout, self._on_timeout)

    @property
    def _sent_kind(self) -> SentRequest:
        """What the statement is, for the rules."""
        raise NotImplementedError

    def _send(self, link: Link, transaction: int = 0, read_only: bool = False) -> None:
        assert self._statement is not None
        self._attempts += 1
        self._sent = True
        self._peer = link.peer
        self._link = link
        self._call_id = link.next_call_id()
        outgoing = OutgoingStatement(
            self._statement,
            self._route,
            self._session,
            self._time_left,
            transaction,
            read_only,
            self._context.is_detour,
            begins=not self._has_run,
            version=self._context.version,
        )
        link.request(
            build_run_message(outgoing, self._call_id),
            self._on_outcome,
            may_persist(self._sent_kind),
        )

    def _on_outcome(self, outcome: Outcome) -> None:
        raise NotImplementedError

    def _on_timeout(self) -> None:
        raise NotImplementedError

    def _run_locally(self) -> None:
        raise NotImplementedError

    def _run_remotely(self, link: Link) -> None:
        raise NotImplementedError

    def _rejects(self, link: Link, writes: bool) -> bool:
        """Return whether its holder would reject it or can't answer in time; then answer so."""
        rejected = self._context.remote_admission.check(
            RemoteRequest(
                link.peer,
                self._route.service,
                self._session.identity.tenant,
                self._route.priority,
                writes,
                time_left=self._time_left,
                time_given=self._route.timeout_seconds * 1000,
                round_trip=reply_margin(self._context.is_detour),
                is_retry=self._session.is_retrying,
            )
        )
        if rejected is None:
            return False
        self._peer = link.peer
        self._rejection = rejected.rejection
        self._finish(rejected.answer)
        return True

    def _dispatch(self) -> None:
        if self._respond is None:
            return
        shard = Shard.of(self._route.service, self._session.identity.tenant)
        match self._context.placement.locate_holder(shard):
            case HeldLocally():
                self._run_locally()
            case HeldRemotely(link=link):
                self._run_remotely(link)
            case NoHolder():
                self._wait_for_holder("no gateway of the zone holds connections")

    def _accept_reply(self, outcome: Replied) -> Answer:
        reply, link = outcome.reply, self._link
        self._call_id = 0
        if link is not None:
            self._context.placement.note_answer(link)
        service = self._route.service
        floor = self._session.floors.get(service)
        if reply.floor is not None and (floor is None or reply.floor > floor):
            self._session.floors[service] = reply.floor
        self._context.local.note_reported_weights(reply.doubts)
        self._holder_trace = reply.trace
        self._context.remote_admission.note(
            self._peer, service, self._session.identity.tenant, reply.load
        )
        return answer_from(reply)

    def _lost_answer(self, may_have_persisted: bool, reason: str) -> Answer:
        self._context.remote_admission.forget(self._peer)
        return Answer(
            refusal=self._context.link_outcome.refusal(may_have_persisted), message=reason
        )

    def _apply_verdict(self, verdict: Verdict, reason: str) -> None:
        """Do what the rules say."""
        match verdict:
            case RetryNow():
                self._context.remote_admission.forget(self._peer)
                self._dispatch()
            case RetryLater():
                self._wait_for_holder(reason)
            case RejectNotRun():
                self._reject(reason)
            case Refuse(refusal=refusal):
                self._finish(Answer(refusal=refusal, message=reason))
            case LinkLost(may_persist=may_have_persisted):
                self._finish(self._lost_answer(may_have_persisted, reason))

    def _wait_for_holder(self, reason: str) -> None:
        """Look for a holder again in a moment, or reject what can't be in time any more."""
        objective = self._route.objective_seconds * 1000
        match without_holder(self._context.clock.now, self._began_at, objective):
            case RetryLater():
                self._retry = self._context.clock.call_in(HOLDER_LOOKUP_INTERVAL_MS, self._dispatch)
            case RejectNotRun():
                self._reject(reason)

    def _reject(self, reason: str) -> None:
        """Answer that nothing ran, and when to retry: no holder was found in time."""
        retry_after = self._context.remote_admission.retry_after(HOLDER_RETRY_AFTER_MS)
        unknown = Forecast(0.0, 0.0)
        self._rejection = rejection_record(
            RejectionCause.NO_PLACE, unknown, self._time_left, self._route.priority, retry_after
        )
        self._finish(busy_answer(reason, retry_after))

    def finish(self, answer: Answer) -> None:
        """See :meth:`rowanrail.gateway.work.ports.AutocommitExecution.finish`."""
        self._finish(answer)

    def _finish(self, answer: Answer) -> None:
        respond, self._respond = self._respond, None
        for timer in (self._timer, self._retry):
            if timer is not None:
                timer.cancel()
        self._timer = self._retry = None
        if self._call_id and self._link is not None:
            self._link.cancel(self._call_id)
            self._call_id = 0
        if respond is not None:
            respond(answer)
