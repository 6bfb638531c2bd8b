"""Aggregation of the metrics of all gateways by service, member, tenant and refusal.

For ``rowanrail inspect load``. Depends on the names and labels of the gateways' metrics. The field
names of :class:`FleetLoad` are part of the JSON output.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

__all__ = [
    "FleetLoad",
    "MemberLoad",
    "RefusalCount",
    "ServiceLoadView",
    "TenantLoad",
    "RejectionCount",
    "read_samples",
    "summarize",
]

METRIC_PREFIX = "rowanrail_gateway_"


@dataclass(frozen=True, slots=True)
class Sample:
    """A sample of a gateway's metrics; ``name`` excludes the prefix of gateways."""

    name: str
    labels: Mapping[str, str]
    value: float


class MemberLoad(msgspec.Struct):
    """Load of a member, aggregated over all gateways.

    Parameters
    ----------
    holders : int
        Number of gateways that hold connections to it.
    under_way : int
        Number of statements in progress and of connections being opened.
    limit : int
        Sum of the gateways' concurrency limits.
    waiting : int
        Number of statements that wait in the gateways' queues.
    longest_wait : float
        Longest time that any of these has waited, in seconds.
    weight : float
        Lowest weight at any gateway, 1 for a healthy member.
    """

    service: str
    member: str
    holders: int = 0
    connections: int = 0
    under_way: int = 0
    limit: int = 0
    waiting: int = 0
    longest_wait: float = 0.0
    latency: float = 0.0
    weight: float = 1.0


class ServiceLoadView(msgspec.Struct):
    """State of a service, aggregated over all gateways; ages in seconds."""

    service: str
    gateways: int = 0
    failing_at: int = 0
    oldest_sample: float = 0.0


class TenantLoad(msgspec.Struct):
    """Load of a tenant, aggregated over all gateways.

    Operations are those of the current window, refusals those since the gateways started.
    """

    tenant: str
    limit: float = 0.0
    begun: float = 0.0
    asked: float = 0.0
    refused: float = 0.0


class RefusalCount(msgspec.Struct):
    """Number of statements that failed with one outcome.

    Counted by the kind of statement, the outcome, and the last processing stage it reached.
    """

    kind: str
    outcome: str
    stage: str
    count: int


class RejectionCount(msgspec.Struct):
    """Number of rejected statements by cause and urgency of their route."""

    cause: str
    urgency: str
    count: int


@dataclass(slots=True)
class FleetLoad:
    """Load of all gateways.

    Parameters
    ----------
    gateways : int
        Number of gateways that were read.
    silent : list of str
        Sources that could not be read, with the reason.
    heard_share : float
        Smallest share of the fleet from which any gateway has current reports for tenant limits.
    """

    gateways: int = 0
    heard_share: float = 1.0
    services: list[ServiceLoadView] = field(default_factory=list)
    members: list[MemberLoad] = field(default_factory=list)
    tenants: list[TenantLoad] = field(default_factory=list)
    refusals: list[RefusalCount] = field(default_factory=list)
    turned_away: list[RejectionCount] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)


def read_samples(text: str) -> list[Sample]:
    """Return the samples of one gateway's metrics.

    Raises
    ------
    ValueError
        If the text is not in the exposition format.
    """
    from prometheus_client.parser import text_string_to_metric_families

    return [
        Sample(sample.name.removeprefix(METRIC_PREFIX), sample.labels, sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]


def summarize(gateways: Iterable[list[Sample]]) -> FleetLoad:
    """Return the load of the fleet, aggregated from the samples of its gateways.

    Examples
    --------
    >>> one = [Sample("connections", {"service": "s", "member": "m"}, 3.0)]
    >>> fleet = summarize([one, one])
    >>> fleet.gateways, fleet.members[0].connections, fleet.members[0].holders
    (2, 6, 2)
    """
    summary = _FleetSummary()
    for samples in gateways:
        summary.add(samples)
    return summary.result()


class _FleetSummary:
    """Accumulates the samples of gateways."""

    def __init__(self) -> None:
        self._fleet = FleetLoad()
        self._services: dict[str, ServiceLoadView] = {}
        self._members: dict[tuple[str, str], MemberLoad] = {}
        self._tenants: dict[str, TenantLoad] = {}
        self._refusals: dict[tuple[str, str, str], int] = {}
        self._rejections: dict[tuple[str, str], int] = {}

    def add(self, samples: list[Sample]) -> None:
        """Add the samples of one gateway."""
        self._fleet.gateways += 1
        for sample in samples:
            if "member" in sample.labels:
                self._add_member(sample)
            elif "tenant" in sample.labels:
                self._add_tenant(sample)
            elif sample.name == "statements_total":
                self._add_outcome(sample)
            elif sample.name == "turned_away_total":
                key = sample.labels["cause"], sample.labels["urgency"]
                self._rejections[key] = self._rejections.get(key, 0) + int(sample.value)
            elif "service" in sample.labels:
                self._add_service(sample)
            elif sample.name == "quota_heard_share":
                self._fleet.heard_share = min(self._fleet.heard_share, sample.value)

    def _add_service(self, sample: Sample) -> None:
        name = sample.labels["service"]
        service = self._services.setdefault(name, ServiceLoadView(name))
        match sample.name:
            case "sample_age_seconds":
                service.gateways += sample.value >= 0
                service.oldest_sample = max(service.oldest_sample, sample.value)
            case "primary_failing_seconds":
                service.failing_at += sample.value > 0
            case _:
                pass  # shown by the gateway itself only

    def _add_member(self, sample: Sample) -> None:
        key = sample.labels["service"], sample.labels["member"]
        member = self._members.setdefault(key, MemberLoad(*key))
        value = sample.value
        match sample.name:
            case "connections":
                member.connections += int(value)
                member.holders += value > 0
            case "concurrency_limit":
                member.limit += int(value)
            case "under_way":
                member.under_way += int(value)
            case "queue_length":
                member.waiting += int(value)
            case "queue_longest_wait_seconds":
                member.longest_wait = max(member.longest_wait, value)
            case "member_latency_seconds":
                member.latency = max(member.latency, value)
            case "member_weight":
                member.weight = min(member.weight, value)
            case _:
                pass  # shown by the gateway itself only

    def _add_tenant(self, sample: Sample) -> None:
        name = sample.labels["tenant"]
        tenant = self._tenants.setdefault(name, TenantLoad(name))
        match sample.name:
            case "tenant_limit":
                tenant.limit = max(tenant.limit, sample.value)
            case "tenant_begun":
                tenant.begun += sample.value
            case "tenant_asked":
                tenant.asked += sample.value
            case "tenant_refused":
                tenant.refused += sample.value
            case _:
                pass  # shown by the gateway itself only

    def _add_outcome(self, sample: Sample) -> None:
        labels = sample.labels
        if labels["outcome"] == "done":
            return
        key = labels["kind"], labels["outcome"], labels["stage"]
        self._refusals[key] = self._refusals.get(key, 0) + int(sample.value)

    def result(self) -> FleetLoad:
        """Return the totals, with the most loaded members and tenants first."""
        fleet = self._fleet
        fleet.services = [self._services[name] for name in sorted(self._services)]
        fleet.members = sorted(
            self._members.values(), key=lambda m: (-m.waiting, -m.under_way, m.service, m.member)
        )
        fleet.tenants = sorted(self._tenants.values(), key=lambda t: (-t.refused, -t.begun))
        counts = sorted(self._refusals.items(), key=lambda entry: -entry[1])
        fleet.refusals = [RefusalCount(*key, count) for key, count in counts if count]
        rejections = sorted(self._rejections.items(), key=lambda entry: -entry[1])
        fleet.turned_away = [RejectionCount(*key, count) for key, count in rejections if count]
        return fleet
