"""Verification that a member answered as primary.

A stateless plug-in of kind ``gateway-guard``, called by
:class:`rowanrail.members.primary.PrimaryTracker` for each sample. It relies on members to refuse a
BEGIN after they have been replaced.
"""

from rowanrail.kernel.registry import register
from rowanrail.model.statements import Answer


@register("gateway-guard", "leadership-proof")
class LeadershipVerifier:
    """Decides from the answer to a plain BEGIN whether a member is primary."""

    def is_proof(self, answer: Answer) -> bool:
        """Return whether the member ran the BEGIN, which only a primary does."""
        return answer.refusal is None
