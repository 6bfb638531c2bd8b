"""Which reports of gateways a control node that doesn't lead passes on to the leader.

Owns what was passed on last of each gateway; it leaves out reports that say nothing new, since they
are most of a control node's bytes.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rowanrail.directory.messages import GatewayReport

__all__ = ["KEEPALIVE_SECONDS", "ReportForwarding"]

# Between reports that tell only that a gateway is there. The leader forgets one that it has not
# heard for 12 s (FORGET_GATEWAY_SECONDS), so that two such reports may be lost.
KEEPALIVE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class _ForwardedReport:
    """What was last sent on of one gateway, when in seconds, and to whom."""

    at: float
    leader: str
    had_content: bool
    location: tuple[str, str, str]


class ReportForwarding:
    """Leaves out reports that tell the leader nothing new.

    Most gateways most of the time have neither a proof nor a failure to report; a report is sent
    at once if the one before had any.

    Parameters
    ----------
    now : callable
        Returns the steady time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._sent: dict[str, _ForwardedReport] = {}

    def is_due(self, report: GatewayReport, leader: str) -> bool:
        """Return whether to send a report on to the leader, and take it as sent."""
        location = (report.zone, report.relay_address, report.group)
        now = self._now()
        sent = self._sent.get(report.gateway)
        if (
            sent is not None
            and not _has_content(report)
            and not sent.had_content
            and (sent.leader, sent.location) == (leader, location)
            and now - sent.at < KEEPALIVE_SECONDS
        ):
            return False
        self._sent[report.gateway] = _ForwardedReport(now, leader, _has_content(report), location)
        return True


def _has_content(report: GatewayReport) -> bool:
    """Return whether a report has views of primaries, or the load by which holders are planned."""
    return bool(report.services) or report.load is not None
