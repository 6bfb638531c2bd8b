"""Waits at a gateway: of session starts for a configuration, of other gateways for a sample.

For :class:`rowanrail.gateway.gateway.Gateway`. Owns that each ends only once. Relies on the gateway
to end the wait after its time.
"""

from collections.abc import Callable

from rowanrail.members.primary import PrimaryTracker
from rowanrail.members.samples import PositionSample
from rowanrail.model.position import Position

__all__ = ["PendingSample", "PendingSessionStart"]


class PendingSessionStart:
    """A session's start that waits for the first configuration; runs once."""

    def __init__(self, proceed: Callable[[], None]) -> None:
        self._proceed: Callable[[], None] | None = proceed

    def run(self) -> None:
        """Start the session, unless that was done."""
        proceed, self._proceed = self._proceed, None
        if proceed is not None:
            proceed()


class PendingSample:
    """A sample that another gateway waits for; given once, None if it doesn't come in time."""

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
        """Have the primary sampled."""
        self._tracker.wait_for_position(self._asked_at, self._take)

    def _take(self, position: Position | None) -> None:
        self._answer(self._tracker.sample if position is not None else None)

    def expire(self) -> None:
        """Answer that there is no sample, unless one was given."""
        self._tracker.cancel_wait(self._take)
        self._answer(None)

    def _answer(self, sample: PositionSample | None) -> None:
        give, self._give = self._give, None
        if give is not None:
            give(sample)
