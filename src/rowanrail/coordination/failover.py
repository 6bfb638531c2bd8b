"""The decision to replace a primary, apart from any I/O.

A view of one service goes in, a decision comes out; ``failover_controller.py`` carries it out.
A primary counts as lost only when every vantage point that can tell agrees: the gateways
that used it, the holder's own samples, and its heartbeats. One frozen gateway, a cut zone or
a deaf replica is no lost primary.
"""

import enum

import msgspec

from rowanrail.model.members import MemberRecord, PrimaryHealth
from rowanrail.model.position import Position

FAILING_SECONDS = 0.25  # at one vantage point: a sample failed after 0.3 s, a second one nearly
REPORT_LIVE_SECONDS = 2.5  # reports come each second; two and a half of them
PROVED_LIVE_SECONDS = 1.8  # a report each second, and 0.6 s between samples of a calm service
MINORITY_SECONDS = 0.7  # of failing, before a small minority that still reaches it is overruled
HEARTBEAT_SILENCE_SECONDS = 0.3  # a primary that was heard this short ago is not dead
# The slowest promotion of the played sites takes 1 s; then it is ordered again.
SETTLE_SECONDS = 2.5
ANSWER_UNKNOWN_SECONDS = 1.6  # the promoter gives a call 1.5 s
NEW_HOLDER_SECONDS = 1.0  # before it believes that no member leads: some may be unheard yet
NEW_HOLDER_REPORTS_SECONDS = 0.6  # before it acts on reports; other nodes send it theirs at once


class MemberView(msgspec.Struct, frozen=True):
    """A member as the holder sees it; ages in seconds.

    :param heartbeat_ago: since its last heartbeat, as far as the holder knows.
    :param leads: what its last status said; None if it did not answer one.
    :param term: the newest term that it knows of, by that status.
    :param received: its log's last position by that status.
    """

    record: MemberRecord
    heartbeat_ago: float
    leads: bool | None = None
    term: int = 0
    received: Position | None = None


class ReportView(msgspec.Struct, frozen=True):
    """What one vantage point says of the primary; ages in seconds."""

    source: str
    instance: str
    proved_ago: float
    failing_for: float
    age: float


def report_view(source: str, health: PrimaryHealth, age: float) -> ReportView:
    """Return what a vantage point said ``age`` seconds ago."""
    proved_ago = health.proved_ago_ms / 1000 if health.proved_ago_ms >= 0 else -1.0
    return ReportView(source, health.instance, proved_ago, health.failing_for_ms / 1000, age)


class AttemptView(msgspec.Struct, frozen=True):
    """The last promotion that this holder asked for.

    :param accepted: whether the platform took the order; None if it gave no answer.
    """

    instance: str
    started_ago: float
    accepted: bool | None


class ServiceView(msgspec.Struct, frozen=True):
    """All that decides about one service.

    :param acknowledging_replicas: replicas that hold a commit before it is acknowledged.
    :param vantage_points: how many gateways and holders could tell.
    """

    service: str
    members: list[MemberView]
    reports: list[ReportView]
    attempt: AttemptView | None
    holding_for: float
    vantage_points: int = 1
    acknowledging_replicas: int = 0
    statuses_fresh: bool = False


class Action(enum.Enum):
    """What to do."""

    WAIT = "wait"
    ASK_STATUSES = "ask-statuses"
    PROMOTE = "promote"


class Decision(msgspec.Struct, frozen=True):
    """An action with its reason."""

    action: Action
    reason: str
    instance: str = ""


def decide(view: ServiceView) -> Decision:
    """Return what to do about a service's primary."""
    if view.attempt is not None and _is_unsettled(view, view.attempt):
        return Decision(Action.WAIT, "a promotion is under way")
    reason = _reason_to_replace(view)
    if not reason:
        return Decision(Action.WAIT, "the primary serves")
    if not view.statuses_fresh:
        return Decision(Action.ASK_STATUSES, reason)
    if any(member.leads and not member.record.leaving for member in view.members):
        return Decision(Action.WAIT, "a member says that it leads")
    if not _hears_every_acknowledged_commit(view):
        return Decision(Action.WAIT, "too few replicas answer to know all that was acknowledged")
    candidate = _best_candidate(view)
    if candidate is None:
        return Decision(Action.WAIT, "no candidate answers")
    return Decision(Action.PROMOTE, reason, candidate)


def _is_unsettled(view: ServiceView, attempt: AttemptView) -> bool:
    if any(m.record.instance == attempt.instance and m.record.primary for m in view.members):
        return False
    if attempt.accepted is False:
        return False
    limit = SETTLE_SECONDS if attempt.accepted else ANSWER_UNKNOWN_SECONDS
    return attempt.started_ago < limit


def _reason_to_replace(view: ServiceView) -> str:
    """Return why the primary is to be replaced; empty if it is not."""
    primaries = [member for member in view.members if member.record.primary]
    if not view.members:
        return ""
    if not primaries:
        return "no member leads" if view.holding_for > NEW_HOLDER_SECONDS else ""
    if all(member.record.leaving for member in primaries):
        return "the primary is leaving"
    if view.holding_for < NEW_HOLDER_REPORTS_SECONDS:
        return ""
    if min(member.heartbeat_ago for member in primaries) < HEARTBEAT_SILENCE_SECONDS:
        return ""
    return _lost_by_reports(view, {member.record.instance for member in primaries})


def _lost_by_reports(view: ServiceView, primaries: set[str]) -> str:
    live = [report for report in view.reports if report.age < REPORT_LIVE_SECONDS]
    failing = [
        report
        for report in live
        if report.failing_for >= FAILING_SECONDS and report.instance in primaries | {""}
    ]
    if len(failing) < min(2, view.vantage_points):
        return ""
    shortest = min(report.failing_for + report.age for report in failing)
    # A proof that is older than the others' failures contradicts nothing.
    contradicted_within = max(shortest, PROVED_LIVE_SECONDS)
    serving = [
        report
        for report in live
        if not report.failing_for
        and report.proved_ago >= 0
        and report.proved_ago + report.age < contradicted_within
    ]
    if not serving:
        return f"the primary is lost: {len(failing)} vantage points fail, none succeeds"
    if len(failing) > 2 * len(serving) and shortest >= MINORITY_SECONDS:
        return f"the primary is lost to {len(failing)} of {len(failing) + len(serving)}"
    return ""


def _hears_every_acknowledged_commit(view: ServiceView) -> bool:
    """Return whether any set of replicas that acknowledged a commit has one that answered."""
    if not view.acknowledging_replicas:
        return True
    replicas = [member for member in view.members if not member.record.primary]
    silent = sum(member.received is None for member in replicas)
    return silent < view.acknowledging_replicas


def _best_candidate(view: ServiceView) -> str | None:
    """Return the member whose log goes furthest in the newest term that any member reports.

    A member that knows only of an older term may hold commits that a promotion undid.
    """
    answered = [member for member in view.members if member.received is not None]
    newest = max((member.term for member in answered), default=0)
    candidates = [
        member
        for member in answered
        if member.term == newest and not member.record.leaving and not member.leads
    ]
    if not candidates:
        return None
    best = max(candidates, key=lambda member: (member.received, member.record.instance))
    return best.record.instance
