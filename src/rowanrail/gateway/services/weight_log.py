"""Log lines on members that lose their weight, or have it back.

Decides nothing: it writes what :mod:`rowanrail.scheduling.member_weight` decided, with its inputs.
"""

from rowanrail.gateway.events import MEMBER_FELL, MEMBER_ROSE
from rowanrail.gateway.services.service import Service
from rowanrail.kernel.decisions import DecisionLog

__all__ = ["log_weight_change"]


def log_weight_change(
    decisions: DecisionLog, service: Service, instance: str, has_fallen: bool
) -> None:
    """Log a change of a member's weight with what decided it.

    A fall of a member is logged once, until it has risen again, which takes its probes seconds.
    """
    weight = service.estimates.weights.local_weight(instance)
    pool = service.pools.get(instance)
    decisions.note(
        MEMBER_FELL if has_fallen else MEMBER_ROSE,
        service=service.spec.name,
        instance=instance,
        weight=weight.value,
        reason=weight.reason,
        falls=weight.falls,
        error_share=0.0 if pool is None else round(pool.error_rate, 3),
        queue=round(service.estimates.queue_seconds(instance), 3),
        primary=service.primary.presumed_primary,
    )
