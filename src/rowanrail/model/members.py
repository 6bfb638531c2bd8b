"""Records of announced members and of a primary's health as observed by a gateway.

``MemberRecord`` is sent and stored with its field names, ``PrimaryHealth`` as an array. Each start
of a member is a *life*, identified by the instance and the time of the start.
"""

import msgspec
from msgspec import UNSET, UnsetType


class MemberRecord(msgspec.Struct, frozen=True):
    """An announced member; the field names are sent and stored.

    Parameters
    ----------
    instance : str
        Identity of the member; a member may start again under the same one.
    service : str
        Service whose data the member has.
    address : str
        ``IP:port`` at which it accepts connections.
    primary, leaving : bool
        Whether it reports to be the primary, and to be about to stop.
    slots : int
        Number of statements that it runs concurrently.
    sequence : int
        Increases with each announcement; a lower one is outdated.
    cold_ms : int
        Remaining milliseconds of slowness after its start, at the announcement.
    start_ms : int or UnsetType
        Unix milliseconds of its start; not encoded if the member doesn't report it.
    """

    instance: str
    service: str
    address: str
    zone: str
    primary: bool
    leaving: bool
    slots: int
    sequence: int
    cold_ms: int = 0
    start_ms: int | UnsetType = UNSET

    @property
    def started_ms(self) -> int:
        """Unix milliseconds of its start, 0 if the member doesn't report it."""
        return 0 if self.start_ms is UNSET else self.start_ms


def is_same_life(before: MemberRecord, after: MemberRecord) -> bool:
    """Return whether two records of one instance, the second being newer, are of the same life.

    A member is taken to report the start of the running life if its sequence continues: control
    nodes of an earlier version don't record starts.

    Examples
    --------
    >>> first = MemberRecord("m1", "db", "m1:1", "a", False, False, 3, 40, start_ms=500)
    >>> again = msgspec.structs.replace(first, sequence=1, start_ms=900)
    >>> is_same_life(first, again)
    False
    >>> unknown = msgspec.structs.replace(first, start_ms=UNSET, sequence=39)
    >>> is_same_life(unknown, first), is_same_life(unknown, again)
    (True, False)
    """
    if before.started_ms == after.started_ms:
        return True
    return not before.started_ms and after.sequence > before.sequence


class PrimaryHealth(msgspec.Struct, frozen=True, array_like=True):
    """Health of a service's primary as observed by a gateway; ages in whole milliseconds.

    Parameters
    ----------
    instance : str
        The assumed primary; empty if none is known.
    proved_ago_ms : int
        Since the last proof of its leadership; -1 without one.
    failing_for_ms : int
        For how long all attempts have failed; 0 after a success.
    """

    service: str
    instance: str
    proved_ago_ms: int
    failing_for_ms: int
