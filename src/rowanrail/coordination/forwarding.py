"""Selects the gateway reports that a follower forwards to the leader.

Remembers what was last forwarded for each gateway, and drops reports without news: they would be
most of a control node's traffic.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rowanrail.directory.messages import GatewayReport

__all__ = ["KEEPALIVE_SECONDS", "ReportForwarding"]

# Between forwarded reports without content. The leader forgets a gateway after 12 s of silence
# (GATEWAY_EXPIRY_SECONDS), so that two in a row may be lost.
KEEPALIVE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class _ForwardedReport:
    """The last report that was forwarded for one gateway; ``at`` in seconds."""

    at: float
    leader: str
    had_content: bool
    location: tuple[str, str, str]


class ReportForwarding:
    """Drops reports that tell the leader nothing new.

    Most reports have neither a proof nor a failure. One without content that follows one with
    content is forwarded at once.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._sent: dict[str, _ForwardedReport] = {}

    def is_due(self, report: GatewayReport, leader: str) -> bool:
        """Return whether to forward a report to the leader; if so, record it as forwarded."""
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
    """Return whether a report has views of primaries, or load that the planner uses."""
    return bool(report.services) or report.load is not None
