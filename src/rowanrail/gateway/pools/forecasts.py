"""Forecasts of the wait and response time of a statement at one member.

Keeps the member's average latency and the errors of earlier forecasts. The formula is in
:mod:`rowanrail.scheduling.wait_forecast`.
"""

from rowanrail.gateway.pools.connections import Connections
from rowanrail.gateway.pools.leases import INITIAL_LATENCY_MS, LATENCY_SMOOTHING
from rowanrail.gateway.pools.wait_queue import WaitQueue
from rowanrail.scheduling.admission import Forecast
from rowanrail.scheduling.concurrency import ConcurrencyLimit
from rowanrail.scheduling.forecast_error import ForecastErrors
from rowanrail.scheduling.queue import QueueEntry
from rowanrail.scheduling.wait_forecast import expected_wait, max_in_flight

__all__ = ["MemberForecasts"]


class MemberForecasts:
    """Forecasts for statements that arrive at one member's pool or wait in it.

    Parameters
    ----------
    connections : Connections
        Connections to the member.
    concurrency : ConcurrencyLimit
        How many statements may be in flight there.
    queue : WaitQueue
        Statements and samples that wait for a connection.
    """

    def __init__(
        self, connections: Connections, concurrency: ConcurrencyLimit, queue: WaitQueue
    ) -> None:
        self.latency = INITIAL_LATENCY_MS  # moving average in ms
        self.errors = ForecastErrors()
        self._connections = connections
        self._concurrency = concurrency
        self._queue = queue

    @property
    def expected_wait(self) -> float:
        """Expected wait for a connection in milliseconds, for a statement that arrives now."""
        # Connections being opened are for statements that wait already.
        return self._wait(len(self._queue) - len(self._connections.openings), self._max_in_flight)

    @property
    def _max_in_flight(self) -> int:
        return max_in_flight(self._concurrency.value, self._connections.usable)

    def _wait(self, ahead: float, limit: int) -> float:
        connections = self._connections
        return expected_wait(ahead, limit, connections.in_flight, connections.leases.average)

    def for_entry(self, entry: QueueEntry) -> Forecast:
        """Return the forecast for a statement that arrives now or waits already."""
        connections, limit = self._connections, self._max_in_flight
        needs_opening = not connections.has_connection_for(entry.tenant)
        ahead = self._queue.ahead_of(entry, needs_opening) - len(connections.openings)
        ahead = max(0.0, ahead)  # those with a connection being opened are no longer ahead
        wait = self._wait(ahead, limit)
        opening = connections.openings.average if needs_opening else 0.0
        return Forecast(
            wait + opening,
            self.latency,
            has_room=wait == 0 and not ahead,
            drain_interval=connections.leases.average / limit,
            opening=opening,
        )

    def note_latency(self, taken: float) -> None:
        """Update the average latency with an answer that took ``taken`` milliseconds."""
        self.latency += LATENCY_SMOOTHING * (taken - self.latency)
