"""What a statement can expect at one member.

Owns the member's usual answer time and how far earlier forecasts were out; reads the connections,
the concurrency limit and the wait queue of the pool. The rule is
:mod:`rowanrail.scheduling.wait_forecast`.
"""

from rowanrail.gateway.pools.connections import Connections
from rowanrail.gateway.pools.leases import ANSWER_WEIGHT, INITIAL_ANSWER_SECONDS
from rowanrail.gateway.pools.wait_queue import WaitQueue
from rowanrail.scheduling.admission import Forecast
from rowanrail.scheduling.concurrency import ConcurrencyLimit
from rowanrail.scheduling.forecast_error import ForecastErrors
from rowanrail.scheduling.queue import QueueEntry
from rowanrail.scheduling.wait_forecast import places, wait_seconds

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
        self.latency_seconds = INITIAL_ANSWER_SECONDS  # that an answer takes, as smoothed
        self.errors = ForecastErrors()
        self._connections = connections
        self._concurrency = concurrency
        self._queue = queue

    @property
    def expected_wait_seconds(self) -> float:
        """About how long somebody who comes now waits for a connection."""
        # A connection that is being opened is for somebody who waits already.
        return self._wait_seconds(len(self._queue) - len(self._connections.opening), self._places)

    @property
    def _places(self) -> int:
        return places(self._concurrency.value, self._connections.usable)

    def _wait_seconds(self, ahead: float, places: int) -> float:
        connections = self._connections
        return wait_seconds(ahead, places, connections.under_way, connections.leases.seconds)

    def of(self, entry: QueueEntry) -> Forecast:
        """Return what a statement that comes now, or waits already, can expect here."""
        connections, places = self._connections, self._places
        needs_opening = not connections.has_one_for(entry.tenant)
        ahead = self._queue.ahead_of(entry, needs_opening) - len(connections.opening)
        ahead = max(0.0, ahead)  # who has a connection coming is no longer before it
        wait = self._wait_seconds(ahead, places)
        opening = connections.opening.seconds if needs_opening else 0.0
        return Forecast(
            (wait + opening) * 1000,
            self.latency_seconds * 1000,
            has_room=wait == 0 and not ahead,
            interval=connections.leases.seconds * 1000 / places,
            opening=opening * 1000,
        )

    def note_latency(self, seconds: float) -> None:
        """Note how long the member's answer took."""
        self.latency_seconds += ANSWER_WEIGHT * (seconds - self.latency_seconds)
