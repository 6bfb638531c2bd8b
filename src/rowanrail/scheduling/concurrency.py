"""How many statements one holder of connections may have under way at one member.

Several holders share a member and exchange no messages about it. Each one raises its limit slowly
while it uses all of it, and lowers it by a part when the member shows that statements stand in its
own queue. A holder with little demand keeps a low limit, and what a lost one leaves is taken up by
the others within some tens of answers.
"""

import math

__all__ = ["ConcurrencyLimit"]

# Factor on the slots: what is above it only makes the member's own queue longer. A second set of
# statements keeps the slots busy while answers are on their way.
CEILING_FACTOR = 2
# More of the slots, at most, for statements on their way to a distant member and back: a way of two
# statements' time. They stand in no queue; one that they come to make is seen as any other.
LONGEST_WAY = 2.0
LOWEST_CEILING = 4  # statements; a member that announces one slot may know no better
# Factor on the slots, divided among the holders: so many under way keep all slots busy while some
# answers are on their way.
FLOOR_FACTOR = 1.25
LOWEST_START = 2  # statements; a holder that is alone in having demand doubles it in 10 answers
# Answers after which the limit is looked at again. The quickest of eight shows whether all of them
# waited: with work of 1:5 in length, one of eight is at most about half as long as the average.
WINDOW_ANSWERS = 8
# ms in which the limit rises by one statement while all of it is used and no queue is seen. It is
# not counted in answers: a holder with a low limit has few, and must not fall behind the others.
LIMIT_STEP_MS = 50.0
LONGEST_STEP = 2.0  # statements after one window, however long it took
# Of the limit after a sign of a queue: three holders that see the same queue give up a sixth of
# what they have under way together. With a quarter a lone holder leaves slots empty each time.
BACKOFF = 0.85
# Of what the average answer takes more than the quickest of a window. Heavier statements raise both
# alike, a queue raises the quickest alone. At this share statements stand before the member's slots
# all the time, about one for every two slots.
QUEUE_SHARE = 0.75
SHORTEST_QUEUE_MS = 4.0  # ms; less than that is what a busy machine's scheduler adds
AVERAGE_WEIGHT = 0.1  # of the newest answer: about the last ten count
# For which the quickest answer is remembered, at least. Longer than a burst, so that a queue that
# stands for seconds isn't taken for the way; shorter than what a slower route lasts.
QUICKEST_MEMORY_MS = 30_000.0


class ConcurrencyLimit:
    """The limit of one holder at one member, adapted to what the member's answers show.

    The quickest answers are compared with the quickest that were seen there, so that neither a
    long way to the member nor heavy statements look like a queue: that delays the quick ones too.

    Parameters
    ----------
    slots : int
        Statements that the member says it runs at a time.
    holders : int
        How many holders are thought to share the member; only a start and a lower bound.

    Examples
    --------
    Three holders begin with an even part of twice the slots; one that uses all of its part, and
    sees no queue, gets more.

    >>> limit = ConcurrencyLimit(slots=4, holders=3)
    >>> limit.value
    3
    >>> for now in range(0, 1000, 5):
    ...     limit.note_answer(now, answer_time=9.0, under_way=limit.value)
    >>> limit.value
    8

    A refusal as busy lowers it; the even part of the slots remains.

    >>> for now in range(100):
    ...     limit.note_busy(now, under_way=limit.value)
    >>> limit.value
    2
    """

    def __init__(self, slots: int, holders: int = 1) -> None:
        self._slots = max(1, slots)
        self._holders = max(1, holders)
        self._average = 0.0
        self._quickest = _SlowMinimum()
        self._limit = float(
            min(self._ceiling, max(LOWEST_START, math.ceil(2 * self._slots / self._holders)))
        )
        self._answers = 0  # of this window
        self._window_quickest = math.inf
        self._was_full = False
        self._window_began = -math.inf  # the first window is as long as any
        self._sent_before = 0  # answers still to come of statements sent under the limit before

    @property
    def value(self) -> int:
        """Statements that may be under way."""
        return int(self._limit)

    @property
    def _floor(self) -> int:
        return math.ceil(FLOOR_FACTOR * self._slots / self._holders)

    @property
    def _ceiling(self) -> int:
        factor = CEILING_FACTOR + min(LONGEST_WAY, self._way)
        return max(LOWEST_CEILING, int(factor * self._slots))

    @property
    def _way(self) -> float:
        """Time of the way there and back, in times of a statement, beyond the first."""
        work = self._average - self._quickest.value
        return max(0.0, self._quickest.value / work - 1) if work > 0 else 0.0

    def set_sharing(self, slots: int, holders: int) -> None:
        """Take changed slots, or another number of holders; what was learned is kept."""
        self._slots = max(1, slots)
        self._holders = max(1, holders)
        self._limit = max(self._floor, min(self._ceiling, self._limit))

    def note_answer(self, now: float, answer_time: float, under_way: int) -> None:
        """Note a statement that the member ran.

        Parameters
        ----------
        now : float
            Steady milliseconds.
        answer_time : float
            Milliseconds from sending to the answer.
        under_way : int
            Statements under way when it came, itself among them.
        """
        self._quickest.note(now, answer_time)
        if not self._average:
            self._average = answer_time
        self._average += AVERAGE_WEIGHT * (answer_time - self._average)
        if self._sent_before > 0:
            self._sent_before -= 1
            return
        self._answers += 1
        self._window_quickest = min(self._window_quickest, answer_time)
        self._was_full = self._was_full or under_way >= self.value
        if self._answers >= WINDOW_ANSWERS:
            self._end_window(now, under_way)

    def _end_window(self, now: float, under_way: int) -> None:
        waited = self._window_quickest - self._quickest.value
        spread = self._average - self._window_quickest
        if waited > max(SHORTEST_QUEUE_MS, QUEUE_SHARE * spread):
            self._lower(under_way)
        elif self._was_full:
            step = min(LONGEST_STEP, (now - self._window_began) / LIMIT_STEP_MS)
            self._limit = min(self._ceiling, self._limit + step)
        self._begin_window(now)

    def note_busy(self, now: float, under_way: int) -> None:
        """Note that the member's own queue was full; a refusal for another reason is no sign."""
        if self._sent_before > 0:
            self._sent_before -= 1
            return
        self._lower(under_way)
        self._begin_window(now)

    def _lower(self, under_way: int) -> None:
        """Lower the limit once for what is under way: its answers tell of the limit before."""
        self._limit = max(self._floor, BACKOFF * self._limit)
        self._sent_before = under_way - 1

    def _begin_window(self, now: float) -> None:
        self._window_began = now
        self._answers = 0
        self._window_quickest = math.inf
        self._was_full = False


class _SlowMinimum:
    """The smallest value of the last one to two spans of ``QUICKEST_MEMORY_MS``."""

    def __init__(self) -> None:
        self._began = -math.inf
        self._before = math.inf
        self._recent = math.inf

    @property
    def value(self) -> float:
        return min(self._before, self._recent)

    def note(self, now: float, value: float) -> None:
        if now - self._began >= QUICKEST_MEMORY_MS:
            self._before, self._recent = self._recent, math.inf
            self._began = now
        self._recent = min(self._recent, value)
