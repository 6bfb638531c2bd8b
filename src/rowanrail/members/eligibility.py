"""Which members may be sent a statement: the one rule that all who choose a member ask.

A member is excluded while its zone is evacuated, if it is outside the regions of the statement's
route and tenant, and while its warm-up limit is used up. One that leaves is excluded unless the
statement needs it, and after a time also then; transactions that are open there go on. No I/O.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from rowanrail.model.members import MemberRecord

__all__ = ["Eligibility", "Exclusion"]


class Exclusion(enum.Enum):
    """Why a member may not be sent a statement; the values are used in logs."""

    EVACUATED = "evacuated"
    OUTSIDE_REGIONS = "outside-regions"
    WARMING_UP = "warming-up"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Eligibility:
    """The rule for members by their zone and by when they leave.

    Parameters
    ----------
    regions : mapping of str to str
        The region of each zone; a missing zone is a region of its own.
    evacuated : frozenset of str
        Zones whose members are sent no statements that another member can run.
    closing_at : mapping of str to float
        Monotonic seconds from which the members of an evacuated zone are sent nothing at all; a
        missing zone is closed already.
    used_until : mapping of str to float
        By instance, monotonic seconds until which a leaving member begins what needs it.

    Examples
    --------
    >>> rule = Eligibility({"a1": "a", "b1": "b"}, frozenset({"b1"}))
    >>> member = MemberRecord("m1", "db", "m1:1", "a1", False, False, 3, 1)
    >>> rule.exclusion(member, None), rule.exclusion(member, frozenset({"b"})).value
    (None, 'outside-regions')
    """

    regions: Mapping[str, str] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    closing_at: Mapping[str, float] = field(default_factory=dict)
    used_until: Mapping[str, float] = field(default_factory=dict)

    def is_closed(self, zone: str, now: float) -> bool:
        """Return whether nothing at all may be sent to a zone at ``now``, in monotonic seconds."""
        return zone in self.evacuated and now >= self.closing_at.get(zone, now)

    def exclusion(
        self,
        record: MemberRecord,
        regions: frozenset[str] | None,
        *,
        needed_at: float | None = None,
        in_transaction: bool = False,
    ) -> Exclusion | None:
        """Return why a member may not be sent a statement, None if it may.

        Parameters
        ----------
        regions : frozenset of str or None
            Regions in which the statement may run; None for any.
        needed_at : float or None
            The present time in monotonic seconds if no other member can run the statement, so that
            it may be sent until the zone is closed; None if another one can.
        in_transaction : bool
            Whether the statement continues a transaction that is open at the member.

        Examples
        --------
        >>> rule = Eligibility({}, frozenset({"b1"}), {"b1": 12.0})
        >>> member = MemberRecord("m1", "db", "m1:1", "b1", True, False, 3, 1)
        >>> rule.exclusion(member, None), rule.exclusion(member, None, needed_at=11.0)
        (<Exclusion.EVACUATED: 'evacuated'>, None)
        >>> rule.exclusion(member, None, needed_at=12.0)
        <Exclusion.EVACUATED: 'evacuated'>
        >>> rule = Eligibility(used_until={"m1": 15.0})
        >>> rule.exclusion(member, None), rule.exclusion(member, None, needed_at=14.0)
        (<Exclusion.LEAVING: 'leaving'>, None)
        >>> rule.exclusion(member, None, needed_at=15.0)
        <Exclusion.LEAVING: 'leaving'>
        """
        if regions is not None and self.regions.get(record.zone, record.zone) not in regions:
            return Exclusion.OUTSIDE_REGIONS
        if record.zone in self.evacuated and (
            needed_at is None or self.is_closed(record.zone, needed_at)
        ):
            return Exclusion.EVACUATED
        until = None if in_transaction else self.used_until.get(record.instance)
        if until is not None and (needed_at is None or needed_at >= until):
            return Exclusion.LEAVING
        return None
