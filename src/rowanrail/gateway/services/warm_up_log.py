"""Log events for members that warm up, and for this gateway's part of their limit.

The decisions are made in :mod:`rowanrail.scheduling.cold_members` and
:mod:`rowanrail.scheduling.warm_up_share`.
"""

from rowanrail.gateway.events import MEMBER_WARM, MEMBER_WARMS_UP, WARM_UP_PART
from rowanrail.gateway.services.service import Service
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.members import MemberRecord

__all__ = ["log_warm_up", "log_warm_up_part"]


def log_warm_up(
    decisions: DecisionLog, service: Service, record: MemberRecord, is_warming: bool
) -> None:
    """Log that a member begins, or ceases, to count as warming up."""
    warm_up, instance = service.warm_up, record.instance
    if is_warming:
        decisions.note(
            MEMBER_WARMS_UP,
            service=service.spec.name,
            instance=instance,
            zone=record.zone,
            cause=warm_up.cause(record).value,
            seconds=round(warm_up.remaining_ms(record) / 1000, 3),
            rate=service.spec.warm_up_rate,
            part=warm_up.part_for(record).statements,
        )
    else:
        decisions.note(
            MEMBER_WARM,
            service=service.spec.name,
            instance=instance,
            sent=warm_up.sent[instance],
            turned_away=warm_up.turned_away[instance],
        )


def log_warm_up_part(decisions: DecisionLog, service: Service, part: int) -> None:
    """Log this gateway's part of the limit of warming members in its group."""
    decisions.note(
        WARM_UP_PART,
        service=service.spec.name,
        part=part,
        rate=service.spec.warm_up_rate,
        senders=list(service.warm_up.senders),
    )
