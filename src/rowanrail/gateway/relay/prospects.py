"""What a sender refuses by itself, from what the holders told with their answers.

A statement that its holder would refuse does not cross regions to learn that. One every 100 ms is
sent all the same, so that its answer tells when there is room.
"""

from dataclasses import dataclass

from rowanrail.gateway.work.refusals import busy, rejection
from rowanrail.kernel.clock import Clock
from rowanrail.model.statements import Answer
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import Cause, Forecast, Reject, judge_sending
from rowanrail.scheduling.load import Assumed, LoadBook, ServiceLoad, Subject
from rowanrail.scheduling.returning import ReturnTimes

__all__ = ["Asked", "Prospects", "TurnedAway"]

# Of a holder's pace that one sender gives out as places for returns: about ten gateways of a zone
# send to one holder, and each gives places without knowing of the others.
SENDER_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Asked:
    """A statement that would be sent to a holder; times in milliseconds.

    Parameters
    ----------
    peer : str
        Name of the holder.
    writes : bool
        Whether it needs the primary.
    left : float
        Until its time is over.
    whole : float
        That it was given.
    way : float
        There and back.
    returned : bool
        Whether it goes before newcomers there: what was told of their wait does not hold for it.
    """

    peer: str
    service: str
    tenant: str
    urgency: int
    writes: bool
    left: float
    whole: float
    way: float
    returned: bool = False


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The refusal of a statement that was not sent."""

    answer: Answer
    rejection: Rejection


class Prospects:
    """What this gateway assumes of the holders that it sends to.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._book = LoadBook(clock)
        self._returns = ReturnTimes(clock)

    def note(self, peer: str, service: str, tenant: str, load: ServiceLoad | None) -> None:
        """Take what a holder told with an answer to a tenant's statement."""
        self._book.note(Subject(peer, service, tenant), load)

    def forget(self, peer: str) -> None:
        """Assume nothing of a holder whose link is lost."""
        self._book.forget(peer)

    def judge(self, asked: Asked) -> TurnedAway | None:
        """Return the refusal of a statement that is hopeless, None for one that is sent."""
        subject = Subject(asked.peer, asked.service, asked.tenant)
        assumed = Assumed()
        if not asked.returned:
            assumed = self._book.assume(subject, asked.urgency, asked.writes)
        verdict = judge_sending(assumed.wait, asked.way, asked.left, asked.whole)
        if not isinstance(verdict, Reject):
            return None
        is_crowded = verdict.cause is Cause.HOLDER_CROWDED
        if is_crowded and self._book.may_probe(subject):
            return None
        return self._turn_away(asked, verdict, assumed)

    def _turn_away(self, asked: Asked, verdict: Reject, assumed: Assumed) -> TurnedAway:
        interval = 1000 / (SENDER_SHARE * assumed.pace) if assumed.pace else 0.0
        told = self._returns.next(verdict.return_in, interval, (asked.peer, asked.urgency))
        forecast = Forecast(assumed.wait, asked.way)
        if verdict.cause is Cause.WAY_TOO_LONG:
            reason = f"{asked.left:.0f} ms are too short for the way to {asked.peer}"
        else:
            reason = f"{asked.peer} is crowded for {assumed.wait:.0f} ms"
        return TurnedAway(
            busy(reason, told),
            rejection(verdict.cause, forecast, asked.left, asked.urgency, told),
        )

    def return_in(self, base: float) -> float:
        """Return when a client is to come back for whom no holder is known, in milliseconds."""
        return self._returns.next(base)
