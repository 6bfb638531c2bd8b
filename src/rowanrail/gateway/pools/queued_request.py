"""A statement in the wait queue for a connection to one member, until it has one or leaves.

Owns the timer that judges it again and again;
:class:`rowanrail.scheduling.admission.WaitingMonitor` says when, and whether it waits on.
Relies on the pool for the queue and for forecasts.
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
    """Waits for a connection, and is judged again while it does.

    Parameters
    ----------
    pool : MemberPool
        The member's connections.
    entry : QueueEntry
        How the statement stands among the others.
    values : dict
        Session values that the connection should have already, if one has.
    take : callable
        Gets the connection, or None with the reason.
    give_up : callable
        Called when it can't be answered in time any more; it has left the queue by then.
    """

    def __init__(
        self,
        pool: MemberPool,
        entry: QueueEntry,
        values: dict[str, str],
        take: Callable[[Channel | None, Answer], None],
        give_up: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._waiter = Waiter(entry, values, self._respond, self._lose)
        self._clock = pool.clock
        self._take = take
        self._give_up = give_up
        self._given = entry.deadline - entry.arrived
        self._watch = WaitingMonitor(self._given)
        self._error = pool.forecasts.errors.of(entry.urgency)
        self._expected = 0.0  # ms, forecast when it began to wait
        self._timer: Timer | None = None
        self._is_over = False

    @property
    def _now(self) -> float:
        return self._clock.now

    @property
    def _left(self) -> float:
        return self._waiter.entry.deadline - self._now

    def start(self) -> None:
        """Ask for the connection; it may come at once."""
        self._pool.acquire(self._waiter)
        if not self._is_over:
            forecast = self._pool.forecasts.for_entry(self._waiter.entry)
            self._expected = forecast.wait
            self._check_later(forecast)

    def cancel(self) -> None:
        """Wait no longer."""
        if not self._is_over:
            self._end()
            self._pool.queue.remove(self._waiter)

    def _respond(self, channel: Channel | None, answer: Answer) -> None:
        if channel is not None:
            self._note_waited(was_served=True)
        self._end()
        self._take(channel, answer)

    def _check_later(self, forecast: Forecast) -> None:
        pause = self._watch.next_check(forecast, self._left)
        self._timer = self._clock.call_in(pause, self._check)

    def _check(self) -> None:
        forecast = self._pool.forecasts.for_entry(self._waiter.entry)
        if isinstance(self._watch.check(forecast, self._left, self._error.reliable_share), Admit):
            self._check_later(forecast)
        else:
            self._lose()

    def _lose(self) -> None:
        """Leave, as it can't be answered in time any more."""
        self._note_waited(was_served=False)
        self.cancel()
        self._give_up()

    def _note_waited(self, was_served: bool) -> None:
        waited = self._now - self._waiter.since
        self._error.note(self._expected, waited, self._given, was_served)

    def _end(self) -> None:
        self._is_over = True
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
