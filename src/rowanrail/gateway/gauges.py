"""What a gateway measures of itself at the moment when it is asked."""

from rowanrail.gateway.discovery.control_follower import ControlFollower
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.link import LinkState
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.gateway.relay.serving import Holder
from rowanrail.kernel.metrics import Reading

NEVER = -1.0
SHOWN_TENANTS = 100  # of a gateway; bounds its metrics where there are thousands


def gauges(gateway: Gateway) -> list[Reading]:
    """Return sessions, versions, and for each service its members and its primary."""
    version = gateway.configuration.version if gateway.configuration else 0
    readings: list[Reading] = [
        ("sessions", {}, len(gateway.sessions)),
        ("configuration_version", {}, version),
        ("ready", {}, float(gateway.is_ready)),
        ("control_age_seconds", {}, _seconds(gateway.access.control_age)),
    ]
    readings += _plan_gauges(gateway)
    now = gateway.clock.time()
    for name, service in gateway.services.items():
        labels = {"service": name}
        tracker = service.primary
        age = now - tracker.sample.asked_at if tracker.sample else NEVER
        failing = now - tracker.failing_since if tracker.failing_since else 0.0
        readings.append(("sample_age_seconds", labels, age))
        readings.append(("primary_failing_seconds", labels, failing))
        for instance, pool in service.pools.items():
            member = {"service": name, "member": instance}
            readings.append(("connections", member, pool.connections.count))
            readings.append(("connections_limit", member, pool.connections.limit))
            readings.append(("connections_leased", member, len(pool.connections.leases)))
            readings.append(("concurrency_limit", member, pool.concurrency.value))
            readings.append(("under_way", member, pool.connections.under_way))
            waited = pool.queue.longest_wait_seconds(now)
            readings.append(("queue_longest_wait_seconds", member, waited))
            for urgency, length in pool.queue.lengths.items():
                readings.append(("queue_length", {**member, "urgency": str(urgency)}, length))
            readings.append(("member_latency_seconds", member, pool.forecasts.latency_seconds))
            readings.append(("member_suspect", member, float(pool.is_suspect)))
            weight = service.estimates.weights.own(instance)
            reasoned = member | {"reason": weight.reason}
            readings.append(("member_weight", reasoned, weight.value))
            readings.append(
                ("member_queue_seconds", member, service.estimates.queue_seconds(instance))
            )
    return readings


def _plan_gauges(gateway: Gateway) -> list[Reading]:
    """Return the plan's number, and the shards that are held here by it, with their cause."""
    planned = gateway.holdings.planned
    if planned is None:
        return []
    readings: list[Reading] = [("plan_number", {}, planned.plan.number)]
    for held in planned.held_shards(list(gateway.services)):
        labels = {"service": held.service, "part": held.key, "cause": held.cause}
        readings.append(("held_share", labels, held.share))
    return readings


def tenant_gauges(gateway: Gateway) -> list[Reading]:
    """Return the largest tenants with their limits, and how much of the fleet is heard."""
    quota = gateway.access.quota
    readings: list[Reading] = [("quota_heard_share", {}, quota.heard_share)]
    for tenant in quota.largest(SHOWN_TENANTS):
        labels = {"tenant": tenant.name}
        readings.append(("tenant_limit", labels, tenant.limit))
        readings.append(("tenant_begun", labels, tenant.begun))
        readings.append(("tenant_asked", labels, tenant.asked))
        readings.append(("tenant_refused", labels, tenant.refused))
    return readings


def directory_gauges(follower: ControlFollower) -> list[Reading]:
    """Return how the directory came: whole, by difference, and by difference that differed."""
    counts = follower.counts.items()
    return [("directories_taken", {"kind": kind}, count) for kind, count in counts]


def _seconds(age: float | None) -> float:
    return NEVER if age is None else age / 1000


def relay_gauges(neighbours: Neighbours, holder: Holder, detours: Detours) -> list[Reading]:
    """Return the links to neighbours by state, what runs here for neighbours, and detours."""
    states = [link.state for link in neighbours.links]
    readings: list[Reading] = [
        ("links", {"state": state.value}, states.count(state)) for state in LinkState
    ]
    readings.append(("link_calls_owed", {}, sum(link.owed for link in neighbours.links)))
    readings.append(("detours", {}, detours.found))
    readings.append(("held_statements", {}, holder.running))
    readings.append(("held_transactions", {}, holder.open_transactions))
    return readings
