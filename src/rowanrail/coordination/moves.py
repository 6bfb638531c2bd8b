"""Rules for moving a primary that still serves, without I/O.

A move demotes the primary, waits until a successor has received the last position of its log, and
promotes the successor. :mod:`rowanrail.coordination.primary_mover` carries it out. Once a primary
has been demoted, :func:`decide_after_demotion` takes the place of
:func:`rowanrail.coordination.failover.decide`, also at a leader that takes over halfway.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from rowanrail.coordination.failover import (
    PROMOTION_TIMEOUT_SECONDS,
    Action,
    AttemptView,
    Decision,
    MemberView,
    ServiceView,
    decide,
    is_promotion_pending,
)
from rowanrail.members.eligibility import Eligibility, Exclusion
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.routing import RoutingConfiguration

__all__ = [
    "Demotion",
    "MAX_LAG_SECONDS",
    "Placement",
    "choose_successor",
    "decide_after_demotion",
    "is_possible_successor",
    "required_regions",
    "retry_delay_seconds",
]

# A replica that takes longer to receive the primary's position isn't chosen as successor.
MAX_LAG_SECONDS = 0.6
CATCH_UP_SECONDS = 1.0  # after a demotion, until the former primary is promoted again
FORMER_ANSWER_SECONDS = 2.0  # wait for a demoted primary whose last position is not known
WAIT_FOR_SUCCESSOR_SECONDS = 0.5  # between two attempts to find a successor
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS = 2.0, 32.0  # after a move that failed

_REASONS = {
    Exclusion.EVACUATED: "the zone of the primary is evacuated",
    Exclusion.OUTSIDE_REGIONS: "the primary is outside the regions of its routes",
}


@dataclass(frozen=True, slots=True)
class Placement:
    """Where primaries may be.

    Parameters
    ----------
    rule : Eligibility
        Excludes members by their zone.
    regions : mapping of str to frozenset of str
        By service, the regions that its routes need; a missing service may be anywhere.
    warm_up_seconds : mapping of str to float
        By service, how long a member warms up.
    reopened_ms : mapping of str to int
        By zone, when its last evacuation ended, in Unix milliseconds.

    Examples
    --------
    >>> placement = Placement(Eligibility({}, frozenset({"a1"})))
    >>> primary = MemberRecord("m1", "db", "m1:1", "a1", True, False, 3, 1)
    >>> placement.reason_to_move(primary), placement.may_serve(primary)
    ('the zone of the primary is evacuated', False)
    """

    rule: Eligibility = field(default_factory=Eligibility)
    regions: Mapping[str, frozenset[str]] = field(default_factory=dict)
    warm_up_seconds: Mapping[str, float] = field(default_factory=dict)
    reopened_ms: Mapping[str, int] = field(default_factory=dict)

    def reason_to_move(self, primary: MemberRecord) -> str:
        """Return why a primary must move, empty if it need not."""
        if primary.leaving:
            return "the primary is leaving"
        exclusion = self.rule.exclusion(primary, self.regions.get(primary.service))
        return "" if exclusion is None else _REASONS[exclusion]

    def may_serve(self, record: MemberRecord) -> bool:
        """Return whether a member may run the statements that need the primary."""
        return self.rule.exclusion(record, self.regions.get(record.service)) is None

    def is_warming(self, record: MemberRecord, now_ms: float) -> bool:
        """Return whether a member started, or its zone was reopened, a short time ago."""
        warm_up_ms = self.warm_up_seconds.get(record.service, 0.0) * 1000
        begun = max(record.started_ms, self.reopened_ms.get(record.zone, 0))
        return now_ms < begun + warm_up_ms


def required_regions(configuration: RoutingConfiguration, service: str) -> frozenset[str] | None:
    """Return the regions in which all statements of a service may run, None for any.

    The tenants' regions narrow those of the routes unless no region would be left. Routes without
    a common region need none: no member could run all of their statements.
    """
    routes = [r.regions for r in configuration.routes.values() if r.service == service]
    common = _common(routes)
    if common is not None and not common:
        return None
    tenants = configuration.tenants.by_name.values() if configuration.tenants else ()
    narrowed = _common([common, *(tenant.regions for tenant in tenants)])
    return narrowed or common


def _common(sets: list[frozenset[str] | None]) -> frozenset[str] | None:
    """Return the intersection of the sets, of which None means everything."""
    limits = [limit for limit in sets if limit is not None]
    return frozenset.intersection(*limits) if limits else None


def is_possible_successor(member: MemberView, former: MemberView) -> bool:
    """Return whether a primary may move to a member by what is known of their places."""
    return (
        member.record.instance != former.record.instance
        and not member.record.leaving
        and (member.may_serve or former.record.leaving)
    )


def choose_successor(
    members: list[MemberView], former: MemberView, position: Position
) -> MemberView | None:
    """Return the member to which a primary moves, None if there is none yet.

    Parameters
    ----------
    members : list of MemberView
        All members, with their current statuses.
    former : MemberView
        The primary, which answered.
    position : Position
        A position that the primary had received when the move began; the successor has it.
    """
    candidates = [
        member
        for member in members
        if member.received is not None
        and member.received >= position
        and is_possible_successor(member, former)
    ]
    return max(candidates, key=_suitability, default=None)


def _suitability(member: MemberView) -> tuple[bool, bool, Position | None, str]:
    return (
        member.may_serve,
        not member.is_warming,
        member.received,
        member.record.instance,
    )


@dataclass(frozen=True, slots=True)
class Demotion:
    """A primary that was demoted and not yet replaced.

    Parameters
    ----------
    former : str
        The demoted primary.
    intended : str
        The member named by the last promotion in the log; an order to promote it may be under way.
    ago : float
        Seconds since the demotion, or since this leader learned of it.
    position : Position or None
        Last position of the former primary's log; None if this leader has not been told it.
    """

    former: str
    intended: str
    ago: float
    position: Position | None = None


def decide_after_demotion(view: ServiceView, demotion: Demotion) -> Decision:
    """Return the next step for a service whose primary was demoted.

    A member that has everything that the former primary acknowledged is promoted; if there is none
    in time, the former primary itself, even one that may not serve: its replicas then catch up, and
    a later move succeeds. The longest log is promoted without that only if the former primary
    doesn't answer, or has started again without its log.
    """
    former = _member(view, demotion.former)
    if former is None and demotion.position is None:
        return decide(view)
    if _is_order_pending(view, demotion):
        return Decision(Action.WAIT, "a promotion is under way")
    if not view.statuses_fresh:
        return Decision(Action.ASK_STATUSES, "the primary was demoted")
    if any(member.leads for member in view.members):
        return Decision(Action.WAIT, "a member says that it leads")
    position = demotion.position
    answers = former is not None and _has_its_log(former, demotion)
    if former is not None and answers:
        position = former.received
    if position is not None:
        candidate = _complete_member(view, demotion, position)
        if candidate is not None:
            return Decision(Action.PROMOTE, "it has all commits of the demoted primary", candidate)
    if not answers:
        if demotion.ago < FORMER_ANSWER_SECONDS:
            return Decision(Action.WAIT, "the demoted primary does not answer")
        return decide(_with_incomplete(view, demotion.former))
    if demotion.ago < CATCH_UP_SECONDS:
        return Decision(Action.WAIT, "no member has received all commits yet")
    return Decision(Action.PROMOTE, "no other member received all commits in time", demotion.former)


def _has_its_log(former: MemberView, demotion: Demotion) -> bool:
    """Return whether the demoted primary answers, and has not started again without its log."""
    if former.received is None or former.is_incomplete:
        return False
    return demotion.position is None or former.received >= demotion.position


def _with_incomplete(view: ServiceView, instance: str) -> ServiceView:
    """Return a view in which a member's log counts as incomplete."""
    members = [
        msgspec.structs.replace(member, is_incomplete=True)
        if member.record.instance == instance
        else member
        for member in view.members
    ]
    return msgspec.structs.replace(view, members=members)


def _order(view: ServiceView, demotion: Demotion) -> AttemptView | None:
    """Return the order that followed the demotion, None if there is none yet."""
    attempt = view.attempt
    if attempt is None or (demotion.position is not None and attempt.started_ago > demotion.ago):
        return None
    return attempt


def _is_order_pending(view: ServiceView, demotion: Demotion) -> bool:
    attempt = _order(view, demotion)
    if attempt is None:
        return False
    if attempt.instance == demotion.former:
        # Its record may still be that of the time before the demotion.
        return attempt.accepted is not False and attempt.started_ago < PROMOTION_TIMEOUT_SECONDS
    return is_promotion_pending(view, attempt)


def _complete_member(view: ServiceView, demotion: Demotion, position: Position) -> str | None:
    """Return the member to promote of those that have a position.

    The intended one is preferred: an earlier order for it may be carried out at any time, and its
    first commits would be lost if another member were promoted after it. An order that was answered
    and had no effect is not carried out any more.
    """
    attempt = _order(view, demotion)
    answered = attempt.instance if attempt is not None and attempt.accepted is not None else ""
    refused = answered if attempt is not None and attempt.accepted is False else ""
    intended = demotion.intended if demotion.intended != answered else ""
    candidates = [
        member
        for member in view.members
        if member.received is not None
        and member.received >= position
        and member.record.instance != refused
        and (member.record.instance == intended or _may_succeed(member, demotion))
    ]
    if not candidates:
        return None
    best = max(
        candidates,
        key=lambda m: (m.received, m.record.instance == intended, *_suitability(m)),
    )
    return best.record.instance


def _may_succeed(member: MemberView, demotion: Demotion) -> bool:
    is_former = member.record.instance == demotion.former
    return member.may_serve and not member.record.leaving and not is_former


def _member(view: ServiceView, instance: str) -> MemberView | None:
    return next((m for m in view.members if m.record.instance == instance), None)


def retry_delay_seconds(failures: int) -> float:
    """Return the delay before the next move after a number of failures in a row.

    Examples
    --------
    >>> retry_delay_seconds(1), retry_delay_seconds(3), retry_delay_seconds(9)
    (2.0, 8.0, 32.0)
    """
    return min(MIN_RETRY_SECONDS * 2.0 ** (failures - 1), MAX_RETRY_SECONDS)
