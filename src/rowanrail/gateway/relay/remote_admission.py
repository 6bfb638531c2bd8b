"""Admission control at the sender: rejects statements that their holder would reject.

Holders report their load with their answers. A statement that its holder would reject is not sent,
except for one probe every 100 ms, whose answer shows when the holder has room again. Only single
statements and the first ones of transactions are checked.

Owns the loads that holders reported and the retry times given to rejected clients. Relies on
``scheduling`` for the forecast, the decision and those times.
"""

from dataclasses import dataclass

from rowanrail.gateway.work.refusals import busy_answer, rejection_record
from rowanrail.kernel.clock import Clock
from rowanrail.model.statements import Answer
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import Forecast, Reject, RejectionCause, decide_forwarding
from rowanrail.scheduling.load import LoadEstimate, LoadSubject, PeerLoads, ServiceLoad
from rowanrail.scheduling.retrying import RetryTimes

__all__ = ["RejectedBySender", "RemoteAdmission", "RemoteRequest"]

# Part of a holder's pace that one sender gives out to clients as retry times: about ten gateways of
# a zone send to one holder, and each does so without knowing about the others.
SENDER_PACE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class RemoteRequest:
    """A statement that may be sent to a holder; times are in milliseconds.

    Parameters
    ----------
    peer : str
        Name of the holder.
    service, tenant : str
        The service, and the client's tenant.
    urgency : int
        Priority of its route; 0 is the most urgent.
    writes : bool
        Whether it needs the primary.
    time_left : float
        Time until its deadline.
    time_given : float
        Its whole timeout.
    round_trip : float
        Round trip time to the holder.
    is_retry : bool
        Whether it goes before new arrivals at the holder, since its client was rejected more than
        once; the wait that the holder reported does not apply to it.
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
    """The answer to a statement that was not sent, and the rejection for the log."""

    answer: Answer
    rejection: Rejection


class RemoteAdmission:
    """Accepts or rejects statements by the load that their holders reported.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._loads = PeerLoads(clock)
        self._retry_times = RetryTimes(clock)

    def note(self, peer: str, service: str, tenant: str, load: ServiceLoad | None) -> None:
        """Record the load that a holder reported with its answer to a tenant's statement."""
        self._loads.note(LoadSubject(peer, service, tenant), load)

    def forget(self, peer: str) -> None:
        """Discard the loads of a holder whose link is lost."""
        self._loads.forget(peer)

    def check(self, request: RemoteRequest) -> RejectedBySender | None:
        """Return the rejection of a statement, None if it is to be sent.

        Without a recent report the holder is assumed to have room. A statement with less time left
        than the round trip is always rejected. One that the holder has no room for is sent as a
        probe if none was sent for a while.
        """
        subject = LoadSubject(request.peer, request.service, request.tenant)
        assumed = LoadEstimate()
        if not request.is_retry:
            assumed = self._loads.estimate(subject, request.urgency, request.writes)
        decision = decide_forwarding(
            assumed.wait, request.round_trip, request.time_left, request.time_given
        )
        if not isinstance(decision, Reject):
            return None
        is_crowded = decision.cause is RejectionCause.HOLDER_OVERLOADED
        if is_crowded and self._loads.try_probe(subject):
            return None
        return self._reject(request, decision, assumed)

    def _reject(
        self, request: RemoteRequest, decision: Reject, assumed: LoadEstimate
    ) -> RejectedBySender:
        interval = 1000 / (SENDER_PACE_SHARE * assumed.drain_rate) if assumed.drain_rate else 0.0
        retry_after = self._retry_times.next_delay(
            decision.retry_after_ms, interval, (request.peer, request.urgency)
        )
        forecast = Forecast(assumed.wait, request.round_trip)
        if decision.cause is RejectionCause.ROUND_TRIP_TOO_LONG:
            reason = f"{request.time_left:.0f} ms are too short for the way to {request.peer}"
        else:
            reason = f"{request.peer} is crowded for {assumed.wait:.0f} ms"
        return RejectedBySender(
            busy_answer(reason, retry_after),
            rejection_record(
                decision.cause, forecast, request.time_left, request.urgency, retry_after
            ),
        )

    def retry_after(self, base: float) -> float:
        """Return the retry delay, in milliseconds, of a client for whom no holder is known."""
        return self._retry_times.next_delay(base)
