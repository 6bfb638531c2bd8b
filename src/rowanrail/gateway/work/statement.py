"""Base of the executions of a statement: its time limits, its answer, and its rejection.

The limits and the Retry-After follow the rules in :mod:`rowanrail.gateway.work.refusals`.
"""

from collections.abc import Callable

import msgspec

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import SessionContext
from rowanrail.gateway.work.attempts import RETRY_INTERVAL_SECONDS
from rowanrail.gateway.work.refusals import (
    base_retry_after_ms,
    busy_answer,
    deferral_seconds,
    has_time_to_retry,
    rejection_of_deferred,
    rejection_of_excluded,
    rejection_record,
    remaining_seconds,
)
from rowanrail.kernel.clock import Scheduler, Timer
from rowanrail.members.channel import AnswerCallback
from rowanrail.members.eligibility import Exclusion
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import Forecast, RejectionCause

__all__ = ["Statement"]

NO_FORECAST = Forecast(0.0, 0.0)  # for a rejection that concerns no particular member


class Statement:
    """Time limits of a statement, and its single answer.

    Parameters
    ----------
    service : Service
        Service whose members run the statement.
    route : Route
        Route with the time-out and the latency objective.
    session : SessionContext
        Values and identity of the client's session.
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
        self.timeout_timer: Timer | None = None
        self.deferral_timer: Timer | None = None
        self.respond: AnswerCallback | None = None
        self.arrived_at = 0.0
        self.rejection: Rejection | None = None

    @property
    def tenant(self) -> str:
        """Tenant on whose connections the statement runs."""
        return self.session.identity.tenant

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions in which it may run by the configuration in force; None for any."""
        if self.service.data_regions is None:
            return self.route.regions  # without the cost of the tenant's name
        return self.service.regions_of(self.route, self.tenant)

    @property
    def deferral_deadline(self) -> float:
        """Time, in seconds, until which a statement that no member could run is deferred."""
        return self.arrived_at + deferral_seconds(self.route.objective_seconds)

    @property
    def timeout_ms(self) -> float:
        """Time-out of the statement in milliseconds."""
        return self.route.timeout_seconds * 1000

    @property
    def remaining_ms(self) -> float:
        """Milliseconds until the statement times out."""
        return self.timeout_ms - (self.clock.time() - self.arrived_at) * 1000

    def begin_statement(self, respond: AnswerCallback) -> None:
        """Accept a statement and start its timers."""
        self.respond = respond
        self.arrived_at = self.clock.time()
        self.rejection = None
        self.timeout_timer = self.clock.call_later(self.route.timeout_seconds, self.on_timeout)
        limit = deferral_seconds(self.route.objective_seconds)
        self.deferral_timer = self.clock.call_later(limit, self.on_deferral_end)

    def on_timeout(self) -> None:
        """Answer the statement when it times out."""
        raise NotImplementedError

    def on_deferral_end(self) -> None:
        """Reject the statement at the end of its deferral, unless it may still run soon."""
        raise NotImplementedError

    def route_with_remaining_time(self) -> Route:
        """Return the route with its times reduced by the time since the statement's arrival."""
        waited = self.clock.time() - self.arrived_at
        return msgspec.structs.replace(
            self.route,
            timeout_seconds=remaining_seconds(self.route.timeout_seconds, waited),
            objective_seconds=remaining_seconds(self.route.objective_seconds, waited),
        )

    def retry_later(self, function: Callable[[], None], answer: Answer) -> None:
        """Call ``function`` after the retry interval, or refuse if the deferral ends first."""
        if not has_time_to_retry(self.clock.time(), self.deferral_deadline):
            self.refuse_deferred(answer)
            return

        def retry() -> None:
            if self.respond is not None:
                function()

        self.clock.call_later(RETRY_INTERVAL_SECONDS, retry)

    def refuse_deferred(self, answer: Answer) -> None:
        """Refuse a statement that no member ran; a busy one is rejected with a Retry-After."""
        tracker = self.service.primary
        has_primary = bool(tracker.presumed_primary) and not tracker.failing_since
        verdict = rejection_of_deferred(answer.refusal, has_primary)
        if verdict is None:
            self.finish(answer)
        else:
            self.reject(verdict.cause, answer.message, verdict.retry_after_ms)

    def reject_excluded(self, exclusion: Exclusion, instance: str = "") -> None:
        """Reject a statement that no member, or not its primary, may be sent."""
        verdict = rejection_of_excluded(exclusion)
        subject = f"its primary {instance}" if instance else f"each member of {self.route.service}"
        self.reject(
            verdict.cause, f"{subject} is excluded: {exclusion.value}", verdict.retry_after_ms
        )

    def reject(
        self,
        cause: RejectionCause,
        reason: str,
        base_ms: float = 0.0,
        forecast: Forecast = NO_FORECAST,
    ) -> None:
        """Reject the statement as not run, with a Retry-After of its own.

        Parameters
        ----------
        cause : RejectionCause
            Cause for the log.
        reason : str
            Reason for the client.
        base_ms : float
            Shortest Retry-After in milliseconds; rejected clients get different ones from there on.
        forecast : Forecast
            Forecast on which the rejection is based.
        """
        urgency = self.route.priority
        retry_after = self.service.retry_times.next_delay(
            base_retry_after_ms(base_ms), forecast.drain_interval, (cause, urgency)
        )
        self.rejection = rejection_record(cause, forecast, self.remaining_ms, urgency, retry_after)
        self.finish(busy_answer(reason, retry_after))

    def stop_timers(self) -> None:
        """Stop the timers: the statement was answered, or another gateway runs it."""
        for timer in (self.timeout_timer, self.deferral_timer):
            if timer is not None:
                timer.cancel()
        self.timeout_timer = self.deferral_timer = None

    def finish(self, answer: Answer) -> None:
        """Answer the statement; ignored if it was answered before."""
        respond, self.respond = self.respond, None
        self.stop_timers()
        if respond is not None:
            self.withdraw_requests(answer)
            respond(answer)

    def withdraw_requests(self, answer: Answer) -> None:
        """Withdraw requests to pools and other gateways once the statement is answered."""
