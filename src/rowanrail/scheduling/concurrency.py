"""Adaptive limit on the statements that one holder of connections has in flight at one member.

Several holders share a member and exchange no messages about it. Each one raises its limit
additively while it uses all of it, and lowers it multiplicatively when answer times show that
statements queue at the member. A holder with little demand keeps a low limit, and the share of a
holder that is gone is taken up by the others within some tens of answers.
"""

import math

__all__ = ["ConcurrencyLimit"]

# Upper bound of the limit, as a factor on the slots: a second set of statements keeps the slots
# busy while answers are in transit; more would only lengthen the member's own queue.
CEILING_FACTOR = 2
# Raises the upper bound for statements in transit to a distant member and back, by at most this
# factor on the slots. These stand in no queue.
MAX_ROUND_TRIP_FACTOR = 2.0
MIN_CEILING = 4  # statements; a member that announces one slot may be able to run more
# Lower bound of the limit, as a factor on the slots, divided among the holders: enough to keep all
# slots busy while some answers are in transit.
FLOOR_FACTOR = 1.25
MIN_INITIAL_LIMIT = 2  # statements; a holder that alone has demand doubles it within 10 answers
# Answers after which the limit is adjusted. The fastest of them shows whether all had to wait: with
# statement lengths of 1:5 the fastest of eight takes at most about half the average.
WINDOW_ANSWERS = 8
# ms in which the limit rises by one statement. Measured in time rather than answers, as a holder
# with a low limit gets few answers and must not fall behind the others.
INCREASE_INTERVAL_MS = 50.0
MAX_INCREASE = 2.0  # statements per window
# Factor on the limit when statements queue. Three holders that notice the same queue together
# remove a sixth of the statements in flight; a factor of 0.75 would leave slots of a single holder
# idle.
BACKOFF_FACTOR = 0.85
# Queueing is assumed where the window's minimum exceeds the long-term minimum by more than this
# share of the difference between average and window's minimum. Heavier statements raise average and
# minimum alike, a queue raises the minimum alone. At this share about one statement is always
# queued for every two slots.
QUEUE_DELAY_SHARE = 0.75
MIN_QUEUE_DELAY_MS = 4.0  # shorter delays are attributed to the operating system's scheduler
AVERAGE_WEIGHT = 0.1  # weight of the newest answer in the moving average
# Minimum age at which the long-term minimum is forgotten. Longer than a burst, so that a standing
# queue is not mistaken for the round trip; shorter than a change of the network path lasts.
MIN_LATENCY_WINDOW_MS = 30_000.0


class ConcurrencyLimit:
    """Limit of one holder at one member, adapted to the member's answer times.

    The minimum of recent answer times is compared with the long-term minimum, so that neither a
    long round trip nor heavy statements are mistaken for a queue, which delays short ones as well.

    Parameters
    ----------
    slots : int
        Statements that the member announces to run concurrently.
    holders : int
        Estimated number of holders that share the member; determines the initial limit and the
        lower bound.

    Examples
    --------
    Three holders start with an even share of twice the slots; one that uses all of its limit, and
    sees no queue, gets more.

    >>> limit = ConcurrencyLimit(slots=4, holders=3)
    >>> limit.value
    3
    >>> for now in range(0, 1000, 5):
    ...     limit.note_answer(now, answer_time=9.0, in_flight=limit.value)
    >>> limit.value
    8

    Refusals as busy lower it, but not below its share of the slots.

    >>> for now in range(100):
    ...     limit.note_busy(now, in_flight=limit.value)
    >>> limit.value
    2
    """

    def __init__(self, slots: int, holders: int = 1) -> None:
        self._slots = max(1, slots)
        self._holders = max(1, holders)
        self._average = 0.0
        self._minimum = _WindowedMinimum()
        self._limit = float(
            min(self._ceiling, max(MIN_INITIAL_LIMIT, math.ceil(2 * self._slots / self._holders)))
        )
        self._answers = 0  # in the current window
        self._window_minimum = math.inf
        self._limit_reached = False
        self._window_start = -math.inf  # allows the first window the full increase
        self._stale_answers = 0  # still to come for statements sent before the last decrease

    @property
    def value(self) -> int:
        """Statements that may be in flight."""
        return int(self._limit)

    @property
    def _floor(self) -> int:
        return math.ceil(FLOOR_FACTOR * self._slots / self._holders)

    @property
    def _ceiling(self) -> int:
        factor = CEILING_FACTOR + min(MAX_ROUND_TRIP_FACTOR, self._round_trip)
        return max(MIN_CEILING, int(factor * self._slots))

    @property
    def _round_trip(self) -> float:
        """Estimated round-trip time beyond one average run time, in units of that run time."""
        run_time = self._average - self._minimum.value
        return max(0.0, self._minimum.value / run_time - 1) if run_time > 0 else 0.0

    def set_sharing(self, slots: int, holders: int) -> None:
        """Change the slots and the number of holders; the limit is clamped to the new bounds."""
        self._slots = max(1, slots)
        self._holders = max(1, holders)
        self._limit = max(self._floor, min(self._ceiling, self._limit))

    def note_answer(self, now: float, answer_time: float, in_flight: int) -> None:
        """Record the answer to a statement that the member ran.

        Parameters
        ----------
        now : float
            Steady milliseconds.
        answer_time : float
            Milliseconds from sending to the answer.
        in_flight : int
            Statements in flight when it arrived, including its own.
        """
        self._minimum.note(now, answer_time)
        if not self._average:
            self._average = answer_time
        self._average += AVERAGE_WEIGHT * (answer_time - self._average)
        if self._stale_answers > 0:
            self._stale_answers -= 1
            return
        self._answers += 1
        self._window_minimum = min(self._window_minimum, answer_time)
        self._limit_reached = self._limit_reached or in_flight >= self.value
        if self._answers >= WINDOW_ANSWERS:
            self._end_window(now, in_flight)

    def _end_window(self, now: float, in_flight: int) -> None:
        queue_delay = self._window_minimum - self._minimum.value
        spread = self._average - self._window_minimum
        if queue_delay > max(MIN_QUEUE_DELAY_MS, QUEUE_DELAY_SHARE * spread):
            self._decrease(in_flight)
        elif self._limit_reached:
            step = min(MAX_INCREASE, (now - self._window_start) / INCREASE_INTERVAL_MS)
            self._limit = min(self._ceiling, self._limit + step)
        self._start_window(now)

    def note_busy(self, now: float, in_flight: int) -> None:
        """Record that the member refused a statement because its own queue was full."""
        if self._stale_answers > 0:
            self._stale_answers -= 1
            return
        self._decrease(in_flight)
        self._start_window(now)

    def _decrease(self, in_flight: int) -> None:
        """Lower the limit, and ignore the answers to statements sent under the previous limit."""
        self._limit = max(self._floor, BACKOFF_FACTOR * self._limit)
        self._stale_answers = in_flight - 1

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._answers = 0
        self._window_minimum = math.inf
        self._limit_reached = False


class _WindowedMinimum:
    """Minimum over the current and the previous window of ``MIN_LATENCY_WINDOW_MS``."""

    def __init__(self) -> None:
        self._start = -math.inf
        self._previous = math.inf
        self._current = math.inf

    @property
    def value(self) -> float:
        return min(self._previous, self._current)

    def note(self, now: float, value: float) -> None:
        if now - self._start >= MIN_LATENCY_WINDOW_MS:
            self._previous, self._current = self._current, math.inf
            self._start = now
        self._current = min(self._current, value)
