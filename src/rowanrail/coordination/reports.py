"""Index by service of the gateways' latest reports of primaries."""

from rowanrail.coordination.failover import ReportView, report_view
from rowanrail.directory.health_filter import reportable_health
from rowanrail.directory.messages import GatewayReport
from rowanrail.model.members import PrimaryHealth

__all__ = ["ReportIndex"]


class ReportIndex:
    """The latest report of each gateway, by service.

    A leader checks each service ten times a second, which would be slow over all reports.
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[GatewayReport, float]] = {}
        self._by_service: dict[str, dict[str, PrimaryHealth]] = {}
        self._failing: dict[str, set[str]] = {}

    def __len__(self) -> int:
        return len(self._reports)

    @property
    def reports(self) -> list[tuple[GatewayReport, float]]:
        """All reports, each with its arrival time in seconds."""
        return list(self._reports.values())

    def put(self, report: GatewayReport, at: float) -> None:
        """Add a report that arrived at ``at`` seconds; it replaces the gateway's earlier one."""
        self.drop(report.gateway)
        self._reports[report.gateway] = (report, at)
        for health in reportable_health(report.services):
            self._by_service.setdefault(health.service, {})[report.gateway] = health
            if health.failing_for_ms:
                self._failing.setdefault(health.service, set()).add(report.gateway)

    def drop(self, gateway: str) -> None:
        """Remove a gateway's report, if there is one."""
        known = self._reports.pop(gateway, None)
        if known is None:
            return
        for health in known[0].services:
            self._forget(health.service, gateway)

    def _forget(self, service: str, gateway: str) -> None:
        views = self._by_service.get(service, {})
        views.pop(gateway, None)
        if not views:
            self._by_service.pop(service, None)
        failing = self._failing.get(service, set())
        failing.discard(gateway)
        if not failing:
            self._failing.pop(service, None)

    def has_failure_report(self, service: str) -> bool:
        """Return whether any gateway reports that a service's primary fails."""
        return service in self._failing

    def report_views(self, service: str, now: float) -> list[ReportView]:
        """Return all gateways' views of a service's primary."""
        return [
            report_view(gateway, health, now - self._reports[gateway][1])
            for gateway, health in self._by_service.get(service, {}).items()
        ]
