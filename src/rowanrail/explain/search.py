"""Streaming search of many decision logs for the lines that explain one request.

For ``rowanrail explain``. The first pass finds the request's statements, the second the events
around them, so sources must be readable twice. Only matching lines are kept, so memory doesn't grow
with the size of the logs.
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
    """A log that can be read more than once."""

    def lines(self) -> Iterator[str]:
        """Return the lines from the beginning."""


@dataclass(frozen=True, slots=True)
class _TimeWindow:
    """Interval of wall clock time in seconds, both ends included."""

    begin: float
    end: float

    def contains(self, time: float) -> bool:
        return self.begin <= time <= self.end


def search(
    request: str,
    sources: Iterable[Source],
    context_seconds: float,
    since: float = 0.0,
    on_source: Callable[[int, Source], None] = lambda passed, source: None,
) -> ReadResult:
    """Return the lines that explain what happened to a request.

    Parameters
    ----------
    request : str
        Request id that the client sent.
    sources : iterable of Source
        The logs.
    context_seconds : float
        Events up to this long before and after the request are kept.
    since : float
        Wall clock time in seconds; earlier lines are ignored.
    on_source : callable
        Called with the number of the pass, 1 or 2, and each log before it is read.

    Returns
    -------
    ReadResult
        The request's statements, other events around them except statements of other requests,
        and the lines that show which information is missing; sorted by time.
    """
    all_sources = list(sources)
    result = ReadResult([])
    for source in all_sources:
        on_source(1, source)
        result.lines += _find_statements(request, source, since)
    window = _time_window(result.lines, context_seconds)
    has_line = has_control_line = False
    for source in all_sources:
        on_source(2, source)
        for text in source.lines():
            head = read_head(text)
            if head is None:
                result.damaged += bool(text.strip())
                continue
            if head.time < since:
                continue
            is_first_control_line = head.event >= NODE_STARTED.number and not has_control_line
            if not has_line or is_first_control_line or _is_relevant(head, window):
                line = read_line(text)
                if line is not None and not _is_answer_to(line, request):
                    result.lines.append(line)
                    has_control_line = has_control_line or head.event >= NODE_STARTED.number
            has_line = True
    result.lines.sort(key=lambda line: line.time)
    return result


def _find_statements(request: str, source: Source, since: float) -> Iterator[LogLine]:
    for text in source.lines():
        if request not in text:
            continue
        line = read_line(text)
        if line is not None and line.time >= since and _is_answer_to(line, request):
            yield line


def _is_answer_to(line: LogLine, request: str) -> bool:
    return line.event in STATEMENT_EVENTS and line.fields.get("request") == request


def _time_window(statements: list[LogLine], context_seconds: float) -> _TimeWindow | None:
    if not statements:
        return None
    last = max(statements, key=lambda line: line.time)
    seconds = float(last.fields.get("milliseconds", 0)) / 1000
    return _TimeWindow(last.time - seconds - context_seconds, last.time + context_seconds)


def _is_relevant(head: LineHead, window: _TimeWindow | None) -> bool:
    if head.event == LINES_DROPPED.number:
        return True
    if window is None or head.event in STATEMENT_EVENTS:
        return False
    return window.contains(head.time)
