"""Virtual time for code that only takes callbacks: a heap of timers, no loop, no tasks."""

import heapq
from collections.abc import Callable
from typing import Any


class EventTimer:
    """A pending call of :class:`EventClock`."""

    def __init__(self, due: float, order: int, run: Callable[[], None]) -> None:
        self.due = due
        self.run = run
        self.cancelled = False
        self._order = order

    def __lt__(self, other: "EventTimer") -> bool:
        return (self.due, self._order) < (other.due, other._order)

    def cancel(self) -> None:
        """See :meth:`rowanrail.kernel.clock.Timer.cancel`."""
        self.cancelled = True


class EventClock:
    """Implements :class:`rowanrail.kernel.clock.Scheduler`."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._timers: list[EventTimer] = []
        self._order = 0

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._now

    def time(self) -> float:
        """Return the steady time in seconds."""
        return self.now

    def call_later(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> EventTimer:
        """Call ``callback`` after ``delay`` seconds."""
        self._order += 1
        timer = EventTimer(self.now + delay, self._order, lambda: callback(*arguments))
        heapq.heappush(self._timers, timer)
        return timer

    def run_until(self, moment: float) -> None:
        """Run what is due until ``moment``."""
        while self._timers and self._timers[0].due <= moment:
            timer = heapq.heappop(self._timers)
            self._now = max(self._now, timer.due)
            if not timer.cancelled:
                timer.run()
        self._now = moment
