"""Lives of members: which start of a member an announcement belongs to. No I/O.

A member may start again under its instance id; each start is a life, told apart by its start time.
A lower start time is either an announcement of an earlier life that arrived late, or that of a
later life whose clock was stepped back. Only a running member goes on announcing itself:
:class:`LifeClaims` keeps the announcements of lives that are not in the state.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from msgspec import UNSET

from rowanrail.coordination.feature_level import LIVES_LEVEL
from rowanrail.model.members import MemberRecord

__all__ = [
    "LifeClaims",
    "LifeOrder",
    "compare_starts",
    "is_replacement_proven",
    "is_return_proven",
    "life_order",
    "recordable",
]

CLAIM_EXPIRY_SECONDS = 3.0  # more than two heartbeat intervals of 1.2 s
MAX_CLAIMS = 200
MAX_LATE_SECONDS = 60.0  # announcements are seconds late after a partition
RETURN_ANNOUNCEMENTS = 2
RETURN_SECONDS = 0.8  # longer than delayed announcements take that arrive together
REPLACEMENT_ANNOUNCEMENTS = 3
REPLACEMENT_SECONDS = 2.0  # less than two heartbeat intervals, more than one
_NEVER = float("inf")


class LifeOrder(enum.Enum):
    """How the life that an announcement belongs to relates to the known one."""

    SAME = "same"
    LATER = "later"
    UNPROVEN = "unproven"  # an earlier life, or a later one with a clock that was stepped back
    FOREIGN = "foreign"  # no start, although the member reports one: not the member's own


def compare_starts(started_ms: int, known_ms: int) -> LifeOrder:
    """Return the order of two starts in Unix milliseconds, 0 if not reported.

    Examples
    --------
    >>> [compare_starts(started, 500).value for started in (500, 900, 100, 0)]
    ['same', 'later', 'unproven', 'foreign']
    >>> compare_starts(500, 0).value
    'unproven'
    """
    if started_ms == known_ms:
        return LifeOrder.SAME
    if not started_ms:
        return LifeOrder.FOREIGN
    return LifeOrder.LATER if 0 < known_ms < started_ms else LifeOrder.UNPROVEN


def life_order(record: MemberRecord, known: MemberRecord) -> LifeOrder:
    """Return the order of an announcement's life and a known record's.

    A known record without a start is of the same life if the sequence continues: the starts of
    members are not recorded below ``LIVES_LEVEL``.
    """
    if record.started_ms and not known.started_ms and record.sequence > known.sequence:
        return LifeOrder.SAME
    return compare_starts(record.started_ms, known.started_ms)


def recordable(record: MemberRecord, feature_level: int) -> MemberRecord:
    """Return a record without its start if not all control nodes know of starts."""
    if feature_level >= LIVES_LEVEL or record.start_ms is UNSET:
        return record
    return msgspec.structs.replace(record, start_ms=UNSET)


@dataclass(slots=True)
class _Claim:
    since: float
    heard_at: float
    sequence: int
    announcements: int = 1
    is_over: bool = False  # it announced that it leaves, or its end


def _is_stale(claim: _Claim, now: float, known_silent: float) -> bool:
    if claim.is_over:
        return now - claim.heard_at > MAX_LATE_SECONDS
    return now - claim.heard_at > CLAIM_EXPIRY_SECONDS or now - claim.since >= known_silent


def is_return_proven(announcements: int, seconds: float) -> bool:
    """Return whether a life that was removed in doubt runs: it announces itself repeatedly.

    Parameters
    ----------
    announcements : int
        Number of announcements since the removal, with rising sequences.
    seconds : float
        Time from the first to the last.

    Examples
    --------
    >>> is_return_proven(2, 1.2), is_return_proven(2, 0.1), is_return_proven(1, 0.0)
    (True, False, False)
    """
    return announcements >= RETURN_ANNOUNCEMENTS and seconds >= RETURN_SECONDS


def is_replacement_proven(announcements: int, seconds: float) -> bool:
    """Return whether a life with a lower start runs in place of the known one.

    Parameters
    ----------
    announcements : int
        Number of its announcements, with rising sequences, since the last one of the known life.
    seconds : float
        Time from the first to the last.

    Examples
    --------
    >>> is_replacement_proven(3, 2.4), is_replacement_proven(2, 2.4), is_replacement_proven(9, 0.3)
    (True, False, False)
    """
    return announcements >= REPLACEMENT_ANNOUNCEMENTS and seconds >= REPLACEMENT_SECONDS


class LifeClaims:
    """Announcements of lives that are not in the state; times in seconds.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._claims: dict[tuple[str, int], _Claim] = {}

    def __len__(self) -> int:
        """Return the number of lives with a claim."""
        return len(self._claims)

    def note(self, record: MemberRecord, known_silent: float = _NEVER) -> tuple[int, float]:
        """Add an announcement, unless a later one was added.

        Parameters
        ----------
        known_silent : float
            Seconds since the last announcement of the known life, which this one would replace.
            Announcements before that don't count.

        Returns
        -------
        tuple of int and float
            The number of announcements with rising sequences and no long pause between them, and
            the seconds from the first to the last.
        """
        now, key = self._now(), (record.instance, record.started_ms)
        claim = self._claims.pop(key, None)
        if claim is None or _is_stale(claim, now, known_silent):
            claim = _Claim(now, now, record.sequence)
        elif not claim.is_over and record.sequence > claim.sequence:
            claim.heard_at, claim.sequence = now, record.sequence
            claim.announcements += 1
        self._put(key, claim)
        return claim.announcements, claim.heard_at - claim.since

    def note_end(self, instance: str, start: int) -> None:
        """Record that a life leaves or has ended; its late announcements prove nothing."""
        now = self._now()
        self._claims.pop((instance, start), None)
        self._put((instance, start), _Claim(now, now, 0, announcements=0, is_over=True))

    def _put(self, key: tuple[str, int], claim: _Claim) -> None:
        self._claims[key] = claim  # the latest is the last to be dropped
        if len(self._claims) > MAX_CLAIMS:
            del self._claims[next(iter(self._claims))]

    def forget(self, instance: str) -> None:
        """Discard all claims of an instance."""
        self._claims = {key: claim for key, claim in self._claims.items() if key[0] != instance}
