"""How much of its part of the work a member still gets after failures.

A member loses weight quickly by failures that clients' statements met, and gets it back by the
system's own probes alone: a statement of a client that succeeds by luck proves little about one
that fails half of them, and clients are not the ones to find out. A member that is slow but fails
nothing keeps its weight; its answer times cost it work already.
"""

import enum
from dataclasses import dataclass

__all__ = ["MemberWeight", "Trouble", "Weight", "is_trouble"]

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


class Trouble(enum.Enum):
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
    Trouble.ERROR: 0.7,
    Trouble.SILENCE: 0.4,
    Trouble.REFUSED: 0.4,
    Trouble.BUSY: 0.85,
    Trouble.PROBE_FAILED: 0.4,
}


@dataclass(frozen=True, slots=True)
class Weight:
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


def is_trouble(busy_in_a_row: int) -> bool:
    """Return whether a member is in trouble that refuses statements as busy whenever it is asked.

    Examples
    --------
    >>> is_trouble(3), is_trouble(4)
    (False, True)
    """
    return busy_in_a_row >= BUSY_IN_A_ROW


class MemberWeight:
    """The weight of one member; times in milliseconds.

    Examples
    --------
    >>> weight = MemberWeight()
    >>> for _ in range(3):
    ...     weight.note_trouble(Trouble.SILENCE, now=0.0)
    >>> weight.weight.value, weight.weight.falls, weight.wants_probe(now=0.0)
    (0.064, 1, True)
    >>> for second in range(1, 5):
    ...     weight.note_probe(now=1000.0 * second)
    >>> weight.weight.value, weight.wants_probe(now=9000.0)
    (1.0, False)
    """

    def __init__(self) -> None:
        self._value = 1.0
        self._reason = ""
        self._is_fallen = False
        self._falls: list[float] = []
        self._probed_at = -PROBE_INTERVAL_MS

    @property
    def weight(self) -> Weight:
        """The weight now."""
        return Weight(round(self._value, 3), self._reason, len(self._falls))

    @property
    def is_fallen(self) -> bool:
        """Whether it fell, and is not back yet."""
        return self._is_fallen

    def note_trouble(self, trouble: Trouble, now: float) -> None:
        """Note a failure."""
        self._value = max(LEAST_WEIGHT, self._value * LEFT[trouble])
        self._reason = trouble.value
        if self._value < FALLEN and not self._is_fallen:
            self._is_fallen = True
            self._forget_falls(now)
            self._falls.append(now)

    def wants_probe(self, now: float, gateways: int = 1) -> bool:
        """Return whether a probe is due.

        Parameters
        ----------
        gateways : int
            How many may probe the member.
        """
        interval = max(PROBE_INTERVAL_MS, gateways / PROBES_PER_SECOND * 1000)
        return self._value < 1.0 and now - self._probed_at >= interval

    def note_probing(self, now: float) -> None:
        """Note that a probe is asked for."""
        self._probed_at = now

    def note_probe(self, now: float) -> None:
        """Note that a probe was answered."""
        self._forget_falls(now)
        repeated = max(0, len(self._falls) - 1)
        self._value = min(1.0, self._value + max(LEAST_GAIN, GAIN / 2**repeated))
        if self._value >= RISEN:
            self._is_fallen = False

    def _forget_falls(self, now: float) -> None:
        self._falls = [at for at in self._falls if now - at < FALL_MEMORY_MS]
