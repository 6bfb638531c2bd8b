"""Plug-ins without their guard: what a scenario puts in a guard's place to be seen failing."""

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
    """Every member is fresh enough."""

    def is_fresh(self, committed: Position, floor: Position) -> bool:
        """See the guard."""
        return True


class AlwaysConfirmed(TermConfirmation):
    """Every write is confirmed at once."""

    def is_confirmed(
        self, position: Position, statuses: Sequence[MemberStatus], members: int
    ) -> bool:
        """See the guard."""
        return True


class NoPinning(Pinning):
    """Transactions change their connection between statements."""

    def keeps_connection(self) -> bool:
        """See the guard."""
        return False


class AlwaysReusable(LateAnswerDiscard):
    """A connection with a late answer is used again."""

    def is_reusable(self, answered: bool) -> bool:
        """See the guard."""
        return True


class AlwaysNotRun(OutcomeClassification):
    """Whatever is lost counts as not run."""

    def connection_lost_error(
        self, message: str, *, sent: bool, retry_after_seconds: float, step: str, peer: str
    ) -> CallerError:
        """See the guard."""
        return NotRunError(message, retry_after_seconds=retry_after_seconds, step=step, peer=peer)


class NoRequestRecord(RequestRecord):
    """Request ids are not recorded."""

    def records_requests(self) -> bool:
        """See the guard."""
        return False


class AlwaysAcceptsWork(LeavingCheck):
    """Leaving members get work."""

    def accepts_work(self, leaving: bool) -> bool:
        """See the guard."""
        return True


class NoDrainWait(DrainWait):
    """A planned stop waits for nothing."""

    def must_wait(self, busy: bool, in_transaction: bool) -> bool:
        """See the guard."""
        return False


class AnyExpectedVersion(ExpectedVersion):
    """A change applies whatever it was made against."""

    def matches(self, base_version: int, current_version: int) -> bool:
        """See the guard."""
        return True


class NonMonotonicVersions(VersionMonotonic):
    """Any other version than the one in force is taken."""

    def accepts(self, in_force: int, offered: int) -> bool:
        """See the guard."""
        return offered != in_force


class NoQuorumCheck(QuorumCheck):
    """A leader needs nobody's answer."""

    def has_quorum(self, answered: int, voters: int) -> bool:
        """See the guard."""
        return True


class IdentityReuse(LearnerFirst):
    """A node with an empty folder goes on under its old identity, with its vote."""

    def new_node_id(self, name: str, random_id: str) -> str:
        """See the guard."""
        return f"{name}@1"


class Guard(enum.Enum):
    """The guards that a scenario can take away."""

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
    """Return the plug-ins of a run. ``fsync`` is no plug-in: the simulated disk leaves it out."""
    registry = Registry()
    if guard is not None and guard in _REPLACEMENTS:
        replacement = _REPLACEMENTS[guard]
        registry.replace(replacement.kind, guard.value, replacement.plugin)
    return registry
