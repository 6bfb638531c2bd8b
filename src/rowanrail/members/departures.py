"""What a process knows of when members began to leave. No I/O.

A member that leaves serves for some time after its announcement was acknowledged. A process learns
of it later, from the next directory. The directory before was without the announcement, so that the
member began to leave at some time between the two.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rowanrail.model.members import MemberRecord

__all__ = ["Departure", "Departures"]


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

    def seconds(self, instance: str, now: float) -> float:
        """Return for how long a member has been known to leave; 0 if it isn't leaving."""
        departure = self.by_instance.get(instance)
        return 0.0 if departure is None else now - departure.learned_at
