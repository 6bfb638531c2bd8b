"""The end of tasks that inject faults."""

import asyncio

__all__ = ["end_tasks"]

FAULT_END_SECONDS = 10.0  # for what a cancelled fault undoes


async def end_tasks(tasks: list[asyncio.Task[None]], seconds: float = FAULT_END_SECONDS) -> None:
    """Cancel tasks, those that go on after ``seconds`` again, until all have ended.

    A time limit that expires together with a cancellation can lose it, and the task goes on.
    """
    going_on = set(tasks)
    while going_on:
        for task in going_on:
            task.cancel()
        _, going_on = await asyncio.wait(going_on, timeout=seconds)
