"""What a process knows of when members began to leave. No I/O.

A member that leaves serves for some time after its announcement was acknowledged. A process learns
of it later, from the next directory. The directory before was without the announcement, so that the
member began to leave at some time between the two.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rowanrail.model.members import MemberRecord
from rowanrail.scheduling.warm_up_share import MAX_DIRECTORY_LAG_MS

__all__ = ["Departure", "Departures", "use_seconds"]


def use_seconds(drain_ms: float) -> float:
    """Return for how long after a directory without its announcement a leaving member is used.

    Parameters
    ----------
    drain_ms : float
        Time from the acknowledgement of the announcement until nothing more may begin there. The
        directory may have lacked the announcement though it was acknowledged.

    Examples
    --------
    >>> use_seconds(7000)
    5.0
    """
    return max(0.0, drain_ms - MAX_DIRECTORY_LAG_MS) / 1000


@dataclass(frozen=True, slots=True)
class Departure:
    """When a member began to leave; times are monotonic seconds.

    Parameters
    ----------
    learned_at : float
        When this process learned of it.
    begun_after : float
        Time at which the member was not leaving yet; minus infinity if none is known.
    """

    learned_at: float
    begun_after: float


@dataclass(frozen=True, slots=True)
class Departures:
    """The members that are leaving.

    Parameters
    ----------
    by_instance : mapping of str to Departure
        The departure of each leaving member.

    Examples
    --------
    >>> member = MemberRecord("m1", "db", "m1:1", "a", False, True, 3, 2)
    >>> first = Departures().updated([member], now=10.0, confirmed_at=9.2)
    >>> first.by_instance["m1"]
    Departure(learned_at=10.0, begun_after=9.2)
    >>> first.updated([member], now=11.0, confirmed_at=10.4).by_instance == first.by_instance
    True
    """

    by_instance: Mapping[str, Departure] = field(default_factory=dict)

    def updated(
        self, records: Iterable[MemberRecord], now: float, confirmed_at: float = -math.inf
    ) -> "Departures":
        """Return the departures by a new directory; known ones keep their times.

        Parameters
        ----------
        records : iterable of MemberRecord
            All members of the directory.
        now : float
            Monotonic seconds.
        confirmed_at : float
            Time at which the directory before was known to be up to date.
        """
        departure = Departure(now, confirmed_at)
        return Departures(
            {
                record.instance: self.by_instance.get(record.instance, departure)
                for record in records
                if record.leaving
            }
        )

    def used_until(self, instances: Iterable[str], seconds: float) -> dict[str, float]:
        """Return until when leaving members may be sent what needs them, in monotonic seconds.

        Counted from the last time at which a member was known not to leave, since its announcement
        may have been acknowledged right after that.

        Parameters
        ----------
        instances : iterable of str
            Members, of which those that don't leave are omitted.
        seconds : float
            Time for which a member may be used after that, see :func:`use_seconds`.

        Examples
        --------
        >>> departures = Departures({"m1": Departure(learned_at=10.0, begun_after=9.2)})
        >>> departures.used_until(["m1", "m2"], 5.0)
        {'m1': 14.2}
        """
        return {
            instance: self.by_instance[instance].begun_after + seconds
            for instance in instances
            if instance in self.by_instance
        }

    def seconds(self, instance: str, now: float) -> float:
        """Return for how long a member has been known to leave; 0 if it isn't leaving."""
        departure = self.by_instance.get(instance)
        return 0.0 if departure is None else now - departure.learned_at
