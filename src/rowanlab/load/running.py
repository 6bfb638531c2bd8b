"""Runs callers against a fleet and verifies the result."""

import asyncio

from rowanlab.fleet.layout import FleetFile
from rowanlab.load.oracle import Oracle, Verdict
from rowanlab.load.workload import (
    Caller,
    LoadOptions,
    connectors,
    count_rows_by_operation,
    create_tables,
)


class RunningLoad:
    """A running load on one database of a fleet."""

    def __init__(self, fleet: FleetFile, database: str, options: LoadOptions) -> None:
        self.oracle = Oracle()
        self.callers: list[Caller] = []
        self._connect = connectors(fleet, database)
        self._options = options
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Create the tables and start the callers."""
        await create_tables(self._connect[0])
        self.callers = [
            Caller(f"caller{number}", self._connect, self.oracle, self._options)
            for number in range(self._options.callers)
        ]
        self._tasks = [
            asyncio.ensure_future(caller.run(lambda: self._stopping)) for caller in self.callers
        ]

    async def finish(self) -> Verdict:
        """Stop the callers and return the verdict on the database's contents."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        return self.oracle.judge(await count_rows_by_operation(self._connect))

    def acknowledged_times(self) -> list[float]:
        """Return the times of acknowledged writes, sorted, in event-loop time."""
        return sorted(at for caller in self.callers for at in caller.write_times.acknowledged)

    def longest_gap_seconds(self, since: float, until: float = float("inf")) -> float:
        """Return the longest time without an acknowledged write between two times.

        A write acknowledged before ``since`` begins the first gap.
        """
        times = self.acknowledged_times()
        before = max((at for at in times if at <= since), default=since)
        after = [at for at in times if since < at <= until]
        moments = [before, *after]
        pairs = zip(moments, moments[1:], strict=False)
        return max((later - earlier for earlier, later in pairs), default=float("inf"))
