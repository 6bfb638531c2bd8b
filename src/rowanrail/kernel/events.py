"""Log events that are written through ``logbook``, for the SQL proxy and the control nodes.

Observers can subscribe to events. :mod:`rowanrail.kernel.catalogue` defines the events.
"""

import sys
from collections.abc import Callable
from typing import Any

import logbook
import msgspec

from rowanrail.kernel.catalogue import CATALOGUE, Event, Level, LogFormat, define

__all__ = ["CATALOGUE", "Event", "Level", "LogFormat", "configure_logging", "define", "emit"]

_LOGGER = logbook.Logger("rowanrail")
_LOGBOOK_LEVELS = {
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}


Observer = Callable[[Event, str], None]
_observers: list[Observer] = []


def observe(observer: Observer) -> Callable[[], None]:
    """Call ``observer`` with each event and its message, until the returned function is called."""
    _observers.append(observer)
    return lambda: _observers.remove(observer)


def emit(event: Event, **fields: object) -> None:
    """Log ``event`` with its fields and pass it to all observers."""
    message = event.template.format(**fields)
    for observer in _observers:
        observer(event, message)
    extra = {"event": event.number, "fields": {name: str(value) for name, value in fields.items()}}
    _LOGGER.log(_LOGBOOK_LEVELS[event.level], message, extra=extra)


def _format_line(record: Any, handler: Any) -> str:
    number = record.extra.get("event") or 0
    return (
        f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z RR{number:04d} {record.level_name} {record.message}"
    )


def _format_json(record: Any, handler: Any) -> str:
    line = {
        "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z",
        "event": record.extra.get("event") or 0,
        "level": record.level_name.lower(),
        "message": record.message,
        "fields": record.extra.get("fields") or {},
    }
    return msgspec.json.encode(line).decode()


def configure_logging(log_format: LogFormat, level: Level = Level.INFO) -> None:
    """Send log events to standard error in the given format, from the given level up."""
    handler = logbook.StreamHandler(sys.stderr, level=_LOGBOOK_LEVELS[level])
    handler.formatter = _format_json if log_format is LogFormat.JSON else _format_line
    logbook.NullHandler().push_application()
    handler.push_application()


def disable_logging() -> None:
    """Write no log lines; observers still receive every event."""
    logbook.NullHandler().push_application()
