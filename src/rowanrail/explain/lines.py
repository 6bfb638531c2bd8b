"""Parser of decision logs, which hold one JSON object per line.

Text before the object, such as a collector's prefix, is ignored; lines that can't be parsed are
counted. Event messages come from :data:`rowanrail.kernel.catalogue.CATALOGUE`.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from rowanrail.kernel.catalogue import CATALOGUE

_decoder = msgspec.json.Decoder(dict[str, Any])
_COMMON_FIELDS = ("time", "event", "level", "process")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a decision log.

    :param time: wall clock time in seconds; the clocks of machines may differ slightly.
    :param fields: fields of the event beside those that all events have.
    """

    time: float
    event: int
    level: str
    process: str
    fields: dict[str, Any]

    @property
    def text(self) -> str:
        """Message of the event, with its fields formatted into the template if all are present."""
        event = CATALOGUE.get(self.event)
        if event is None:
            return f"event {self.event} {self.fields}"
        try:
            return event.template.format(**self.fields)
        except (KeyError, IndexError):
            return f"{event.template} {self.fields}"


class ReadResult(msgspec.Struct):
    """Parsed lines and the number of lines that could not be parsed."""

    lines: list[LogLine]
    damaged: int = 0


class LineHead(msgspec.Struct, frozen=True, gc=False):
    """Time and event of a line, decoded without its other fields."""

    time: float
    event: int


_head_decoder = msgspec.json.Decoder(LineHead)


def read_lines(raw: Iterable[str]) -> ReadResult:
    """Return the lines sorted by time; lines that can't be parsed are counted."""
    result = ReadResult([])
    for text in raw:
        line = read_line(text)
        if line is not None:
            result.lines.append(line)
        else:
            result.damaged += bool(text.strip())
    result.lines.sort(key=lambda line: line.time)
    return result


def read_head(text: str) -> LineHead | None:
    """Return the time and event of a line, None if it can't be parsed."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        return _head_decoder.decode(text[start:].strip().encode())
    except msgspec.MsgspecError:
        return None  # counted as damaged


def read_line(text: str) -> LogLine | None:
    """Return a parsed line, None if it can't be parsed; text before the object is ignored."""
    start = text.find("{")
    return _parse(text[start:]) if start >= 0 else None


def _parse(text: str) -> LogLine | None:
    try:
        content = _decoder.decode(text.strip().encode())
        return LogLine(
            float(content["time"]),
            int(content["event"]),
            str(content.get("level", "")),
            str(content.get("process", "")),
            {name: value for name, value in content.items() if name not in _COMMON_FIELDS},
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None  # counted as damaged
