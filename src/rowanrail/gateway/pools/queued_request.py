"""A statement that waits for a connection to one member, until it gets one or leaves the queue.

A timer rechecks whether the statement can still be answered in time;
:class:`rowanrail.scheduling.admission.WaitingMonitor` decides when and whether it keeps waiting.
"""

from collections.abc import Callable

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.waiter import Waiter
from rowanrail.kernel.clock import Timer
from rowanrail.members.channel import Channel
from rowanrail.model.statements import Answer
from rowanrail.scheduling.admission import Admit, Forecast, WaitingMonitor
from rowanrail.scheduling.queue import QueueEntry

__all__ = ["QueuedRequest"]


class QueuedRequest:
    """A statement's request for a connection, with a timer that rechecks its deadline.

    It queues one :class:`Waiter` in the pool.

    Parameters
    ----------
    pool : MemberPool
        The pool of the member.
    entry : QueueEntry
        Urgency, tenant and deadline.
    session_values : dict
        Session values of the statement; a connection that has them already is preferred.
    on_connection : callable
        Called with the connection, or with None and the refusal.
    on_expired : callable
        Called when the deadline can no longer be met, after the request has left the queue.
    """

    def __init__(
        self,
        pool: MemberPool,
        entry: QueueEntry,
        session_values: dict[str, str],
        on_connection: Callable[[Channel | None, Answer], None],
        on_expired: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._waiter = Waiter(entry, session_values, self._respond, self._expire)
        self._clock = pool.clock
        self._on_connection = on_connection
        self._on_expired = on_expired
        self._time_limit = entry.deadline - entry.arrived
        self._monitor = WaitingMonitor(self._time_limit)
        self._error = pool.forecasts.errors.of(entry.urgency)
        self._expected_wait = 0.0  # forecast at the start, in ms
        self._timer: Timer | None = None
        self._is_over = False

    @property
    def _now(self) -> float:
        return self._clock.now

    @property
    def _remaining(self) -> float:
        return self._waiter.entry.deadline - self._now

    def start(self) -> None:
        """Request the connection, which may be granted at once."""
        self._pool.acquire(self._waiter)
        if not self._is_over:
            forecast = self._pool.forecasts.for_entry(self._waiter.entry)
            self._expected_wait = forecast.wait
            self._schedule_check(forecast)

    def cancel(self) -> None:
        """Leave the queue."""
        if not self._is_over:
            self._end()
            self._pool.queue.remove(self._waiter)

    def _respond(self, channel: Channel | None, answer: Answer) -> None:
        if channel is not None:
            self._note_waited(was_served=True)
        self._end()
        self._on_connection(channel, answer)

    def _schedule_check(self, forecast: Forecast) -> None:
        pause = self._monitor.next_check(forecast, self._remaining)
        self._timer = self._clock.call_in(pause, self._check)

    def _check(self) -> None:
        forecast = self._pool.forecasts.for_entry(self._waiter.entry)
        if isinstance(
            self._monitor.check(forecast, self._remaining, self._error.reliable_share), Admit
        ):
            self._schedule_check(forecast)
        else:
            self._expire()

    def _expire(self) -> None:
        """Leave the queue because the deadline can no longer be met."""
        self._note_waited(was_served=False)
        self.cancel()
        self._on_expired()

    def _note_waited(self, was_served: bool) -> None:
        waited = self._now - self._waiter.since
        self._error.note(self._expected_wait, waited, self._time_limit, was_served)

    def _end(self) -> None:
        self._is_over = True
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
