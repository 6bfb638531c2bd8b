"""Which member leads a service, by samples of its position that prove it.

A sample proves that the member still led when it answered: it comes from a plain BEGIN, a write
or a commit that the member accepted, which a replaced primary refuses.

Owns one service's samples and the reads that wait for one. It asks the rules
(:class:`rowanrail.members.primary_state.PrimaryState`,
:mod:`rowanrail.members.sampling_rules`) and does what they say; the connections are those of
:class:`rowanrail.members.sampler.MemberSampler`. A member that has no connection left is alive
and never counts as lost for it.
"""

from collections.abc import Callable

from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import MemberDriver
from rowanrail.members.leadership import LeadershipProof
from rowanrail.members.monitor_interval import MONITOR_SECONDS
from rowanrail.members.primary_state import PrimaryState
from rowanrail.members.probe import Lender
from rowanrail.members.sampler import MemberSampler
from rowanrail.members.samples import FloorWaiters, GiveFloor, PositionSample, SampleHistory
from rowanrail.members.sampling_rules import is_sample_due
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Refusal

__all__ = ["PrimaryTracker"]


class PrimaryTracker:
    """Finds the primary of one service and keeps its newest sample.

    Parameters
    ----------
    service : str
        Name of the service.
    driver : MemberDriver
        Opens connections for samples.
    scheduler : Scheduler
        Steady seconds.
    proof : LeadershipProof
        Says which answers prove that a member leads.
    """

    def __init__(
        self, service: str, driver: MemberDriver, scheduler: Scheduler, proof: LeadershipProof
    ) -> None:
        self.service = service
        self.state = PrimaryState()
        self.on_primary: Callable[[], None] = lambda: None
        self.on_alarm: Callable[[], None] = lambda: None
        self.on_proof: Callable[[str], None] = lambda instance: None
        self.on_unavailable: Callable[[], None] = lambda: None
        self.monitor_seconds = MONITOR_SECONDS
        self.history = SampleHistory()  # of the newest term
        self._proof = proof
        self._scheduler = scheduler
        self._sampler = MemberSampler(self.state, self, driver, scheduler)
        self._waiting = FloorWaiters()

    @property
    def presumed_primary(self) -> str:
        """The member that is believed to be primary; empty while none is known."""
        return self.state.presumed_primary

    @property
    def proved_at(self) -> float:
        """Steady seconds of the last proof; negative before the first one."""
        return self.state.proved_at

    @property
    def failing_since(self) -> float:
        """Steady seconds of the first failure since the last proof; 0 without one."""
        return self.state.failing_since

    @property
    def sample(self) -> PositionSample | None:
        """The newest proof of the primary's position."""
        return self.history.newest

    @property
    def is_awaited(self) -> bool:
        """Whether reads wait for a sample."""
        return len(self._waiting) > 0

    @property
    def is_busy(self) -> bool:
        """Whether it is asked for samples, or looked for."""
        return bool(len(self._sampler) or self.failing_since or len(self._waiting))

    @property
    def is_failover_overdue(self) -> bool:
        """Whether it has failed for longer than finding or making a successor takes."""
        return self.state.is_failover_overdue(self._scheduler.time())

    @property
    def is_at_connection_limit(self) -> bool:
        """Whether the primary had no connection left for a sample a moment ago."""
        return self._sampler.is_at_connection_limit

    def has_sample_since(self, asked_since: float) -> bool:
        """Return whether there is a sample that was asked for at ``asked_since`` or later."""
        return self.history.oldest_since(asked_since) is not None

    def set_lender(self, lender: Lender) -> None:
        """Borrow connections for samples of the primary, as far as they can be had."""
        self._sampler.lender = lender

    def set_members(self, records: list[MemberRecord]) -> None:
        """Know the service's members; the one that calls itself primary is believed first."""
        self._sampler.set_members(records)
        claims = [record.instance for record in records if record.primary]
        if self.state.note_members(self._sampler.records, claims):
            self.on_primary()
            if self.failing_since:
                self.request_sample()

    # Proofs

    def note_proof(self, instance: str, asked_at: float, position: Position | None) -> None:
        """Note that ``instance`` led when it answered what was asked at ``asked_at``."""
        if position is None:
            return
        if not self.history.add(asked_at, position, instance):
            return  # it led when it answered, and has been replaced since
        self.state.note_proof(self._scheduler.time())
        self._sampler.note_connected(instance)
        self.on_proof(instance)
        if self.state.end_failure():
            self._sampler.drop_idle(primary=instance)
        if self.state.end_alarm():
            self.on_alarm()
        if instance in self._sampler.records and self.state.believe(instance):
            self.on_primary()
        self._waiting.serve(self.sample)

    def note_reported_position(self, asked_at: float, instance: str, position: Position) -> None:
        """Take a position that another gateway proved, asked for at ``asked_at`` or later.

        It lets reads go on; that this gateway does not reach the primary stays true.
        """
        if self.history.add(asked_at, position, instance):
            self._waiting.serve(self.sample)

    def note_begun(self, instance: str, asked_at: float, begun: Answer) -> None:
        """Take a member's answer to a plain BEGIN."""
        if self._proof.is_proof(begun):
            self.note_proof(instance, asked_at, begun.position)
        elif begun.refusal is Refusal.NOT_PRIMARY:
            self.note_not_primary(instance)

    def note_not_primary(self, instance: str) -> None:
        """Note that a member refused as one that does not lead."""
        if self.state.note_not_primary(instance, self._scheduler.time()):
            self._search()

    def note_failure(self, instance: str) -> None:
        """Note that the member believed to lead does not answer."""
        self.state.note_failure(instance, self._scheduler.time())

    def note_unsampled(self, instance: str) -> None:
        """Note that a member could not be sampled; if it is the primary, ask all others."""
        if instance == self.presumed_primary:
            self._search()

    def note_refused_connection(self, answer: Answer) -> None:
        """Note why no connection to the primary could be had; only silence counts against it."""
        if answer.refusal is Refusal.LOST:
            self.note_failure(self.presumed_primary)

    # Floors

    def wait_for_position(self, asked_since: float, give: GiveFloor) -> None:
        """Give a position sampled at ``asked_since`` or later, now or once there is one."""
        sample = self.history.oldest_since(asked_since)
        if sample is not None:
            give(sample.position)
            return
        self._waiting.add(asked_since, give)
        self.request_sample()

    def cancel_wait(self, give: GiveFloor | None) -> None:
        """Withdraw a wait for a sample."""
        self._waiting.forget(give)

    # Asking

    def tick(self, in_use: bool) -> None:
        """Give up late samples, watch the primary, and search for it if none is known."""
        now = self._scheduler.time()
        self._sampler.expire()
        if self.state.raise_alarm(now):
            self.on_alarm()
        if in_use and (self.failing_since or self.is_at_connection_limit):
            self.on_unavailable()
        if in_use and self.state.is_search_due(now):
            self._search()
        if is_sample_due(self.is_awaited, in_use, now - self.proved_at, self.monitor_seconds):
            self.request_sample()

    def request_sample(self) -> None:
        """Ask for a new sample, also ahead of the reads that will need it."""
        if self._sampler.is_asking(self.presumed_primary):
            return  # the answer to a later question is asked for when this one is answered
        if self.presumed_primary:
            self._sampler.ask(self._sampler.records[self.presumed_primary])
        else:
            self._search()

    def _search(self) -> None:
        if self.state.begin_search(self._scheduler.time()):
            for record in self._sampler.records.values():
                self._sampler.ask(record)

    def close(self) -> None:
        """Close the sampling connections."""
        self._sampler.close()
        self._waiting.close()
