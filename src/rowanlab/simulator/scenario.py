"""The definition of a scenario, and the run of one of its seeds."""

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
    """The result of one seed.

    :param acknowledged_after_heal: number of writes acknowledged after all faults had healed.
    :param seconds: wall-clock time of the run.
    """

    seed: int
    verdict: AnyVerdict
    faults: int = 0
    acknowledged_after_heal: int = 0
    trace: list[str] = []
    seconds: float = 0.0

    @property
    def violated(self) -> bool:
        """Whether the run broke a guarantee or did not recover."""
        return self.verdict.violations > 0


SeedRunner = Callable[[int, Guard | None], SeedResult]


class Scenario(msgspec.Struct, frozen=True):
    """A named scenario, and the guard without which it must fail for some seed."""

    name: str
    guard: Guard | None
    run: SeedRunner


class SimulationOracle(Protocol):
    """The part of an oracle that the run of a seed uses."""

    @property
    def verdict(self) -> AnyVerdict:
        """The counts collected so far."""

    def note_not_recovered(self, message: str) -> None:
        """Record that the run did not recover."""


def run_world(
    world: World, seed: int, oracle: SimulationOracle, scenario: Callable[[], Awaitable[int]]
) -> SeedResult:
    """Run a scenario in its world and return the oracle's verdict.

    :param scenario: returns the number of writes acknowledged after the faults had healed.
    """
    started = time.monotonic()
    after_heal = 0

    async def limited() -> int:
        async with asyncio.timeout(RUN_TIMEOUT_SECONDS):
            return await scenario()

    stop_observing = observe(lambda event, message: world.note(f"RR{event.number:04d} {message}"))
    try:
        after_heal = world.run(limited())
    except Exception as error:  # any failure of the run counts as a violation
        oracle.note_not_recovered(f"the run ended with {type(error).__name__}: {error}")
    finally:
        stop_observing()
    return SeedResult(
        seed=seed,
        verdict=oracle.verdict,
        faults=world.fault_count,
        acknowledged_after_heal=after_heal,
        trace=world.trace,
        seconds=time.monotonic() - started,
    )
