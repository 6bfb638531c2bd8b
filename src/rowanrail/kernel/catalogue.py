"""Numbered log events.

Each event has a fixed number, level and message template. ``docs/EVENTS.md`` is generated from
:data:`CATALOGUE`.
"""

import enum

import msgspec


class Level(enum.Enum):
    """Severity of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """Output format of log events."""

    LINES = "lines"
    JSON = "json"


class Event(msgspec.Struct, frozen=True):
    """One kind of log event.

    :param meaning: explanation for operators, and what to do about it.
    """

    number: int
    level: Level
    template: str
    meaning: str


CATALOGUE: dict[int, Event] = {}


def define(number: int, level: Level, template: str, meaning: str) -> Event:
    """Add an event to the catalogue.

    :raises ValueError: if the number is already used.
    """
    if number in CATALOGUE:
        raise ValueError(f"event {number} is defined twice")
    event = Event(number, level, template, meaning)
    CATALOGUE[number] = event
    return event
