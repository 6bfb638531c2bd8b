"""Log events for members that are degraded or recover.

The decision is made in :mod:`rowanrail.scheduling.member_weight`.
"""

from rowanrail.gateway.events import MEMBER_FELL, MEMBER_ROSE
from rowanrail.gateway.services.service import Service
from rowanrail.kernel.decisions import DecisionLog

__all__ = ["log_weight_change"]


def log_weight_change(
    decisions: DecisionLog, service: Service, instance: str, is_degraded: bool
) -> None:
    """Log that a member was degraded or recovered, with the inputs of the decision.

    A degradation is logged once until the member has recovered, which takes seconds of probing.
    """
    weight = service.estimates.weights.local_weight(instance)
    pool = service.pools.get(instance)
    decisions.note(
        MEMBER_FELL if is_degraded else MEMBER_ROSE,
        service=service.spec.name,
        instance=instance,
        weight=weight.value,
        reason=weight.reason,
        falls=weight.falls,
        error_share=0.0 if pool is None else round(pool.error_rate, 3),
        queue=round(service.estimates.queue_seconds(instance), 3),
        primary=service.primary.presumed_primary,
    )
