"""Which zones are evacuated, by the order of the log's commands. No I/O."""

from collections.abc import Collection

from rowanrail.coordination.commands import SetEvacuation
from rowanrail.directory.messages import Evacuations

__all__ = ["changed_evacuations", "is_known_zone"]


def changed_evacuations(known: Evacuations, command: SetEvacuation, index: int) -> Evacuations:
    """Return the evacuations after a command; a repeated command changes nothing.

    Parameters
    ----------
    index : int
        The command's log index, which becomes the revision.

    Examples
    --------
    >>> closed = changed_evacuations(Evacuations(), SetEvacuation("a", True, 500), 7)
    >>> closed.revision, closed.zones
    (7, {'a': 500})
    >>> changed_evacuations(closed, SetEvacuation("a", True, 900), 8) == closed
    True
    >>> opened = changed_evacuations(closed, SetEvacuation("a", False, 900), 8)
    >>> opened.zones, opened.ended
    ({}, {'a': 900})
    """
    if (command.zone in known.zones) == command.is_evacuated:
        return known
    zones, ended = dict(known.zones), dict(known.ended)
    if command.is_evacuated:
        zones[command.zone] = command.at_ms
        ended.pop(command.zone, None)
    else:
        del zones[command.zone]
        ended[command.zone] = command.at_ms
    return Evacuations(index, zones, ended)


def is_known_zone(
    zone: str, configured: Collection[str], occupied: Collection[str], ordered: Collection[str]
) -> bool:
    """Return whether an order for a zone can be meant as it is written.

    Parameters
    ----------
    configured : collection of str
        Zones in the settings; if empty, every zone is known.
    occupied : collection of str
        Zones of known members, which may be newer than the settings.
    ordered : collection of str
        Zones that are or were evacuated, so that an order may be a repeated one.

    Examples
    --------
    >>> is_known_zone("a", ["a", "b"], [], []), is_known_zone("c", ["a", "b"], [], [])
    (True, False)
    >>> is_known_zone("c", ["a", "b"], ["c"], []), is_known_zone("c", [], [], [])
    (True, True)
    """
    return not configured or any(zone in zones for zones in (configured, occupied, ordered))
