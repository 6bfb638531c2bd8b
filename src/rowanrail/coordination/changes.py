"""Changes that one log entry makes to the directory of members and gateways.

The state collects them while it applies a command; history, holders and watches consume them.
"""

from dataclasses import dataclass, field

from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord, is_same_life

__all__ = ["DirectoryChange", "GatewayChange", "MemberChange"]


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member's record before and after; None if it was added or removed."""

    before: MemberRecord | None
    after: MemberRecord | None

    @property
    def instance(self) -> str:
        """The member's instance id."""
        record = self.after or self.before
        return record.instance if record is not None else ""

    @property
    def is_urgent(self) -> bool:
        """Whether statements may fail or reach the wrong member until gateways know of it.

        A new replica only adds capacity.

        Examples
        --------
        >>> new = MemberRecord("m1", "db", "m1:1", "a", False, False, 3, 1)
        >>> MemberChange(None, new).is_urgent, MemberChange(new, None).is_urgent
        (False, True)
        >>> again = MemberRecord("m1", "db", "m1:1", "a", False, False, 3, 1, start_ms=900)
        >>> MemberChange(new, again).is_urgent
        True
        """
        before, after = self.before, self.after
        if after is None:
            return True
        if before is None:
            return after.primary or after.leaving
        if not is_same_life(before, after):
            return True
        return _routing_fields(before) != _routing_fields(after)


def _routing_fields(record: MemberRecord) -> tuple[bool, bool, str, str]:
    return record.primary, record.leaving, record.address, record.service


@dataclass(frozen=True, slots=True)
class GatewayChange:
    """A gateway's record before and after; None if it was added or removed."""

    before: GatewayRecord | None
    after: GatewayRecord | None


@dataclass(slots=True)
class DirectoryChange:
    """All changes of one log entry.

    Parameters
    ----------
    revision : int
        The entry's log index.
    """

    revision: int
    members: list[MemberChange] = field(default_factory=list)
    gateways: list[GatewayChange] = field(default_factory=list)

    @property
    def is_urgent(self) -> bool:
        """Whether gateways are notified at once; see :mod:`change_batcher`."""
        return any(step.is_urgent for step in self.members)
