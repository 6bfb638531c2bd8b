"""The simulated environment: processes in zones, the links between them, and faults."""

import asyncio
import random
import shutil
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from rowanlab.simulator.loop import SimulatedProcess, VirtualLoop, current_process

CROSS_ZONE_DELAY_SECONDS = 0.0015
LOCAL_DELAY_SECONDS = 0.0002
MIN_ARRIVAL_GAP_SECONDS = 1e-7
WALL_CLOCK_START = 1_800_000_000.0
Delivery = Callable[[], None]


class World:
    """The environment of one simulated run, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop()
        self.random = random.Random(seed)
        self.trace: list[str] = []
        self.fault_count = 0
        self.scratch = Path(tempfile.mkdtemp(prefix="rowanrail-simulation-"))
        self._processes: dict[str, SimulatedProcess] = {}
        self._killed_processes: list[SimulatedProcess] = []
        self._cuts: set[tuple[str, str]] = set()
        self._last_arrival: dict[tuple[str, str], float] = {}
        self._kill_callbacks: dict[str, list[Callable[[SimulatedProcess], None]]] = {}
        self._scratch_count = 0

    # Processes

    def spawn(self, name: str, zone: str, rate: float = 1.0) -> SimulatedProcess:
        """Start a process; an earlier one of the same name must be dead."""
        process = SimulatedProcess(name, zone, rate)
        self._processes[name] = process
        return process

    def run_in(
        self, process: SimulatedProcess, work: Coroutine[Any, Any, Any]
    ) -> "asyncio.Task[Any]":
        """Create a task that runs within a process."""
        task = self.loop.create_task(work, context=process.context)
        process.tasks.append(task)
        return task

    def process(self, name: str) -> SimulatedProcess:
        """Return the most recent process with this name."""
        return self._processes[name]

    def kill(self, name: str) -> None:
        """Kill a process: none of its callbacks run any more."""
        process = self._processes[name]
        if not process.alive:
            return
        process.alive = False
        self._killed_processes.append(process)
        self.note(f"{name} is killed")
        for callback in self._kill_callbacks.pop(name, []):
            callback(process)

    def on_kill(self, name: str, callback: Callable[[SimulatedProcess], None]) -> None:
        """Register a callback for the next kill of a process with this name."""
        self._kill_callbacks.setdefault(name, []).append(callback)

    def freeze(self, name: str) -> None:
        """Freeze a process, as SIGSTOP does."""
        self._processes[name].frozen = True
        self.note(f"{name} freezes")

    def thaw(self, name: str) -> None:
        """Resume a frozen process, as SIGCONT does."""
        process = self._processes[name]
        if process.frozen:
            process.thaw(self.loop)
            self.note(f"{name} thaws")

    # Links

    def cut(self, source: str, target: str) -> None:
        """Drop all messages from one process or zone to another, in this direction only."""
        self._cuts.add((source, target))
        self.note(f"cut from {source} to {target}")

    def heal(self, source: str, target: str) -> None:
        """Remove one cut."""
        self._cuts.discard((source, target))
        self.note(f"heal from {source} to {target}")

    def heal_all(self) -> None:
        """Remove all cuts and thaw all frozen processes."""
        self._cuts.clear()
        self.note("all cuts heal")
        for name in sorted(self._processes):
            if self._processes[name].alive:
                self.thaw(name)

    def is_cut(self, source: SimulatedProcess, target: SimulatedProcess) -> bool:
        """Return whether messages from ``source`` to ``target`` are lost."""
        if not self._cuts:
            return False
        if (source.zone, target.zone) in self._cuts:
            return True
        return (source.name, target.name) in self._cuts

    def send(self, source: SimulatedProcess, target: str, deliver: Delivery) -> None:
        """Deliver a message to a process after the link's delay, unless a cut drops it.

        Messages between two processes arrive in the order in which they were sent.
        """
        if source.alive:
            self.transmit(source, target, deliver, in_flight_is_safe=False)

    def transmit(
        self, source: SimulatedProcess, target: str, deliver: Delivery, in_flight_is_safe: bool
    ) -> None:
        """Deliver a message, also on behalf of a process that has died.

        :param in_flight_is_safe: whether a cut made after sending leaves the message alone.
        """
        destination = self._processes.get(target)
        if destination is None or self.is_cut(source, destination) or self.loop.is_closed():
            return
        delay = LOCAL_DELAY_SECONDS if source.zone == destination.zone else CROSS_ZONE_DELAY_SECONDS
        arrival = self.loop.now + delay * self.random.uniform(1.0, 1.3)
        pair = (source.name, target)
        # Timers with equal times fire in no defined order.
        arrival = max(arrival, self._last_arrival.get(pair, 0.0) + MIN_ARRIVAL_GAP_SECONDS)
        self._last_arrival[pair] = arrival

        def arrive() -> None:
            is_lost = not in_flight_is_safe and self.is_cut(source, destination)
            if destination.alive and not is_lost:
                self.loop.call_soon(deliver, context=destination.context)

        self.call_later(arrival - self.loop.now, arrive)

    def call_later(self, delay_seconds: float, callback: Callable[[], None]) -> None:
        """Schedule a callback outside of all processes, in true time."""
        token = current_process.set(None)
        try:
            self.loop.call_at(self.loop.now + delay_seconds, callback)
        finally:
            current_process.reset(token)

    # Time and trace

    def wall_clock(self) -> float:
        """Return the simulated time of day, in seconds since the epoch."""
        return WALL_CLOCK_START + self.loop.now

    def note(self, message: str) -> None:
        """Append a line to the trace."""
        process = current_process.get()
        name = process.name if process else "-"
        self.trace.append(f"{len(self.trace) + 1:6d} {self.loop.now:10.4f} {name:14} {message}")

    def scratch_file(self) -> Path:
        """Return an unused path in the scratch folder."""
        self._scratch_count += 1
        return self.scratch / f"{self._scratch_count}.sqlite"

    def run(self, scenario: Awaitable[Any]) -> Any:
        """Run a scenario to completion and clean up."""
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(self._on_unhandled)
        try:
            return self.loop.run_until_complete(scenario)
        finally:
            self._shut_down()

    def _on_unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        # A dead process's tasks are collected at no defined time: keep that out of the trace.
        if "exception" in context:
            self.note(f"unhandled: {context['message']} {context['exception']!r}")

    def _shut_down(self) -> None:
        """Cancel all tasks, close the loop and remove the scratch folder."""
        for process in [*self._processes.values(), *self._killed_processes]:
            process.alive = True
            process.frozen = False
            process.deferred = []
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        for _ in range(20):
            if not asyncio.all_tasks(self.loop):
                break
            self.loop.run_until_complete(asyncio.sleep(0.01))
        self.loop.set_exception_handler(lambda loop, context: None)
        self.loop.close()
        asyncio.set_event_loop(None)
        shutil.rmtree(self.scratch, ignore_errors=True)
