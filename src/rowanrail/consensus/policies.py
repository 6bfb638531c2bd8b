"""Safety rules of the replicated log, as plug-ins of kind ``consensus-guard``.

Tests replace one of them to check that its guarantee is then violated.
"""

from rowanrail.kernel.registry import register


@register("consensus-guard", "check-quorum")
class QuorumCheck:
    """Check quorum: a leader keeps its role only while a majority of voters replies."""

    def has_quorum(self, answered: int, voters: int) -> bool:
        """Return whether ``answered`` voters, including the leader, are a majority."""
        return answered > voters // 2


@register("consensus-guard", "learner-first")
class LearnerFirst:
    """A node that starts with an empty data folder gets a new id and joins as a learner.

    Its vote and log entries are lost, so its former id must not count in a majority again.
    """

    def new_node_id(self, name: str, random_id: str) -> str:
        """Return the id of a node whose data folder is empty."""
        return f"{name}@{random_id}"
