"""Which members are cold: for some time after their start, and after their zone's evacuation.

A gateway that saw a member start, or an evacuation end, counts on its own monotonic clock from the
time at which it learned of it, which is never too early. One that started later knows only Unix
times of another machine; it allows for a difference of the clocks, and takes a member for cold if
it can't know. No I/O; times are milliseconds.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from rowanrail.kernel.clock import Clock

__all__ = ["ColdCause", "ColdMembers", "MemberStart", "age_by_unix_time"]

CLOCK_TOLERANCE_MS = 5000.0  # by which clocks of two machines may differ
MAX_REMEMBERED_STARTS = 1000  # of members that left; one may be announced again in the same life
# After a member could not be reached, it may have started again. Its announcement takes up to two
# heartbeat intervals of 1.2 s and its way to the gateway.
ANNOUNCEMENT_MS = 3000.0


class ColdCause(enum.Enum):
    """Why a member counts as cold; the values are used in logs."""

    STARTED = "started"
    START_UNKNOWN = "start-unknown"
    ZONE_RETURNED = "zone-returned"
    MAY_HAVE_STARTED = "may-have-started"


@dataclass(frozen=True, slots=True)
class MemberStart:
    """A member's announced start.

    Parameters
    ----------
    started_ms : int
        Unix milliseconds; 0 if the member doesn't report it.
    """

    instance: str
    zone: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class _Since:
    """A Unix time, 0 if unknown, and the monotonic time from which this gateway counts."""

    unix_ms: int
    counted_from: float
    cause: ColdCause


def age_by_unix_time(unix_ms: int, now_unix_ms: float) -> float:
    """Return the time that has passed at least since a Unix time of another machine.

    Examples
    --------
    >>> age_by_unix_time(1000, 9000.0), age_by_unix_time(1000, 3000.0), age_by_unix_time(0, 9000.0)
    (3000.0, 0.0, 0.0)
    """
    if not unix_ms:
        return 0.0
    return max(0.0, now_unix_ms - unix_ms - CLOCK_TOLERANCE_MS)


class ColdMembers:
    """Since when the members of a service, and their zones, can be assumed to run.

    Parameters
    ----------
    clock : Clock
        Monotonic time.

    Examples
    --------
    >>> class Now:
    ...     now = 0.0
    >>> clock = Now()
    >>> cold = ColdMembers(clock)
    >>> member = MemberStart("m1", "a", 100_000)
    >>> cold.set_members([member], now_unix_ms=112_000.0)  # it started 7 s to 17 s ago
    >>> cold.remaining(member, warm_up_ms=10_000)
    3000.0
    >>> clock.now = 3000.0
    >>> cold.remaining(member, 10_000)
    0.0
    >>> again = MemberStart("m1", "a", 114_000)  # it is seen to start again
    >>> cold.set_members([again], now_unix_ms=115_000.0)
    >>> cold.remaining(again, 10_000)
    10000.0
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._starts: dict[str, _Since] = {}
        self._gone: OrderedDict[str, _Since] = OrderedDict()
        self._zones: dict[str, _Since] = {}
        self._has_members = False
        self._has_evacuations = False
        self._unreachable_at: dict[str, float] = {}

    def set_members(self, members: Iterable[MemberStart], now_unix_ms: float) -> None:
        """Replace the members.

        Those of the first directory may have started at any time before; others are seen to start.
        """
        before, self._starts = self._starts, {}
        for member in members:
            known = before.pop(member.instance, None) or self._gone.pop(member.instance, None)
            if known is None or known.unix_ms != member.started_ms:
                known = self._new_start(member, known, now_unix_ms)
            self._starts[member.instance] = known
        self._gone.update(before)
        while len(self._gone) > MAX_REMEMBERED_STARTS:
            self._gone.popitem(last=False)
        for instance in self._unreachable_at.keys() - self._starts.keys():
            del self._unreachable_at[instance]
        self._has_members = self._has_members or bool(self._starts)

    def _new_start(self, member: MemberStart, before: _Since | None, now_unix_ms: float) -> _Since:
        now = self._clock.now
        # Starts are not recorded until all control nodes know them; then a member reports the start
        # of a life that may be old.
        is_told_later = before is not None and not before.unix_ms
        if self._has_members and not is_told_later:
            return _Since(member.started_ms, now, ColdCause.STARTED)
        age = age_by_unix_time(member.started_ms, now_unix_ms)
        cause = ColdCause.STARTED if member.started_ms else ColdCause.START_UNKNOWN
        return _Since(member.started_ms, now - age, cause)

    def set_ended_evacuations(self, ended: Mapping[str, int], now_unix_ms: float) -> None:
        """Replace the zones whose evacuation has ended, with the Unix milliseconds of the end."""
        now = self._clock.now
        for zone, unix_ms in ended.items():
            known = self._zones.get(zone)
            if known is not None and known.unix_ms == unix_ms:
                continue
            age = 0.0 if self._has_evacuations else age_by_unix_time(unix_ms, now_unix_ms)
            self._zones[zone] = _Since(unix_ms, now - age, ColdCause.ZONE_RETURNED)
        self._has_evacuations = True

    def note_unreachable(self, instance: str) -> None:
        """Record that a member refused connections, so that it may start again."""
        self._unreachable_at[instance] = self._clock.now

    def note_confirmed(self, asked_at: float) -> None:
        """Record that the directory was confirmed by a request of that monotonic time.

        A member that had started again before would have been announced in it.
        """
        self._unreachable_at = {
            instance: at
            for instance, at in self._unreachable_at.items()
            if at + ANNOUNCEMENT_MS > asked_at
        }

    def remaining(self, member: MemberStart, warm_up_ms: float) -> float:
        """Return the milliseconds for which a member remains cold, 0 if it is warm."""
        return max(0.0, self._last(member).counted_from + warm_up_ms - self._clock.now)

    def cause(self, member: MemberStart) -> ColdCause:
        """Return why a member counts as cold."""
        return self._last(member).cause

    def _last(self, member: MemberStart) -> _Since:
        """Return what made a member cold last."""
        started = self._starts.get(member.instance)
        if started is None or member.instance in self._unreachable_at:
            cause = ColdCause.START_UNKNOWN if started is None else ColdCause.MAY_HAVE_STARTED
            return _Since(0, self._clock.now, cause)
        zone = self._zones.get(member.zone)
        if zone is None or zone.counted_from < started.counted_from:
            return started
        return zone
