"""When members and gateways were last heard, and what gateways report of primaries.

Owns these moments and reports. They are soft state: the log doesn't keep them, and a new leader
learns them anew. Relies on :mod:`reports` for the index of reports by service.
"""

from collections.abc import Callable

from rowanrail.coordination.failover import ReportView
from rowanrail.coordination.reports import ReportIndex
from rowanrail.directory.messages import GatewayRecord, GatewayReport

GATEWAY_EXPIRY_SECONDS = 12.0  # longer than a gateway takes to come back; links tell sooner
DIRECT_REPORT_SECONDS = 1.3  # a gateway that runs has reported since: it does so each second
NEVER_SECONDS = 1e9  # an age that is above all limits


class Liveness:
    """Moments at which members and gateways were last heard, on the steady clock."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._heartbeats: dict[str, float] = {}
        self._sequences: dict[str, int] = {}
        self._reports = ReportIndex()

    def record_heartbeat(self, instance: str, sequence: int) -> None:
        """Note a heartbeat, unless it is one that came late."""
        if self.is_late(instance, sequence):
            return
        self._sequences[instance] = sequence
        self._heartbeats[instance] = self._now()

    def is_late(self, instance: str, sequence: int) -> bool:
        """Return whether a later announcement of the member was heard already."""
        return sequence < self._sequences.get(instance, -1)

    def forget_member(self, instance: str) -> None:
        """Forget a member that has ended."""
        self._heartbeats.pop(instance, None)
        self._sequences.pop(instance, None)

    def heartbeat_ago(self, instance: str) -> float:
        """Return the age of a member's last heartbeat in seconds."""
        heard = self._heartbeats.get(instance)
        return NEVER_SECONDS if heard is None else self._now() - heard

    def record_report(self, report: GatewayReport) -> None:
        """Note a gateway's report."""
        self._reports.put(report, self._now())

    def recent_direct_reports(self) -> list[GatewayReport]:
        """Return what gateways reported to this node itself a short while ago."""
        limit = self._now() - DIRECT_REPORT_SECONDS
        return [report for report, at in self._reports.reports if at >= limit and not report.hops]

    @property
    def gateway_count(self) -> int:
        """How many gateways were heard and not found silent by :meth:`gateways` since."""
        return len(self._reports)

    def gateways(self) -> dict[str, GatewayRecord]:
        """Return the gateways that were heard a short while ago, by name."""
        limit = self._now() - GATEWAY_EXPIRY_SECONDS
        records: dict[str, GatewayRecord] = {}
        for report, at in self._reports.reports:
            if at < limit:
                self._reports.drop(report.gateway)
                continue
            records[report.gateway] = GatewayRecord(
                report.gateway, report.zone, report.relay_address, report.group
            )
        return records

    def has_failure_report(self, service: str) -> bool:
        """Return whether any gateway says that a service's primary fails."""
        return self._reports.has_failure_report(service)

    def report_views(self, service: str) -> list[ReportView]:
        """Return what the gateways say of a service's primary."""
        return self._reports.report_views(service, self._now())
