"""Batching of change notices: which revision of the directory gateways are told of now.

At a start, members and gateways come by hundreds within seconds, and each change would wake each
gateway's long poll. Changes that can wait are sent together; a member that leaves or is
gone, another primary and a new configuration are sent at once, with what waited.

Owns the revision that is released and the timer of a batch; relies on ``kernel.clock``.
"""

from collections.abc import Callable

from rowanrail.kernel.clock import Clock, Timer

__all__ = ["BATCH_DELAY_MS", "ChangeBatch"]

# After the first change that waits. A member that came is used this much later, beside the 1.2 s
# between its heartbeats and about 0.1 s for the log.
BATCH_DELAY_MS = 250.0


class ChangeBatch:
    """Knows up to which revision gateways are to be told.

    Parameters
    ----------
    clock : Clock
        Time and timers.
    on_release : callable
        Called when a wait is over.
    """

    def __init__(self, clock: Clock, on_release: Callable[[], None]) -> None:
        self._clock = clock
        self._on_release = on_release
        self._released = 0
        self._revision = 0
        self._timer: Timer | None = None

    @property
    def released(self) -> int:
        """The revision up to which gateways are told."""
        return min(self._released, self._revision)

    def update(self, revision: int, urgent_revision: int) -> None:
        """Note what the state holds now.

        Parameters
        ----------
        revision : int
            Place in the log of the last change of members or gateways.
        urgent_revision : int
            Place in the log of the last change that does not wait.
        """
        self._revision = revision
        if urgent_revision > self._released:
            self._release()
        elif revision > self._released and self._timer is None:
            self._timer = self._clock.call_in(BATCH_DELAY_MS, self._on_timer)

    def _on_timer(self) -> None:
        self._release()
        self._on_release()

    def _release(self) -> None:
        self._released = self._revision
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
