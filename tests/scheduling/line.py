"""Simulated queue at one member, advanced in steps, with admission and repeated checks."""

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
class QueuedStatement:
    """A statement in the queue, and the time of its next check."""

    entry: QueueEntry
    time_limit: float
    check_at: float
    monitor: WaitingMonitor
    forecast: float = 0.0

    @property
    def order(self) -> tuple[int, bool, float]:
        return (self.entry.urgency, not self.entry.is_retrying, self.entry.arrived)


class MemberQueue:
    """Queue of a member with some slots; statements take the next of ``run_times`` milliseconds.

    Outcomes are counted by name and urgency: served, late, refused-arriving, refused-waiting,
    expired.
    """

    def __init__(self, slots: int, run_times: Iterable[float], mean: float) -> None:
        self.outcomes: Counter[tuple[str, int]] = Counter()
        self.rejections: list[tuple[float, Reject]] = []
        self.idle_steps_with_queue = 0
        self.rejected_waits: list[float] = []
        self._ends = [0.0] * slots
        self._run_times = iter(run_times)
        self._mean = mean
        self._queue: list[QueuedStatement] = []
        self._error = ForecastError()

    def forecast(self, order: tuple[int, bool, float], now: float) -> Forecast:
        """Return the forecast by the mean run time, as a pool does."""
        ahead = sum(statement.order < order for statement in self._queue)
        busy = sum(end > now for end in self._ends)
        if not ahead and busy < len(self._ends):
            return Forecast(0.0, self._mean, has_room=True)
        interval = self._mean / len(self._ends)
        return Forecast((ahead + 1) * interval, self._mean, drain_interval=interval)

    def arrive(self, entry: QueueEntry, now: float) -> Reject | None:
        """Add a new statement to the queue, or return its rejection."""
        time_limit = entry.deadline - entry.arrived
        statement = QueuedStatement(
            entry,
            time_limit,
            now + next_check(time_limit, self._mean, time_limit),
            WaitingMonitor(time_limit),
        )
        forecast = self.forecast(statement.order, now)
        statement.forecast = forecast.wait
        reliable_share = self._error.reliable_share
        decision = decide_on_arrival(forecast, entry.deadline - now, time_limit, reliable_share)
        if isinstance(decision, Reject):
            self._note("refused-arriving", entry)
            self.rejections.append((now, decision))
            return decision
        self._queue.append(statement)
        self._queue.sort(key=lambda one: one.order)
        return None

    def step(self, now: float) -> None:
        """Start statements on free slots, and check those that are due."""
        for slot, end in enumerate(self._ends):
            if end <= now and self._queue:
                first = self._queue.pop(0)
                entry = first.entry
                self._error.note(first.forecast, now - entry.arrived, first.time_limit)
                self._ends[slot] = now + next(self._run_times)
                self._note("served" if self._ends[slot] <= entry.deadline else "late", entry)
        for statement in list(self._queue):
            self._check(statement, now)
        has_free = any(end <= now for end in self._ends)
        self.idle_steps_with_queue += has_free and bool(self._queue)

    def _check(self, statement: QueuedStatement, now: float) -> None:
        remaining = statement.entry.deadline - now
        if remaining <= 0:
            self._queue.remove(statement)
            self._note("expired", statement.entry)
        elif now >= statement.check_at:
            forecast = self.forecast(statement.order, now)
            decision = statement.monitor.check(forecast, remaining, self._error.reliable_share)
            if isinstance(decision, Reject):
                self._queue.remove(statement)
                waited = now - statement.entry.arrived
                self._error.note(statement.forecast, waited, statement.time_limit, was_served=False)
                self.rejected_waits.append(waited)
                self._note("refused-waiting", statement.entry)
                self.rejections.append((now, decision))
            else:
                statement.check_at = now + next_check(remaining, self._mean, statement.time_limit)

    def _note(self, name: str, entry: QueueEntry) -> None:
        self.outcomes[name, entry.urgency] += 1
