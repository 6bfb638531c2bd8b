"""The decision to replace a primary, without I/O.

:func:`decide` maps a view of one service to a decision, which
:mod:`rowanrail.coordination.failover_controller` carries out. A primary is lost only if all its
observers agree: the gateways that use it, the leader's own samples, and its heartbeats. A frozen
gateway, a zone cut off by the network or an unresponsive replica doesn't cause a failover.
"""

import enum

import msgspec

from rowanrail.model.members import MemberRecord, PrimaryHealth
from rowanrail.model.position import Position

# A shorter failure at an observer doesn't count: a sample fails after 0.3 s, so that one has failed
# and a second one nearly has.
MIN_FAILING_SECONDS = 0.25
MAX_REPORT_AGE_SECONDS = 2.5  # gateways report every second
MAX_PROOF_AGE_SECONDS = 1.8  # exceeds the report interval (1 s) and a sampling interval (0.6 s)
# All failing observers must fail for this long to overrule a minority that succeeds.
OVERRULE_MINORITY_SECONDS = 0.7
HEARTBEAT_SILENCE_SECONDS = 0.3  # a primary with a newer heartbeat is alive
# Until an accepted promotion without effect is ordered again; the slowest takes 1 s.
PROMOTION_TIMEOUT_SECONDS = 2.5
UNKNOWN_OUTCOME_SECONDS = 1.6  # exceeds the promoter's call timeout of 1.5 s
# After taking over, a leader waits this long before it concludes that no member is primary.
NEW_LEADER_SECONDS = 1.0
# After taking over, a leader waits this long for the reports that other nodes forward.
NEW_LEADER_REPORTS_SECONDS = 0.6
# A silent member may return with a longer log than an incomplete one that answers. Longer than a
# process takes to start again, and than most partitions last.
GONE_FOR_GOOD_SECONDS = 20.0
# A leaving primary must get nothing after a few seconds, and then ends with what no replica has.
MAX_LEAVING_SECONDS = 5.0
CLOSED_SILENCE_SECONDS = 3.0  # more than two heartbeat intervals of 1.2 s
# A leaving primary serves for a few seconds; a single answer may be lost, or refused as busy.
LEAVING_SILENCE_SECONDS = 1.0


class MemberView(msgspec.Struct, frozen=True):
    """A member as the leader sees it; ages in seconds.

    :param heartbeat_ago: time since the last heartbeat that reached the leader.
    :param leads: whether its last status says that it is primary; None without a status.
    :param term: the newest term that it knows, from that status.
    :param received: the last position of its log, from that status.
    :param is_incomplete: whether its log ends before the position at which it joined, see
        :mod:`lost_logs`.
    :param may_serve: whether it may run the statements that need the primary, by its zone.
    :param is_warming: whether it, or its zone's use, began a short time ago.
    :param is_closed: whether nothing is sent to it, as its zone was evacuated a while ago.
    """

    record: MemberRecord
    heartbeat_ago: float
    leads: bool | None = None
    term: int = 0
    received: Position | None = None
    is_incomplete: bool = False
    may_serve: bool = True
    is_warming: bool = False
    is_closed: bool = False


class ReportView(msgspec.Struct, frozen=True):
    """What one observer reports of the primary; ages in seconds.

    :param proved_ago: time since its last proof that the primary serves; negative without one.
    :param failing_for: for how long the primary has failed; 0 if it doesn't.
    :param age: age of the report.
    """

    source: str
    instance: str
    proved_ago: float
    failing_for: float
    age: float


def report_view(source: str, health: PrimaryHealth, age: float) -> ReportView:
    """Return the view for a report that an observer made ``age`` seconds ago."""
    proved_ago = health.proved_ago_ms / 1000 if health.proved_ago_ms >= 0 else -1.0
    return ReportView(source, health.instance, proved_ago, health.failing_for_ms / 1000, age)


class AttemptView(msgspec.Struct, frozen=True):
    """The last promotion that this leader ordered.

    :param accepted: whether the platform accepted the order; None without an answer.
    """

    instance: str
    started_ago: float
    accepted: bool | None


class ServiceView(msgspec.Struct, frozen=True):
    """The input to :func:`decide` for one service.

    :param attempt: the last promotion; None if there was none.
    :param holding_for: for how many seconds this node has been the established leader.
    :param vantage_points: number of observers: all gateways, and the leader.
    :param acknowledging_replicas: number of replicas that must hold a commit before it is
        acknowledged.
    :param statuses_fresh: whether the members were just asked for their statuses.
    :param leaving_for: for how many seconds the leader has known, also before it led, that the
        primary is leaving; 0 if it isn't.
    :param orphaned_logs: instances that are gone, and whose logs no member has taken over.
    :param is_primary_known: whether the service is known to have had a primary.
    :param unanswered_for: for how many seconds the primary has not answered the leader's status
        queries; 0 if it answered the last one, or was not asked.
    """

    service: str
    members: list[MemberView]
    reports: list[ReportView]
    attempt: AttemptView | None
    holding_for: float
    vantage_points: int = 1
    acknowledging_replicas: int = 0
    statuses_fresh: bool = False
    unanswered_for: float = 0.0
    leaving_for: float = 0.0
    orphaned_logs: tuple[str, ...] = ()
    is_primary_known: bool = True

    @property
    def is_move_overdue(self) -> bool:
        """Whether a leaving primary must be replaced, although no replica has all of its log."""
        return self.leaving_for >= MAX_LEAVING_SECONDS


class Action(enum.Enum):
    """What the failover controller does next."""

    WAIT = "wait"
    ASK_STATUSES = "ask-statuses"
    PROMOTE = "promote"


class Decision(msgspec.Struct, frozen=True):
    """An action with its reason, and the member to promote, or that leads, if there is one."""

    action: Action
    reason: str
    instance: str = ""


def describe_logs(view: ServiceView) -> list[str]:
    """Return what is known of each member's log, for the log lines of a decision.

    Examples
    --------
    >>> m1 = MemberRecord("m1", "db", "m1:1", "a", True, False, 3, 1)
    >>> m2 = MemberRecord("m2", "db", "m2:1", "a", False, True, 3, 1)
    >>> members = [MemberView(m1, 2.0), MemberView(m2, 0.1, False, 4, Position(4, 129))]
    >>> describe_logs(ServiceView("db", members, [], None, 60.0))
    ['m1 no answer', 'm2 4.129 leaving']
    """
    gone = [f"{instance} gone" for instance in view.orphaned_logs]
    return [_describe_log(member) for member in view.members] + gone


def _describe_log(member: MemberView) -> str:
    received = member.received
    position = "no answer" if received is None else f"{received.term}.{received.index}"
    signs = {
        "leads": bool(member.leads),
        "leaving": member.record.leaving,
        "incomplete": member.is_incomplete,
    }
    return " ".join([member.record.instance, position, *(sign for sign in signs if signs[sign])])


def decide(view: ServiceView) -> Decision:
    """Return whether to wait, to ask members for their statuses, or to promote a member."""
    if view.attempt is not None and is_promotion_pending(view, view.attempt):
        return Decision(Action.WAIT, "a promotion is under way")
    reason = _reason_to_replace(view)
    if not reason:
        return Decision(Action.WAIT, "the primary serves")
    if not view.statuses_fresh:
        return Decision(Action.ASK_STATUSES, reason)
    leading = next((member for member in view.members if _still_leads(view, member)), None)
    if leading is not None:
        return Decision(Action.WAIT, "a member says that it leads", leading.record.instance)
    if not _covers_acknowledged_commits(view):
        return Decision(Action.WAIT, "too few replicas answer to know all that was acknowledged")
    candidate = _best_candidate(view)
    if candidate is None:
        return Decision(Action.WAIT, "no candidate answers")
    if not candidate.may_serve and any(member.is_closed for member in view.members):
        return Decision(Action.WAIT, "no candidate may serve outside the closed zones")
    if candidate.is_incomplete and any(_may_return(view, member) for member in view.members):
        return Decision(
            Action.WAIT, "a silent member may have received more than those that answer"
        )
    return Decision(Action.PROMOTE, reason, candidate.record.instance)


def _still_leads(view: ServiceView, member: MemberView) -> bool:
    """Return whether a member leads by its status and need not be replaced."""
    is_overdue = member.record.leaving and view.is_move_overdue
    return bool(member.leads) and not member.is_incomplete and not is_overdue


def is_promotion_pending(view: ServiceView, attempt: AttemptView) -> bool:
    """Return whether an ordered promotion may still take effect."""
    if any(m.record.instance == attempt.instance and m.record.primary for m in view.members):
        return False
    if attempt.accepted is False:
        return False
    limit = PROMOTION_TIMEOUT_SECONDS if attempt.accepted else UNKNOWN_OUTCOME_SECONDS
    return attempt.started_ago < limit


def _reason_to_replace(view: ServiceView) -> str:
    """Return why the primary must be replaced; empty if it need not be."""
    primaries = [member for member in view.members if member.record.primary]
    if not view.members:
        return ""
    if not primaries:
        return "no member leads" if view.holding_for > NEW_LEADER_SECONDS else ""
    if all(member.is_closed for member in primaries):
        return _loss_in_closed_zone(view, primaries)
    if all(member.record.leaving for member in primaries) and (
        view.unanswered_for >= LEAVING_SILENCE_SECONDS
    ):
        return "the primary is leaving and does not answer"
    if view.is_move_overdue:
        return "the primary is leaving, and no replica has received all of its log"
    if view.holding_for < NEW_LEADER_REPORTS_SECONDS:
        return ""
    if min(member.heartbeat_ago for member in primaries) < HEARTBEAT_SILENCE_SECONDS:
        return ""
    return _reported_loss(view, {member.record.instance for member in primaries})


def _loss_in_closed_zone(view: ServiceView, primaries: list[MemberView]) -> str:
    """Return why a primary must be replaced to which nothing is sent; empty if it need not be.

    Its heartbeats are the only sign of life. While they arrive, it may have acknowledged commits
    that no replica has received, so that it isn't replaced.
    """
    silent_for = min(member.heartbeat_ago for member in primaries)
    is_silent = min(silent_for, view.holding_for) >= CLOSED_SILENCE_SECONDS
    if is_silent and any(member.may_serve for member in view.members):
        return "the primary is silent, and its zone is closed"
    return ""


def _reported_loss(view: ServiceView, primaries: set[str]) -> str:
    live = [report for report in view.reports if report.age < MAX_REPORT_AGE_SECONDS]
    failing = [
        report
        for report in live
        if report.failing_for >= MIN_FAILING_SECONDS and report.instance in primaries | {""}
    ]
    if len(failing) < min(2, view.vantage_points):
        return ""
    shortest = min(report.failing_for + report.age for report in failing)
    # A proof from before the others' failures doesn't contradict them.
    contradicted_within = max(shortest, MAX_PROOF_AGE_SECONDS)
    serving = [
        report
        for report in live
        if not report.failing_for
        and report.proved_ago >= 0
        and report.proved_ago + report.age < contradicted_within
    ]
    if not serving:
        return f"the primary is lost: {len(failing)} vantage points fail, none succeeds"
    if len(failing) > 2 * len(serving) and shortest >= OVERRULE_MINORITY_SECONDS:
        return f"the primary is lost to {len(failing)} of {len(failing) + len(serving)}"
    return ""


def _covers_acknowledged_commits(view: ServiceView) -> bool:
    """Return whether each acknowledged commit is in the log of a member that may be promoted.

    A commit is acknowledged once it is in the primary's log and in those of as many replicas as
    must acknowledge it. One of these logs can be promoted, unless all of them are unavailable.
    """
    if not view.acknowledging_replicas:
        return True
    unavailable = sum(
        member.received is None or member.is_incomplete or bool(member.leads)
        for member in view.members
    )
    unavailable += len(view.orphaned_logs) + (not view.is_primary_known)
    return unavailable <= view.acknowledging_replicas


def _may_return(view: ServiceView, member: MemberView) -> bool:
    """Return whether a member is silent, but not for so long that it is lost permanently."""
    silent_for = min(member.heartbeat_ago, view.holding_for)
    is_silent = member.received is None and not member.record.leaving
    return is_silent and silent_for < GONE_FOR_GOOD_SECONDS


def _best_candidate(view: ServiceView) -> MemberView | None:
    """Return the member to promote, None if no candidate answers.

    With acknowledging replicas it is the member whose log ends last. Without them it is the one
    with the longest log among those in the newest reported term that aren't leaving. A member in an
    older term may hold commits that a later promotion discarded. A member whose log is incomplete
    is a candidate only if no other answers, as it may know of the newest term without having
    received the log before it. Of logs of the same length, one of a member that may serve is
    preferred.
    """
    answered = [member for member in view.members if member.received is not None]
    complete = [member for member in answered if not member.is_incomplete]
    if view.acknowledging_replicas:
        return _furthest_log(complete)
    return _longest_log(complete) or _longest_log(answered)


def _furthest_log(answered: list[MemberView]) -> MemberView | None:
    """Return the member whose log ends last, even if it is leaving or knows only an older term.

    Of two logs, the one that ends last has all acknowledged commits of the other. A member that
    leaves and is promoted hands over to another one as soon as that has its log.
    """
    return max(
        (member for member in answered if not member.leads),
        key=lambda m: (m.received, m.may_serve, not m.record.leaving, m.record.instance),
        default=None,
    )


def _longest_log(answered: list[MemberView]) -> MemberView | None:
    newest = max((member.term for member in answered), default=0)
    candidates = [
        member
        for member in answered
        if member.term == newest and not member.record.leaving and not member.leads
    ]
    return max(candidates, key=lambda m: (m.received, m.may_serve, m.record.instance), default=None)
