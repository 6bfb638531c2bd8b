"""What a gateway rejects by itself, since the holder that would run it would reject it.

Holders report their load with their answers. A statement that its holder would reject does not
cross regions to learn that; one every 100 ms is sent all the same, so that its answer reports when
there is room. Only what may begin anywhere is judged, never a statement of a transaction that has
begun.

Owns the loads that holders reported and the times that rejected clients were given. Relies on
``scheduling`` for the forecast, the verdict and those times.
"""

from dataclasses import dataclass

from rowanrail.gateway.work.refusals import busy, rejection
from rowanrail.kernel.clock import Clock
from rowanrail.model.statements import Answer
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import Forecast, Reject, RejectionCause, decide_forwarding
from rowanrail.scheduling.load import LoadEstimate, LoadSubject, PeerLoads, ServiceLoad
from rowanrail.scheduling.retrying import RetryTimes

__all__ = ["RejectedBySender", "RemoteAdmission", "RemoteRequest"]

# Of a holder's pace that one sender gives out to clients as times to retry: about ten gateways of a
# zone send to one holder, and each gives times without knowing of the others.
SENDER_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class RemoteRequest:
    """A statement that would be sent to a holder; times in milliseconds.

    Parameters
    ----------
    peer : str
        Name of the holder.
    urgency : int
        Priority of its route; 0 is the most urgent.
    writes : bool
        Whether it needs the primary.
    time_left : float
        Until its time is over.
    time_given : float
        That it had at first.
    round_trip : float
        There and back.
    is_retry : bool
        Whether it goes before new arrivals there, since it was rejected more than once: what was
        reported of their wait does not hold for it.
    """

    peer: str
    service: str
    tenant: str
    urgency: int
    writes: bool
    time_left: float
    time_given: float
    round_trip: float
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class RejectedBySender:
    """The answer to a statement that was not sent, and what is logged of it."""

    answer: Answer
    rejection: Rejection


class RemoteAdmission:
    """Judges statements by what their holders reported of their load.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._book = PeerLoads(clock)
        self._returns = RetryTimes(clock)

    def note(self, peer: str, service: str, tenant: str, load: ServiceLoad | None) -> None:
        """Take what a holder reported with an answer to a tenant's statement."""
        self._book.note(LoadSubject(peer, service, tenant), load)

    def forget(self, peer: str) -> None:
        """Assume nothing of a holder whose link is lost."""
        self._book.forget(peer)

    def judge(self, request: RemoteRequest) -> RejectedBySender | None:
        """Return the answer to a statement that its holder would reject, None for one to send.

        Where nothing was reported lately the holder is taken to have room. A statement whose time
        is shorter than the round trip is never sent; one that the holder has no room for is, if
        no other was for a while.
        """
        subject = LoadSubject(request.peer, request.service, request.tenant)
        assumed = LoadEstimate()
        if not request.is_retry:
            assumed = self._book.estimate(subject, request.urgency, request.writes)
        verdict = decide_forwarding(
            assumed.wait, request.round_trip, request.time_left, request.time_given
        )
        if not isinstance(verdict, Reject):
            return None
        is_crowded = verdict.cause is RejectionCause.HOLDER_OVERLOADED
        if is_crowded and self._book.try_probe(subject):
            return None
        return self._reject(request, verdict, assumed)

    def _reject(
        self, request: RemoteRequest, verdict: Reject, assumed: LoadEstimate
    ) -> RejectedBySender:
        interval = 1000 / (SENDER_SHARE * assumed.drain_rate) if assumed.drain_rate else 0.0
        retry_after = self._returns.next_delay(
            verdict.retry_after_ms, interval, (request.peer, request.urgency)
        )
        forecast = Forecast(assumed.wait, request.round_trip)
        if verdict.cause is RejectionCause.ROUND_TRIP_TOO_LONG:
            reason = f"{request.time_left:.0f} ms are too short for the way to {request.peer}"
        else:
            reason = f"{request.peer} is crowded for {assumed.wait:.0f} ms"
        return RejectedBySender(
            busy(reason, retry_after),
            rejection(verdict.cause, forecast, request.time_left, request.urgency, retry_after),
        )

    def retry_after(self, base: float) -> float:
        """Return after how many milliseconds a client retries for whom no holder is known."""
        return self._returns.next_delay(base)
