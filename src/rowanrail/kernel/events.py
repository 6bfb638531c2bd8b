"""Numbered log events.

Each event has a fixed number, level and message template. ``docs/EVENTS.md`` is the
catalogue; a test holds it against :data:`CATALOGUE`.
"""

import enum
import sys
from collections.abc import Callable
from typing import Any

import logbook
import msgspec


class Level(enum.Enum):
    """Severity of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(msgspec.Struct, frozen=True):
    """One kind of log event.

    :param meaning: what it tells an operator, and what to do about it.
    """

    number: int
    level: Level
    template: str
    meaning: str


CATALOGUE: dict[int, Event] = {}


def define(number: int, level: Level, template: str, meaning: str) -> Event:
    """Add an event to the catalogue.

    :raises ValueError: if the number is taken.
    """
    if number in CATALOGUE:
        raise ValueError(f"event {number} is defined twice")
    event = Event(number, level, template, meaning)
    CATALOGUE[number] = event
    return event


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
    """Log ``event`` with its fields."""
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


class LogFormat(enum.Enum):
    """How log events are written."""

    LINES = "lines"
    JSON = "json"


def configure_logging(log_format: LogFormat, level: Level = Level.INFO) -> None:
    """Send log events to standard error in the given format, from the given level up."""
    handler = logbook.StreamHandler(sys.stderr, level=_LOGBOOK_LEVELS[level])
    handler.formatter = _format_json if log_format is LogFormat.JSON else _format_line
    logbook.NullHandler().push_application()
    handler.push_application()


def silence() -> None:
    """Write no log lines; observers still get every event."""
    logbook.NullHandler().push_application()
