"""Safety checks of the control nodes for gateways: plug-ins of kind ``coordination-guard``.

Each enforces one guarantee, so that a test can disable it to show that it is needed.
"""

import msgspec

from rowanrail.kernel.registry import register
from rowanrail.model.members import MemberRecord


@register("coordination-guard", "fencing-token")
class FencingToken:
    """Gives each promotion a unique, increasing fencing token."""

    def token(self, log_index: int) -> int:
        """Return the token of the promotion whose intent has this log index."""
        return log_index


@register("coordination-guard", "incarnation")
class IncarnationCheck:
    """Accepts announcements of an instance in order, and none after its removal."""

    def is_update(self, record: MemberRecord, known: MemberRecord | None, removed: bool) -> bool:
        """Return whether an announcement is newer than the known record and differs from it.

        :param known: the last announcement of the same instance, if any.
        :param removed: whether that instance was removed.
        """
        if removed:
            return False
        if known is None:
            return True
        if record.sequence <= known.sequence:
            return False
        # These fields change with each heartbeat, which must not add an entry to the log.
        unchanged = {"sequence": known.sequence, "cold_ms": known.cold_ms}
        return msgspec.structs.replace(record, **unchanged) != known
