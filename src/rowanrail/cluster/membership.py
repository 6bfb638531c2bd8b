"""Admission and removal of control nodes, one at a time, through the log.

Shared by both kinds of control nodes. A node with an empty data folder is a new node, whatever its
name. It joins as a learner, replicates the log, replaces an older node of the same name, and only
then gets a vote. Relies on the consensus node for the membership and its changes.
"""

import asyncio
from collections.abc import Callable, Collection

from rowanrail.cluster.messages import JoinRequest, NodesReply, NodesRequest, NodeView
from rowanrail.consensus.errors import NotLeaderError
from rowanrail.consensus.messages import Membership
from rowanrail.consensus.node import ConsensusNode
from rowanrail.consensus.raft_types import MembershipChangeInProgress
from rowanrail.kernel.errors import InvalidRequestError, RowanrailError

MAX_LEARNER_LAG = 10  # entries behind the log's end at which a learner gets a vote
VOTER_SILENCE_SECONDS = 2.0  # until a voter counts as lost: about four elections
LEARNER_CHECK_INTERVAL_SECONDS = 0.2  # between checks for a learner to promote


def node_name(node: str) -> str:
    """Return the name part of a node id (``name@identity``)."""
    return node.split("@")[0]


def without_voters(membership: Membership, nodes: Collection[str]) -> Membership:
    """Return a membership without some of its voters."""
    voters = {node: a for node, a in membership.voters.items() if node not in nodes}
    return Membership(voters, dict(membership.learners))


def with_voter(membership: Membership, learner: str) -> Membership:
    """Return a membership with a learner promoted to voter."""
    voters = {**membership.voters, learner: membership.learners[learner]}
    learners = {node: a for node, a in membership.learners.items() if node != learner}
    return Membership(voters, learners)


def with_learner(membership: Membership, name: str, node: str, address: str) -> Membership:
    """Return a membership with a new learner, in place of other learners of its name.

    Examples
    --------
    >>> membership = Membership({"a@1": "a:1"}, {"b@1": "b:1"})
    >>> sorted(with_learner(membership, "b", "b@2", "b:1").learners)
    ['b@2']
    """
    others = {known: a for known, a in membership.learners.items() if node_name(known) != name}
    return Membership(dict(membership.voters), {**others, node: address})


def without_name(membership: Membership, name: str) -> Membership:
    """Return a membership without the nodes of a name, whatever their identities.

    Examples
    --------
    >>> membership = Membership({"a@1": "a:1", "b@1": "b:1"}, {"b@2": "b:1"})
    >>> without_name(membership, "b")
    Membership(voters={'a@1': 'a:1'}, learners={})
    """
    voters = {node: a for node, a in membership.voters.items() if node_name(node) != name}
    learners = {node: a for node, a in membership.learners.items() if node_name(node) != name}
    return Membership(voters, learners)


def next_promotion(
    membership: Membership, match_of: Callable[[str], int], last_index: int
) -> Membership | None:
    """Return the next step in promoting a learner that has caught up, None if there is none.

    An older voter of the same name is removed first. Each step changes one voter, so that the
    majorities of successive memberships overlap.

    Parameters
    ----------
    match_of : callable
        Returns the index up to which a node is known to hold the log; 0 if none is confirmed.
    last_index : int
        Index of the log's last entry.

    Examples
    --------
    >>> membership = Membership({"a@1": "a:1", "b@1": "b:1"}, {"b@2": "b:1"})
    >>> step = next_promotion(membership, lambda node: 40, 45)
    >>> sorted(step.voters), sorted(step.learners)
    (['a@1'], ['b@2'])
    >>> sorted(next_promotion(step, lambda node: 40, 45).voters)
    ['a@1', 'b@2']
    >>> next_promotion(membership, lambda node: 0, 5) is None
    True
    """
    for learner in sorted(membership.learners):
        match = match_of(learner)
        if match == 0 or last_index - match > MAX_LEARNER_LAG:
            continue
        older = [node for node in membership.voters if node_name(node) == node_name(learner)]
        return without_voters(membership, older) if older else with_voter(membership, learner)
    return None


class MembershipManager:
    """Admits, promotes and removes nodes while its own node leads.

    Parameters
    ----------
    node : ConsensusNode
        Holds the membership and commits its changes.
    cluster : str
        Name of the system; nodes of others are rejected.
    """

    def __init__(self, node: ConsensusNode, cluster: str) -> None:
        self._node = node
        self._cluster = cluster
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to promote learners periodically while this node leads."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Cancel the promotion of learners."""
        if self._task is not None:
            self._task.cancel()

    async def join(self, request: JoinRequest) -> NodesReply:
        """Admit a node as a learner.

        :raises InvalidRequestError: if it belongs to another system.
        """
        if request.cluster != self._cluster:
            raise InvalidRequestError(
                f"the node belongs to {request.cluster!r}, this is {self._cluster!r}",
                step="join",
                peer=request.name,
            )
        membership = self._node.raft.membership
        if request.node not in membership.addresses():
            await self._change(
                with_learner(membership, request.name, request.node, request.address)
            )
        return self.view()

    async def nodes(self, request: NodesRequest) -> NodesReply:
        """Return the nodes, after removing one if requested.

        :raises InvalidRequestError: if the node to remove is unknown or the last one.
        """
        await self._node.read_barrier()
        if request.remove:
            await self._remove(request.remove)
        return self.view()

    async def _remove(self, name: str) -> None:
        membership = self._node.raft.membership
        changed = without_name(membership, name)
        if changed == membership:
            raise InvalidRequestError(f"no control node is named {name!r}", step="remove")
        if not changed.voters:
            raise InvalidRequestError("the last control node can't be removed", step="remove")
        await self._change(changed)

    async def _change(self, membership: Membership) -> None:
        try:
            await self._node.change_membership(membership)
        except MembershipChangeInProgress as error:
            raise RowanrailError("another membership change is under way", step="join") from error

    def view(self) -> NodesReply:
        """Return this node's view of all nodes."""
        raft = self._node.raft
        now = asyncio.get_running_loop().time()
        views = []
        for node, address in sorted(raft.membership.addresses().items()):
            is_self = node == self._node.identity.node
            match = raft.log.last_index if is_self else raft.match_index(node)
            views.append(
                NodeView(
                    name=node_name(node),
                    node=node,
                    address=address,
                    voter=node in raft.membership.voters,
                    leader=node == raft.leader,
                    behind=raft.log.last_index - match,
                    answered_seconds_ago=0.0 if is_self else raft.seconds_since_reply(node, now),
                )
            )
        return NodesReply(raft.term, views)

    def silent_voters(self) -> int:
        """Return how many voters have not answered this leader for a while; 0 if it isn't one."""
        raft = self._node.raft
        if not raft.is_leader:
            return 0
        now = asyncio.get_running_loop().time()
        others = set(raft.membership.voters) - {self._node.identity.node}
        silent = [raft.seconds_since_reply(node, now) >= VOTER_SILENCE_SECONDS for node in others]
        return sum(silent)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LEARNER_CHECK_INTERVAL_SECONDS)
            if self._node.raft.is_established_leader:
                try:
                    await self._promote_learner()
                except (RowanrailError, MembershipChangeInProgress, NotLeaderError):
                    continue  # the leader retries at its next check

    async def _promote_learner(self) -> None:
        raft = self._node.raft
        changed = next_promotion(raft.membership, raft.match_index, raft.log.last_index)
        if changed is not None:
            await self._change(changed)
