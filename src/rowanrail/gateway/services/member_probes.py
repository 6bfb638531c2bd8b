"""Probes of members that lost weight.

A probe is the question for a member's status, which takes a slot as a statement does: a member
that only accepts connections does not pass for one that is well. It is asked on a connection that
is open for statements, if there is one, else on one of its own: clients' statements would wait for
the end of an opening that a dark member leaves unanswered. The primary's samples prove as much, so
that it is not probed beside them.
"""

from collections.abc import Mapping

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.pool_loan import PoolLoan
from rowanrail.gateway.services.member_weights import MemberWeights
from rowanrail.kernel.clock import Clock, Timer
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal
from rowanrail.scheduling.member_weight import FailureKind

__all__ = ["MemberProbes"]

PROBE_TIMEOUT_MS = 300.0  # ms; six times a round trip between regions of 20 ms one way


class MemberProbes:
    """Probes one service's members at a bounded rate.

    Parameters
    ----------
    weights : MemberWeights
        Says which members are to be probed, and learns what became of it.
    driver : MemberDriver
        Opens connections.
    clock : Clock
        Time and timers.
    """

    def __init__(self, weights: MemberWeights, driver: MemberDriver, clock: Clock) -> None:
        self.weights = weights
        self.driver = driver
        self.clock = clock

    def tick(self, pools: Mapping[str, MemberPool], primary: str, gateways: int) -> None:
        """Probe the members that are due.

        Parameters
        ----------
        primary : str
            The member that is believed to lead.
        gateways : int
            How many may probe a member, this one included.
        """
        for instance, pool in pools.items():
            if instance == primary or pool.record.leaving:
                continue
            if self.weights.wants_probe(instance, gateways):
                _Probe(self, pool).start()


class _Probe:
    """One question to one member."""

    def __init__(self, probes: MemberProbes, pool: MemberPool) -> None:
        self._probes = probes
        self._pool = pool
        self._instance = pool.record.instance
        self._loan: PoolLoan | None = None
        self._channel: Channel | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Ask for a connection."""
        self._timer = self._probes.clock.call_in(PROBE_TIMEOUT_MS, self._late)
        if self._pool.connections.established:
            self._loan = PoolLoan(self._pool)
            self._loan.request(self._lent)
            return
        record = self._pool.record
        self._channel = Channel(record.address, self._instance, self._opened)
        self._probes.driver.open(record.address, record.service, self._instance, self._channel)

    def _lent(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self._end()  # nothing was asked
            return
        channel.on_closed = lambda channel: None  # its answer tells the loss
        self._channel = channel
        self._ask(channel)

    def _opened(self, channel: Channel, answer: Answer) -> None:
        if answer.refusal is None:
            self._ask(channel)
        elif answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
            self._end()  # it is full, and alive
        else:
            self._fail()

    def _ask(self, channel: Channel) -> None:
        channel.send([Command(CommandKind.STATUS)], [self._answered])

    def _answered(self, answer: Answer) -> None:
        if answer.refusal is None:
            self._end()
            self._probes.weights.note_probe(self._instance)
            self._pool.note_reachable()
        elif answer.refusal is Refusal.BUSY:  # one that is full is alive, and proves no more
            self._end()
        else:
            self._fail()

    def _late(self) -> None:
        if self._channel is None:
            self._end()  # all connections are in use: nothing was asked
        elif self._channel.wire is None:
            self._fail()
        else:
            self._channel.close()  # answers as lost

    def _fail(self) -> None:
        self._end()
        self._probes.weights.note_trouble(self._instance, FailureKind.PROBE_FAILED)

    def _end(self) -> None:
        """Give back, or close, what was used."""
        if self._timer is not None:
            self._timer.cancel()
        channel, self._channel = self._channel, None
        if self._loan is None:
            if channel is not None:
                channel.close()
        elif channel is None:
            self._loan.cancel()
        else:
            self._loan.give_back(channel)
