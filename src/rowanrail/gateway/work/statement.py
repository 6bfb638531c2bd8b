"""One statement of a client: its time, its one answer, and what a refusal tells its client.

For the kinds of work. Owns the timers of the statement's time-out and of its deferral, who gets the
answer, and the rejection that is logged. Relies on :mod:`rowanrail.gateway.work.refusals` for how
long a statement is deferred and what it is told.
"""

from collections.abc import Callable

import msgspec

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import SessionContext
from rowanrail.gateway.work.attempts import MEMBER_RETRY_SECONDS
from rowanrail.gateway.work.refusals import (
    busy_answer,
    defer_seconds,
    left_seconds,
    may_defer,
    rejection_of_deferred,
    rejection_record,
    shortest_retry_after_ms,
)
from rowanrail.kernel.clock import Scheduler, Timer
from rowanrail.members.channel import AnswerCallback
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import Forecast, RejectionCause

__all__ = ["Statement"]

NO_FORECAST = Forecast(0.0, 0.0)  # of no member


class Statement:
    """The time of a statement, and its one answer.

    Parameters
    ----------
    service : Service
        At whose members it runs.
    route : Route
        Says how much time it has.
    session : SessionContext
        Of its client.
    clock : Scheduler
        Time and timers.
    """

    def __init__(
        self, service: Service, route: Route, session: SessionContext, clock: Scheduler
    ) -> None:
        self.service = service
        self.route = route
        self.session = session
        self.clock = clock
        self.timer: Timer | None = None
        self.deferral_timer: Timer | None = None
        self.respond: AnswerCallback | None = None
        self.arrived_at = 0.0
        self.rejection: Rejection | None = None

    @property
    def tenant(self) -> str:
        """On whose connection it runs."""
        return self.session.identity.tenant

    @property
    def defer_until(self) -> float:
        """Moment, in seconds, until which a statement that no member could run is deferred."""
        return self.arrived_at + defer_seconds(self.route.objective_seconds)

    @property
    def time_given_ms(self) -> float:
        """Milliseconds that the statement was given."""
        return self.route.timeout_seconds * 1000

    @property
    def time_left_ms(self) -> float:
        """Milliseconds until the statement's time is over."""
        return self.time_given_ms - (self.clock.time() - self.arrived_at) * 1000

    def begin_statement(self, respond: AnswerCallback) -> None:
        """Take a statement and start its clock."""
        self.respond = respond
        self.arrived_at = self.clock.time()
        self.rejection = None
        self.timer = self.clock.call_later(self.route.timeout_seconds, self.on_timeout)
        limit = defer_seconds(self.route.objective_seconds)
        self.deferral_timer = self.clock.call_later(limit, self.on_deferral_over)

    def on_timeout(self) -> None:
        """Answer when the statement's time is over."""
        raise NotImplementedError

    def on_deferral_over(self) -> None:
        """Reject what could not run so far, if it can not soon."""
        raise NotImplementedError

    def route_left(self) -> Route:
        """Return the route with the time that is left of the statement's."""
        waited = self.clock.time() - self.arrived_at
        return msgspec.structs.replace(
            self.route,
            timeout_seconds=left_seconds(self.route.timeout_seconds, waited),
            objective_seconds=left_seconds(self.route.objective_seconds, waited),
        )

    def retry_later(self, function: Callable[[], None], answer: Answer) -> None:
        """Try again in a moment, or give the refusal if its deferral is over."""
        if not may_defer(self.clock.time(), self.defer_until):
            self.refuse_unplaced(answer)
            return

        def again() -> None:
            if self.respond is not None:
                function()

        self.clock.call_later(MEMBER_RETRY_SECONDS, again)

    def refuse_unplaced(self, answer: Answer) -> None:
        """Refuse what no member took; as busy it is rejected, with its Retry-After."""
        tracker = self.service.primary
        has_primary = bool(tracker.presumed_primary) and not tracker.failing_since
        verdict = rejection_of_deferred(answer.refusal, has_primary)
        if verdict is None:
            self.finish(answer)
        else:
            self.reject(verdict.cause, answer.message, verdict.retry_after_ms)

    def reject(
        self,
        cause: RejectionCause,
        reason: str,
        base_ms: float = 0.0,
        forecast: Forecast = NO_FORECAST,
    ) -> None:
        """Refuse, as not run, with a Retry-After that differs from those given before.

        Parameters
        ----------
        base_ms : float
            Milliseconds until the first of the rejected clients should retry.
        """
        urgency = self.route.priority
        retry_after = self.service.retry_times.next(
            shortest_retry_after_ms(base_ms), forecast.drain_interval, (cause, urgency)
        )
        self.rejection = rejection_record(cause, forecast, self.time_left_ms, urgency, retry_after)
        self.finish(busy_answer(reason, retry_after))

    def stop_timers(self) -> None:
        """Forget the statement's time: it has its answer, or another gateway runs it."""
        for timer in (self.timer, self.deferral_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.deferral_timer = None

    def finish(self, answer: Answer) -> None:
        """Give the statement's answer, once."""
        respond, self.respond = self.respond, None
        self.stop_timers()
        if respond is not None:
            self.let_go(answer)
            respond(answer)

    def let_go(self, answer: Answer) -> None:
        """Withdraw what pools or other gateways were asked for: the statement has its answer."""
