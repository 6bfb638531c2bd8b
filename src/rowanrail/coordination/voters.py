"""Which control nodes vote: a target number, lost voters replaced by standbys.

A node beyond the target stays a learner, caught up and ready. Once a voter has been silent
for a while and such a learner stands by, the voter goes and the learner takes its place, in
two steps that each change one voter. A voter that was replaced though it lives
rejoins as a learner.
"""

from collections.abc import Callable

import msgspec

from rowanrail.cluster.membership import MembershipManager, node_name, with_voter, without_voters
from rowanrail.consensus.messages import Membership
from rowanrail.consensus.node import ConsensusNode

STANDBY_BEHIND_ENTRIES = 50  # entries behind the leader; few beside what a restart misses
SILENT_SECONDS = 2.0  # for which a voter is silent before a learner takes its vote; 4 elections


class NodeState(msgspec.Struct, frozen=True):
    """What the leader knows of another node."""

    held: int
    behind: int
    silent_seconds: float

    @property
    def is_caught_up(self) -> bool:
        """Whether the node holds nearly all of the log and answers."""
        if not self.held:
            return False  # it has confirmed nothing yet, however short the log is
        return self.behind <= STANDBY_BEHIND_ENTRIES and self.silent_seconds < SILENT_SECONDS


def next_membership(
    membership: Membership, target: int, state: Callable[[str], NodeState]
) -> Membership | None:
    """Return the next step towards ``target`` live voters, None if there is nothing to do."""
    ready = sorted(node for node in membership.learners if state(node).is_caught_up)
    if not ready:
        return None
    learner = ready[0]
    replaced = [node for node in membership.voters if node_name(node) == node_name(learner)]
    if replaced:
        return without_voters(membership, replaced[:1])
    if len(membership.voters) < target:
        return with_voter(membership, learner)
    silent = {node: state(node).silent_seconds for node in membership.voters}
    longest = max(silent, key=lambda node: silent[node])
    return without_voters(membership, [longest]) if silent[longest] >= SILENT_SECONDS else None


class VoterManager(MembershipManager):
    """Carries out :func:`next_membership` while its node leads."""

    def __init__(
        self, node: ConsensusNode, cluster: str, target: int, now: Callable[[], float]
    ) -> None:
        super().__init__(node, cluster)
        self._target = target
        self._clock = now

    def _state(self, node: str) -> NodeState:
        raft = self._node.raft
        if node == self._node.identity.node:
            return NodeState(raft.log.last_index, 0, 0.0)
        held = raft.match_index(node)
        behind = raft.log.last_index - held
        return NodeState(held, behind, raft.seconds_since_reply(node, self._clock()))

    async def _promote_one(self) -> None:
        changed = next_membership(self._node.raft.membership, self._target, self._state)
        if changed is not None:
            await self._change(changed)
