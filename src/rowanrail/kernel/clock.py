"""Steady time in milliseconds.

The one clock of the code (:class:`Clock`), and the port on which it rests (:class:`Scheduler`), in
seconds as event loops have them. Modules that still take a scheduler call it so.
"""

from collections.abc import Callable
from typing import Any, Protocol

__all__ = ["Clock", "Scheduler", "Timer"]


class Timer(Protocol):
    """A call that is still to come."""

    def cancel(self) -> None:
        """Forget the call."""


class Scheduler(Protocol):
    """What a clock rests on: steady seconds and calls in the future, as an event loop has."""

    def time(self) -> float:
        """Return the steady time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call ``callback`` after ``delay`` seconds."""


class Clock:
    """Steady time and timers in milliseconds.

    Parameters
    ----------
    scheduler : Scheduler
        An event loop, or virtual time in a simulation.

    Examples
    --------
    >>> import asyncio
    >>> clock = Clock(asyncio.new_event_loop())
    >>> began = clock.now
    >>> clock.now >= began
    True
    """

    __slots__ = ("_scheduler",)

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    @property
    def now(self) -> float:
        """Steady time in milliseconds; only differences mean something."""
        return self._scheduler.time() * 1000

    def call_in(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call ``callback`` after ``delay`` milliseconds."""
        return self._scheduler.call_later(delay / 1000, callback, *args)
