"""Heartbeats of members and reports of gateways, with the times at which they arrived.

Kept in memory only: they are not in the log, and a new leader collects them anew. Relies on
:mod:`reports` for the index of reports by service.
"""

from collections.abc import Callable

from rowanrail.coordination.failover import ReportView
from rowanrail.coordination.reports import ReportIndex
from rowanrail.directory.messages import GatewayRecord, GatewayReport

GATEWAY_EXPIRY_SECONDS = 12.0  # longer than a gateway takes to restart
DIRECT_REPORT_SECONDS = 1.3  # gateways report every second
NEVER_SECONDS = 1e9  # age of a heartbeat that never came; above all limits


class Liveness:
    """Records heartbeats and reports by their arrival times.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._heartbeats: dict[str, float] = {}
        self._sequences: dict[str, int] = {}
        self._reports = ReportIndex()

    def record_heartbeat(self, instance: str, sequence: int) -> None:
        """Record a member's heartbeat, unless a later one was recorded."""
        if self.is_late(instance, sequence):
            return
        self._sequences[instance] = sequence
        self._heartbeats[instance] = self._now()

    def is_late(self, instance: str, sequence: int) -> bool:
        """Return whether a later announcement of the member has already arrived."""
        return sequence < self._sequences.get(instance, -1)

    def forget_member(self, instance: str) -> None:
        """Discard the heartbeats of a member that has ended."""
        self._heartbeats.pop(instance, None)
        self._sequences.pop(instance, None)

    def heartbeat_ago(self, instance: str) -> float:
        """Return the age of a member's last heartbeat in seconds; ``NEVER_SECONDS`` if none."""
        heard = self._heartbeats.get(instance)
        return NEVER_SECONDS if heard is None else self._now() - heard

    def record_report(self, report: GatewayReport) -> None:
        """Record a gateway's report."""
        self._reports.put(report, self._now())

    def recent_direct_reports(self) -> list[GatewayReport]:
        """Return the recent reports that gateways sent to this node directly."""
        limit = self._now() - DIRECT_REPORT_SECONDS
        return [report for report, at in self._reports.reports if at >= limit and not report.hops]

    @property
    def gateway_count(self) -> int:
        """Number of gateways with a report that :meth:`gateways` has not expired."""
        return len(self._reports)

    def gateways(self) -> dict[str, GatewayRecord]:
        """Return the gateways with an unexpired report, by name; drop expired reports."""
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
        """Return whether any gateway reports that a service's primary fails."""
        return self._reports.has_failure_report(service)

    def report_views(self, service: str) -> list[ReportView]:
        """Return all gateways' views of a service's primary."""
        return self._reports.report_views(service, self._now())
