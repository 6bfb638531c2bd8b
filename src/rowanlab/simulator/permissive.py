"""Plug-ins that disable one guard, to show that a scenario fails without it."""

import enum
from collections.abc import Sequence

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.policies import LearnerFirst, QuorumCheck
from rowanrail.kernel.errors import CallerError, NotRunError
from rowanrail.kernel.registry import Registry
from rowanrail.model.position import Position
from rowanrail.sql_control.policies import ExpectedVersion
from rowanrail.sql_proxy.backend import MemberStatus
from rowanrail.sql_proxy.policies import (
    DrainWait,
    Freshness,
    LateAnswerDiscard,
    LeavingCheck,
    OutcomeClassification,
    Pinning,
    RequestRecord,
    TermConfirmation,
)


class AlwaysFresh(Freshness):
    """Treats every member as fresh enough."""

    def is_fresh(self, committed: Position, floor: Position) -> bool:
        """Return True, whatever the member has committed."""
        return True


class AlwaysConfirmed(TermConfirmation):
    """Confirms every write at once."""

    def is_confirmed(
        self, position: Position, statuses: Sequence[MemberStatus], members: int
    ) -> bool:
        """Return True, whatever the members report."""
        return True


class NoPinning(Pinning):
    """Lets a transaction change its connection between statements."""

    def keeps_connection(self) -> bool:
        """Return False: a transaction is not pinned to its connection."""
        return False


class AlwaysReusable(LateAnswerDiscard):
    """Reuses connections whose last answer is still outstanding."""

    def is_reusable(self, answered: bool) -> bool:
        """Return True, also for an unanswered connection."""
        return True


class AlwaysNotRun(OutcomeClassification):
    """Classifies every lost statement as not run."""

    def connection_lost_error(
        self, message: str, *, sent: bool, retry_after_seconds: float, step: str, peer: str
    ) -> CallerError:
        """Return a :class:`NotRunError`, also for a statement that was sent."""
        return NotRunError(message, retry_after_seconds=retry_after_seconds, step=step, peer=peer)


class NoRequestRecord(RequestRecord):
    """Does not record request ids."""

    def records_requests(self) -> bool:
        """Return False: repeated requests run again."""
        return False


class AlwaysAcceptsWork(LeavingCheck):
    """Sends new work to members that are leaving."""

    def accepts_work(self, leaving: bool) -> bool:
        """Return True, also for a leaving member."""
        return True


class NoDrainWait(DrainWait):
    """Lets a planned stop interrupt requests and transactions."""

    def must_wait(self, busy: bool, in_transaction: bool) -> bool:
        """Return False, also for a busy session."""
        return False


class AnyExpectedVersion(ExpectedVersion):
    """Applies a change whichever version it is based on."""

    def matches(self, base_version: int, current_version: int) -> bool:
        """Return True, also for an outdated base version."""
        return True


class NonMonotonicVersions(VersionMonotonic):
    """Accepts older versions as well as newer ones."""

    def accepts(self, in_force: int, offered: int) -> bool:
        """Return whether the offered version differs from the one in force."""
        return offered != in_force


class NoQuorumCheck(QuorumCheck):
    """Lets a leader go on without answers from a majority."""

    def has_quorum(self, answered: int, voters: int) -> bool:
        """Return True, also if no voter has answered."""
        return True


class IdentityReuse(LearnerFirst):
    """Lets a node that lost its disk keep its identity, and so its vote."""

    def new_node_id(self, name: str, random_id: str) -> str:
        """Return the node's first identity instead of the fresh one."""
        return f"{name}@1"


class Guard(enum.Enum):
    """The guards that a run can disable."""

    FRESHNESS = "freshness"
    TERM_CONFIRMATION = "term-confirmation"
    PINNING = "pinning"
    LATE_ANSWER_DISCARD = "late-answer-discard"
    OUTCOME_CLASSIFICATION = "outcome-classification"
    REQUEST_RECORD = "request-record"
    LEAVING_CHECK = "leaving-check"
    DRAIN_WAIT = "drain-wait"
    VERSION_MONOTONIC = "version-monotonic"
    EXPECTED_VERSION = "expected-version"
    CHECK_QUORUM = "check-quorum"
    LEARNER_FIRST = "learner-first"
    FSYNC = "fsync"


class _Replacement(msgspec.Struct, frozen=True):
    kind: str
    plugin: type


_REPLACEMENTS = {
    Guard.FRESHNESS: _Replacement("proxy-guard", AlwaysFresh),
    Guard.TERM_CONFIRMATION: _Replacement("proxy-guard", AlwaysConfirmed),
    Guard.PINNING: _Replacement("proxy-guard", NoPinning),
    Guard.LATE_ANSWER_DISCARD: _Replacement("proxy-guard", AlwaysReusable),
    Guard.OUTCOME_CLASSIFICATION: _Replacement("proxy-guard", AlwaysNotRun),
    Guard.REQUEST_RECORD: _Replacement("proxy-guard", NoRequestRecord),
    Guard.LEAVING_CHECK: _Replacement("proxy-guard", AlwaysAcceptsWork),
    Guard.DRAIN_WAIT: _Replacement("proxy-guard", NoDrainWait),
    Guard.VERSION_MONOTONIC: _Replacement("control-guard", NonMonotonicVersions),
    Guard.EXPECTED_VERSION: _Replacement("control-guard", AnyExpectedVersion),
    Guard.CHECK_QUORUM: _Replacement("consensus-guard", NoQuorumCheck),
    Guard.LEARNER_FIRST: _Replacement("consensus-guard", IdentityReuse),
}


def registry_without(guard: Guard | None) -> Registry:
    """Return the plug-ins of a run with one guard disabled.

    ``Guard.FSYNC`` changes no plug-in: the simulated disk ignores syncs instead.
    """
    registry = Registry()
    if guard is not None and guard in _REPLACEMENTS:
        replacement = _REPLACEMENTS[guard]
        registry.replace(replacement.kind, guard.value, replacement.plugin)
    return registry
