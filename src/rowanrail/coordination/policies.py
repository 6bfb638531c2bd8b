"""Safety checks of the control nodes for gateways: plug-ins of kind ``coordination-guard``.

Each enforces one guarantee, so that a test can disable it to show that it is needed.
"""

import msgspec

from rowanrail.coordination.lives import LifeOrder, compare_starts, life_order
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
    """Accepts announcements of a life in order, and none after its removal."""

    def is_update(
        self, record: MemberRecord, known: MemberRecord | None, ended: int | None
    ) -> bool:
        """Return whether an announcement is newer than the known record and differs from it.

        :param known: the last announcement of the same instance, if any.
        :param ended: start of the life that was removed, 0 if it told none; None without removal.
        """
        if known is None:
            return ended is None or compare_starts(record.started_ms, ended) is LifeOrder.LATER
        order = life_order(record, known)
        if order is not LifeOrder.SAME:
            return order is LifeOrder.LATER
        if record.sequence <= known.sequence:
            return False
        # These fields change with each heartbeat, which must not add an entry to the log.
        unchanged = {"sequence": known.sequence, "cold_ms": known.cold_ms}
        return msgspec.structs.replace(record, **unchanged) != known
