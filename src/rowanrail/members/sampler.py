"""Asks the members of one service for samples of their position.

Owns a connection for each member that is asked: one of its own, or one that a pool lends. When a
member is asked, on which connection and until when is said by
:mod:`rowanrail.members.sampling_rules`; what the answers mean is its owner's to judge. Relies on
the driver for connections and on the belief, which it only reads.
"""

from typing import Protocol

from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.members.primary_state import PrimaryState
from rowanrail.members.probe import Lender, Probe
from rowanrail.members.sampling_rules import (
    LateSample,
    is_needless,
    judge_late,
    may_borrow,
    retry_at,
)
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal

__all__ = ["MemberSampler", "SampleOwner"]

_PROBE = [Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK)]


class SampleOwner(Protocol):
    """Port: gets the results of samples."""

    @property
    def is_awaited(self) -> bool:
        """Whether reads wait for a sample."""

    def request_sample(self) -> None:
        """Ask for a sample of the primary."""

    def note_begun(self, instance: str, asked_at: float, begun: Answer) -> None:
        """Take the answer to a plain BEGIN."""

    def note_failure(self, instance: str) -> None:
        """Note that a member doesn't answer."""

    def note_unsampled(self, instance: str) -> None:
        """Note that a member could not be sampled, and is tried again a little later."""


class MemberSampler:
    """The sampling connections of one service.

    Parameters
    ----------
    belief : PrimaryState
        Says which member is believed to be primary, and whether it fails.
    owner : SampleOwner
        Gets the results of samples.
    driver : MemberDriver
        Opens connections.
    scheduler : Scheduler
        Steady seconds.
    """

    def __init__(
        self,
        belief: PrimaryState,
        owner: SampleOwner,
        driver: MemberDriver,
        scheduler: Scheduler,
    ) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.lender: Lender | None = None
        self._belief = belief
        self._owner = owner
        self._driver = driver
        self._scheduler = scheduler
        self._probes: dict[str, Probe] = {}

    def __len__(self) -> int:
        """Return how many members are asked, or were a moment ago."""
        return len(self._probes)

    @property
    def is_at_connection_limit(self) -> bool:
        """Whether the primary had no connection left for a sample a moment ago."""
        probe = self._probes.get(self._belief.presumed_primary)
        return probe is not None and probe.is_crowded

    def set_members(self, records: list[MemberRecord]) -> None:
        """Know the service's members; those that left are asked no more."""
        self.records = {record.instance: record for record in records}
        for instance in list(self._probes):
            if instance not in self.records:
                self._drop(instance)

    def is_asking(self, instance: str) -> bool:
        """Return whether a question to a member is on its way."""
        probe = self._probes.get(instance)
        return probe is not None and probe.in_flight and probe.is_open

    def note_connected(self, instance: str) -> None:
        """Note that a member had a connection for a statement."""
        probe = self._probes.get(instance)
        if probe is not None:
            probe.is_crowded = False

    # Asking

    def ask(self, record: MemberRecord) -> None:
        """Ask a member for a sample, if none is under way and it isn't too soon."""
        now = self._scheduler.time()
        probe = self._probes.get(record.instance)
        if probe is None:
            probe = Probe(record)
            self._probes[record.instance] = probe
        if probe.in_flight or now < probe.retry_at:
            return
        probe.in_flight = True
        probe.asked_at = now
        if probe.is_open:
            self._send(probe)
        elif not self._borrow(probe):
            self._open(probe)

    def _open(self, probe: Probe) -> None:
        record = probe.record

        def on_open(channel: Channel, answer: Answer) -> None:
            if probe.channel is not channel:
                return
            if answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
                self._note_crowded(probe)
                return
            if answer.refusal is not None:
                self._fail(record.instance)
                return
            probe.is_open = True
            probe.is_crowded = False
            probe.opened_at = probe.asked_at = self._scheduler.time()
            self._send(probe)

        probe.channel = Channel(record.address, record.instance, on_open)
        probe.channel.on_closed = lambda channel: self._on_closed(record.instance, channel)
        self._driver.open(record.address, record.service, record.instance, probe.channel)

    def _note_crowded(self, probe: Probe) -> None:
        """Note that the member is alive, but has no connection left."""
        probe.channel = None
        probe.in_flight = False
        probe.is_crowded = True
        probe.retry_at = retry_at(self._scheduler.time(), is_crowded=True)

    def _may_borrow(self, probe: Probe) -> bool:
        instance = probe.record.instance
        return self.lender is not None and may_borrow(
            is_believed=instance == self._belief.presumed_primary,
            is_failing=bool(self._belief.failing_since),
            is_crowded=probe.is_crowded,
            can_lend=self.lender.can_lend(instance),
        )

    def _borrow(self, probe: Probe) -> bool:
        """Ask for a connection of the pool; return False if the probe is to open its own."""
        if self.lender is None or not self._may_borrow(probe):
            return False
        probe.loan = self.lender.loan(probe.record.instance)
        if probe.loan is None:
            return False

        def take(channel: Channel | None, answer: Answer) -> None:
            if channel is None:
                self._note_not_lent(probe, answer)
                return
            channel.on_closed = lambda channel: None  # its answers tell the loss
            probe.channel = channel
            probe.is_open = True
            probe.is_crowded = False
            probe.asked_at = self._scheduler.time()
            self._send(probe)

        probe.loan.request(take)
        return True

    def _note_not_lent(self, probe: Probe, answer: Answer) -> None:
        probe.loan = None
        if answer.refusal is Refusal.LOST:
            self._fail(probe.record.instance)
        else:
            self._note_crowded(probe)

    def _send(self, probe: Probe) -> None:
        assert probe.channel is not None
        asked_at = probe.asked_at
        begun = Answer(refusal=Refusal.LOST)

        def on_begin(answer: Answer) -> None:
            nonlocal begun
            begun = answer

        def on_end(answer: Answer) -> None:
            self._end(probe, asked_at, begun)

        probe.channel.send(_PROBE, [on_begin, on_end])

    def _end(self, probe: Probe, asked_at: float, begun: Answer) -> None:
        instance = probe.record.instance
        is_lost = probe.channel_closed()
        probe.give_back()  # before the proof, which has reads ask for connections
        self._owner.note_begun(instance, asked_at, begun)
        if self._probes.get(instance) is not probe:
            return
        probe.in_flight = False
        if is_lost and probe.channel is None:
            self._fail(instance)
        elif self._owner.is_awaited and not is_lost:
            self._owner.request_sample()
        elif self._is_needless(probe):
            self._drop(instance)

    # Giving up

    def expire(self) -> None:
        """Give up what has been asked for too long ago."""
        now = self._scheduler.time()
        for instance, probe in list(self._probes.items()):
            late_seconds = now - probe.asked_at if probe.in_flight else 0.0
            match judge_late(late_seconds, probe.waits_for_loan, probe.is_open):
                case LateSample.OPEN_OWN:
                    self._stop_waiting(probe)
                case LateSample.SUSPECT:
                    self._owner.note_failure(instance)
                case LateSample.GIVE_UP:
                    self._owner.note_failure(instance)
                    self._fail(instance)

    def _stop_waiting(self, probe: Probe) -> None:
        """Stop waiting for a connection of the pool, and open one."""
        probe.give_back()
        probe.is_crowded = False
        probe.asked_at = self._scheduler.time()
        self._open(probe)

    def _is_needless(self, probe: Probe) -> bool:
        """Return whether a probe's own connection may be closed."""
        believed, is_failing = self._belief.presumed_primary, bool(self._belief.failing_since)
        return is_needless(
            is_wanted=self._owner.is_awaited or is_failing or not believed,
            is_believed=believed == probe.record.instance,
            is_open=probe.is_open,
            open_seconds=self._scheduler.time() - probe.opened_at,
            can_borrow=self._may_borrow(probe),
        )

    def drop_idle(self, primary: str) -> None:
        """Close the connections to other members that nothing was asked on."""
        for instance, probe in list(self._probes.items()):
            if instance != primary and not probe.in_flight:
                self._drop(instance)

    def _on_closed(self, instance: str, channel: Channel) -> None:
        probe = self._probes.get(instance)
        if probe is not None and probe.channel is channel:
            self._fail(instance)

    def _fail(self, instance: str) -> None:
        """Close a member's connection, and ask it again a little later."""
        self._drop(instance)
        self._owner.note_failure(instance)
        record = self.records.get(instance)
        if record is not None:
            probe = Probe(record)
            probe.retry_at = retry_at(self._scheduler.time(), is_crowded=False)
            self._probes[instance] = probe
        self._owner.note_unsampled(instance)

    def _drop(self, instance: str) -> None:
        probe = self._probes.pop(instance, None)
        if probe is None:
            return
        if probe.channel is not None:
            probe.channel.close()  # its answers, if any are outstanding, give it back
        probe.give_back()
        probe.channel = None

    def close(self) -> None:
        """Close all sampling connections."""
        for instance in list(self._probes):
            self._drop(instance)
