"""Guards of the replicated log, as plug-ins of kind ``consensus-guard``.

For Raft and for the start of a node. Own nothing: pure, so that the lab can take one away and find
its guarantee broken.
"""

from rowanrail.kernel.registry import register


@register("consensus-guard", "check-quorum")
class QuorumCheck:
    """A leader acts only while a majority of voters answers it."""

    def has_quorum(self, answered: int, voters: int) -> bool:
        """Return whether ``answered`` voters, the leader included, are a majority."""
        return answered > voters // 2


@register("consensus-guard", "learner-first")
class LearnerFirst:
    """A node with an empty data folder is a new node: it has no vote until admitted."""

    def new_node_id(self, name: str, random_id: str) -> str:
        """Return the node id of a node whose data folder is empty."""
        return f"{name}@{random_id}"
