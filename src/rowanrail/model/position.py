"""Positions in the replicated log of a group of members, sent and stored as arrays."""

import msgspec


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A position in a group's log, ordered by term, then by index."""

    term: int = 0
    index: int = 0


ORIGIN = Position()
