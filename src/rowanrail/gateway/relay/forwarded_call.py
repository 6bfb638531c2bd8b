"""One statement that is forwarded to another gateway: its deadline, its holder, its answer.

Owns the statement's timers and its call on a link. Relies on :mod:`holder_choice` for the holder,
on :mod:`remote_admission` for whether the statement is sent, and on :mod:`forwarding_rules` for
what to do if no answer comes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from rowanrail.gateway.policies import LinkOutcome
from rowanrail.gateway.relay.forwarding_rules import (
    HOLDER_LOOKUP_INTERVAL_MS,
    HOLDER_RETRY_AFTER_MS,
    Decision,
    LinkLost,
    Refuse,
    RejectNotRun,
    RetryLater,
    RetryNow,
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
    """Interface: locates the gateway that runs a service's statements."""

    def locate_holder(self, shard: Shard) -> HolderLocation:
        """Return the gateway that now runs the statements of a shard."""

    @property
    def note_answer(self) -> Callable[[Link], None]:
        """The callback that records an answer of the gateway behind a link."""


def _allows_no_peer(peer: str, regions: frozenset[str]) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """What forwarded statements of one service need.

    Parameters
    ----------
    placement : HolderLocator
        Locates the gateway that runs them.
    local : LocalExecutor
        Runs them if that is this gateway.
    clock : Clock
        Time and timers.
    link_outcome : LinkOutcome
        Policy for the answer when a link is lost.
    remote_admission : RemoteAdmission
        Rejects statements that the holder would reject.
    is_detour : bool
        Whether they go to a gateway outside the own group, or on a detour; the receiver must not
        forward them.
    version : int
        Version of the configuration by which clients' keys were accepted.
    allows_peer : callable
        Called with a gateway's name and the regions of a statement. Returns whether the gateway may
        be sent the statement's text.
    """

    placement: HolderLocator
    local: LocalExecutor
    clock: Clock
    link_outcome: LinkOutcome
    remote_admission: RemoteAdmission
    is_detour: bool = False
    version: int = 0
    allows_peer: Callable[[str, frozenset[str]], bool] = _allows_no_peer


class ForwardedCall:
    """One forwarded statement, with its deadline and its one answer.

    Base class of single statements and transactions.
    """

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
        """Return how the statement ran: the holder's trace, or how far it came at this gateway."""
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
        """Kind of the statement, for the rules."""
        raise NotImplementedError

    @property
    def _regions(self) -> frozenset[str] | None:
        """Regions in which the statement may run by the configuration in force; None for any."""
        return self._context.local.regions_of(self._route, self._session.identity.tenant)

    def _may_send(self, link: Link) -> bool:
        """Return whether the statement's text may go to the gateway behind a link."""
        regions = self._regions
        return regions is None or self._context.allows_peer(link.peer, regions)

    def _route_in_force(self) -> Route:
        """Return the route with the regions in which the statement may run now."""
        regions = self._regions
        if regions is self._route.regions:
            return self._route
        return msgspec.structs.replace(self._route, regions=regions)

    def _send(self, link: Link, transaction: int = 0, read_only: bool = False) -> None:
        assert self._statement is not None
        self._attempts += 1
        self._sent = True
        self._peer = link.peer
        self._link = link
        self._call_id = link.next_call_id()
        outgoing = OutgoingStatement(
            self._statement,
            self._route_in_force(),
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
        """Reject the statement if its holder would or can't answer in time; return whether so."""
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
            case HeldRemotely(link=link) if self._may_send(link):
                self._run_remotely(link)
            case HeldRemotely():
                self._run_locally()
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

    def _apply_decision(self, decision: Decision, reason: str) -> None:
        """Carry out a decision of :mod:`forwarding_rules`."""
        match decision:
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
        """Schedule the next lookup of a holder, or reject the statement if it would be too late."""
        objective = self._route.objective_seconds * 1000
        match without_holder(self._context.clock.now, self._began_at, objective):
            case RetryLater():
                self._retry = self._context.clock.call_in(HOLDER_LOOKUP_INTERVAL_MS, self._dispatch)
            case RejectNotRun():
                self._reject(reason)

    def _reject(self, reason: str) -> None:
        """Answer that no holder was found in time and nothing ran, with a retry delay."""
        retry_after = self._context.remote_admission.retry_after(HOLDER_RETRY_AFTER_MS)
        unknown = Forecast(0.0, 0.0)
        self._rejection = rejection_record(
            RejectionCause.NO_PLACE, unknown, self._time_left, self._route.priority, retry_after
        )
        self._finish(busy_answer(reason, retry_after))

    def finish(self, answer: Answer) -> None:
        """End the statement with an answer; a pending call is cancelled."""
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
