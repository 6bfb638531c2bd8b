"""Load of a service at this gateway, as reported to the gateways that forward statements here.

It is computed from the pools' forecasts; :class:`rowanrail.scheduling.load.LoadReporter` decides
when to report it.
"""

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.services.service import Service
from rowanrail.scheduling.load import URGENCY_LEVELS, ServiceLoad, round_waits
from rowanrail.scheduling.queue import QueueEntry

__all__ = ["measure_load"]


def measure_load(service: Service, tenant: str, now: float) -> ServiceLoad | None:
    """Return how long a tenant's statements of each urgency take, None if there is room.

    Members of other regions are ignored, as statements for them are forwarded to gateways there.

    Parameters
    ----------
    now : float
        Monotonic milliseconds.
    """
    near = [pool for pool in service.pools.values() if _is_available(service, pool)]
    if not any(pool.forecasts.expected_wait for pool in near):
        return None
    weight = service.weight(tenant)
    entries = [QueueEntry(urgency, tenant, now, weight=weight) for urgency in range(URGENCY_LEVELS)]
    primary = service.primary_pool()
    writes = [] if primary is None or primary not in near else _waits(primary, entries)
    reads = [min(waits) for waits in zip(*(_waits(pool, entries) for pool in near), strict=True)]
    pace = 0 if primary is None else _pace(primary, entries[0])
    return ServiceLoad(round_waits(writes), round_waits(reads), pace)


def _is_available(service: Service, pool: MemberPool) -> bool:
    return not (pool.record.leaving or pool.is_failing or service.is_remote(pool))


def _waits(pool: MemberPool, entries: list[QueueEntry]) -> list[float]:
    """Return a lower bound of the response time for each entry; 0 where there is room."""
    return [_response_time(pool, entry) for entry in entries]


def _response_time(pool: MemberPool, entry: QueueEntry) -> float:
    forecast = pool.forecasts.for_entry(entry)
    if forecast.has_room:
        return 0.0
    return (
        forecast.wait * pool.forecasts.errors.of(entry.urgency).reliable_share + forecast.run_time
    )


def _pace(pool: MemberPool, entry: QueueEntry) -> int:
    interval = pool.forecasts.for_entry(entry).drain_interval
    return round(1000 / interval) if interval else 0
