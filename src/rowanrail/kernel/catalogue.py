"""Numbered log events.

Each event has a fixed number, level and message template. ``docs/EVENTS.md`` is the
catalogue; a test holds it against :data:`CATALOGUE`.
"""

import enum

import msgspec


class Level(enum.Enum):
    """Severity of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """How log events are written."""

    LINES = "lines"
    JSON = "json"


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
