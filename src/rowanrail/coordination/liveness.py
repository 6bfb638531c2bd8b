"""What the leader hears and no log keeps: heartbeats of members, reports of gateways."""

from collections.abc import Callable

import msgspec

from rowanrail.coordination.failover import ReportView, report_view
from rowanrail.coordination.messages import GatewayRecord, GatewayReport

FORGET_GATEWAY_SECONDS = 12.0  # longer than a gateway takes to come back; links tell sooner
DIRECT_REPORT_SECONDS = 1.3  # a gateway that is there has told something since
NEVER_SECONDS = 1e9  # an age that is above all limits


class _HeardReport(msgspec.Struct):
    report: GatewayReport
    at: float


class Liveness:
    """Moments at which members and gateways were last heard, on the steady clock."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._heartbeats: dict[str, float] = {}
        self._sequences: dict[str, int] = {}
        self._reports: dict[str, _HeardReport] = {}

    def heartbeat(self, instance: str, sequence: int) -> None:
        """Note a heartbeat, unless it is one that came late."""
        if self.is_late(instance, sequence):
            return
        self._sequences[instance] = sequence
        self._heartbeats[instance] = self._now()

    def is_late(self, instance: str, sequence: int) -> bool:
        """Return whether a later word of the member was heard already."""
        return sequence < self._sequences.get(instance, -1)

    def forget_member(self, instance: str) -> None:
        """Forget a member that has ended."""
        self._heartbeats.pop(instance, None)
        self._sequences.pop(instance, None)

    def heartbeat_ago(self, instance: str) -> float:
        """Return the age of a member's last heartbeat in seconds."""
        heard = self._heartbeats.get(instance)
        return NEVER_SECONDS if heard is None else self._now() - heard

    def report(self, report: GatewayReport) -> None:
        """Note a gateway's report."""
        self._reports[report.gateway] = _HeardReport(report, self._now())

    def direct_reports(self) -> list[GatewayReport]:
        """Return what gateways told this node itself a short while ago."""
        limit = self._now() - DIRECT_REPORT_SECONDS
        return [
            heard.report
            for heard in self._reports.values()
            if heard.at >= limit and not heard.report.hops
        ]

    def gateways(self) -> dict[str, GatewayRecord]:
        """Return the gateways that were heard a short while ago, by name."""
        limit = self._now() - FORGET_GATEWAY_SECONDS
        self._reports = {name: heard for name, heard in self._reports.items() if heard.at >= limit}
        return {
            name: GatewayRecord(
                name, heard.report.zone, heard.report.relay_address, heard.report.group
            )
            for name, heard in self._reports.items()
        }

    def views(self, service: str) -> list[ReportView]:
        """Return what the gateways say of a service's primary."""
        now = self._now()
        return [
            report_view(name, health, now - heard.at)
            for name, heard in self._reports.items()
            for health in heard.report.services
            if health.service == service
        ]
