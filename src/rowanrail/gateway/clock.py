"""The time port: the steady clock and timers. An asyncio loop is one."""

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A pending call."""

    def cancel(self) -> None:
        """Forget the call."""


class Clock(Protocol):
    """Steady time in seconds, and calls in the future."""

    def time(self) -> float:
        """Return the steady time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> Timer:
        """Call ``callback`` after ``delay`` seconds."""
