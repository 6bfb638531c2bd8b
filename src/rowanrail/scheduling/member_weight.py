"""Weight of a member in the selection for reads, reduced by failures.

Failures of clients' statements reduce the weight quickly; only the system's own probes restore it.
A statement that succeeds says little about a member that fails half of them, and clients should not
be the ones to find out. A member that is slow but does not fail keeps its weight, as its answer
times already reduce its load.
"""

import enum
from dataclasses import dataclass

__all__ = ["FailureKind", "MemberWeight", "WeightStatus", "is_persistently_busy"]

# ms between probes of a member that lost weight: with three members a probe takes a slot for 1 % of
# the time, and a member that works again is back within the few seconds in which clients retry.
PROBE_INTERVAL_MS = 1000.0
# Limit on the probes of one member by all gateways together, as they add load to a failing member.
PROBES_PER_SECOND = 40.0
MIN_WEIGHT = 0.05  # above 0, so that a member still serves if all others are worse
DEGRADED_BELOW = 0.5  # weight below which a member counts as degraded, which is logged
RECOVERED_AT = 0.9  # weight from which a degraded member counts as recovered
GAIN = 0.25  # per answered probe: four restore the weight after a first failure
MIN_GAIN = GAIN / 8  # bounds the recovery of a member that fails repeatedly to about 30 s
# ms for which a degradation slows down the next recovery; longer than a flapping period.
DEGRADATION_MEMORY_MS = 30_000.0
# Consecutive refusals as busy that count as a failure. A member that is full by chance refuses with
# a probability equal to its load, so that this many in a row are rare.
MAX_CONSECUTIVE_BUSY = 4


class FailureKind(enum.Enum):
    """Kind of a member's failure; the values are used in logs and metrics."""

    ERROR = "error"
    SILENCE = "silence"
    REFUSED = "refused"
    BUSY = "turned-away"
    PROBE_FAILED = "probe-failed"


# Factor on the weight for each failure. A missing answer costs a client at least 0.4 s, so a single
# one degrades the member; an error costs a round trip, and one alone may be chance. Refusals as
# busy may be due to the load of other gateways since the last answer.
WEIGHT_FACTORS = {
    FailureKind.ERROR: 0.7,
    FailureKind.SILENCE: 0.4,
    FailureKind.REFUSED: 0.4,
    FailureKind.BUSY: 0.85,
    FailureKind.PROBE_FAILED: 0.4,
}


@dataclass(frozen=True, slots=True)
class WeightStatus:
    """A member's weight as shown to operators.

    Parameters
    ----------
    value : float
        Above 0 to 1.
    reason : str
        Kind of the last failure; empty if there was none.
    falls : int
        Number of recent degradations.
    """

    value: float
    reason: str
    falls: int


def is_persistently_busy(consecutive_busy: int) -> bool:
    """Return whether a member's consecutive refusals as busy count as a failure.

    Examples
    --------
    >>> is_persistently_busy(3), is_persistently_busy(4)
    (False, True)
    """
    return consecutive_busy >= MAX_CONSECUTIVE_BUSY


class MemberWeight:
    """The weight of one member; times in milliseconds.

    Examples
    --------
    >>> weight = MemberWeight()
    >>> for _ in range(3):
    ...     weight.note_failure(FailureKind.SILENCE, now=0.0)
    >>> weight.weight.value, weight.weight.falls, weight.is_probe_due(now=0.0)
    (0.064, 1, True)
    >>> for second in range(1, 5):
    ...     weight.note_probe_answered(now=1000.0 * second)
    >>> weight.weight.value, weight.is_probe_due(now=9000.0)
    (1.0, False)
    """

    def __init__(self) -> None:
        self._value = 1.0
        self._reason = ""
        self._is_degraded = False
        self._degraded_at: list[float] = []
        self._probed_at = -PROBE_INTERVAL_MS

    @property
    def weight(self) -> WeightStatus:
        """The current weight."""
        return WeightStatus(round(self._value, 3), self._reason, len(self._degraded_at))

    @property
    def is_degraded(self) -> bool:
        """Whether the member is degraded and has not recovered yet."""
        return self._is_degraded

    def note_failure(self, kind: FailureKind, now: float) -> None:
        """Record a failure."""
        self._value = max(MIN_WEIGHT, self._value * WEIGHT_FACTORS[kind])
        self._reason = kind.value
        if self._value < DEGRADED_BELOW and not self._is_degraded:
            self._is_degraded = True
            self._forget_degradations(now)
            self._degraded_at.append(now)

    def is_probe_due(self, now: float, gateways: int = 1) -> bool:
        """Return whether a probe is due.

        Parameters
        ----------
        gateways : int
            Number of gateways that may probe the member.
        """
        interval = max(PROBE_INTERVAL_MS, gateways / PROBES_PER_SECOND * 1000)
        return self._value < 1.0 and now - self._probed_at >= interval

    def note_probe_sent(self, now: float) -> None:
        """Record that a probe was sent."""
        self._probed_at = now

    def note_probe_answered(self, now: float) -> None:
        """Record that a probe was answered, which restores a part of the weight."""
        self._forget_degradations(now)
        repeated = max(0, len(self._degraded_at) - 1)
        self._value = min(1.0, self._value + max(MIN_GAIN, GAIN / 2**repeated))
        if self._value >= RECOVERED_AT:
            self._is_degraded = False

    def _forget_degradations(self, now: float) -> None:
        self._degraded_at = [at for at in self._degraded_at if now - at < DEGRADATION_MEMORY_MS]
