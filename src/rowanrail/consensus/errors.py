"""Errors of requests to the replicated log."""

from rowanrail.kernel.errors import RowanrailError

__all__ = ["LeadershipLostError", "NotAdmittedError", "NotLeaderError", "SupersededError"]


class NotLeaderError(RowanrailError):
    """A request failed because the node does not lead, or can't confirm that it does.

    The caller may retry at the leader. :class:`rowanrail.consensus.raft_types.NotLeader` is the
    state machine's own exception.

    ``leader`` is the leader's address, empty if unknown.
    """

    def __init__(self, leader: str, step: str) -> None:
        super().__init__(f"not the leader (leader: {leader or 'none known'})", step=step)
        self.leader = leader


class NotAdmittedError(RowanrailError):
    """A request failed because the node is not in the membership and knows no leader.

    The caller may retry at another node.
    """

    def __init__(self, node: str) -> None:
        super().__init__(f"{node} is not a member of the control nodes yet", step="find leader")


class SupersededError(RowanrailError):
    """Another leader's entry took the proposed entry's index; it will never be applied."""


class LeadershipLostError(RowanrailError):
    """The leader changed before the entry committed; it may still be applied."""
