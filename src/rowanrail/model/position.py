"""Positions in the log of a group of members.

Owns the one type; sent and stored as an array. Relies on nothing.
"""

import msgspec


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A place in a group's log. Positions compare by term, then by index."""

    term: int = 0
    index: int = 0


ORIGIN = Position()
