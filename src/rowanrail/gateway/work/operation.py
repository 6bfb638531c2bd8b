"""Common base of reads, writes and transactions: admission, member selection, and forwarding.

The decisions are made by :mod:`rowanrail.gateway.work.attempts`,
:mod:`rowanrail.gateway.work.refusals` and :mod:`rowanrail.scheduling.admission`.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.services.member_estimates import ReadRequirements
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.services.warm_up_limits import SAMPLE_COMMANDS
from rowanrail.gateway.session_context import PreparedStatementNames, SessionContext
from rowanrail.gateway.work.attempts import can_meet_objective
from rowanrail.gateway.work.connected import Stage
from rowanrail.gateway.work.ports import (
    NO_OTHER_GATEWAYS,
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
from rowanrail.gateway.work.warm_up_waits import WarmUpWaits
from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import AnswerCallback, Channel
from rowanrail.members.eligibility import Exclusion
from rowanrail.model.position import Position
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, TypedStatement
from rowanrail.model.trace import Trace
from rowanrail.scheduling.admission import Admit, RejectionCause, decide_on_arrival
from rowanrail.scheduling.entry import QueueEntry
from rowanrail.scheduling.retrying import retry_after_base


class Operation(WarmUpWaits):
    """Common base of reads, writes and transactions.

    Parameters
    ----------
    service, route, session, clock
        As for :class:`Statement`.
    names : PreparedStatementNames
        The gateway's names of prepared statements.
    others : OtherGateways
        Executors at other gateways, used if a member can't be reached from here.
    """

    def __init__(
        self,
        service: Service,
        route: Route,
        session: SessionContext,
        names: PreparedStatementNames,
        clock: Scheduler,
        others: OtherGateways = NO_OTHER_GATEWAYS,
    ) -> None:
        super().__init__(service, route, session, clock, others)
        self.names = names
        self.attempts = 0
        self.floor: Position | None = None  # log position that a member must have reached
        self.remote_execution: AutocommitExecution | TransactionExecution | None = None
        service.used_at = clock.time()

    def trace(self) -> Trace:
        """Return how far the statement has come, for the log."""
        if self.remote_execution is not None:
            return self.remote_execution.trace()
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
        """Accept a statement, reset its attempts and start its timers."""
        self.attempts = 0
        self.unsent_commands = 1
        super().begin_statement(respond)

    def on_deferral_end(self) -> None:
        """Reject the statement if the primary is lost or has no connection left.

        One that waits for a sample of a warming primary still gets the rest of its objective.
        """
        if self.channel is not None:
            return
        tracker = self.service.primary
        reason = primary_unavailable_reason(tracker.failing_since, tracker.is_at_connection_limit)
        if reason:
            tracker.cancel_wait(self.sample_callback())
            self.reject(RejectionCause.NO_PRIMARY, reason, PRIMARY_RETRY_AFTER_MS)
        elif self.stage is Stage.WAITS_FOR_SAMPLE and self.service.spec.limits_warm_up:
            rest = self.arrived_at + self.route.objective_seconds - self.clock.time()
            self.deferral_timer = self.clock.call_later(rest, self._reject_without_sample_in_time)

    def _reject_without_sample_in_time(self) -> None:
        """Reject a read for which a primary that warms up was not sampled within the objective.

        Not sampling it is no failure, so nothing else would end the wait before the time-out.
        """
        pool = self.service.primary_pool()
        is_waiting = self.stage is Stage.WAITS_FOR_SAMPLE
        if pool is None or not is_waiting or not self.service.is_warming(pool.record):
            return
        self.service.primary.cancel_wait(self.sample_callback())
        self.unsent_commands = SAMPLE_COMMANDS
        self.reject_warming_up(pool)

    def sample_callback(self) -> Callable[[Position | None], None] | None:
        """Return the callback that may be waiting for a sample of the primary, if any."""
        return None

    def withdraw_requests(self, answer: Answer) -> None:
        """End the execution at another gateway, if there is one, and leave the wait queue."""
        if self.remote_execution is not None:
            self.remote_execution.finish(answer)  # no effect if the answer came from there
        super().withdraw_requests(answer)

    # Other gateways

    def forward_to_detour(self, statement: TypedStatement, writes: bool) -> bool:
        """Forward an unsent statement to a gateway that reaches the primary.

        Returns
        -------
        bool
            False if no such gateway is known.
        """
        return self._forward(self.find_detour(), statement, writes)

    def forward_to_holder(
        self, statement: TypedStatement, writes: bool, instance: str = ""
    ) -> bool:
        """Forward a statement to the gateway that holds the connections to a remote member.

        Parameters
        ----------
        statement : TypedStatement
            The statement.
        writes : bool
            Whether it writes.
        instance : str
            The member; empty for the primary.

        Returns
        -------
        bool
            False if the member is in this region, or the gateway is not known.
        """
        return self._forward(self.find_remote_holder(instance), statement, writes)

    def find_remote_holder(self, instance: str) -> StatementExecutor | None:
        """Return the executor at the gateway that holds the connections to a remote member.

        None if the member is in this region, or the gateway is not known.
        """
        return self.other_gateways.find_remote_holder(self.tenant, instance, self.regions)

    def find_primary_holder(self) -> StatementExecutor | None:
        """Return the executor at the holder in the primary's region; None if it is excluded."""
        primary = self.service.primary_pool()
        if primary is not None and self.service.exclusion(primary.record, self.regions):
            return None
        return self.find_remote_holder("")

    def find_detour(self) -> StatementExecutor | None:
        """Return the executor at a gateway that reaches the primary, None if none is known."""
        return self.other_gateways.find_detour(self.regions)

    def _forward(
        self, executor: StatementExecutor | None, statement: TypedStatement, writes: bool
    ) -> bool:
        if executor is None:
            return False
        remote = executor.autocommit(self.route_with_remaining_time(), self.session, writes)
        self.remote_execution = remote
        self.stop_timers()
        remote.start(statement, self.finish)
        return True

    def acquire_primary(
        self,
        retry: Callable[[], None],
        on_connection: Callable[[Channel | None, Answer], None],
    ) -> None:
        """Request a connection to the primary, or forward to a gateway that reaches it.

        Parameters
        ----------
        retry : callable
            Called after the retry interval if no primary is available.
        on_connection : callable
            Called with the connection, or with None and the reason.
        """
        self.stage = Stage.WAITS_FOR_PRIMARY
        tracker, pool = self.service.primary, self.service.primary_pool()
        if self.reject_if_primary_excluded():
            return
        if self.forward_to(self.find_remote_holder("")):
            return
        if self.wait_if_warming_up(pool, retry):
            return
        if tracker.failing_since and self.forward_to(self.find_detour()):
            return
        if self.refuse_if_primary_long_lost():
            return
        if pool is None or pool.is_failing:
            tracker.request_sample()
            self.retry_later(retry, busy_answer("no primary is known"))
        elif not self.can_wait_at(pool):
            self.reject_overloaded(pool)
        else:
            self.acquire(pool, on_connection)

    def reject_if_primary_excluded(self) -> bool:
        """Reject a statement that needs the primary if it may not be sent there; return whether.

        One that warms up may be sent it later, or by another gateway.
        """
        primary = self.service.primary_pool()
        if primary is None:
            return self.reject_if_all_excluded()
        exclusion = self.service.exclusion(primary.record, self.regions)
        if exclusion is None or exclusion is Exclusion.WARMING_UP:
            return False
        self.reject_excluded(exclusion, primary.record.instance)
        return True

    def reject_if_all_excluded(self) -> bool:
        """Reject a statement that no member may be sent; return whether it was rejected."""
        exclusion = self.service.exclusion_of_all(self.regions)
        if exclusion is not None:
            self.reject_excluded(exclusion)
        return exclusion is not None

    def reject_without_sample(self, since: float) -> bool:
        """Reject a read that needs a sample of a primary in a closed zone.

        Parameters
        ----------
        since : float
            The earliest time, in seconds, at which the sample may have been requested.

        Returns
        -------
        bool
            Whether it was rejected.
        """
        pool = self.service.primary_pool()
        if pool is None or not self.service.is_closed(pool.record):
            return False
        if self.service.primary.has_sample_since(since):
            return False
        self.reject_excluded(Exclusion.EVACUATED, pool.record.instance)
        return True

    def refuse_if_primary_long_lost(self) -> bool:
        """Refuse the statement if the primary is lost for long; return whether it was refused.

        A successor would have been found by then, so this gateway is probably partitioned from the
        primary. The client gets no Retry-After, as it still has time to try another gateway.
        """
        tracker = self.service.primary
        if not tracker.is_failover_overdue:
            return False
        seconds = self.clock.time() - tracker.failing_since
        self.finish(busy_answer(f"the primary has been lost for {seconds:.1f} s; retry elsewhere"))
        return True

    # Admission

    def queue_entry(self) -> QueueEntry:
        """Return the statement's entry for a wait queue: urgency, tenant and deadline."""
        deadline = self.arrived_at + self.route.timeout_seconds
        return QueueEntry(
            self.route.priority,
            self.tenant,
            self.arrived_at * 1000,
            deadline=deadline * 1000,
            weight=self.service.weight(self.tenant),
            is_retrying=self.session.is_retrying,
        )

    def on_deadline_unreachable(self, pool: MemberPool) -> None:
        """Move the statement to a less loaded member, or reject it."""
        if not self.try_less_loaded_member(pool):
            self.reject_overloaded(pool, RejectionCause.PAST_DEADLINE)

    def can_wait_at(self, pool: MemberPool) -> bool:
        """Return whether admission control accepts the statement at a member."""
        forecast = pool.forecasts.for_entry(self.queue_entry())
        reliable = pool.forecasts.errors.of(self.route.priority).reliable_share
        verdict = decide_on_arrival(forecast, self.remaining_ms, self.timeout_ms, reliable)
        return isinstance(verdict, Admit)

    def can_meet_objective(self, pool: MemberPool) -> bool:
        """Return whether a member's queue is short enough to answer within the objective."""
        forecast = pool.forecasts.for_entry(self.queue_entry())
        waited = self.timeout_ms - self.remaining_ms
        return can_meet_objective(forecast, self.route.objective_seconds, waited)

    # Member selection

    @property
    def latency_class(self) -> str:
        """Name of the class of statements with about the same execution time."""
        return self.route.name

    def read_requirements(self) -> ReadRequirements:
        """Return the requirements of the read for the selection of a member."""
        return ReadRequirements(self.latency_class, self.queue_entry(), self.floor, self.regions)

    def note_answer(self, answer: Answer) -> None:
        """Update the estimates of the member from its answer to the last request."""
        estimates = self.service.estimates
        estimates.note_answer(self.member, self.latency_class, answer, self.sent_at, self.floor)

    def find_pool_with_capacity(self, excluded: set[str]) -> MemberPool | None:
        """Return a member that can meet the objective, else one that admits the read, else None."""
        for has_capacity in (self.can_meet_objective, self.can_wait_at):
            pools = self.service.pools.items()
            overloaded = {instance for instance, pool in pools if not has_capacity(pool)}
            found = self.service.choose_member(excluded | overloaded, self.read_requirements())
            if found is not None:
                return found
        return None

    def pool_with_capacity(self, pool: MemberPool, excluded: set[str]) -> MemberPool | None:
        """Return the pool if it can meet the objective, else another; reject if there is none."""
        found = pool if self.can_meet_objective(pool) else self.find_pool_with_capacity(excluded)
        if found is None:
            self.reject_overloaded(pool)
        return found

    def reject_overloaded(
        self, pool: MemberPool, cause: RejectionCause = RejectionCause.OVERLOADED
    ) -> None:
        """Reject the statement as not run: the member's queue is too long."""
        self.member = pool.record.instance
        self.stage = Stage.WAITS_FOR_CONNECTION
        forecast = pool.forecasts.for_entry(self.queue_entry())
        reason = f"{self.member} is crowded for {forecast.wait:.0f} ms"
        self.reject(cause, reason, retry_after_base(forecast.wait, self.timeout_ms), forecast)

    def try_less_loaded_member(self, pool: MemberPool) -> bool:
        """Move to a less loaded member than that of the pool; return whether there is one."""
        return False
