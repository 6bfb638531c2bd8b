"""The structured log of a process, with a rate limit, written without blocking.

Each line is a JSON object with time, event number, level and fields. Lines are buffered and written
by :meth:`DecisionLog.flush`; lines beyond the size of the buffer or the rate limit are dropped,
informational ones first, and a line reports how many.
"""

import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

from rowanrail.kernel.catalogue import Event, Level, define

INFO_LINES_PER_SECOND = 40  # takes 0.12 % of a core
LINES_PER_SECOND = 400  # all levels; leaves room for errors when the limit of INFO is used up
MAXIMUM_PENDING_BYTES = 512 * 1024  # about 2,000 lines, five seconds at the rate limit

LINES_DROPPED = define(
    10,
    Level.WARNING,
    "{info} informational and {other} other lines were dropped",
    "The log exceeded its rate limit or buffer; informational lines are dropped first.",
)

_LEVELS = [Level.INFO, Level.WARNING, Level.ERROR]
_encoder = msgspec.json.Encoder()


class DecisionLog:
    """The structured log of a process: rate-limited lines, written without blocking."""

    def __init__(
        self,
        process: str,
        descriptor: int = 1,
        info_lines_per_second: int = INFO_LINES_PER_SECOND,
        lines_per_second: int = LINES_PER_SECOND,
        wall_clock: Callable[[], float] = time.time,
        level: Level = Level.INFO,
    ) -> None:
        self._process = process
        self._descriptor = descriptor
        self._info_budget = info_lines_per_second
        self._budget = lines_per_second
        self._wall_clock = wall_clock
        self._disabled_levels = _LEVELS[: _LEVELS.index(level)]
        self.dropped_total = 0
        self._pending = bytearray()
        self._second = 0
        self._info_lines = 0
        self._lines = 0
        self._dropped_info = 0
        self._dropped_other = 0

    def note(self, event: Event, **fields: Any) -> None:
        """Buffer a line, or count it as dropped; lines below the level are ignored."""
        if event.level in self._disabled_levels:
            return
        now = self._wall_clock()
        if int(now) != self._second:
            self._start_second(int(now))
        is_info = event.level is Level.INFO
        if is_info and self._info_lines >= self._info_budget:
            self._dropped_info += 1
            self.dropped_total += 1
            return
        if self._lines >= self._budget or len(self._pending) > MAXIMUM_PENDING_BYTES:
            self._dropped_other += 1
            self.dropped_total += 1
            return
        self._lines += 1
        self._info_lines += is_info
        self._write(now, event, fields)

    def _start_second(self, second: int) -> None:
        self._second = second
        self._info_lines = 0
        self._lines = 0
        if self._dropped_other or self._dropped_info:
            counts = {"info": self._dropped_info, "other": self._dropped_other}
            self._dropped_other = self._dropped_info = 0
            self._write(self._wall_clock(), LINES_DROPPED, counts)

    def _write(self, now: float, event: Event, fields: dict[str, Any]) -> None:
        line = {
            "time": round(now, 3),
            "event": event.number,
            "level": event.level.value,
            "process": self._process,
            **fields,
        }
        self._pending += _encoder.encode(line)
        self._pending += b"\n"

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return  # kept for the next flush; note() bounds the size of the buffer
        except OSError:
            # The reader has closed the pipe. Logging must not end the process, so the lines are
            # dropped and counted.
            lines = self._pending.count(b"\n")
            self._dropped_other += lines
            self.dropped_total += lines
            self._pending.clear()
            return
        del self._pending[:written]
