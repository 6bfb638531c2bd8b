"""A line before one member, stepped by hand: who is admitted, waits, is served or refused."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from rowanrail.scheduling.admission import (
    Forecast,
    Reject,
    WaitingMonitor,
    decide_on_arrival,
    next_check,
)
from rowanrail.scheduling.forecast_error import ForecastError
from rowanrail.scheduling.queue import QueueEntry


@dataclass(slots=True)
class Waiting:
    """A statement in the line, and when it is judged again."""

    entry: QueueEntry
    whole: float
    check_at: float
    watch: WaitingMonitor
    forecast: float = 0.0

    @property
    def order(self) -> tuple[int, bool, float]:
        return (self.entry.urgency, not self.entry.is_retrying, self.entry.arrived)


class MemberLine:
    """A member with a few slots; each statement takes the next of ``runs`` milliseconds.

    What happened is counted by name and urgency: served, late, refused-arriving, refused-waiting,
    expired.
    """

    def __init__(self, slots: int, runs: Iterable[float], mean: float) -> None:
        self.happened: Counter[tuple[str, int]] = Counter()
        self.refused: list[tuple[float, Reject]] = []
        self.idle_while_waited_for = 0
        self.waited_in_vain: list[float] = []
        self._ends = [0.0] * slots
        self._runs = iter(runs)
        self._mean = mean
        self._line: list[Waiting] = []
        self._error = ForecastError()

    def forecast(self, order: tuple[int, bool, float], now: float) -> Forecast:
        """Forecast by the mean length, as a pool does."""
        ahead = sum(waiting.order < order for waiting in self._line)
        busy = sum(end > now for end in self._ends)
        if not ahead and busy < len(self._ends):
            return Forecast(0.0, self._mean, has_room=True)
        interval = self._mean / len(self._ends)
        return Forecast((ahead + 1) * interval, self._mean, drain_interval=interval)

    def arrive(self, entry: QueueEntry, now: float) -> Reject | None:
        """Judge a statement that comes; return its refusal."""
        whole = entry.deadline - entry.arrived
        waiting = Waiting(
            entry, whole, now + next_check(whole, self._mean, whole), WaitingMonitor(whole)
        )
        forecast = self.forecast(waiting.order, now)
        waiting.forecast = forecast.wait
        certain = self._error.reliable_share
        verdict = decide_on_arrival(forecast, entry.deadline - now, whole, certain)
        if isinstance(verdict, Reject):
            self._note("refused-arriving", entry)
            self.refused.append((now, verdict))
            return verdict
        self._line.append(waiting)
        self._line.sort(key=lambda one: one.order)
        return None

    def step(self, now: float) -> None:
        """Start what has room, and judge those again whose time for it has come."""
        for place, end in enumerate(self._ends):
            if end <= now and self._line:
                first = self._line.pop(0)
                entry = first.entry
                self._error.note(first.forecast, now - entry.arrived, first.whole)
                self._ends[place] = now + next(self._runs)
                self._note("served" if self._ends[place] <= entry.deadline else "late", entry)
        for waiting in list(self._line):
            self._look(waiting, now)
        has_free = any(end <= now for end in self._ends)
        self.idle_while_waited_for += has_free and bool(self._line)

    def _look(self, waiting: Waiting, now: float) -> None:
        left = waiting.entry.deadline - now
        if left <= 0:
            self._line.remove(waiting)
            self._note("expired", waiting.entry)
        elif now >= waiting.check_at:
            forecast = self.forecast(waiting.order, now)
            verdict = waiting.watch.check(forecast, left, self._error.reliable_share)
            if isinstance(verdict, Reject):
                self._line.remove(waiting)
                waited = now - waiting.entry.arrived
                self._error.note(waiting.forecast, waited, waiting.whole, was_served=False)
                self.waited_in_vain.append(waited)
                self._note("refused-waiting", waiting.entry)
                self.refused.append((now, verdict))
            else:
                waiting.check_at = now + next_check(left, self._mean, waiting.whole)

    def _note(self, name: str, entry: QueueEntry) -> None:
        self.happened[name, entry.urgency] += 1
