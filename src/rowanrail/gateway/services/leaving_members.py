"""The members of one service that leave: until when they are used, and what they are sent.

The times are those of :mod:`rowanrail.members.departures`; the service's rule on members applies
them.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from rowanrail.members.departures import Departures
from rowanrail.model.members import MemberRecord

__all__ = ["LeavingMembers"]


class LeavingMembers:
    """Members that leave, as one service uses them.

    Attributes
    ----------
    sent : Counter
        By instance, number of single statements and transactions sent since the member leaves.
    on_use : callable
        Called with the record of a leaving member that is sent one.
    """

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.on_use: Callable[[MemberRecord], None] = lambda record: None
        self._departures = Departures()
        self._use_seconds = 0.0

    def set_departures(self, departures: Departures, use_seconds: float) -> None:
        """Replace the departures; what was sent to members that don't leave is forgotten.

        Parameters
        ----------
        use_seconds : float
            See :func:`rowanrail.members.departures.use_seconds`.
        """
        self._departures = departures
        self._use_seconds = use_seconds
        for instance in list(self.sent):
            if instance not in departures.by_instance:
                del self.sent[instance]

    def used_until(self, instances: Iterable[str]) -> dict[str, float]:
        """Return until when those of the members that leave are used, in monotonic seconds."""
        return self._departures.used_until(instances, self._use_seconds)

    def seconds(self, instance: str, now: float) -> float:
        """Return for how long a member has been known to leave; 0 if it isn't leaving."""
        return self._departures.seconds(instance, now)

    def note_sent(self, record: MemberRecord) -> None:
        """Record that a member is sent a single statement, or the begin of a transaction."""
        if record.leaving:
            self.sent[record.instance] += 1
            self.on_use(record)
