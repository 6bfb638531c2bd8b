"""Which gateways may send statements to a member that warms up, and how many each.

All gateways together send a warming member no more than a limit. The holders of its service's
connections in the member's own group are its *senders*; each has an equal part of the limit, and
the others send nothing. The parts never add up to more, also while the senders change:

- A part is used only while an up-to-date control node has confirmed the directory recently
  (:class:`DirectoryLease`).
- A part in force is the smallest one within the last handover time (:class:`SenderHistory`), which
  is longer than any other gateway can go on with an older directory.
- A :class:`SendWindow` counts what was sent in the last second exactly.

No I/O; times are milliseconds on the caller's monotonic clock.
"""

import math
from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

__all__ = [
    "HANDOVER_MS",
    "LEASE_MS",
    "MAX_DIRECTORY_LAG_MS",
    "DirectoryLease",
    "SendWindow",
    "SenderHistory",
    "WarmUpPart",
    "part_of",
]

WINDOW_MS = 1000.0
# Two polls of the control nodes, one of which may fail, and half of the silence after which a
# gateway is removed from the directory.
LEASE_MS = 4000.0
# Time by which the directory of a control node that counts as up to date may be older than the
# newest one: 1.5 s since its last contact with the leader and 0.25 s for which changes are batched.
MAX_DIRECTORY_LAG_MS = 2000.0
# After a change, all gateways that follow the former directory have stopped, and what they sent
# has left the window.
HANDOVER_MS = LEASE_MS + MAX_DIRECTORY_LAG_MS + WINDOW_MS


@dataclass(frozen=True, slots=True)
class WarmUpPart:
    """A gateway's part of the limit: a number of statements in any window.

    Parameters
    ----------
    statements : int
        Maximum number; 0 if the gateway may send none.
    window_ms : float
        Length of the window.
    """

    statements: int
    window_ms: float = WINDOW_MS

    @property
    def interval_ms(self) -> float:
        """Mean time between two statements; infinite if none may be sent."""
        return self.window_ms / self.statements if self.statements else math.inf


NO_PART = WarmUpPart(0)


def part_of(name: str, senders: Sequence[str], rate: float) -> WarmUpPart:
    """Return a gateway's part of a limit in statements per second.

    Parts are whole numbers. If the limit is below one statement per second, the first sender alone
    has it, with a longer window.

    Examples
    --------
    >>> [part_of(name, ["a", "b", "c"], 11.5).statements for name in "abcd"]
    [4, 4, 3, 0]
    >>> part_of("a", ["a", "b"], 0.5), part_of("b", ["a", "b"], 0.5)
    (WarmUpPart(statements=1, window_ms=2000.0), WarmUpPart(statements=0, window_ms=1000.0))
    """
    ordered = sorted(set(senders))
    if name not in ordered or rate <= 0:
        return NO_PART
    place = ordered.index(name)
    if rate < 1:
        return NO_PART if place else WarmUpPart(1, WINDOW_MS / rate)
    whole, rest = divmod(math.floor(rate), len(ordered))
    return WarmUpPart(whole + (place < rest))


class DirectoryLease:
    """Whether the directory was confirmed recently enough to send to warming members.

    Examples
    --------
    >>> lease = DirectoryLease()
    >>> lease.confirm(asked_at=1000.0, now=1100.0, state=7)
    >>> lease.is_valid(4999.0), lease.is_valid(5001.0), lease.since
    (True, False, 1100.0)
    >>> lease.confirm(asked_at=9000.0, now=9100.0, state=7)  # nothing changed meanwhile
    >>> lease.since
    1100.0
    >>> lease.confirm(asked_at=15000.0, now=15100.0, state=8)
    >>> lease.since
    15100.0
    """

    __slots__ = ("_asked_at", "_state", "since")

    def __init__(self) -> None:
        self._asked_at = -math.inf
        self._state: Hashable = None
        self.since = math.inf

    @property
    def asked_at(self) -> float:
        """When the last confirmation was requested; what was committed earlier is known."""
        return self._asked_at

    def confirm(self, asked_at: float, now: float, state: Hashable) -> None:
        """Record that an up-to-date control node confirmed the directory.

        Parameters
        ----------
        asked_at : float
            When the confirmation was requested. Its answer may have waited in a buffer while the
            process was frozen.
        state : hashable
            Identifies the directory and the plan. After a gap a changed one may have replaced
            others that this gateway never had, so that the lease begins anew.
        """
        if asked_at < self._asked_at:
            return
        if asked_at - self._asked_at > LEASE_MS and (
            state != self._state or self.since == math.inf
        ):
            self.since = now
        self._asked_at, self._state = asked_at, state

    def is_valid(self, now: float) -> bool:
        """Return whether the last confirmation is recent."""
        return now - self._asked_at <= LEASE_MS


@dataclass(frozen=True, slots=True)
class _Senders:
    names: tuple[str, ...]
    until: float


class SenderHistory:
    """A gateway's part under the present senders and those of the last handover time.

    Parameters
    ----------
    name : str
        Name of this gateway.
    lease : DirectoryLease
        Confirmations of the directory.

    Examples
    --------
    >>> lease = DirectoryLease()
    >>> history = SenderHistory("a", lease)
    >>> history.set_senders(["a", "b"], now=0.0)
    >>> lease.confirm(asked_at=0.0, now=0.0, state=1)
    >>> lease.confirm(asked_at=6900.0, now=7000.0, state=1)
    >>> history.part(10.0, now=6999.0).statements, history.part(10.0, now=7000.0).statements
    (0, 5)
    """

    __slots__ = ("_lease", "_name", "_present", "_recent", "_since")

    def __init__(self, name: str, lease: DirectoryLease) -> None:
        self._name = name
        self._lease = lease
        self._present: tuple[str, ...] = ()
        self._since = math.inf
        self._recent: list[_Senders] = []

    @property
    def senders(self) -> tuple[str, ...]:
        """The present senders."""
        return self._present

    @property
    def is_sender(self) -> bool:
        """Whether this gateway is one of the present senders."""
        return self._name in self._present

    def set_senders(self, names: Sequence[str], now: float) -> None:
        """Replace the senders."""
        senders = tuple(sorted(set(names)))
        if senders == self._present and self._since < math.inf:
            return
        if self._since < math.inf:
            self._recent.append(_Senders(self._present, now))
        else:
            self._since = now
        self._present = senders

    def part(self, rate: float, now: float) -> WarmUpPart:
        """Return the part that this gateway may use now of a limit in statements per second."""
        if not self._lease.is_valid(now) or now < self.begins_at(rate):
            return NO_PART
        return min(
            (part_of(self._name, senders, rate) for senders in self._in_force(rate, now)),
            key=lambda part: part.statements,
        )

    def planned_part(self, rate: float) -> WarmUpPart:
        """Return the part under the present senders, also while it must not be used yet."""
        return part_of(self._name, self._present, rate)

    def begins_at(self, rate: float) -> float:
        """Return the first time at which any part may be used; infinite if that is unknown."""
        return max(self._since, self._lease.since) + _handover_ms(rate)

    def waits_until(self, rate: float, now: float) -> float:
        """Return when the present part may be used in full, if the lease is renewed till then.

        Infinite if this gateway is no sender, or if the lease is not valid.
        """
        if not self._lease.is_valid(now) or not self.planned_part(rate).statements:
            return math.inf
        changes = [senders.until + _handover_ms(rate) for senders in self._recent]
        return max([self.begins_at(rate), *changes])

    def _in_force(self, rate: float, now: float) -> list[tuple[str, ...]]:
        """Return the present senders, and those that were replaced within the handover time."""
        longest = max(HANDOVER_MS, _handover_ms(rate))
        self._recent = [senders for senders in self._recent if now - senders.until < longest]
        return [self._present, *(senders.names for senders in self._recent)]


def _handover_ms(rate: float) -> float:
    """Return the handover time; a window that is longer than a second extends it."""
    return HANDOVER_MS + (WINDOW_MS / rate - WINDOW_MS if 0 < rate < 1 else 0.0)


class SendWindow:
    """Times of the statements that were sent to a member within a window; starts empty.

    Examples
    --------
    >>> window, part = SendWindow(), WarmUpPart(2)
    >>> [window.take(part, now) for now in (0.0, 400.0, 900.0, 1000.0)]
    [True, True, False, True]
    >>> window.delay(part, 1000.0), window.delay(part, 1000.0, ahead=1)
    (400.0, 1000.0)
    """

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def free(self, part: WarmUpPart, now: float) -> int:
        """Return how many statements may be sent now."""
        while self._sent and self._sent[0] < now - part.window_ms:
            self._sent.popleft()
        return max(0, part.statements - len(self._sent))

    def take(self, part: WarmUpPart, now: float, count: int = 1) -> bool:
        """Record statements as sent now, or return False if they must not all be sent."""
        if self.free(part, now) < count:
            return False
        self._sent.extend([now] * count)
        return True

    def delay(self, part: WarmUpPart, now: float, ahead: int = 0) -> float:
        """Return the milliseconds until a statement may be sent after others that wait.

        Parameters
        ----------
        ahead : int
            Number of statements that are sent first.
        """
        if not part.statements:
            return math.inf
        free = self.free(part, now)
        if ahead < free:
            return 0.0
        rounds, place = divmod(ahead - free, part.statements)
        sent = list(self._sent)[-part.statements :]
        sent += [now] * (part.statements - len(sent))
        return max(0.0, sent[place] + part.window_ms * (rounds + 1) - now)
