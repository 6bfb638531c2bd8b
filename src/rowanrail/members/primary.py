"""Tracks the primary of a service by sampling its replication position.

A sample proves that the member was primary when it answered: it comes from a plain BEGIN, a write
or a commit that the member accepted, and a member that has been replaced refuses those. A commit
that waited for replicas is a sample only once it is confirmed. A member that refuses a connection
because it has none free is alive and does not count as failed.

:class:`PrimaryTracker` holds the samples of one service and the reads that wait for one. It applies
the rules of :class:`rowanrail.members.primary_state.PrimaryState` and
:mod:`rowanrail.members.sampling_rules`, and samples through
:class:`rowanrail.members.sampler.MemberSampler`.
"""

from collections.abc import Callable, Mapping

from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import MemberDriver
from rowanrail.members.leadership import LeadershipVerifier
from rowanrail.members.monitor_interval import MONITOR_SECONDS
from rowanrail.members.primary_state import PrimaryState
from rowanrail.members.sampler import MemberSampler
from rowanrail.members.samples import (
    PositionCallback,
    PositionSample,
    PositionWaiters,
    SampleHistory,
)
from rowanrail.members.sampling_connection import LeaseProvider, SampleLimit
from rowanrail.members.sampling_rules import is_sample_due
from rowanrail.model.members import MemberRecord, is_same_life
from rowanrail.model.position import ORIGIN, Position
from rowanrail.model.statements import Answer, Refusal

__all__ = ["PrimaryTracker"]

# Three intervals between samples: the primary of a service that is in use is proved more often.
UNSAMPLED_SECONDS = 2.0
NO_CLAIM = float("-inf")  # value of ``_claimed_at`` while there is no claim to follow


class PrimaryTracker:
    """Finds the primary of one service and keeps the samples of its position.

    Parameters
    ----------
    service : str
        Name of the service.
    driver : MemberDriver
        Opens connections for samples.
    scheduler : Scheduler
        Monotonic clock in seconds.
    verifier : LeadershipVerifier
        Decides which answers prove that a member is primary.

    Attributes
    ----------
    on_primary : callable
        Called when the presumed primary changes.
    on_alarm : callable
        Called when the failure alarm is raised or cleared.
    on_proof : callable
        Called with the instance of each member that proved to be primary.
    on_not_primary : callable
        Called with the instance of each member that refused a command as it is not primary.
    on_unavailable : callable
        Called at each tick while the service is in use and the primary cannot, or may not, be
        sampled by this gateway.
    is_closed : callable
        Returns whether nothing may be sent to a member, so that it is not sampled. Not sampling a
        primary is no sign that it fails.
    """

    def __init__(
        self, service: str, driver: MemberDriver, scheduler: Scheduler, verifier: LeadershipVerifier
    ) -> None:
        self.service = service
        self.state = PrimaryState()
        self.on_primary: Callable[[], None] = lambda: None
        self.on_alarm: Callable[[], None] = lambda: None
        self.on_proof: Callable[[str], None] = lambda instance: None
        self.on_not_primary: Callable[[str], None] = lambda instance: None
        self.on_unavailable: Callable[[], None] = lambda: None
        self.is_closed: Callable[[MemberRecord], bool] = lambda record: False
        self.monitor_seconds = MONITOR_SECONDS
        self.history = SampleHistory()  # of the newest term
        self._verifier = verifier
        self._scheduler = scheduler
        self._sampler = MemberSampler(self.state, self, driver, scheduler)
        self._waiting = PositionWaiters()
        self._longest = ORIGIN  # the highest known position of the log, and since when
        self._longest_since = 0.0
        self._claimed_at = NO_CLAIM  # when a member began to claim to be primary

    @property
    def presumed_primary(self) -> str:
        """Instance name of the presumed primary; empty while none is known."""
        return self.state.presumed_primary

    @property
    def proved_at(self) -> float:
        """Time of the last proof in seconds; negative before the first one."""
        return self.state.proved_at

    @property
    def failing_since(self) -> float:
        """Time in seconds of the first failure since the last proof; 0 without one."""
        return self.state.failing_since

    @property
    def sample(self) -> PositionSample | None:
        """The newest sample of the primary's position, None without one."""
        return self.history.newest

    @property
    def has_waiters(self) -> bool:
        """Whether reads wait for a sample."""
        return len(self._waiting) > 0

    @property
    def is_active(self) -> bool:
        """Whether members are being sampled, the primary fails, or reads wait."""
        return bool(len(self._sampler) or self.failing_since or len(self._waiting))

    @property
    def is_failover_overdue(self) -> bool:
        """Whether the primary has failed for longer than a failover takes."""
        return self.state.is_failover_overdue(self._scheduler.time())

    @property
    def is_at_connection_limit(self) -> bool:
        """Whether the primary refused the last sampling connection for lack of a free one."""
        return self._sampler.is_at_connection_limit

    def proved_term(self, instance: str) -> int | None:
        """Return the term in which a member led at the newest sample, None if it wasn't the one."""
        sample = self.sample
        return sample.position.term if sample is not None and sample.instance == instance else None

    def has_sample_since(self, asked_since: float) -> bool:
        """Return whether there is a sample that was requested at ``asked_since`` or later."""
        return self.history.oldest_since(asked_since) is not None

    def set_lease_provider(self, lease_provider: LeaseProvider) -> None:
        """Set where to lease pooled connections for samples of the primary."""
        self._sampler.lease_provider = lease_provider

    def set_sample_limit(self, sample_limit: SampleLimit) -> None:
        """Set the limit on samples of members that warm up."""
        self._sampler.sample_limit = sample_limit

    @property
    def needs_reported_samples(self) -> bool:
        """Whether only other gateways may sample the primary, as it warms up."""
        return self._sampler.needs_reported_samples

    def set_members(self, records: list[MemberRecord]) -> None:
        """Replace the members; one that claims to be primary may become the presumed one.

        While the service is not in use, samples don't tell of a replacement, but a new claim does.

        A member that started again has to prove again that it is primary. Its earlier samples stay:
        what was acknowledged before them has to be in the log of whoever serves a read.
        """
        before = self._sampler.records
        for record in records:
            known = before.get(record.instance)
            if known is not None and not is_same_life(known, record):
                self.state.forget_life(record.instance)
        self._sampler.set_members(records)
        if _has_new_claim(before, records):
            self._claimed_at = self._scheduler.time()
        self._follow_claims()

    @property
    def _is_outdated(self) -> bool:
        """Whether a claim is newer than the last proof, and no proof is to be expected."""
        is_newer = self._claimed_at > self.proved_at
        return is_newer and self._scheduler.time() - self.proved_at > UNSAMPLED_SECONDS

    def _follow_claims(self) -> None:
        records = self._sampler.records
        claims = [record.instance for record in records.values() if record.primary]
        is_outdated = self._is_outdated
        if is_outdated:
            self._claimed_at = NO_CLAIM
        if self.state.note_members(
            records, claims, is_closed=self._is_primary_closed, is_outdated=is_outdated
        ):
            self.on_primary()
            if self.failing_since:
                self.request_sample()

    @property
    def _is_primary_closed(self) -> bool:
        record = self._sampler.records.get(self.presumed_primary)
        return record is not None and self.is_closed(record)

    def _leave_closed(self) -> None:
        """Stop sampling closed members, and end the waits for a sample of a closed primary."""
        self._sampler.remove_where(self.is_closed)
        if self._is_primary_closed:
            self._follow_claims()
        if self._is_primary_closed:
            self._waiting.close()

    # Proofs

    def note_proof(self, instance: str, asked_at: float, position: Position | None) -> None:
        """Record a proof of leadership: an answer that only a primary gives.

        Parameters
        ----------
        instance : str
            The member that answered.
        asked_at : float
            When the request was sent, in seconds; the member was primary at some time since then.
        position : Position or None
            The position in its answer; an answer without one is ignored.
        """
        if position is None:
            return
        if self._has_lost_log(asked_at, position):
            self.note_not_primary(instance)
            return
        if not self._add_sample(asked_at, position, instance):
            return  # it has been replaced since
        self.state.note_proof(self._scheduler.time())
        self._sampler.note_connection_available(instance)
        self.on_proof(instance)
        if self.state.clear_failure():
            self._sampler.close_idle(primary=instance)
        if self.state.clear_alarm():
            self.on_alarm()
        if instance in self._sampler.records and self.state.set_presumed_primary(instance):
            self.on_primary()
        self._waiting.notify(self.sample)

    def note_reported_position(self, asked_at: float, instance: str, position: Position) -> None:
        """Add a position that another gateway sampled at ``asked_at`` or later.

        It serves waiting reads but is no proof for this gateway, which may still not reach the
        primary. A gateway that may not sample the primary itself takes it as the end of a failure.
        """
        if not self._add_sample(asked_at, position, instance):
            return
        if self.needs_reported_samples and self.presumed_primary == instance:
            self._end_failure(asked_at)
        self._waiting.notify(self.sample)

    def _end_failure(self, asked_at: float) -> None:
        """Clear a failure that began before a sample was requested."""
        if asked_at < self.failing_since:
            return
        self.state.clear_failure()
        if self.state.clear_alarm():
            self.on_alarm()

    def _add_sample(self, asked_at: float, position: Position, instance: str) -> bool:
        if position > self._longest:
            self._longest, self._longest_since = position, self._scheduler.time()
        return self.history.add(asked_at, position, instance)

    def _has_lost_log(self, asked_at: float, position: Position) -> bool:
        """Return whether a position is lower than one that was known before it was requested.

        Within a term, only a member that started again without its log gives such an answer.
        """
        is_shorter = position.term == self._longest.term and position < self._longest
        return is_shorter and asked_at > self._longest_since

    def note_begin_answer(self, instance: str, asked_at: float, answer: Answer) -> None:
        """Process a member's answer to a plain BEGIN."""
        if self._verifier.is_proof(answer):
            self.note_proof(instance, asked_at, answer.position)
        elif answer.refusal is Refusal.NOT_PRIMARY:
            self.note_not_primary(instance)

    def note_not_primary(self, instance: str) -> None:
        """Record that a member refused a command because it is not primary."""
        if self.state.note_not_primary(instance, self._scheduler.time()):
            self._search()
        self.on_not_primary(instance)

    def note_failure(self, instance: str) -> None:
        """Record that a member does not answer."""
        self.state.note_failure(instance, self._scheduler.time())

    def note_sample_failed(self, instance: str) -> None:
        """Search all members if the one that could not be sampled is the presumed primary."""
        if instance == self.presumed_primary:
            self._search()

    def note_refused_connection(self, answer: Answer) -> None:
        """Record a refused connection to the primary; only a lost one counts as a failure."""
        if answer.refusal is Refusal.LOST:
            self.note_failure(self.presumed_primary)

    # Waiting reads

    def wait_for_position(self, asked_since: float, callback: PositionCallback) -> None:
        """Call ``callback`` with a position sampled at ``asked_since`` or later, maybe at once.

        The callback gets None if the tracker or the primary is closed first.
        """
        sample = self.history.oldest_since(asked_since)
        if sample is not None:
            callback(sample.position)
            return
        if self._is_primary_closed:
            callback(None)
            return
        self._waiting.add(asked_since, callback)
        self.request_sample()

    def cancel_wait(self, callback: PositionCallback | None) -> None:
        """Remove a callback that waits for a position."""
        self._waiting.remove(callback)

    # Sampling

    def tick(self, in_use: bool) -> None:
        """Apply timeouts and request the samples and searches that are due."""
        now = self._scheduler.time()
        self._sampler.expire()
        self._leave_closed()
        if self._is_outdated:
            self._follow_claims()
        if self.state.raise_alarm(now):
            self.on_alarm()
        if in_use and (
            self.failing_since or self.is_at_connection_limit or self.needs_reported_samples
        ):
            self.on_unavailable()
        if in_use and self.state.is_search_due(now):
            self._search()
        if is_sample_due(self.has_waiters, in_use, now - self.proved_at, self.monitor_seconds):
            self.request_sample()

    def request_sample(self) -> None:
        """Request a sample of the primary, or search for it if none is known."""
        if self._is_primary_closed:
            return
        if self._sampler.is_sampling(self.presumed_primary):
            return  # the next sample is requested when this one is answered
        if self.presumed_primary:
            self._sampler.request(self._sampler.records[self.presumed_primary])
        else:
            self._search()

    def _search(self) -> None:
        if self.state.try_begin_search(self._scheduler.time()):
            for record in self._sampler.records.values():
                if not self.is_closed(record):
                    self._sampler.request(record)

    def close(self) -> None:
        """Close the sampling connections and end all waits without a position."""
        self._sampler.close()
        self._waiting.close()


def _has_new_claim(before: Mapping[str, MemberRecord], records: list[MemberRecord]) -> bool:
    """Return whether a member claims to be primary that didn't before."""
    former = {instance for instance, record in before.items() if record.primary}
    return any(record.primary and record.instance not in former for record in records)
