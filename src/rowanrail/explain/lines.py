"""Reading decision logs: one JSON object a line, perhaps behind a prefix, perhaps damaged.

For the search and the diagnosis. Owns what counts as a log line; relies on the fields that all
events have and on the catalogue for an event's message.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from rowanrail.kernel.catalogue import CATALOGUE

_decoder = msgspec.json.Decoder(dict[str, Any])
_OWN_FIELDS = ("time", "event", "level", "process")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a decision log.

    :param time: time of day in seconds; clocks of machines may differ by a little.
    :param fields: what the event carries beside the fields that all events have.
    """

    time: float
    event: int
    level: str
    process: str
    fields: dict[str, Any]

    @property
    def text(self) -> str:
        """The event's message with its fields filled in, as far as they are there."""
        event = CATALOGUE.get(self.event)
        if event is None:
            return f"event {self.event} {self.fields}"
        try:
            return event.template.format(**self.fields)
        except (KeyError, IndexError):
            return f"{event.template} {self.fields}"


class ReadResult(msgspec.Struct):
    """The lines that could be read, and how many could not."""

    lines: list[LogLine]
    damaged: int = 0


class LineHead(msgspec.Struct, frozen=True, gc=False):
    """What decides whether a line is of interest; nothing else of it is decoded."""

    time: float
    event: int


_head_decoder = msgspec.json.Decoder(LineHead)


def read_lines(raw: Iterable[str]) -> ReadResult:
    """Return the lines in the order of their time; what is no log line is counted."""
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
    """Return the time and event of a line, None if it is no log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        return _head_decoder.decode(text[start:].strip().encode())
    except msgspec.MsgspecError:
        return None  # counted as damaged


def read_line(text: str) -> LogLine | None:
    """Return a line, None if it is no log line; a prefix before it is passed over."""
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
            {name: value for name, value in content.items() if name not in _OWN_FIELDS},
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None  # counted as damaged
