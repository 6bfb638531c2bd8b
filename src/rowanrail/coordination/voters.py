"""Keeps the number of voters at its target and replaces lost voters with standbys.

Nodes beyond the target stay learners. When a voter has been silent for a while and a learner is
caught up, the voter is removed and the learner promoted, in two steps that each change one voter.
A voter that was replaced while still alive rejoins as a learner.
"""

from collections.abc import Callable

import msgspec

from rowanrail.cluster.membership import (
    VOTER_SILENCE_SECONDS,
    MembershipManager,
    node_name,
    with_voter,
    without_voters,
)
from rowanrail.consensus.messages import Membership
from rowanrail.consensus.node import ConsensusNode

MAX_STANDBY_LAG = 50  # entries behind the leader at which a learner still counts as caught up


class ReplicationProgress(msgspec.Struct, frozen=True):
    """How far a node has replicated the leader's log.

    :param held: index up to which it is known to hold the log; 0 if it has confirmed nothing.
    :param behind: number of entries that it lacks.
    """

    held: int
    behind: int
    silent_seconds: float

    @property
    def is_caught_up(self) -> bool:
        """Whether the node holds nearly all of the log and answers the leader."""
        if not self.held:
            return False  # nothing is confirmed yet, even if the log is short
        return self.behind <= MAX_STANDBY_LAG and self.silent_seconds < VOTER_SILENCE_SECONDS


def next_membership(
    membership: Membership, target: int, progress: Callable[[str], ReplicationProgress]
) -> Membership | None:
    """Return the next membership towards ``target`` live voters; None if no change is needed.

    Parameters
    ----------
    target : int
        The number of voters to keep.
    progress : callable
        Returns a node's replication progress.
    """
    ready = sorted(node for node in membership.learners if progress(node).is_caught_up)
    if not ready:
        return None
    learner = ready[0]
    replaced = [node for node in membership.voters if node_name(node) == node_name(learner)]
    if replaced:
        return without_voters(membership, replaced[:1])
    if len(membership.voters) < target:
        return with_voter(membership, learner)
    silent = {node: progress(node).silent_seconds for node in membership.voters}
    longest = max(silent, key=lambda node: silent[node])
    return (
        without_voters(membership, [longest]) if silent[longest] >= VOTER_SILENCE_SECONDS else None
    )


class VoterManager(MembershipManager):
    """Applies :func:`next_membership` while its node leads."""

    def __init__(
        self, node: ConsensusNode, cluster: str, target: int, now: Callable[[], float]
    ) -> None:
        super().__init__(node, cluster)
        self._target = target
        self._now = now

    def _progress(self, node: str) -> ReplicationProgress:
        raft = self._node.raft
        if node == self._node.identity.node:
            return ReplicationProgress(raft.log.last_index, 0, 0.0)
        held = raft.match_index(node)
        behind = raft.log.last_index - held
        return ReplicationProgress(held, behind, raft.seconds_since_reply(node, self._now()))

    async def _promote_learner(self) -> None:
        changed = next_membership(self._node.raft.membership, self._target, self._progress)
        if changed is not None:
            await self._change(changed)
