"""Monotonic time and timers.

:class:`Clock` counts in milliseconds. It runs on a :class:`Scheduler`, the interface of event
loops, which counts in seconds.
"""

from collections.abc import Callable
from typing import Any, Protocol

__all__ = ["Clock", "Scheduler", "Timer"]


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Scheduler(Protocol):
    """Monotonic time and delayed calls, as event loops provide them."""

    def time(self) -> float:
        """Return the monotonic time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call ``callback`` after ``delay`` seconds."""


class Clock:
    """Monotonic time and timers in milliseconds.

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
        """Monotonic time in milliseconds from an arbitrary origin."""
        return self._scheduler.time() * 1000

    def call_in(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call ``callback`` after ``delay`` milliseconds."""
        return self._scheduler.call_later(delay / 1000, callback, *args)
