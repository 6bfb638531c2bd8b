"""What all kinds of work share: admission, choice of a member, other gateways, the trace.

For reads, writes and transactions. Owns how often a statement was tried and who runs it if not
this gateway. Relies on :mod:`rowanrail.gateway.work.attempts`, on
:mod:`rowanrail.gateway.work.refusals` and on :mod:`rowanrail.scheduling.admission` for what is
decided.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.services.member_estimates import ReadRequirements
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import PreparedStatementNames, SessionContext
from rowanrail.gateway.work.attempts import is_prompt
from rowanrail.gateway.work.connected import ConnectedStatement, Stage
from rowanrail.gateway.work.ports import (
    NO_OTHERS,
    AutocommitExecution,
    OtherGateways,
    StatementExecutor,
    TransactionExecution,
)
from rowanrail.gateway.work.refusals import (
    PRIMARY_RETRY_AFTER_MS,
    busy_answer,
    primary_unavailable_reason,
)
from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.model.position import Position
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, TypedStatement
from rowanrail.model.trace import Trace
from rowanrail.scheduling.admission import Admit, RejectionCause, decide_on_arrival
from rowanrail.scheduling.entry import QueueEntry
from rowanrail.scheduling.retrying import retry_after_base


class Operation(ConnectedStatement):
    """What all kinds of work share.

    Parameters
    ----------
    service, route, session, clock
        See :class:`Statement`.
    names : PreparedStatementNames
        Names under which this gateway prepares shapes at members.
    others : OtherGateways
        Where it may run if not on this gateway's connections.
    """

    def __init__(
        self,
        service: Service,
        route: Route,
        session: SessionContext,
        names: PreparedStatementNames,
        clock: Scheduler,
        others: OtherGateways = NO_OTHERS,
    ) -> None:
        super().__init__(service, route, session, clock)
        self.names = names
        self.others = others
        self.attempts = 0
        self.floor: Position | None = None  # what a member's log must hold
        self.remote: AutocommitExecution | TransactionExecution | None = None
        service.used_at = clock.time()

    def trace(self) -> Trace:
        """Return what decided about the statement so far."""
        if self.remote is not None:
            return self.remote.trace()
        now = self.clock.time()
        tracker = self.service.primary
        failing = tracker.failing_since
        return Trace(
            service=tracker.service,
            stage=self.stage.value,
            member=self.member,
            attempts=self.attempts,
            primary=tracker.presumed_primary,
            primary_failing_for=round(now - failing, 3) if failing else 0.0,
            sample_age=round(now - tracker.sample.asked_at, 3) if tracker.sample else None,
            rejection=self.rejection,
        )

    def begin_statement(self, respond: AnswerCallback) -> None:
        """See :meth:`Statement.begin_statement`."""
        self.attempts = 0
        super().begin_statement(respond)

    def on_deferral_over(self) -> None:
        """Reject what could not run so far if the primary is lost, or has no connection left."""
        tracker = self.service.primary
        trouble = primary_unavailable_reason(tracker.failing_since, tracker.is_at_connection_limit)
        if self.channel is not None or not trouble:
            return
        tracker.cancel_wait(self.floor_callback())
        self.reject(RejectionCause.NO_PRIMARY, trouble, PRIMARY_RETRY_AFTER_MS)

    def floor_callback(self) -> Callable[[Position | None], None] | None:
        """Return what waits for a sample of the primary, if anything does."""
        return None

    def let_go(self, answer: Answer) -> None:
        """See :meth:`Statement.let_go`."""
        if self.remote is not None:
            self.remote.finish(answer)  # nothing, if the answer is its own
        super().let_go(answer)

    # Other gateways

    def hand_over(self, statement: TypedStatement, writes: bool) -> bool:
        """Have a gateway that reaches the primary run a statement of which nothing was sent.

        Returns False if no such gateway is known.
        """
        return self._hand_to(self.others.find_detour(), statement, writes)

    def hand_to_holder(self, statement: TypedStatement, writes: bool, instance: str = "") -> bool:
        """Have the gateway run it that holds the connections to a member of another region.

        That is the primary if none is named. Returns False if the member is in this region, or
        that gateway is not known.
        """
        holder = self.others.find_remote_holder(self.tenant, instance)
        return self._hand_to(holder, statement, writes)

    def _hand_to(
        self, work: StatementExecutor | None, statement: TypedStatement, writes: bool
    ) -> bool:
        if work is None:
            return False
        remote = work.autocommit(self.route_left(), self.session, writes)
        self.remote = remote
        self.stop_timers()
        remote.start(statement, self.finish)
        return True

    def acquire_primary(
        self, again: Callable[[], None], take: Callable[[Channel | None, Answer], None]
    ) -> None:
        """Wait for a connection to the primary, or have a gateway run it that reaches the primary.

        Parameters
        ----------
        again : callable
            Called in a moment if no primary is there.
        take : callable
            Gets the connection, or None with the reason.
        """
        self.stage = Stage.WAITS_FOR_PRIMARY
        tracker, pool = self.service.primary, self.service.primary_pool()
        if self.move_to(self.others.find_remote_holder(self.tenant, "")):
            return
        if tracker.failing_since and self.move_to(self.others.find_detour()):
            return
        if self.reject_long_lost():
            return
        if pool is None or pool.is_failing:
            tracker.request_sample()
            self.retry_later(again, busy_answer("no primary is known"))
        elif not self.may_wait_at(pool):
            self.reject_crowded(pool)
        else:
            self.acquire(pool, take)

    def move_to(self, work: StatementExecutor | None) -> bool:
        """Have another gateway run what writes, if one is named; return whether it does."""
        raise NotImplementedError

    def reject_long_lost(self) -> bool:
        """Refuse at once what needs a primary that has been lost for long; return whether it was.

        A successor would have been found by then, so that this gateway is probably cut off from
        the primary. Its client still has time to try another gateway, and gets no Retry-After.
        """
        tracker = self.service.primary
        if not tracker.is_failover_overdue:
            return False
        seconds = self.clock.time() - tracker.failing_since
        self.finish(busy_answer(f"the primary has been lost for {seconds:.1f} s; retry elsewhere"))
        return True

    # Admission

    def entry(self) -> QueueEntry:
        """See :meth:`ConnectedStatement.entry`."""
        deadline = self.arrived_at + self.route.timeout_seconds
        return QueueEntry(
            self.route.priority,
            self.tenant,
            self.arrived_at * 1000,
            deadline=deadline * 1000,
            weight=self.service.weight(self.tenant),
            is_retrying=self.session.is_retrying,
        )

    def past_deadline(self, pool: MemberPool) -> None:
        """See :meth:`ConnectedStatement.past_deadline`."""
        if not self.try_roomier(pool):
            self.reject_crowded(pool, RejectionCause.PAST_DEADLINE)

    def may_wait_at(self, pool: MemberPool) -> bool:
        """Return whether the statement can still be served at a member."""
        forecast = pool.forecasts.for_entry(self.entry())
        certain = pool.forecasts.errors.of(self.route.priority).reliable_share
        verdict = decide_on_arrival(forecast, self.time_left_ms, self.time_given_ms, certain)
        return isinstance(verdict, Admit)

    def is_prompt(self, pool: MemberPool) -> bool:
        """Return whether a member has room soon enough for an answer within the objective."""
        forecast = pool.forecasts.for_entry(self.entry())
        waited = self.time_given_ms - self.time_left_ms
        return is_prompt(forecast, self.route.objective_seconds, waited)

    # Choice

    @property
    def kind(self) -> str:
        """Which statements take about as long as this one."""
        return self.route.name

    def wanted(self) -> ReadRequirements:
        """Return what the read asks of a member."""
        return ReadRequirements(self.kind, self.entry(), self.floor)

    def note_answer(self, answer: Answer) -> None:
        """Have the choice of members learn from an answer to what was sent last."""
        estimates = self.service.estimates
        estimates.note_answer(self.member, self.kind, answer, self.sent_at, self.floor)

    def roomier(self, excluded: set[str]) -> MemberPool | None:
        """Return the member for a read that has room soon, else one where it can be served."""
        for is_enough in (self.is_prompt, self.may_wait_at):
            pools = self.service.pools.items()
            crowded = {instance for instance, pool in pools if not is_enough(pool)}
            found = self.service.choose_member(excluded | crowded, self.wanted())
            if found is not None:
                return found
        return None

    def prompt_or_roomier(self, pool: MemberPool, excluded: set[str]) -> MemberPool | None:
        """Return a member if it is prompt, else a roomier one; without one, reject the read."""
        found = pool if self.is_prompt(pool) else self.roomier(excluded)
        if found is None:
            self.reject_crowded(pool)
        return found

    def reject_crowded(
        self, pool: MemberPool, cause: RejectionCause = RejectionCause.OVERLOADED
    ) -> None:
        """Refuse, as not run, since all connections are in use for too long."""
        self.member = pool.record.instance
        self.stage = Stage.WAITS_FOR_CONNECTION
        forecast = pool.forecasts.for_entry(self.entry())
        reason = f"{self.member} is crowded for {forecast.wait:.0f} ms"
        self.reject(cause, reason, retry_after_base(forecast.wait, self.time_given_ms), forecast)

    def try_roomier(self, pool: MemberPool) -> bool:
        """Go to a better member than one, if there is any; return whether it did."""
        return False
