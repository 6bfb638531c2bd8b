"""How much of its part of the work a member still gets after failures.

A member loses weight quickly by failures that clients' statements met, and gets it back by the
system's own probes alone: a statement of a client that succeeds by luck proves little about one
that fails half of them, and clients are not the ones to find out. A member that is slow but fails
nothing keeps its weight; its answer times cost it work already.
"""

import enum
from dataclasses import dataclass

__all__ = ["MemberWeight", "FailureKind", "WeightStatus", "is_persistently_busy"]

# ms between probes of a member that lost weight: with 3 members a slot is taken for a hundredth
# of the time, and a member that is well again is back within the few seconds that clients retry.
PROBE_INTERVAL_MS = 1000.0
# Of one member, by all gateways together; more would be load of their own on a member in trouble.
PROBES_PER_SECOND = 40.0
LEAST_WEIGHT = 0.05  # so that it still serves if all others are worse
FALLEN = 0.5  # below it a member has fallen, which is remembered and logged
RISEN = 0.9  # from it on the log says that the member is back
GAIN = 0.25  # by each probe that is answered: four bring a member back that failed once
LEAST_GAIN = GAIN / 8  # about half a minute for one that falls again and again
FALL_MEMORY_MS = 30_000.0  # ms for which a fall makes the return slower; longer than flaps last
# Refusals as busy, one after the other: by a member that is full by chance each is as likely as its
# load, so that so many are rare.
BUSY_IN_A_ROW = 4


class FailureKind(enum.Enum):
    """What went wrong at a member."""

    ERROR = "error"
    SILENCE = "silence"
    REFUSED = "refused"
    BUSY = "turned-away"  # the name that logs and metrics have for it
    PROBE_FAILED = "probe-failed"


# What is left of the weight. Silence costs a client 0.4 s or more, so that two of them must do; an
# error costs a round trip, and one may be chance. A member may refuse statements as busy because
# others filled it since its last answer.
LEFT = {
    FailureKind.ERROR: 0.7,
    FailureKind.SILENCE: 0.4,
    FailureKind.REFUSED: 0.4,
    FailureKind.BUSY: 0.85,
    FailureKind.PROBE_FAILED: 0.4,
}


@dataclass(frozen=True, slots=True)
class WeightStatus:
    """A member's weight as operators see it.

    Parameters
    ----------
    value : float
        Above 0 to 1.
    reason : str
        What cost weight last; empty if nothing did.
    falls : int
        How often it has fallen lately.
    """

    value: float
    reason: str
    falls: int


def is_persistently_busy(busy_in_a_row: int) -> bool:
    """Return whether a member is in trouble that refuses statements as busy whenever it is asked.

    Examples
    --------
    >>> is_persistently_busy(3), is_persistently_busy(4)
    (False, True)
    """
    return busy_in_a_row >= BUSY_IN_A_ROW


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
        self._is_fallen = False
        self._falls: list[float] = []
        self._probed_at = -PROBE_INTERVAL_MS

    @property
    def weight(self) -> WeightStatus:
        """The weight now."""
        return WeightStatus(round(self._value, 3), self._reason, len(self._falls))

    @property
    def is_degraded(self) -> bool:
        """Whether it fell, and is not back yet."""
        return self._is_fallen

    def note_failure(self, trouble: FailureKind, now: float) -> None:
        """Note a failure."""
        self._value = max(LEAST_WEIGHT, self._value * LEFT[trouble])
        self._reason = trouble.value
        if self._value < FALLEN and not self._is_fallen:
            self._is_fallen = True
            self._forget_falls(now)
            self._falls.append(now)

    def is_probe_due(self, now: float, gateways: int = 1) -> bool:
        """Return whether a probe is due.

        Parameters
        ----------
        gateways : int
            How many may probe the member.
        """
        interval = max(PROBE_INTERVAL_MS, gateways / PROBES_PER_SECOND * 1000)
        return self._value < 1.0 and now - self._probed_at >= interval

    def note_probe_sent(self, now: float) -> None:
        """Note that a probe is asked for."""
        self._probed_at = now

    def note_probe_answered(self, now: float) -> None:
        """Note that a probe was answered."""
        self._forget_falls(now)
        repeated = max(0, len(self._falls) - 1)
        self._value = min(1.0, self._value + max(LEAST_GAIN, GAIN / 2**repeated))
        if self._value >= RISEN:
            self._is_fallen = False

    def _forget_falls(self, now: float) -> None:
        self._falls = [at for at in self._falls if now - at < FALL_MEMORY_MS]
