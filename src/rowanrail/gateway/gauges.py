"""Gauges of a gateway, read when metrics are requested.

The names and labels are a public interface and must not change.
"""

from rowanrail.gateway.discovery.control_plane_client import ControlPlaneClient
from rowanrail.gateway.gateway import Gateway
from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.relay.detours import Detours
from rowanrail.gateway.relay.link import LinkState
from rowanrail.gateway.relay.neighbours import Neighbours
from rowanrail.gateway.relay.serving import LinkServer
from rowanrail.gateway.services.member_estimates import MemberEstimates
from rowanrail.gateway.services.service import Service
from rowanrail.kernel.metrics import GaugeSample
from rowanrail.members.primary import PrimaryTracker

NO_AGE_SECONDS = -1.0  # reported before the first value
REPORTED_TENANTS = 100  # bounds the metrics of a gateway with thousands of tenants


def gauges(gateway: Gateway) -> list[GaugeSample]:
    """Return the gauges of sessions and versions, and of each service's members and primary."""
    version = gateway.configuration.version if gateway.configuration else 0
    readings: list[GaugeSample] = [
        ("sessions", {}, len(gateway.sessions)),
        ("configuration_version", {}, version),
        ("ready", {}, float(gateway.is_ready)),
        ("control_age_seconds", {}, _seconds(gateway.access.control_age)),
        ("evacuated_zones", {}, len(gateway.evacuations.evacuated)),
        ("closed_zones", {}, len(gateway.evacuations.closed)),
    ]
    readings += _plan_gauges(gateway)
    readings += _region_gauges(gateway)
    now = gateway.clock.time()
    for name, service in gateway.services.items():
        readings += _primary_gauges(name, service.primary, now)
        for instance, pool in service.pools.items():
            labels = {"service": name, "member": instance}
            readings += _pool_gauges(labels, pool, now)
            readings += _estimate_gauges(labels, instance, service.estimates)
            if pool.record.leaving:
                leaving = service.leaving
                readings.append(("member_leaving_seconds", labels, leaving.seconds(instance, now)))
                readings.append(("sent_while_leaving", labels, leaving.sent[instance]))
        if service.spec.limits_warm_up:
            readings += _warm_up_gauges(name, service)
    return readings


def _primary_gauges(service: str, tracker: PrimaryTracker, now_seconds: float) -> list[GaugeSample]:
    labels = {"service": service}
    age = now_seconds - tracker.sample.asked_at if tracker.sample else NO_AGE_SECONDS
    failing = now_seconds - tracker.failing_since if tracker.failing_since else 0.0
    return [("sample_age_seconds", labels, age), ("primary_failing_seconds", labels, failing)]


def _pool_gauges(labels: dict[str, str], pool: MemberPool, now_seconds: float) -> list[GaugeSample]:
    connections = pool.connections
    readings: list[GaugeSample] = [
        ("connections", labels, connections.count),
        ("connections_limit", labels, connections.limit),
        ("connections_leased", labels, len(connections.leases)),
        ("concurrency_limit", labels, pool.concurrency.value),
        ("under_way", labels, connections.in_flight),
        ("queue_longest_wait_seconds", labels, pool.queue.longest_wait(1000 * now_seconds) / 1000),
    ]
    for urgency, length in pool.queue.lengths.items():
        readings.append(("queue_length", {**labels, "urgency": str(urgency)}, length))
    readings.append(("member_latency_seconds", labels, pool.forecasts.latency / 1000))
    readings.append(("member_suspect", labels, float(pool.is_suspect)))
    return readings


def _estimate_gauges(
    labels: dict[str, str], instance: str, estimates: MemberEstimates
) -> list[GaugeSample]:
    weight = estimates.weights.local_weight(instance)
    return [
        ("member_weight", labels | {"reason": weight.reason}, weight.value),
        ("member_queue_seconds", labels, estimates.queue_seconds(instance)),
    ]


def _region_gauges(gateway: Gateway) -> list[GaugeSample]:
    """Return the numbers of routes and tenants that are bound to regions, if there are any."""
    restrictions = gateway.data_regions
    readings: list[GaugeSample] = []
    if restrictions is not None:
        readings.append(("bound_to_regions", {"kind": "route"}, len(restrictions.routes)))
        readings.append(("bound_to_regions", {"kind": "tenant"}, len(restrictions.tenants)))
    readings.append(("received_outside_regions", {}, gateway.received_outside))
    return readings


def _warm_up_gauges(name: str, service: Service) -> list[GaugeSample]:
    """Return the gauges of members that warm up, and of what was sent to them and rejected."""
    warm_up = service.warm_up
    records = [pool.record for pool in service.pools.values()]
    readings: list[GaugeSample] = [
        ("warming_members", {"service": name}, sum(map(warm_up.is_warming, records))),
        ("warm_up_part", {"service": name}, warm_up.part.statements),
    ]
    for record in records:
        labels = {"service": name, "member": record.instance}
        readings.append(("warm_up_sent", labels, warm_up.sent[record.instance]))
        readings.append(("warm_up_turned_away", labels, warm_up.turned_away[record.instance]))
    return readings


def _plan_gauges(gateway: Gateway) -> list[GaugeSample]:
    """Return the gauges of the plan's number and of the shards that this gateway holds."""
    planned = gateway.holdings.planned
    if planned is None:
        return []
    readings: list[GaugeSample] = [("plan_number", {}, planned.plan.number)]
    for held in planned.held_shards(list(gateway.services)):
        labels = {"service": held.service, "part": held.key, "cause": held.cause}
        readings.append(("held_share", labels, held.share))
    return readings


def tenant_gauges(gateway: Gateway) -> list[GaugeSample]:
    """Return the gauges of the top tenants, and the share of gateways that report."""
    quota = gateway.access.quota
    readings: list[GaugeSample] = [("quota_heard_share", {}, quota.reporting_share)]
    for tenant in quota.top_tenants(REPORTED_TENANTS):
        labels = {"tenant": tenant.name}
        readings.append(("tenant_limit", labels, tenant.limit))
        readings.append(("tenant_begun", labels, tenant.admitted))
        readings.append(("tenant_asked", labels, tenant.requested))
        readings.append(("tenant_refused", labels, tenant.refused))
    return readings


def directory_gauges(client: ControlPlaneClient) -> list[GaugeSample]:
    """Return the numbers of full and incremental directory updates, and of mismatches."""
    counts = client.counts.items()
    return [("directories_taken", {"kind": kind}, count) for kind, count in counts]


def _seconds(age: float | None) -> float:
    return NO_AGE_SECONDS if age is None else age / 1000


def relay_gauges(neighbours: Neighbours, holder: LinkServer, detours: Detours) -> list[GaugeSample]:
    """Return the gauges of links to neighbours, of work for neighbours, and of detours."""
    states = [link.state for link in neighbours.links]
    readings: list[GaugeSample] = [
        ("links", {"state": state.value}, states.count(state)) for state in LinkState
    ]
    readings.append(("link_calls_owed", {}, sum(link.pending_calls for link in neighbours.links)))
    readings.append(("detours", {}, detours.known_detours))
    readings.append(("held_statements", {}, holder.running_statements))
    readings.append(("held_transactions", {}, holder.open_transactions))
    return readings
