"""Waits of a statement for a member that warms up: forwarded, deferred, or rejected.

A gateway sends a warming member no more than its part of the limit, see
:mod:`rowanrail.gateway.services.warm_up_limits`.
"""

import math
from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import SessionContext
from rowanrail.gateway.work.connected import ConnectedStatement, Stage
from rowanrail.gateway.work.ports import NO_OTHER_GATEWAYS, OtherGateways, StatementExecutor
from rowanrail.gateway.work.refusals import busy_answer
from rowanrail.kernel.clock import Scheduler
from rowanrail.members.eligibility import Exclusion
from rowanrail.model.members import MemberRecord
from rowanrail.model.routing import Route
from rowanrail.scheduling.admission import Forecast, RejectionCause

__all__ = ["WarmUpWaits"]

# Fraction of the time-out for which a statement of an open transaction waits for a warming member;
# the rest is left for its execution.
OPEN_TRANSACTION_FRACTION = 0.9
# Fraction of the objective for which a statement waits for a link to a gateway that may send it.
SENDER_LOOKUP_FRACTION = 0.2
MIN_WARM_UP_WAIT_MS = 20.0  # bounds the work of statements that find no place again and again


class WarmUpWaits(ConnectedStatement):
    """A statement whose member may warm up.

    Parameters
    ----------
    service, route, session, clock
        As for :class:`Statement`.
    others : OtherGateways
        Executors at other gateways.
    """

    def __init__(
        self,
        service: Service,
        route: Route,
        session: SessionContext,
        clock: Scheduler,
        others: OtherGateways = NO_OTHER_GATEWAYS,
    ) -> None:
        super().__init__(service, route, session, clock)
        self.other_gateways = others

    def forward_to(self, executor: StatementExecutor | None) -> bool:
        """Forward to another gateway if an executor is given; return whether it was forwarded."""
        raise NotImplementedError

    def wait_if_warming_up(self, pool: MemberPool | None, retry: Callable[[], None]) -> bool:
        """Defer, forward or reject a statement if its member warms up and gets no more now."""
        if pool is None or not self.service.spec.limits_warm_up:
            return False
        if self.service.exclusion(pool.record, self.regions) is not Exclusion.WARMING_UP:
            return False
        if self.service.primary.failing_since or pool.is_failing:
            # It may be lost, and gets a successor sooner than it is warm.
            return self._forward_to_sender(pool)
        self.wait_for_warm_up(pool, retry)
        return True

    def wait_for_any_warm_up(self, retry: Callable[[], None]) -> bool:
        """Defer, forward or reject a statement if all its members warm up and get no more now."""
        if not self.service.spec.limits_warm_up:
            return False
        commands = self.unsent_commands
        if self.service.exclusion_of_all(self.regions, commands) is not Exclusion.WARMING_UP:
            return False
        pool = self.service.warming_pool(self.regions, commands)
        if pool is None:
            return False
        self.wait_for_warm_up(pool, retry)
        return True

    def wait_for_warm_up(self, pool: MemberPool, retry: Callable[[], None]) -> None:
        """Forward a statement to a gateway that may send it, else defer it, or reject it.

        Parameters
        ----------
        retry : callable
            Called when the member may be sent the statement, if that is within the deferral.
        """
        if self._forward_to_sender(pool):
            return
        if self._may_find_sender(pool):
            self.retry_later(retry, busy_answer("no gateway that may send is reachable"))
        elif not self.defer_for_warm_up(pool, retry):
            self.reject_warming_up(pool)

    def _may_find_sender(self, pool: MemberPool) -> bool:
        """Return whether the link to a sender may still be opened in time."""
        if self.other_gateways is NO_OTHER_GATEWAYS or self.service.warm_up.is_sender(pool.record):
            return False
        waited = self.clock.time() - self.arrived_at
        return waited < SENDER_LOOKUP_FRACTION * self.route.objective_seconds

    def _forward_to_sender(self, pool: MemberPool) -> bool:
        sender = self.other_gateways.find_sender(self.tenant, pool.record.instance)
        return self.forward_to(sender)

    def defer_for_warm_up(self, pool: MemberPool, retry: Callable[[], None]) -> bool:
        """Retry when the member may be sent the statement; return False if that is too late."""
        record, warm_up, continues = pool.record, self.service.warm_up, self.continues
        delay = max(MIN_WARM_UP_WAIT_MS, self._warm_up_delay_ms(record)) / 1000
        if self.clock.time() + delay > self._warm_up_deadline:
            return False
        self.member, self.stage = record.instance, Stage.WAITS_FOR_CONNECTION
        warm_up.begin_wait(record, continues)

        def resume() -> None:
            warm_up.end_wait(record, continues)
            if self.respond is not None:
                retry()

        self.clock.call_later(delay, resume)
        return True

    def _warm_up_delay_ms(self, record: MemberRecord) -> float:
        return self.service.warm_up.delay_ms(record, self.unsent_commands, self.continues)

    @property
    def _warm_up_deadline(self) -> float:
        """Time, in seconds, until which the statement waits; an open transaction has cost more."""
        if self.continues:
            return self.arrived_at + OPEN_TRANSACTION_FRACTION * self.route.timeout_seconds
        return self.deferral_deadline

    def reject_warming_up(self, pool: MemberPool) -> None:
        """Reject a statement that a warming member gets too late, with the time of the next one."""
        record, warm_up = pool.record, self.service.warm_up
        self.member = record.instance
        warm_up.note_turned_away(record)
        delay = self._warm_up_delay_ms(record)
        interval = warm_up.part_for(record).interval_ms
        forecast = Forecast(delay, 0.0, drain_interval=interval if interval < math.inf else 0.0)
        reason = f"{record.instance} warms up and gets no more statements for {delay:.0f} ms"
        self.reject(RejectionCause.WARMING_UP, reason, delay, forecast)
