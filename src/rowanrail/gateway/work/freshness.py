"""Floors of reads: how new a sample of the primary's position must be, and a session's own.

For reads and transactions that only read. Owns nothing: the samples belong to the tracker
of the primary, the floors to the session. Relies on samples that carry the moment at which they
were asked for.
"""

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_context import SessionContext
from rowanrail.model.position import ORIGIN, Position
from rowanrail.model.routing import Consistency, Route

# Of the staleness: age of a sample at which the next one is asked for, so that it is there before
# the one at hand is too old. Chosen.
PREFETCH_SHARE = 0.5


def oldest_sample(route: Route, arrived_at: float) -> float:
    """Return since when a sample must have been asked for to serve a read of the route; seconds.

    A sample that was asked for before that may lack a commit that the read has to see.
    """
    if route.consistency is Consistency.PRIMARY:
        return arrived_at
    return arrived_at - route.staleness_seconds


def wants_next_sample(route: Route, age_seconds: float) -> bool:
    """Return whether the sample at hand is old enough to ask for the next one.

    Never for reads of the primary, each of which needs one that was asked for after it came.
    """
    if route.consistency is Consistency.PRIMARY:
        return False
    return age_seconds > PREFETCH_SHARE * route.staleness_seconds


def prefetch(service: Service, route: Route, now: float) -> None:
    """Ask for the next sample before the one at hand is too old."""
    sample = service.primary.sample
    if sample is not None and wants_next_sample(route, now - sample.asked_at):
        service.primary.request_sample()


def note_commit(
    service: Service,
    session: SessionContext,
    instance: str,
    sent_at: float,
    position: Position | None,
) -> None:
    """Raise the session's floor to its own commit, which also proves who leads."""
    if position is None:
        return
    name = service.spec.name
    session.floors[name] = max(position, session.floors.get(name, ORIGIN))
    service.primary.note_proof(instance, sent_at, position)
