"""What waits at a gateway for something to become known: starts of sessions, and proofs."""

from collections.abc import Callable

from rowanrail.members.primary import PrimaryTracker
from rowanrail.members.samples import PositionSample
from rowanrail.model.position import Position

__all__ = ["PendingProof", "PendingStart"]


class PendingStart:
    """A session's start that waits for the first configuration; runs once."""

    def __init__(self, proceed: Callable[[], None]) -> None:
        self._proceed: Callable[[], None] | None = proceed

    def run(self) -> None:
        """Go on, unless that was done."""
        proceed, self._proceed = self._proceed, None
        if proceed is not None:
            proceed()


class PendingProof:
    """A sample that somebody else waits for; given once, or not in time."""

    def __init__(
        self,
        tracker: PrimaryTracker,
        asked_at: float,
        give: Callable[[PositionSample | None], None],
    ) -> None:
        self._tracker = tracker
        self._asked_at = asked_at
        self._give: Callable[[PositionSample | None], None] | None = give

    def ask(self) -> None:
        """Have the primary sampled."""
        self._tracker.need(self._asked_at, self._take)

    def _take(self, position: Position | None) -> None:
        self._answer(self._tracker.sample if position is not None else None)

    def give_up(self) -> None:
        """Say that there is none, if none came so far."""
        self._tracker.forget(self._take)
        self._answer(None)

    def _answer(self, sample: PositionSample | None) -> None:
        give, self._give = self._give, None
        if give is not None:
            give(sample)
