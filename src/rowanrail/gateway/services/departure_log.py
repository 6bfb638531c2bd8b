"""Log events for members that leave, and for statements that are still sent to them."""

from rowanrail.gateway.events import LEAVING_MEMBER_USED, MEMBER_LEAVES
from rowanrail.gateway.services.service import Service
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.members.departures import Departures
from rowanrail.model.members import MemberRecord

__all__ = ["DepartureLog"]

LINE_INTERVAL_SECONDS = 1.0  # between two lines on the use of one member
# A planned move takes less. Statements that need the primary are sent to it until then.
USUAL_MOVE_SECONDS = 2.0


class DepartureLog:
    """Logs which members leave and, at a limited rate, that they are used for long.

    Parameters
    ----------
    decisions : DecisionLog
        Writes the lines.
    """

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self._logged: Departures = Departures()
        self._line_due: dict[str, float] = {}

    def note_departures(
        self, departures: Departures, records: list[MemberRecord], now: float
    ) -> None:
        """Log the members that began to leave since the last call."""
        for record in records:
            departure = departures.by_instance.get(record.instance)
            if departure is None or record.instance in self._logged.by_instance:
                continue
            self._decisions.note(
                MEMBER_LEAVES,
                service=record.service,
                instance=record.instance,
                primary=record.primary,
                unknown_for=_seconds(now - departure.begun_after),
            )
        self._logged = departures
        self._line_due = {
            instance: due
            for instance, due in self._line_due.items()
            if instance in departures.by_instance
        }

    def note_use(self, service: Service, record: MemberRecord, now: float) -> None:
        """Log that a member is sent a statement long after it began to leave."""
        leaving_for = self._logged.seconds(record.instance, now)
        if leaving_for < USUAL_MOVE_SECONDS or now < self._line_due.get(record.instance, 0.0):
            return
        self._line_due[record.instance] = now + LINE_INTERVAL_SECONDS
        tracker = service.primary
        self._decisions.note(
            LEAVING_MEMBER_USED,
            service=record.service,
            instance=record.instance,
            leaving_for=round(leaving_for, 3),
            primary=record.primary,
            presumed=record.instance == tracker.presumed_primary,
            proved_ago=round(now - tracker.proved_at, 3) if tracker.proved_at >= 0 else None,
        )


def _seconds(seconds: float) -> float | None:
    """Return a duration for the log, None if it is not known."""
    return round(seconds, 3) if seconds < float("inf") else None
