"""Guards of the control nodes for gateways, as plug-ins of kind ``coordination-guard``.

Each carries one guarantee, which a test can remove to show that it is needed.
"""

import msgspec

from rowanrail.kernel.registry import register
from rowanrail.model.members import MemberRecord


@register("coordination-guard", "fencing-token")
class FencingToken:
    """Each order to promote has a token of its own, higher than all before it."""

    def token(self, log_index: int) -> int:
        """Return the token of the order whose intent is the log entry of this index."""
        return log_index


@register("coordination-guard", "incarnation")
class IncarnationCheck:
    """An instance of a member is announced once, in order, and ends once."""

    def is_update(self, record: MemberRecord, known: MemberRecord | None, removed: bool) -> bool:
        """Return whether an announcement says something new, and did not come late.

        :param known: what the same instance announced last.
        :param removed: whether that instance has ended.
        """
        if removed:
            return False
        if known is None:
            return True
        if record.sequence <= known.sequence:
            return False
        # Members warm up with each heartbeat, which must cost the log nothing.
        unchanged = {"sequence": known.sequence, "cold_ms": known.cold_ms}
        return msgspec.structs.replace(record, **unchanged) != known
