"""Parallel work in processes of the laboratory."""

import multiprocessing
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

Item = TypeVar("Item")
Result = TypeVar("Result")


def usable_cores() -> int:
    """Return the number of cores that this process may use."""
    return len(os.sched_getaffinity(0))


def map_over_cores(
    function: Callable[[Item], Result],
    items: list[Item],
    cores: int,
    process_per_item: bool = False,
) -> Iterator[Result]:
    """Yield ``function(item)`` for each item, in order.

    :param function: a module-level function, which workers can import.
    :param cores: number of worker processes; with 1 the items run in this process.
    :param process_per_item: whether each item runs in a new process, to measure its memory.
    """
    if not process_per_item and (cores == 1 or len(items) == 1):
        yield from map(function, items)
        return
    context = multiprocessing.get_context("spawn")
    tasks = 1 if process_per_item else None
    workers = min(cores, len(items))
    with ProcessPoolExecutor(workers, mp_context=context, max_tasks_per_child=tasks) as pool:
        yield from pool.map(function, items)
