"""Which members have not received what their service's log held when they joined. No I/O.

A member that joins, or starts again under its instance id, has an empty log and receives the rest
while the primary runs. One that joins at the address of a member that ended has that one's log.
Until its log reaches the position that the primary had when the member joined, it must not be
promoted in place of one that has received more.

Kept in the leader's memory. A new leader takes members that never started again for complete, and
the first position that it samples for the one at which the others joined.
"""

from collections.abc import Callable, Iterable, Mapping

from rowanrail.model.members import MemberRecord
from rowanrail.model.position import ORIGIN, Position

__all__ = ["JoinPositions"]


class JoinPositions:
    """For each life of a service's members, the position of the log when it joined.

    Examples
    --------
    >>> joined = JoinPositions()
    >>> old = MemberRecord("m1", "db", "m1:1", "a", True, False, 3, 1)
    >>> new = MemberRecord("m2", "db", "m2:1", "a", False, False, 3, 1)
    >>> joined.update([old], {}, None)
    >>> joined.update([old, new], {}, Position(1, 90))
    >>> joined.is_incomplete(new, Position(1, 89)), joined.is_incomplete(new, Position(1, 90))
    (True, False)
    >>> joined.is_incomplete(old, Position(1, 7))
    False
    """

    def __init__(self) -> None:
        self._positions: dict[tuple[str, int], Position | None] = {}
        self._is_first = True
        self.awaits_sample = False  # whether a member's position is not known for lack of one

    def update(
        self,
        records: Iterable[MemberRecord],
        earlier_starts: Mapping[str, int],
        newest: Position | None,
        has_taken_over_log: Callable[[MemberRecord], bool] = lambda record: False,
    ) -> None:
        """Replace the members.

        Parameters
        ----------
        earlier_starts : mapping of str to int
            Has the members that started again.
        newest : Position or None
            The newest sampled position of the primary, None without a sample.
        has_taken_over_log : callable
            Returns whether a member's life began with another one's log, which is complete.
        """
        before, self._positions = self._positions, {}
        for record in records:
            life = record.instance, record.started_ms
            has_joined = not self._is_first or record.instance in earlier_starts
            is_new = has_joined and not has_taken_over_log(record)
            known = before.get(life, None if is_new else ORIGIN)
            self._positions[life] = newest if known is None else known
        self.awaits_sample = None in self._positions.values()
        self._is_first = False

    def is_incomplete(self, record: MemberRecord, received: Position) -> bool:
        """Return whether a member's log ends before the position at which it joined."""
        joined = self._positions.get((record.instance, record.started_ms))
        return received.index == 0 if joined is None else received < joined
