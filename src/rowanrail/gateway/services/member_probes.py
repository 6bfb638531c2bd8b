"""Probes of members that lost weight.

A probe is a STATUS command. It takes a slot like a statement, so a member that only accepts
connections does not pass. It uses a pooled connection if one is open, else a dedicated one, because
clients' statements would wait for an opening that an unreachable member never answers. The primary
is not probed, as its samples prove the same.
"""

from collections.abc import Callable, Mapping

from rowanrail.gateway.pools.pool import MemberPool
from rowanrail.gateway.pools.pool_lease import PoolLease
from rowanrail.gateway.services.member_weights import MemberWeights
from rowanrail.kernel.clock import Clock, Timer
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal
from rowanrail.scheduling.member_weight import FailureKind

__all__ = ["MemberProbes"]

PROBE_TIMEOUT_MS = 300.0  # six round trips between regions that are 20 ms apart one way


class MemberProbes:
    """Probes the members of one service at a bounded rate.

    Parameters
    ----------
    weights : MemberWeights
        Decides which members to probe, and receives the outcomes.
    driver : MemberDriver
        Opens connections.
    clock : Clock
        Monotonic clock and timers in milliseconds.
    take_place : callable
        Counts a probe that is about to be sent, or returns False if it may not be.
    """

    def __init__(
        self,
        weights: MemberWeights,
        driver: MemberDriver,
        clock: Clock,
        take_place: Callable[[MemberRecord], bool] = lambda record: True,
    ) -> None:
        self.weights = weights
        self.driver = driver
        self.clock = clock
        self.take_place = take_place

    def tick(self, pools: Mapping[str, MemberPool], primary: str, gateways: int) -> None:
        """Probe the members that are due.

        Parameters
        ----------
        pools : mapping of str to MemberPool
            The pool of each member.
        primary : str
            Instance name of the presumed primary.
        gateways : int
            Number of gateways that probe a member, including this one.
        """
        for instance, pool in pools.items():
            if instance == primary or pool.record.leaving:
                continue
            if self.weights.claim_probe(instance, gateways):
                _Probe(self, pool).start()


class _Probe:
    """One probe of one member."""

    def __init__(self, probes: MemberProbes, pool: MemberPool) -> None:
        self._probes = probes
        self._pool = pool
        self._instance = pool.record.instance
        self._lease: PoolLease | None = None
        self._channel: Channel | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Request or open a connection."""
        self._timer = self._probes.clock.call_in(PROBE_TIMEOUT_MS, self._on_timeout)
        if self._pool.connections.established:
            self._lease = PoolLease(self._pool)
            self._lease.request(self._on_leased)
            return
        record = self._pool.record
        self._channel = Channel(record.address, self._instance, self._on_opened)
        self._probes.driver.open(record.address, record.service, self._instance, self._channel)

    def _on_leased(self, channel: Channel | None, answer: Answer) -> None:
        if channel is None:
            self._finish()  # nothing was sent
            return
        channel.on_closed = lambda channel: None  # a loss is reported by its answer
        self._channel = channel
        self._send(channel)

    def _on_opened(self, channel: Channel, answer: Answer) -> None:
        if answer.refusal is None:
            self._send(channel)
        elif answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
            self._finish()  # alive, but at its connection limit
        else:
            self._fail()

    def _send(self, channel: Channel) -> None:
        if not self._probes.take_place(self._pool.record):
            self._finish()  # the member warms up, and nothing was sent
            return
        channel.send([Command(CommandKind.STATUS)], [self._on_answer])

    def _on_answer(self, answer: Answer) -> None:
        if answer.refusal is None:
            self._finish()
            self._probes.weights.note_probe_success(self._instance)
            self._pool.note_reachable()
        elif answer.refusal is Refusal.BUSY:  # alive, but proves no more than that
            self._finish()
        else:
            self._fail()

    def _on_timeout(self) -> None:
        if self._channel is None:
            self._finish()  # all connections are in use, so nothing was sent
        elif self._channel.transport is None:
            self._fail()
        else:
            self._channel.close()  # answers the command as lost

    def _fail(self) -> None:
        self._finish()
        self._probes.weights.note_failure(self._instance, FailureKind.PROBE_FAILED)

    def _finish(self) -> None:
        """Stop the timer, and release or close the connection."""
        if self._timer is not None:
            self._timer.cancel()
        channel, self._channel = self._channel, None
        if self._lease is None:
            if channel is not None:
                channel.close()
        elif channel is None:
            self._lease.cancel()
        else:
            self._lease.release(channel)
