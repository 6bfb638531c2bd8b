"""The load of a service at this gateway, as it is told to the gateways that send here."""

from rowanrail.gateway.pool import MemberPool
from rowanrail.gateway.service import Service
from rowanrail.scheduling.load import URGENCIES, ServiceLoad, rounded
from rowanrail.scheduling.queue import Entry

__all__ = ["measure"]


def measure(service: Service, now: float) -> ServiceLoad:
    """Return what statements of each urgency would wait now.

    Members of other regions count for nothing: what needs them is sent on to their own holders.

    Parameters
    ----------
    now : float
        Milliseconds on the steady clock.
    """
    entries = [Entry(urgency, None, now) for urgency in range(URGENCIES)]
    near = [pool for pool in service.pools.values() if _serves(service, pool)]
    primary = service.primary_pool()
    writes = [] if primary is None or primary not in near else _waits(primary, entries)
    reads = [min(waits) for waits in zip(*(_waits(pool, entries) for pool in near), strict=True)]
    return ServiceLoad(rounded(writes), rounded(reads), 0 if not writes else _pace(primary, now))


def _serves(service: Service, pool: MemberPool) -> bool:
    return not (pool.record.leaving or pool.is_failing or service.is_far(pool))


def _waits(pool: MemberPool, entries: list[Entry]) -> list[float]:
    return [pool.forecast(entry).wait for entry in entries]


def _pace(pool: MemberPool | None, now: float) -> int:
    interval = 0.0 if pool is None else pool.forecast(Entry(0, None, now)).interval
    return round(1000 / interval) if interval else 0
