"""Log lines of a control node about what changed: leader, versions, directory, voters, disk.

Owns what was logged last, so that each change is logged once; relies on the node of the replicated
log and on the state for what is so now.
"""

from collections.abc import Callable

from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.events import (
    DIRECTORY_COMMITTED,
    LEADER_KNOWN,
    LEADER_LOST,
    MEMBERSHIP_CHANGED,
    STORAGE_LOST,
    STORAGE_REGAINED,
    VERSION_COMMITTED,
)
from rowanrail.coordination.state import CoordinationState
from rowanrail.kernel.decisions import DecisionLog

__all__ = ["ChangeNotes"]


class ChangeNotes:
    """Compares what is so with what was logged last.

    Parameters
    ----------
    consensus : ConsensusNode
        The node of the replicated log.
    state : CoordinationState
        What its committed entries lead to.
    decisions : DecisionLog
        Gets the lines.
    on_leader : callable
        Called when a leader becomes known.
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

    def compare(self) -> None:
        """Log what changed since the last call."""
        self._compare_storage()
        self._compare_leader()
        self._compare_version()
        self._compare_directory()
        self._compare_membership()

    def _compare_storage(self) -> None:
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

    def _compare_leader(self) -> None:
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

    def _compare_version(self) -> None:
        version = self._state.version
        if version == self._version:
            return
        self._version = version
        self._decisions.note(
            VERSION_COMMITTED, version=version, index=self._consensus.applied_index
        )

    def _compare_directory(self) -> None:
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

    def _compare_membership(self) -> None:
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
