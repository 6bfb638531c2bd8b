"""Failure detection for links between gateways, and the backoff before a link is reopened.

:func:`assess_liveness` decides when a gateway that does not answer is pinged, suspected and given
up; :class:`SuspicionLimit` derives the limit of suspicion from the delays that links have shown;
:class:`Backoff` decides when a lost link may be opened again.

Owns no link and no timer; the caller passes times in milliseconds on its monotonic clock. Relies
on nothing. :mod:`link` and :mod:`neighbours` act on the decisions.
"""

import enum
import math

__all__ = ["Backoff", "LivenessAction", "SuspicionLimit", "assess_liveness"]

# Silence with calls pending after which a gateway is pinged: twice the duration of a typical
# statement.
PING_AFTER_MS = 100.0
# Time without an answer to a ping after which a gateway is suspected: a round trip between regions
# (50 ms) and the longest pause of a process that is throttled by its CPU quota (100 ms).
SUSPECT_AFTER_MS = 150.0
# Time without an answer to a ping after which the link is closed. Pending writes wait this long,
# since closing the link leaves their outcome unknown.
LOST_AFTER_MS = 500.0
# Upper bound of the limit of suspicion; reads that wait for it still have time elsewhere.
MAX_SUSPECT_AFTER_MS = 400.0
# Factor on a delay that the path has shown: a packet that is lost again is sent again later.
DELAY_MARGIN = 1.25
DELAY_HALF_LIFE_MS = 60_000.0  # time in which a shown delay loses half of its weight
INITIAL_BACKOFF_MS = 200.0  # about the time in which a killed process restarts
MAX_BACKOFF_MS = 2000.0  # longest time until a gateway that is back is used again


class LivenessAction(enum.Enum):
    """What to do about a gateway with pending calls."""

    WAIT = "wait"
    PING = "ping"
    SUSPECT = "suspect"
    LOST = "lost"


class SuspicionLimit:
    """Time without an answer to a ping after which a gateway is suspected.

    A network that loses packets delays an answer by the time until they are sent again, although
    the gateway is healthy. The limit follows the longest such delay of any link, as losses on one
    link are rare; the delay loses its weight over time.

    Examples
    --------
    >>> limit = SuspicionLimit()
    >>> limit.ms(0.0)
    150.0
    >>> limit.note_delay(280.0, 0.0)
    >>> limit.ms(0.0), limit.ms(120_000.0)
    (350.0, 150.0)
    """

    __slots__ = ("_at", "_delay")

    def __init__(self) -> None:
        self._delay = 0.0
        self._at = 0.0

    def _present(self, now: float) -> float:
        return self._delay * math.exp2((self._at - now) / DELAY_HALF_LIFE_MS)

    def note_delay(self, ms: float, now: float) -> None:
        """Record for how long a ping had no answer, on a link that then gave one."""
        self._delay = max(ms, self._present(now))
        self._at = now

    def ms(self, now: float) -> float:
        """Return the limit in milliseconds."""
        return min(max(SUSPECT_AFTER_MS, DELAY_MARGIN * self._present(now)), MAX_SUSPECT_AFTER_MS)


def assess_liveness(
    since_heard_ms: float,
    since_ping_ms: float | None,
    suspect_after_ms: float = SUSPECT_AFTER_MS,
) -> LivenessAction:
    """Return what to do about a gateway with pending calls.

    Silence alone only causes a ping: this process may itself have been paused, so that the gateway
    is suspected only after it had time to answer a ping.

    Parameters
    ----------
    since_heard_ms : float
        Milliseconds since its last message, or since the first pending call if that is later.
    since_ping_ms : float or None
        Milliseconds since the ping that it has not answered; None if no ping is outstanding.
    suspect_after_ms : float
        See :class:`SuspicionLimit`.

    Returns
    -------
    LivenessAction
        WAIT: do nothing. PING: send a ping. SUSPECT: send new work to other gateways, and fail the
        calls that can't have committed anything, in time to run elsewhere. LOST: close the link,
        and fail all its calls.

    Examples
    --------
    >>> assess_liveness(60.0, None).value, assess_liveness(30_000.0, None).value
    ('wait', 'ping')
    >>> [assess_liveness(600.0, ago).value for ago in (100.0, 150.0, 500.0)]
    ['wait', 'suspect', 'lost']
    """
    if since_ping_ms is None:
        return LivenessAction.PING if since_heard_ms >= PING_AFTER_MS else LivenessAction.WAIT
    if since_ping_ms >= LOST_AFTER_MS:
        return LivenessAction.LOST
    return LivenessAction.SUSPECT if since_ping_ms >= suspect_after_ms else LivenessAction.WAIT


class Backoff:
    """Exponential backoff before a lost link is opened again.

    Each loss doubles the pause. Only an answer resets it: a gateway may accept a connection and
    then answer nothing.

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
        """Record that the link was lost, or could not be opened."""
        self._until = now + self._pause
        self._pause = min(2 * self._pause, MAX_BACKOFF_MS)

    def note_answer(self) -> bool:
        """Reset the pause; return whether this is the first answer since the last loss."""
        is_first = self._pause != INITIAL_BACKOFF_MS
        self._pause = INITIAL_BACKOFF_MS
        return is_first
