"""Why a request to the replicated log has no clear outcome.

For the node that raises these, and the services that answer callers by them.
"""

from rowanrail.kernel.errors import RowanrailError

__all__ = ["LeadershipLostError", "NotLeaderError", "SupersededError"]


class NotLeaderError(RowanrailError):
    """The node can't serve the request; ``leader`` is the address to ask, if known."""

    def __init__(self, leader: str, step: str) -> None:
        super().__init__(f"not the leader (leader: {leader or 'none known'})", step=step)
        self.leader = leader


class SupersededError(RowanrailError):
    """The proposed entry was replaced by another leader's; it will never be applied."""


class LeadershipLostError(RowanrailError):
    """The leader changed while the entry was under way; it may still be applied."""
