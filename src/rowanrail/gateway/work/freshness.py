"""Floors of reads: the log position that a member must have reached to serve a read.

A floor comes from a sample of the primary's position that is recent enough for the route, and from
the session's own commits. A sample's age is counted from the moment at which it was requested.
"""

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import SessionContext
from rowanrail.model.position import ORIGIN, Position
from rowanrail.model.routing import Consistency, Route

# Fraction of the route's staleness at which the next sample is requested, so that it arrives before
# the current one expires.
PREFETCH_FRACTION = 0.5


def earliest_sample_time(route: Route, arrived_at: float) -> float:
    """Return the earliest request time, in seconds, of a sample that may serve a read of the route.

    An older sample may miss a commit that the read has to see.
    """
    if route.consistency is Consistency.PRIMARY:
        return arrived_at
    return arrived_at - route.staleness_seconds


def should_prefetch(route: Route, age_seconds: float) -> bool:
    """Return whether the current sample is old enough to request the next one.

    Always False for reads of the primary, which need a sample requested after their own arrival.
    """
    if route.consistency is Consistency.PRIMARY:
        return False
    return age_seconds > PREFETCH_FRACTION * route.staleness_seconds


def prefetch_sample(service: Service, route: Route, now: float) -> None:
    """Request the next sample if the current one expires soon."""
    sample = service.primary.sample
    if sample is not None and should_prefetch(route, now - sample.asked_at):
        service.primary.request_sample()


def note_commit(
    service: Service,
    session: SessionContext,
    instance: str,
    sent_at: float,
    position: Position | None,
) -> None:
    """Raise the session's floor to its own commit, which also proves who the primary is."""
    if position is None:
        return
    name = service.spec.name
    session.floors[name] = max(position, session.floors.get(name, ORIGIN))
    service.primary.note_proof(instance, sent_at, position)
