"""Errors of requests to the replicated log."""

from rowanrail.kernel.errors import RowanrailError

__all__ = ["LeadershipLostError", "NotLeaderError", "SupersededError"]


class NotLeaderError(RowanrailError):
    """A request failed because the node does not lead, or can't confirm that it does.

    The caller may retry at the leader. :class:`rowanrail.consensus.raft_types.NotLeader` is the
    state machine's own exception.

    ``leader`` is the leader's address, empty if unknown.
    """

    def __init__(self, leader: str, step: str) -> None:
        super().__init__(f"not the leader (leader: {leader or 'none known'})", step=step)
        self.leader = leader


class SupersededError(RowanrailError):
    """Another leader's entry took the proposed entry's index; it will never be applied."""


class LeadershipLostError(RowanrailError):
    """The leader changed before the entry committed; it may still be applied."""
