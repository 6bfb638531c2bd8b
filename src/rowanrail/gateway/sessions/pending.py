"""Pending requests: session starts without a configuration, and samples for other gateways.

Each is completed at most once; the gateway ends it when its time is over.
"""

from collections.abc import Callable

from rowanrail.members.primary import PrimaryTracker
from rowanrail.members.samples import PositionSample
from rowanrail.model.position import Position

__all__ = ["PendingSample", "PendingSessionStart"]


class PendingSessionStart:
    """Session start that waits for the first configuration."""

    def __init__(self, proceed: Callable[[], None]) -> None:
        self._proceed: Callable[[], None] | None = proceed

    def run(self) -> None:
        """Start the session; ignored if it was started before."""
        proceed, self._proceed = self._proceed, None
        if proceed is not None:
            proceed()


class PendingSample:
    """Sample of a primary's position that another gateway waits for.

    Parameters
    ----------
    tracker : PrimaryTracker
        Samples the primary.
    asked_at : float
        Earliest request time of the sample, in seconds.
    give : callable
        Called once, with the sample, or with None if there is none in time.
    """

    def __init__(
        self,
        tracker: PrimaryTracker,
        asked_at: float,
        give: Callable[[PositionSample | None], None],
    ) -> None:
        self._tracker = tracker
        self._asked_at = asked_at
        self._give: Callable[[PositionSample | None], None] | None = give

    def request(self) -> None:
        """Request a sample of the primary."""
        self._tracker.wait_for_position(self._asked_at, self._take)

    def _take(self, position: Position | None) -> None:
        self._answer(self._tracker.sample if position is not None else None)

    def expire(self) -> None:
        """Report that there is no sample; ignored if one was given before."""
        self._tracker.cancel_wait(self._take)
        self._answer(None)

    def _answer(self, sample: PositionSample | None) -> None:
        give, self._give = self._give, None
        if give is not None:
            give(sample)
