"""Decides which answers prove that a member is primary.

A stateless plug-in of kind ``gateway-guard``, called by
:class:`rowanrail.members.primary.PrimaryTracker` for each sample. It relies on members to refuse a
BEGIN after they have been replaced.
"""

from rowanrail.kernel.registry import register
from rowanrail.model.statements import Answer


@register("gateway-guard", "leadership-proof")
class LeadershipProof:
    """Accepts a position as a sample only if the member ran the BEGIN as primary."""

    def is_proof(self, answer: Answer) -> bool:
        """Return whether the answer to a plain BEGIN proves that the member is primary."""
        return answer.refusal is None
