"""The decision log: structured lines on standard output, bounded, and never waited for.

Each line is one JSON object: time, event number, level, fields. Lines wait in memory and are
written when :meth:`DecisionLog.flush` is called; what standard output does not take at once
stays, and beyond the bound is left out. A budget a second bounds the volume: informative
lines are left out before warnings, and a line says how many were.
"""

import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

from rowanrail.kernel.catalogue import Event, Level, define

INFO_LINES_PER_SECOND = 40  # 0.12 % of a core at four times the load of the first sites
LINES_PER_SECOND = 400  # refusals outlast successes; ten times as many
MAXIMUM_PENDING_BYTES = 512 * 1024  # about 2,000 lines, five seconds of the budget

LINES_DROPPED = define(
    10,
    Level.WARNING,
    "{info} informative and {other} other lines were left out",
    "More was decided than the budget of lines holds; refusals are kept the longest.",
)

_LEVELS = [Level.INFO, Level.WARNING, Level.ERROR]
_encoder = msgspec.json.Encoder()


class DecisionLog:
    """Writes structured lines to a file descriptor that does not block."""

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
        self._silenced = _LEVELS[: _LEVELS.index(level)]
        self.dropped_total = 0
        self._pending = bytearray()
        self._second = 0
        self._info_lines = 0
        self._lines = 0
        self._left_out_info = 0
        self._left_out = 0

    def note(self, event: Event, **fields: Any) -> None:
        """Take a line, or count it as left out; below the level nothing is counted."""
        if event.level in self._silenced:
            return
        now = self._wall_clock()
        if int(now) != self._second:
            self._begin_second(int(now))
        informative = event.level is Level.INFO
        if informative and self._info_lines >= self._info_budget:
            self._left_out_info += 1
            self.dropped_total += 1
            return
        if self._lines >= self._budget or len(self._pending) > MAXIMUM_PENDING_BYTES:
            self._left_out += 1
            self.dropped_total += 1
            return
        self._lines += 1
        self._info_lines += informative
        self._write(now, event, fields)

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._info_lines = 0
        self._lines = 0
        if self._left_out or self._left_out_info:
            counts = {"info": self._left_out_info, "other": self._left_out}
            self._left_out = self._left_out_info = 0
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
        """Write what the descriptor takes now."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return  # kept for the next flush; note() bounds how much
        except OSError:
            # Nobody reads any more. Logging must not end the process, so the lines are counted,
            # which the metric of lines left out shows.
            lines = self._pending.count(b"\n")
            self._left_out += lines
            self.dropped_total += lines
            self._pending.clear()
            return
        del self._pending[:written]
