"""Which announcements are accepted, by what is known of other members. No I/O.

The members of a service report their start, or are of an earlier version and don't.

A service that the configuration doesn't have may be in the next one, so that its members are kept,
but not without limit, and they change nothing about members of configured services.
"""

from collections.abc import Callable, Collection, Iterable

from rowanrail.coordination.lives import LifeOrder
from rowanrail.coordination.rejected_announcements import AnnouncementRejectedError, RejectionReason
from rowanrail.model.members import MemberRecord

__all__ = [
    "MAX_MEMBERS",
    "MAX_UNCONFIGURED_MEMBERS",
    "ConfiguredServices",
    "check_new_member",
    "check_start",
    "check_unconfigured",
]

MAX_MEMBERS = 20_000
MAX_UNCONFIGURED_MEMBERS = 200  # of services that are not in the configuration

ConfiguredServices = Callable[[], Collection[str] | None]


def check_new_member(
    record: MemberRecord, members: Collection[MemberRecord], services: Collection[str] | None
) -> AnnouncementRejectedError | None:
    """Return why a member is not added; None if it is.

    Parameters
    ----------
    members : collection of MemberRecord
        All members.
    services : collection of str or None
        The configured services; None without a configuration.
    """
    if len(members) >= MAX_MEMBERS:
        return _limit_error(MAX_MEMBERS, "members")
    if services is None or record.service in services:
        return None
    if _count_outside(members, services) >= MAX_UNCONFIGURED_MEMBERS:
        return _limit_error(MAX_UNCONFIGURED_MEMBERS, "members of services not configured")
    return None


def check_start(
    record: MemberRecord,
    order: LifeOrder,
    known: MemberRecord | None,
    members: Iterable[MemberRecord],
) -> AnnouncementRejectedError | None:
    """Return why an announcement without a start is rejected, if it is.

    Parameters
    ----------
    order : LifeOrder
        How its life relates to the known one.
    known : MemberRecord or None
        The known member of the same instance.
    members : iterable of MemberRecord
        All members.
    """
    if order is LifeOrder.FOREIGN:
        return _start_error(f"the member {record.instance}")
    if known is not None or record.started_ms:
        return None
    for member in members:
        if member.service == record.service and member.started_ms:
            return _start_error(f"the member {member.instance} of {member.service}")
    return None


def _start_error(who: str) -> AnnouncementRejectedError:
    return AnnouncementRejectedError(RejectionReason.NO_START, f"no start, but {who} tells one")


def check_unconfigured(
    record: MemberRecord, others: Iterable[MemberRecord | None], services: Collection[str]
) -> AnnouncementRejectedError | None:
    """Return why an announcement for a service that is not configured is rejected, if it is.

    Parameters
    ----------
    others : iterable of MemberRecord or None
        The known member of the same instance, and the one at the same address, if any.
    services : collection of str
        The configured services.
    """
    for other in others:
        if other is not None and other.service in services:
            problem = f"{other.instance} is a member of {other.service}, not of {record.service}"
            return AnnouncementRejectedError(RejectionReason.OTHER_SERVICE, problem)
    return None


def _count_outside(members: Iterable[MemberRecord], services: Collection[str]) -> int:
    return sum(member.service not in services for member in members)


def _limit_error(limit: int, what: str) -> AnnouncementRejectedError:
    problem = f"there are {limit} {what}, the maximum"
    return AnnouncementRejectedError(RejectionReason.LIMIT, problem)
