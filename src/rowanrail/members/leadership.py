"""Verification that a member answered as primary, and that a commit that it reported stands.

Stateless plug-ins of kind ``gateway-guard``. They rely on members to refuse a BEGIN after they have
been replaced, and on a primary's position to have the term in which it leads.
"""

from rowanrail.kernel.registry import register
from rowanrail.model.statements import Answer

__all__ = ["CommitVerifier", "LeadershipVerifier"]


@register("gateway-guard", "leadership-proof")
class LeadershipVerifier:
    """Decides from the answer to a plain BEGIN whether a member is primary."""

    def is_proof(self, answer: Answer) -> bool:
        """Return whether the member ran the BEGIN, which only a primary does."""
        return answer.refusal is None


@register("gateway-guard", "commit-confirmation")
class CommitVerifier:
    """Decides whether a commit stands that replicas have acknowledged.

    A member that is replaced while a commit waits for replicas may still report success, although
    the commit was rolled back. The position in that answer doesn't tell: the commits of others may
    have the same one.
    """

    def stands(self, term: int, committed: Answer, begun: Answer) -> bool:
        """Return whether the member led in one term from before a commit until after its answer.

        Parameters
        ----------
        term : int
            Term in which the member proved to lead before it was sent the commit.
        committed : Answer
            Its answer to the commit.
        begun : Answer
            Its answer to a plain BEGIN that was sent after that answer had arrived.
        """
        if begun.refusal is not None:
            return False
        positions = (committed.position, begun.position)
        return all(position is not None and position.term == term for position in positions)
