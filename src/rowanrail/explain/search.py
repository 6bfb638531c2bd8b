"""Which lines of many decision logs belong to the diagnosis of one request, read as a stream.

For ``rowanrail explain``. Owns the choice of lines; relies on sources that can be read twice.
Two passes: the first finds the request's own statements, the second the lines around them. Only
what belongs to it is kept, so that the logs of hundreds of processes can be searched in
little memory.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Protocol

from rowanrail.coordination.events import NODE_STARTED
from rowanrail.explain.diagnosis import STATEMENT_EVENTS
from rowanrail.explain.lines import LineHead, LogLine, ReadResult, read_head, read_line
from rowanrail.kernel.decisions import LINES_DROPPED

__all__ = ["Source", "search"]


class Source(Protocol):
    """One log, which can be read more than once."""

    def lines(self) -> Iterator[str]:
        """Return its lines from the beginning."""


@dataclass(frozen=True, slots=True)
class _Window:
    """The time of day, in seconds, whose lines may have decided about the request."""

    begin: float
    end: float

    def holds(self, time: float) -> bool:
        return self.begin <= time <= self.end


def search(
    request: str,
    sources: Iterable[Source],
    around_seconds: float,
    since: float = 0.0,
    on_source: Callable[[int, Source], None] = lambda passed, source: None,
) -> ReadResult:
    """Return the lines that tell what became of a request.

    Parameters
    ----------
    request : str
        Id that the client sent.
    sources : iterable of Source
        The logs.
    around_seconds : float
        How long before and after the request lines may have to do with it.
    since : float
        Time of day in seconds; earlier lines are left aside.
    on_source : callable
        Told the number of the pass, 1 or 2, and each log before it is read.

    Returns
    -------
    ReadResult
        The request's statements, what the processes decided around them apart from other
        statements, and the lines that show what is missing; in the order of their time.
    """
    known = list(sources)
    result = ReadResult([])
    for source in known:
        on_source(1, source)
        result.lines += _statements(request, source, since)
    window = _window(result.lines, around_seconds)
    has_line = has_control = False
    for source in known:
        on_source(2, source)
        for text in source.lines():
            head = read_head(text)
            if head is None:
                result.damaged += bool(text.strip())
                continue
            if head.time < since:
                continue
            shows_control = head.event >= NODE_STARTED.number and not has_control
            if not has_line or shows_control or _belongs(head, window):
                line = read_line(text)
                if line is not None and not _is_own(line, request):
                    result.lines.append(line)
                    has_control = has_control or head.event >= NODE_STARTED.number
            has_line = True
    result.lines.sort(key=lambda line: line.time)
    return result


def _statements(request: str, source: Source, since: float) -> Iterator[LogLine]:
    for text in source.lines():
        if request not in text:
            continue
        line = read_line(text)
        if line is not None and line.time >= since and _is_own(line, request):
            yield line


def _is_own(line: LogLine, request: str) -> bool:
    return line.event in STATEMENT_EVENTS and line.fields.get("request") == request


def _window(statements: list[LogLine], around_seconds: float) -> _Window | None:
    if not statements:
        return None
    last = max(statements, key=lambda line: line.time)
    seconds = float(last.fields.get("milliseconds", 0)) / 1000
    return _Window(last.time - seconds - around_seconds, last.time + around_seconds)


def _belongs(head: LineHead, window: _Window | None) -> bool:
    if head.event == LINES_DROPPED.number:
        return True
    if window is None or head.event in STATEMENT_EVENTS:
        return False
    return window.holds(head.time)
