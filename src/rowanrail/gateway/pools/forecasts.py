"""What a statement can expect at one member.

Owns the member's usual answer time and how far earlier forecasts were out; reads the connections,
the concurrency limit and the wait queue of the pool. The rule is
:mod:`rowanrail.scheduling.wait_forecast`.
"""

from rowanrail.gateway.pools.connections import Connections
from rowanrail.gateway.pools.leases import ANSWER_WEIGHT, INITIAL_ANSWER_MS
from rowanrail.gateway.pools.wait_queue import WaitQueue
from rowanrail.scheduling.admission import Forecast
from rowanrail.scheduling.concurrency import ConcurrencyLimit
from rowanrail.scheduling.forecast_error import ForecastErrors
from rowanrail.scheduling.queue import QueueEntry
from rowanrail.scheduling.wait_forecast import expected_wait, max_in_flight

__all__ = ["MemberForecasts"]


class MemberForecasts:
    """Forecasts for statements that come to one member, or wait for it.

    Parameters
    ----------
    connections : Connections
        Those to the member.
    concurrency : ConcurrencyLimit
        How many statements may be under way there.
    queue : WaitQueue
        Those who wait.
    """

    def __init__(
        self, connections: Connections, concurrency: ConcurrencyLimit, queue: WaitQueue
    ) -> None:
        self.latency = INITIAL_ANSWER_MS  # ms that an answer takes, as smoothed
        self.errors = ForecastErrors()
        self._connections = connections
        self._concurrency = concurrency
        self._queue = queue

    @property
    def expected_wait(self) -> float:
        """Milliseconds for which somebody who comes now waits for a connection, about."""
        # A connection that is being opened is for somebody who waits already.
        return self._wait(len(self._queue) - len(self._connections.opening), self._places)

    @property
    def _places(self) -> int:
        return max_in_flight(self._concurrency.value, self._connections.usable)

    def _wait(self, ahead: float, places: int) -> float:
        connections = self._connections
        return expected_wait(ahead, places, connections.in_flight, connections.leases.average)

    def for_entry(self, entry: QueueEntry) -> Forecast:
        """Return what a statement that comes now, or waits already, can expect here."""
        connections, places = self._connections, self._places
        needs_opening = not connections.has_one_for(entry.tenant)
        ahead = self._queue.ahead_of(entry, needs_opening) - len(connections.opening)
        ahead = max(0.0, ahead)  # who has a connection coming is no longer before it
        wait = self._wait(ahead, places)
        opening = connections.opening.average if needs_opening else 0.0
        return Forecast(
            wait + opening,
            self.latency,
            has_room=wait == 0 and not ahead,
            drain_interval=connections.leases.average / places,
            opening=opening,
        )

    def note_latency(self, taken: float) -> None:
        """Note how many milliseconds the member's answer took."""
        self.latency += ANSWER_WEIGHT * (taken - self.latency)
