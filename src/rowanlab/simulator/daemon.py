"""Daemons of the simulated system, which live across restarts of their processes."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from rowanlab.simulator.disk import SimulatedDisk
from rowanlab.simulator.loop import SimulatedProcess
from rowanlab.simulator.world import World


class SimulatedDaemon:
    """Starts and kills the processes of one daemon.

    :param rate: speed of its clock relative to simulated true time.
    """

    def __init__(self, world: World, name: str, zone: str, rate: float) -> None:
        self.name = name
        self.zone = zone
        self._world = world
        self._rate = rate

    def _spawn(self) -> SimulatedProcess:
        return self._world.spawn(self.name, self.zone, self._rate)

    def _launch(self, process: SimulatedProcess, work: Coroutine[Any, Any, None]) -> None:
        task = self._world.run_in(process, work)
        task.add_done_callback(self._trace_failure)

    def _trace_failure(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._world.note(f"{self.name} failed: {task.exception()!r}")

    def _new_random(self) -> random.Random:
        """Return a new random generator, seeded by the world's."""
        return random.Random(self._world.random.getrandbits(64))

    def kill(self) -> None:
        """Kill the process."""
        self._world.kill(self.name)


class DurableDaemon(SimulatedDaemon):
    """A daemon whose disk persists across restarts."""

    def __init__(
        self, world: World, name: str, zone: str, rate: float, honours_sync: bool = True
    ) -> None:
        super().__init__(world, name, zone, rate)
        self.disk = SimulatedDisk(self._new_random(), honours_sync)

    def start(self, bootstrap: bool) -> None:
        """Start the process."""
        raise NotImplementedError

    def kill(self) -> None:
        """Kill the process and discard unsynced data."""
        super().kill()
        self.disk.crash()

    def restart(self, lose_disk: bool = False) -> None:
        """Start the process again after a kill, optionally with an empty disk."""
        if lose_disk:
            self.disk.erase()
        self._world.note(f"{self.name} starts again{' with an empty disk' if lose_disk else ''}")
        self.start(bootstrap=False)
