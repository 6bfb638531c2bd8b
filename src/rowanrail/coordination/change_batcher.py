"""Batches directory changes before gateways are notified.

At startup, hundreds of members and gateways register within seconds, and each change would wake
each gateway's long poll. Changes that can wait are sent together; a member that leaves or is
removed, another primary and a new configuration are sent at once, with all that waits.

Owns the notified revision and the timer of a batch; relies on ``kernel.clock``.
"""

from collections.abc import Callable

from rowanrail.kernel.clock import Clock, Timer

__all__ = ["BATCH_DELAY_MS", "ChangeBatcher"]

# After the first change of a batch. A new member is used this much later, in addition to its
# heartbeat interval of 1.2 s and the commit.
BATCH_DELAY_MS = 250.0


class ChangeBatcher:
    """Batches directory changes: tracks the revision up to which gateways are notified.

    Parameters
    ----------
    clock : Clock
        Time and timers.
    on_release : callable
        Called when the delay of a batch is over.
    """

    def __init__(self, clock: Clock, on_release: Callable[[], None]) -> None:
        self._clock = clock
        self._on_release = on_release
        self._notified_revision = 0
        self._revision = 0
        self._timer: Timer | None = None

    @property
    def notified_revision(self) -> int:
        """The revision up to which gateways are notified."""
        return min(self._notified_revision, self._revision)

    def update(self, revision: int, urgent_revision: int) -> None:
        """Take over the state's revisions; release them or start a batch.

        Parameters
        ----------
        revision : int
            Log index of the last change of members or gateways.
        urgent_revision : int
            Log index of the last change that must not wait.
        """
        self._revision = revision
        if urgent_revision > self._notified_revision:
            self._release()
        elif revision > self._notified_revision and self._timer is None:
            self._timer = self._clock.call_in(BATCH_DELAY_MS, self._on_timer)

    def _on_timer(self) -> None:
        self._release()
        self._on_release()

    def _release(self) -> None:
        self._notified_revision = self._revision
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
