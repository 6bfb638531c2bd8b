"""Heartbeats of members' lives and reports of gateways, with the times at which they arrived.

Kept in memory only: they are not in the log, and a new leader collects them anew. Relies on
:mod:`reports` for the index of reports by service.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rowanrail.coordination.failover import ReportView
from rowanrail.coordination.reports import ReportIndex
from rowanrail.directory.messages import GatewayRecord, GatewayReport

GATEWAY_EXPIRY_SECONDS = 12.0  # longer than a gateway takes to restart
DIRECT_REPORT_SECONDS = 1.3  # gateways report every second
NEVER_SECONDS = 1e9  # age of a heartbeat that never came; above all limits
MAX_INSTANCES = 25_000  # above the maximum number of members
MAX_LIVES = 4  # of an instance; bounds what announcements with made-up starts add


@dataclass(frozen=True, slots=True)
class _Heartbeat:
    """The newest heartbeat of a life, and when it arrived in seconds."""

    sequence: int
    at: float


class Liveness:
    """Records heartbeats and reports by their arrival times.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._heartbeats: dict[str, dict[int, _Heartbeat]] = {}  # by instance and start
        self._reports = ReportIndex()

    def record_heartbeat(self, instance: str, sequence: int, start: int = 0) -> None:
        """Record a heartbeat of a member's life, unless a later one was recorded."""
        if self.is_late(instance, sequence, start):
            return
        lives = self._heartbeats.pop(instance, {})
        lives.pop(start, None)
        lives[start] = _Heartbeat(sequence, self._now())
        if len(lives) > MAX_LIVES:
            del lives[next(iter(lives))]
        self._heartbeats[instance] = lives  # the latest is the last to be dropped
        if len(self._heartbeats) > MAX_INSTANCES:
            del self._heartbeats[next(iter(self._heartbeats))]

    def is_late(self, instance: str, sequence: int, start: int = 0) -> bool:
        """Return whether a later announcement of the member's life has already arrived."""
        heard = self._heartbeats.get(instance, {}).get(start)
        return heard is not None and sequence < heard.sequence

    def forget_member(self, instance: str) -> None:
        """Discard the heartbeats of a member that has ended."""
        self._heartbeats.pop(instance, None)

    def heartbeat_ago(self, instance: str, start: int | None = None) -> float:
        """Return the age of a member's last heartbeat in seconds; ``NEVER_SECONDS`` if none.

        Parameters
        ----------
        start : int or None
            Start of the life, 0 if it reports none; None for any life.
        """
        lives = self._heartbeats.get(instance, {})
        times = [heard.at for known, heard in lives.items() if start is None or known == start]
        return self._now() - max(times) if times else NEVER_SECONDS

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
