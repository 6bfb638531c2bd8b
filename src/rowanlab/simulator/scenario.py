"""What a scenario is, and how one seed of it is run."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from rowanlab.load.control_oracle import ControlVerdict
from rowanlab.load.oracle import Verdict
from rowanlab.simulator.permissive import Guard
from rowanlab.simulator.world import World
from rowanrail.kernel.events import observe

RUN_TIMEOUT_SECONDS = 120.0
AnyVerdict = Verdict | ControlVerdict


class SeedResult(msgspec.Struct):
    """What became of one seed.

    :param seconds: real time that it took.
    """

    seed: int
    verdict: AnyVerdict
    faults: int = 0
    acknowledged_after_heal: int = 0
    trace: list[str] = []
    seconds: float = 0.0

    @property
    def violated(self) -> bool:
        """Whether a guarantee was broken, or the run did not recover."""
        return self.verdict.violations > 0


SeedRunner = Callable[[int, Guard | None], SeedResult]


class Scenario(msgspec.Struct, frozen=True):
    """A scenario by name, with the guard that it must be seen failing without."""

    name: str
    guard: Guard | None
    run: SeedRunner


class SimulationOracle(Protocol):
    """An oracle, as far as the run of a seed needs it."""

    @property
    def verdict(self) -> AnyVerdict:
        """The counts so far."""

    def note_not_recovered(self, message: str) -> None:
        """Note that the run could not go on."""


def run_world(
    world: World, seed: int, oracle: SimulationOracle, scenario: Callable[[], Awaitable[int]]
) -> SeedResult:
    """Run a scenario in its world.

    :param scenario: returns the number of writes acknowledged after the faults had healed.
    """
    began = time.monotonic()
    after_heal = 0

    async def limited() -> int:
        async with asyncio.timeout(RUN_TIMEOUT_SECONDS):
            return await scenario()

    stop_observing = observe(lambda event, message: world.note(f"RR{event.number:04d} {message}"))
    try:
        after_heal = world.run(limited())
    except Exception as error:  # a run that can't be judged is a violation, whatever the reason
        oracle.note_not_recovered(f"the run ended with {type(error).__name__}: {error}")
    finally:
        stop_observing()
    return SeedResult(
        seed=seed,
        verdict=oracle.verdict,
        faults=world.fault_count,
        acknowledged_after_heal=after_heal,
        trace=world.trace,
        seconds=time.monotonic() - began,
    )
