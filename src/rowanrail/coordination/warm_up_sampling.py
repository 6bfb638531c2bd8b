"""Limits on the leader's own commands to members that warm up.

They count against the members' warm-up limit, of which gateways have the whole. The leader does not
sample a warming primary unless it seems to fail, and asks for statuses at intervals. No I/O.
"""

from collections.abc import Callable, Iterable

from rowanrail.coordination.state import CoordinationState
from rowanrail.kernel.clock import Clock
from rowanrail.model.members import MemberRecord
from rowanrail.scheduling.cold_members import ColdMembers, MemberStart

__all__ = ["WarmUpSampling"]

# Both add about three commands a second while a warming primary seems to fail, and none otherwise.
FAILING_SAMPLE_INTERVAL_MS = 2000.0
STATUS_INTERVAL_MS = 500.0


class WarmUpSampling:
    """Limits on samples and status queries of members that warm up.

    Parameters
    ----------
    state : CoordinationState
        Members, and the ends of evacuations.
    warm_up_seconds : callable
        Returns for how long a service's members are limited; 0 without a limit.
    is_failing : callable
        Returns whether the leader's samples of a service's primary fail.
    clock : Clock
        Monotonic time.
    unix_ms : callable
        Returns the Unix time in milliseconds.
    """

    def __init__(
        self,
        state: CoordinationState,
        warm_up_seconds: Callable[[str], float],
        is_failing: Callable[[str], bool],
        clock: Clock,
        unix_ms: Callable[[], float],
    ) -> None:
        self._state = state
        self._warm_up_seconds = warm_up_seconds
        self._is_failing = is_failing
        self._clock = clock
        self._unix_ms = unix_ms
        self._cold = ColdMembers(clock)
        self._sampled_at: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}

    def update(self) -> None:
        """Apply the members and evacuations of the replicated state."""
        members = self._state.members.values()
        starts = [_start(record) for record in members if self._warm_up_seconds(record.service)]
        self._cold.set_members(starts, self._unix_ms())
        self._cold.set_ended_evacuations(self._state.evacuations.ended, self._unix_ms())

    def is_cold(self, record: MemberRecord) -> bool:
        """Return whether a member warms up and has a limit."""
        seconds = self._warm_up_seconds(record.service)
        return seconds > 0 and self._cold.remaining(_start(record), seconds * 1000) > 0

    # Samples, see :class:`rowanrail.members.sampling_connection.SampleLimit`

    def may_sample(self, record: MemberRecord) -> bool:
        """Return whether the leader may sample a member now."""
        if not self.is_cold(record):
            return True
        sampled_at = self._sampled_at.get(record.instance)
        is_due = sampled_at is None or self._clock.now - sampled_at >= FAILING_SAMPLE_INTERVAL_MS
        return is_due and self._is_failing(record.service)

    def take_sample(self, record: MemberRecord) -> bool:
        """Record a sample as sent."""
        self._sampled_at[record.instance] = self._clock.now
        return True

    def needs_reported_samples(self, record: MemberRecord) -> bool:
        """Return False: the leader learns from gateways' reports, not from their samples."""
        return False

    # Statuses

    def may_ask_statuses(self, service: str, members: Iterable[MemberRecord]) -> bool:
        """Return whether members may be asked for their statuses now; if so, record that."""
        now = self._clock.now
        if any(map(self.is_cold, members)):
            asked_at = self._asked_at.get(service)
            if asked_at is not None and now - asked_at < STATUS_INTERVAL_MS:
                return False
        self._asked_at[service] = now
        return True


def _start(record: MemberRecord) -> MemberStart:
    return MemberStart(record.instance, record.zone, record.started_ms)
