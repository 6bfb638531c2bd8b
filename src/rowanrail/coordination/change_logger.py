"""Logs changes of a control node: leader, configuration, directory, voters, storage, evacuations.

Keeps what it logged last, so that each change is logged once. Relies on the consensus node and the
state for the present values.
"""

from collections.abc import Callable

from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.events import (
    DIRECTORY_COMMITTED,
    EVACUATIONS_COMMITTED,
    FEATURE_LEVEL_RAISED,
    LEADER_KNOWN,
    LEADER_LOST,
    MEMBERSHIP_CHANGED,
    STORAGE_LOST,
    STORAGE_REGAINED,
    VERSION_COMMITTED,
)
from rowanrail.coordination.state import CoordinationState
from rowanrail.kernel.decisions import DecisionLog

__all__ = ["ChangeLogger"]


class ChangeLogger:
    """Logs the differences between the present state and what was logged last.

    Parameters
    ----------
    consensus : ConsensusNode
        The node of the replicated log.
    state : CoordinationState
        The state after its committed entries.
    decisions : DecisionLog
        Writes the log lines.
    on_leader : callable
        Called when another leader becomes known.
    """

    def __init__(
        self,
        consensus: ConsensusNode,
        state: CoordinationState,
        decisions: DecisionLog,
        on_leader: Callable[[], None],
    ) -> None:
        self._consensus = consensus
        self._state = state
        self._decisions = decisions
        self._on_leader = on_leader
        self._has_failed = False
        self._leader = ("", 0)
        self._version = 0
        self._revision = 0
        self._membership_index = 0
        self._feature_level = 0
        self._evacuations = 0

    def log_changes(self) -> None:
        """Log all changes since the last call."""
        self._log_storage()
        self._log_leader()
        self._log_version()
        self._log_directory()
        self._log_membership()
        self._log_feature_level()
        self._log_evacuations()

    def _log_storage(self) -> None:
        failure = self._consensus.failure
        if (failure is not None) == self._has_failed:
            return
        self._has_failed = failure is not None
        if failure is None:
            self._decisions.note(STORAGE_REGAINED, term=self._consensus.raft.term)
            return
        self._decisions.note(
            STORAGE_LOST,
            reason=str(failure),
            role=self._consensus.role_at_failure.value,
            term=self._consensus.raft.term,
            version=self._state.version,
            revision=self._state.revision,
        )

    def _log_leader(self) -> None:
        raft = self._consensus.raft
        leader = (raft.leader, raft.term)
        if leader == self._leader:
            return
        was_known = self._leader[0] != ""
        self._leader = leader
        if raft.leader:
            self._decisions.note(LEADER_KNOWN, leader=raft.leader, term=raft.term)
            self._on_leader()
        elif was_known:
            self._decisions.note(LEADER_LOST, term=raft.term)

    def _log_version(self) -> None:
        version = self._state.version
        if version == self._version:
            return
        self._version = version
        self._decisions.note(
            VERSION_COMMITTED, version=version, index=self._consensus.applied_index
        )

    def _log_directory(self) -> None:
        state = self._state
        if state.revision == self._revision:
            return
        self._revision = state.revision
        members = state.members.values()
        self._decisions.note(
            DIRECTORY_COMMITTED,
            revision=state.revision,
            members=len(members),
            leaving=sorted(member.instance for member in members if member.leaving),
            primaries=sorted(member.instance for member in members if member.primary),
        )

    def _log_membership(self) -> None:
        raft = self._consensus.raft
        if raft.log.membership_index == self._membership_index:
            return
        self._membership_index = raft.log.membership_index
        self._decisions.note(
            MEMBERSHIP_CHANGED,
            index=raft.log.membership_index,
            voters=sorted(raft.membership.voters),
            learners=sorted(raft.membership.learners),
        )

    def _log_feature_level(self) -> None:
        level = self._state.feature_level
        if level != self._feature_level:
            self._feature_level = level
            self._decisions.note(FEATURE_LEVEL_RAISED, feature_level=level)

    def _log_evacuations(self) -> None:
        evacuations = self._state.evacuations
        if evacuations.revision != self._evacuations:
            self._evacuations = evacuations.revision
            self._decisions.note(
                EVACUATIONS_COMMITTED,
                revision=evacuations.revision,
                zones=sorted(evacuations.zones),
                ended=sorted(evacuations.ended),
            )
