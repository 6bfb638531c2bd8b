"""Which answers of a member prove that it leads.

A plug-in of kind ``gateway-guard`` without state, asked by
:class:`rowanrail.members.primary.PrimaryTracker` for each sample. Relies on the member, which
refuses a BEGIN when it has been replaced.
"""

from rowanrail.kernel.registry import register
from rowanrail.model.statements import Answer


@register("gateway-guard", "leadership-proof")
class LeadershipProof:
    """A position proves something only if its answer shows that the member leads."""

    def is_proof(self, answer: Answer) -> bool:
        """Return whether the answer to a plain BEGIN makes its position a sample."""
        return answer.refusal is None
