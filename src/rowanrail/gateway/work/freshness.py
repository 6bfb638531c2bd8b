"""Floors of reads: how new a sample of the primary's position must be, and a session's own."""

from rowanrail.gateway.services.service import Service
from rowanrail.gateway.session_values import SessionValues
from rowanrail.model.position import ORIGIN, Position
from rowanrail.model.routing import Consistency, Route

PREFETCH_SHARE = 0.5  # of the staleness: age of a sample at which the next one is asked for


def oldest_sample(route: Route, arrived_at: float) -> float:
    """Return since when a sample must have been asked for to serve a read of the route."""
    if route.consistency is Consistency.PRIMARY:
        return arrived_at
    return arrived_at - route.staleness_seconds


def prefetch(service: Service, route: Route, now: float) -> None:
    """Ask for the next sample before the one at hand is too old."""
    if route.consistency is Consistency.PRIMARY:
        return
    sample = service.primary.sample
    if sample is not None and now - sample.asked_at > PREFETCH_SHARE * route.staleness_seconds:
        service.primary.request_sample()


def note_commit(
    service: Service,
    session: SessionValues,
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
