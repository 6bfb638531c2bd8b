"""When a link to another gateway is suspected, when it is lost, and when it is opened again.

For whoever asks why work left a gateway: :func:`assess_liveness` says what the silence of a gateway
that owes answers means, :class:`Backoff` for how long a gateway whose link was lost is left alone.
Owns no link and no timer; the times come from the caller, on its steady clock in milliseconds.
Relies on nothing. :mod:`link` and :mod:`neighbours` act on the verdicts.
"""

import enum

__all__ = ["Backoff", "LivenessAction", "assess_liveness"]

# Of silence, while answers are owed, until the gateway is pinged: twice what a usual statement
# takes.
PING_AFTER_MS = 100.0
# Without an answer to a ping. A gateway answers within the time there and back, at most 50 ms
# between regions, and after the 100 ms for which a spent quota of processor time stops it.
SUSPECT_AFTER_MS = 150.0
# Without an answer to a ping; chosen. Until then a write stays open, since its answer may still
# come: a link that is given up leaves the write's outcome unknown.
LOST_AFTER_MS = 500.0
INITIAL_BACKOFF_MS = 200.0  # a process that was killed needs about this to start
MAX_BACKOFF_MS = 2000.0  # chosen: a gateway that is back is used after this at the latest


class LivenessAction(enum.Enum):
    """What the silence of a gateway that owes answers means."""

    WAIT = "bearable"
    PING = "ping"
    SUSPECT = "suspect"
    LOST = "lost"


def assess_liveness(since_heard_ms: float, since_ping_ms: float | None) -> LivenessAction:
    """Return what to do about a gateway that owes answers.

    Nothing is held against it before it had a ping and time to answer: the silence may be this
    process's own, which was stopped for a while. That is why a long silence alone is only a reason
    to ping.

    Parameters
    ----------
    since_heard_ms : float
        Milliseconds since its last message, or since it first owed an answer.
    since_ping_ms : float or None
        Milliseconds since the ping that it has not answered; None if there is none.

    Returns
    -------
    Silence
        WAIT: wait. PING: ask it whether it is there. SUSPECT: new work goes elsewhere, and
        calls of which nothing is kept are given up, so that they run elsewhere in time. LOST: the
        link is closed, and everything that waits on it is given up.

    Examples
    --------
    >>> assess_liveness(60.0, None).value, assess_liveness(30_000.0, None).value
    ('bearable', 'ping')
    >>> [assess_liveness(600.0, ago).value for ago in (100.0, 150.0, 500.0)]
    ['bearable', 'suspect', 'lost']
    """
    if since_ping_ms is None:
        return LivenessAction.PING if since_heard_ms >= PING_AFTER_MS else LivenessAction.WAIT
    if since_ping_ms >= LOST_AFTER_MS:
        return LivenessAction.LOST
    return LivenessAction.SUSPECT if since_ping_ms >= SUSPECT_AFTER_MS else LivenessAction.WAIT


class Backoff:
    """For how long a gateway whose link was lost is left alone.

    Each loss doubles the pause; an answer makes it short again. A connection that stands proves
    nothing: a gateway may take it and answer nothing.

    Examples
    --------
    >>> backoff = Backoff()
    >>> backoff.note_loss(1000.0)
    >>> backoff.is_over(1199.0), backoff.is_over(1200.0)
    (False, True)
    >>> backoff.note_answer(), backoff.note_answer()
    (True, False)
    """

    __slots__ = ("_pause", "_until")

    def __init__(self) -> None:
        self._until = 0.0
        self._pause = INITIAL_BACKOFF_MS

    def is_over(self, now: float) -> bool:
        """Return whether the link may be opened again."""
        return now >= self._until

    def note_loss(self, now: float) -> None:
        """Note that the link was lost, or never stood."""
        self._until = now + self._pause
        self._pause = min(2 * self._pause, MAX_BACKOFF_MS)

    def note_answer(self) -> bool:
        """Note that the gateway answered; return whether that is news since its last loss."""
        is_news = self._pause != INITIAL_BACKOFF_MS
        self._pause = INITIAL_BACKOFF_MS
        return is_news
