"""Probes of members that lost weight, on connections that are open for statements anyway.

A probe is the question for a member's status, which takes a slot as a statement does: a member
that only accepts connections does not pass for one that is well.
"""

from collections.abc import Callable, Mapping

from rowanrail.gateway.channel import Channel
from rowanrail.gateway.member_estimates import MemberEstimates
from rowanrail.gateway.model import Answer, Command, CommandKind, Refusal
from rowanrail.gateway.pool import MemberPool
from rowanrail.gateway.pool_loan import PoolLoan
from rowanrail.kernel.clock import Clock
from rowanrail.scheduling.health import Trouble

__all__ = ["MemberProbes"]

PROBE_TIMEOUT = 300.0  # ms; six times a round trip between regions of 20 ms one way


class MemberProbes:
    """Probes one service's members at a bounded rate.

    Parameters
    ----------
    estimates : MemberEstimates
        Says which members are to be probed, and learns what became of it.
    clock : Clock
        Time and timers.
    """

    def __init__(self, estimates: MemberEstimates, clock: Clock) -> None:
        self._estimates = estimates
        self._clock = clock

    def tick(self, pools: Mapping[str, MemberPool], gateways: int) -> None:
        """Probe the members that are due.

        Parameters
        ----------
        gateways : int
            How many may probe a member, this one included.
        """
        for instance, pool in pools.items():
            if self._estimates.wants_probe(instance, gateways):
                _Probe(pool, self._estimates, self._clock).start()


class _Probe:
    """One question to one member."""

    def __init__(self, pool: MemberPool, estimates: MemberEstimates, clock: Clock) -> None:
        self._pool = pool
        self._instance = pool.record.instance
        self._estimates = estimates
        self._clock = clock
        self._loan = PoolLoan(pool)
        self._channel: Channel | None = None
        self._end: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Ask for a connection."""
        self._end = self._clock.call_in(PROBE_TIMEOUT, self._late).cancel
        self._loan.request(self._with_channel)

    def _with_channel(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self._end()  # the pool has counted a refused start already
            return
        self._channel = channel
        channel.on_closed = lambda channel: None  # its answer tells the loss
        channel.send([Command(CommandKind.STATUS)], [self._answered])

    def _answered(self, answer: Answer) -> None:
        self._end()
        channel = self._channel
        assert channel is not None
        self._loan.give_back(channel)
        if answer.refusal is None:
            self._estimates.note_probe(self._instance)
            self._pool.note_reachable()
        elif answer.refusal is not Refusal.BUSY:  # one that is full is alive, and proves no more
            self._estimates.note_trouble(self._instance, Trouble.PROBE_FAILED)

    def _late(self) -> None:
        if self._channel is None:
            self._loan.cancel()  # all connections are in use: nothing was asked
        else:
            self._channel.close()  # answers as lost
