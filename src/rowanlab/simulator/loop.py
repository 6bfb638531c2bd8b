"""An asyncio event loop in virtual time, with processes that can be frozen and killed.

Time advances to the next timer as soon as no callback is ready. Every callback belongs to
the simulated process in whose context it was scheduled. Callbacks of a frozen process are
deferred until it thaws, those of a killed process are dropped, as with SIGSTOP and SIGKILL.
"""

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any

# Timers fire late, never early: code woken early would wait again, for a time too short to
# advance the floating-point clock.
TIMER_MARGIN_SECONDS = 1e-6

current_process: contextvars.ContextVar["SimulatedProcess | None"] = contextvars.ContextVar(
    "current_process", default=None
)


class SimulatedProcess:
    """A simulated operating-system process.

    :param rate: speed of the process's clock relative to simulated true time.
    """

    def __init__(self, name: str, zone: str, rate: float = 1.0) -> None:
        self.name = name
        self.zone = zone
        self.rate = rate
        self.alive = True
        self.frozen = False
        self.context = contextvars.copy_context()
        self.context.run(current_process.set, self)
        self.deferred: list[_DeferredCallback] = []
        self.tasks: list[asyncio.Task[Any]] = []

    def thaw(self, loop: asyncio.AbstractEventLoop) -> None:
        """Resume, and schedule the callbacks that were deferred."""
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for item in deferred:
            loop.call_soon(item.run, context=item.context)


class _DeferredCallback:
    """A callback that became due while its process was frozen; it can still be cancelled."""

    def __init__(
        self,
        handle: asyncio.Handle,
        callback: Callable[..., Any],
        arguments: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> None:
        self.context = context
        self._handle = handle
        self._callback = callback
        self._arguments = arguments

    def run(self) -> None:
        if not self._handle.cancelled():
            self._callback(*self._arguments)


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance virtual time by the timeout, and report no events.

        :raises RuntimeError: if there is no timer to advance to.
        """
        if timeout is not None and timeout > 0:
            self._advance(timeout)
        elif timeout is None:
            raise RuntimeError("the simulation waits for nothing")
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only when no callback is ready."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(_VirtualTimeSelector(self._advance))

    def _advance(self, seconds: float) -> None:
        self.now += seconds

    def time(self) -> float:
        """Return the current process's clock, or true time outside of all processes."""
        process = current_process.get()
        return self.now * process.rate if process is not None else self.now

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback for the process that owns its context."""
        process = _owning_process(context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        bound = _ProcessCallback(process, callback, args, context)
        bound.handle = super().call_soon(bound.run, context=context)
        return bound.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at ``when`` on the clock of the process that owns its context."""
        process = _owning_process(context)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        bound = _ProcessCallback(process, callback, args, context)
        handle = super().call_at(
            when / process.rate + TIMER_MARGIN_SECONDS, bound.run, context=context
        )
        bound.handle = handle
        return handle


class _ProcessCallback:
    """Drops a callback if its process is dead, and defers it if the process is frozen."""

    __slots__ = ("_arguments", "_callback", "_context", "_process", "handle")

    def __init__(
        self,
        process: SimulatedProcess,
        callback: Callable[..., Any],
        arguments: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> None:
        self.handle: asyncio.Handle | None = None
        self._process = process
        self._callback = callback
        self._arguments = arguments
        self._context = context

    def run(self) -> None:
        process = self._process
        if not process.alive:
            return
        if process.frozen:
            assert self.handle is not None
            deferred = _DeferredCallback(
                self.handle, self._callback, self._arguments, self._context
            )
            process.deferred.append(deferred)
            return
        self._callback(*self._arguments)


def _owning_process(context: contextvars.Context | None) -> SimulatedProcess | None:
    if context is None:
        return current_process.get()
    return context.get(current_process)
