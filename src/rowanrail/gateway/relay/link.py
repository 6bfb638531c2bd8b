"""The client side of a connection between gateways.

Owns the pending calls; each gets exactly one outcome: answered, not run, or lost with the link.
Relies on a transport that sends and delivers messages (no I/O here) and on :mod:`liveness` to
detect a gateway that does not answer.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rowanrail.gateway.relay.liveness import LivenessAction, SuspicionLimit, assess_liveness
from rowanrail.gateway.relay.messages import (
    Cancel,
    DemandReport,
    DemandTotals,
    FromGateway,
    FromHolder,
    Leaving,
    NotServed,
    Ping,
    Pong,
    Reply,
    RunStatement,
    SampleReply,
    SampleRequest,
)
from rowanrail.kernel.clock import Clock, Timer
from rowanrail.model.position import Position
from rowanrail.tenants.demand import DemandSummary

__all__ = [
    "TotalsReceived",
    "Link",
    "LinkPort",
    "LinkState",
    "Lost",
    "NotRun",
    "Outcome",
    "Replied",
    "Sampled",
]

LINK_CHECK_MS = 50.0  # interval between liveness checks while calls are pending


class LinkPort(Protocol):
    """Interface: the transport connection of a link."""

    def send(self, message: FromGateway) -> None:
        """Send a message."""

    def close(self) -> None:
        """Close at once."""


class LinkState(enum.Enum):
    """Lifecycle of a link."""

    OPENING = "opening"
    UP = "up"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Replied:
    """The neighbour answered a statement."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class NotRun:
    """The call did not run: the link was not open, or the neighbour does not serve it."""

    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The link was lost or suspected; the call may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Sampled:
    """The neighbour answered a sample request with a new sample of a primary."""

    instance: str
    position: Position


@dataclass(frozen=True, slots=True)
class TotalsReceived:
    """The neighbour answered a demand report with the demand of the whole fleet."""

    fleet: DemandSummary


Outcome = Replied | NotRun | Lost | Sampled | TotalsReceived
OnOutcome = Callable[[Outcome], None]


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """A call that the neighbour has not answered.

    Parameters
    ----------
    on_outcome : callable
        Called once with the outcome.
    may_persist : bool
        Whether the call, if it ran, may have committed something.
    """

    on_outcome: OnOutcome
    may_persist: bool


class Link:
    """One connection to a neighbour; after its end it is not reused.

    Parameters
    ----------
    peer : str
        Name of the neighbour.
    clock : Clock
        Time and timers.
    on_down : callable
        Called once at the end of the link, with the reason.
    limit : SuspicionLimit or None
        Limit of suspicion, shared with other links; None for one of its own.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_last_heard",
        "_last_call_id",
        "_limit",
        "_on_down",
        "_peer",
        "_pinged_at",
        "_port",
        "_state",
        "_is_suspect",
        "_timer",
        "_last_transaction_id",
    )

    def __init__(
        self,
        peer: str,
        clock: Clock,
        on_down: Callable[["Link", str], None],
        limit: SuspicionLimit | None = None,
    ) -> None:
        self._peer = peer
        self._limit = limit or SuspicionLimit()
        self._clock = clock
        self._on_down = on_down
        self._port: LinkPort | None = None
        self._state = LinkState.OPENING
        self._calls: dict[int, _PendingCall] = {}
        self._last_call_id = 0
        self._last_transaction_id = 0
        self._last_heard = clock.now
        self._pinged_at: float | None = None
        self._is_suspect = False
        self._timer: Timer | None = None

    @property
    def peer(self) -> str:
        """Name of the neighbour."""
        return self._peer

    @property
    def state(self) -> LinkState:
        """State of the link."""
        return self._state

    @property
    def is_suspect(self) -> bool:
        """Whether the neighbour did not answer a ping, so that new work goes to other gateways."""
        return self._is_suspect

    @property
    def pending_calls(self) -> int:
        """Number of pending calls."""
        return len(self._calls)

    # Requests of the gateway

    def next_transaction_id(self) -> int:
        """Return a new id for a transaction, unique on this link."""
        self._last_transaction_id += 1
        return self._last_transaction_id

    def next_call_id(self) -> int:
        """Return a new id for a call, unique on this link."""
        self._last_call_id += 1
        return self._last_call_id

    def request(
        self,
        message: RunStatement | SampleRequest | DemandReport,
        on_outcome: OnOutcome,
        may_persist: bool = True,
    ) -> None:
        """Send a request that has an answer.

        Parameters
        ----------
        message : RunStatement, SampleRequest or DemandReport
            The request; its ``call`` is a new id of this link.
        on_outcome : callable
            Called once with the outcome, unless the call is cancelled.
        may_persist : bool
            Whether the call, if it runs, may commit something. If not, it fails as soon as the
            neighbour is suspected; otherwise only when the link is lost.
        """
        if self._port is None or self._state is LinkState.DOWN:
            on_outcome(NotRun("the link is closed"))
            return
        if not self._calls:
            self._last_heard = (
                self._clock.now
            )  # the liveness timeout starts with the first pending call
            self._pinged_at = None
        self._calls[message.call] = _PendingCall(on_outcome, may_persist)
        self._port.send(message)
        if self._timer is None:
            self._timer = self._clock.call_in(LINK_CHECK_MS, self._check)

    def cancel(self, call: int) -> None:
        """Cancel a call here and at the neighbour; it gets no outcome."""
        if self._calls.pop(call, None) is not None:
            self.notify(Cancel(call))

    def notify(self, message: FromGateway) -> None:
        """Send a message that has no answer."""
        if self._port is not None and self._state is not LinkState.DOWN:
            self._port.send(message)

    def close(self, reason: str) -> None:
        """Close the link; pending calls are lost."""
        self._go_down(reason)

    # Events from the transport

    def opened(self, port: LinkPort) -> None:
        """Start to use the connection that the transport has opened."""
        if self._state is not LinkState.OPENING:
            port.close()
            return
        self._port = port
        self._state = LinkState.UP

    def receive(self, message: FromHolder) -> None:
        """Handle a message of the neighbour."""
        now = self._clock.now
        if self._pinged_at is not None:
            self._limit.note_delay(now - self._pinged_at, now)
        self._last_heard = now
        self._pinged_at = None
        self._is_suspect = False
        match message:
            case Reply(call=call):
                self._resolve(call, Replied(message))
            case NotServed(call=call, reason=reason):
                self._resolve(call, NotRun(reason))
            case SampleReply(call=call, instance=instance, position=position):
                self._resolve(call, Sampled(instance, position))
            case DemandTotals(call=call, fleet=fleet):
                self._resolve(call, TotalsReceived(fleet))
            case Leaving():
                if self._state is LinkState.UP:
                    self._state = LinkState.LEAVING
            case Pong():
                pass

    def lost(self, reason: str) -> None:
        """Handle the end of the connection, or the failure to open it."""
        self._go_down(reason)

    # Internals

    def _resolve(self, call: int, outcome: Outcome) -> None:
        pending = self._calls.pop(call, None)
        if pending is not None:
            pending.on_outcome(outcome)

    def _check(self) -> None:
        """Ping, suspect or give up a neighbour that does not answer."""
        self._timer = None
        if self._state is LinkState.DOWN or not (self._calls or self._is_suspect):
            return
        now = self._clock.now
        since_heard_ms = now - self._last_heard
        since_ping_ms = None if self._pinged_at is None else now - self._pinged_at
        match assess_liveness(since_heard_ms, since_ping_ms, self._limit.ms(now)):
            case LivenessAction.PING:
                self._pinged_at = now
                self.notify(Ping())
            case LivenessAction.SUSPECT:
                self._is_suspect = True
                self._fail_unpersisted_calls(f"no word for {since_heard_ms:.0f} ms")
            case LivenessAction.LOST:
                self._go_down(f"no word for {since_heard_ms:.0f} ms")
                return
            case LivenessAction.WAIT:
                pass
        self._check_later()

    def _check_later(self) -> None:
        if self._timer is None and self._state is not LinkState.DOWN:
            self._timer = self._clock.call_in(LINK_CHECK_MS, self._check)

    def _fail_unpersisted_calls(self, reason: str) -> None:
        """Fail and cancel the calls that can't have committed anything."""
        given_up = [call for call, pending in self._calls.items() if not pending.may_persist]
        for call in given_up:
            pending = self._calls.pop(call, None)
            if pending is not None:  # the outcome of an earlier call may have cancelled it
                self.notify(Cancel(call))
                pending.on_outcome(Lost(reason))

    def _go_down(self, reason: str) -> None:
        if self._state is LinkState.DOWN:
            return
        self._state = LinkState.DOWN
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        port, self._port = self._port, None
        if port is not None:
            port.close()
        calls, self._calls = self._calls, {}
        self._on_down(self, reason)
        for pending in calls.values():
            pending.on_outcome(Lost(reason))
