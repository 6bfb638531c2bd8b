"""The proxy's reports to the control nodes, and its Prometheus metrics."""

import asyncio

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from rowanrail.cluster.messages import GroupReport, ProxyReport
from rowanrail.sql_proxy.core import ProxyCore
from rowanrail.sql_proxy.services import GroupServices

MAXIMUM_REPORTED_GROUPS = 8  # the most recently used groups; bounds the size of a report
_GROUP_METRICS = (
    ("replica_reads", "Reads served by replicas"),
    ("primary_reads", "Reads that could go to a replica, served by the primary"),
    ("primary_only_reads", "Reads that the rules keep on the primary"),
    ("writes", "Writes"),
    ("repeated", "Repeated requests that got their recorded outcome"),
)


def make_report(core: ProxyCore, name: str, zone: str, incarnation: str) -> ProxyReport:
    """Return the proxy's report to the control nodes."""
    replica_reads = sum(services.statistics.replica_reads for services in core.watched_groups())
    primary_reads = sum(services.statistics.primary_reads for services in core.watched_groups())
    primary_only_reads = sum(
        services.statistics.primary_only_reads for services in core.watched_groups()
    )
    newest = sorted(core.watched_groups(), key=lambda services: services.used_at, reverse=True)
    groups = [
        report
        for services in newest[:MAXIMUM_REPORTED_GROUPS]
        for report in _group_reports(services)
    ]
    return ProxyReport(
        proxy=name,
        zone=zone,
        incarnation=incarnation,
        version=core.in_force.version,
        replica_reads=replica_reads,
        primary_reads=primary_reads,
        primary_only_reads=primary_only_reads,
        used=core.groups.watched_names(),
        groups=groups,
    )


def _group_reports(services: GroupServices) -> list[GroupReport]:
    now = asyncio.get_running_loop().time()
    reports = []
    for member in services.group.members:
        status = member.state.last_status
        reports.append(
            GroupReport(
                group=services.spec.name,
                member=member.name,
                zone=member.zone,
                role=status.role.value if status else "unknown",
                term=status.term if status else 0,
                position=status.committed.index if status else 0,
                lag_seconds=round(max(0.0, now - member.state.last_status_at), 3)
                if status
                else -1.0,
                leaving=member.leaving,
                reachable=member.state.reachable,
                connections=member.pool.open_count,
            )
        )
    return reports


class ProxyMetrics:
    """Prometheus metrics of a proxy."""

    def __init__(self, core: ProxyCore) -> None:
        self._core = core
        self._registry = CollectorRegistry()
        self._sessions = Gauge("rowanrail_proxy_sessions", "Sessions", registry=self._registry)
        self._version = Gauge(
            "rowanrail_proxy_configuration_version",
            "Configuration version in force",
            registry=self._registry,
        )
        self._groups = {
            name: Gauge(f"rowanrail_proxy_{name}", text, ["group"], registry=self._registry)
            for name, text in _GROUP_METRICS
        }
        self._connections = Gauge(
            "rowanrail_proxy_connections",
            "Open back-end connections",
            ["group", "member"],
            registry=self._registry,
        )
        self._waiting = Gauge(
            "rowanrail_proxy_waiting",
            "Requests that wait for a connection",
            ["group", "member"],
            registry=self._registry,
        )
        self._latency = Gauge(
            "rowanrail_proxy_latency_seconds",
            "Smoothed statement latency",
            ["group", "member"],
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self._sessions.set(len(self._core.sessions))
        self._version.set(self._core.in_force.version)
        for services in self._core.watched_groups():
            group = services.spec.name
            for name, gauge in self._groups.items():
                gauge.labels(group).set(getattr(services.statistics, name))
            for member in services.group.members:
                self._connections.labels(group, member.name).set(member.pool.open_count)
                self._waiting.labels(group, member.name).set(member.pool.waiting)
                self._latency.labels(group, member.name).set(member.pool.latency_seconds)
        return bytes(generate_latest(self._registry))
