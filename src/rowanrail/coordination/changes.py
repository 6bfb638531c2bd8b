"""What one entry of the log changed in the directory of members and gateways.

Plain values, made while a command is applied; history, holders and watches go by them.
"""

from dataclasses import dataclass, field

from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord

__all__ = ["DirectoryChange", "GatewayChange", "MemberChange"]


@dataclass(frozen=True, slots=True)
class MemberChange:
    """One member before and after; None where it was not, or is no longer, known."""

    before: MemberRecord | None
    after: MemberRecord | None

    @property
    def instance(self) -> str:
        """The member whose record it is."""
        record = self.after or self.before
        return record.instance if record is not None else ""

    @property
    def is_urgent(self) -> bool:
        """Whether statements may fail, or run at the wrong member, until gateways know.

        A member that comes and is no primary only adds room.

        Examples
        --------
        >>> new = MemberRecord("m1", "db", "m1:1", "a", False, False, 3, 1)
        >>> MemberChange(None, new).is_urgent, MemberChange(new, None).is_urgent
        (False, True)
        """
        before, after = self.before, self.after
        if after is None:
            return True
        if before is None:
            return after.primary or after.leaving
        return _routing_fields(before) != _routing_fields(after)


def _routing_fields(record: MemberRecord) -> tuple[bool, bool, str, str]:
    return record.primary, record.leaving, record.address, record.service


@dataclass(frozen=True, slots=True)
class GatewayChange:
    """One gateway before and after; None where it was not, or is no longer, known."""

    before: GatewayRecord | None
    after: GatewayRecord | None


@dataclass(slots=True)
class DirectoryChange:
    """All that one entry of the log changed.

    Parameters
    ----------
    revision : int
        Place of the entry in the log.
    """

    revision: int
    members: list[MemberChange] = field(default_factory=list)
    gateways: list[GatewayChange] = field(default_factory=list)

    @property
    def is_urgent(self) -> bool:
        """Whether gateways are told at once; see :mod:`rowanrail.coordination.change_batch`."""
        return any(step.is_urgent for step in self.members)
