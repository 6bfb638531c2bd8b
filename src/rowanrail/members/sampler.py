"""Samples the replication position of one service's members.

Manages one dedicated or pooled connection for each sampled member and passes the answers to a
:class:`SampleListener`. The rules for timing and choice of connection are in
:mod:`rowanrail.members.sampling_rules`.
"""

from collections.abc import Callable
from typing import Protocol

from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.members.primary_state import PrimaryState
from rowanrail.members.sampling_connection import LeaseProvider, SampleLimit, SamplingConnection
from rowanrail.members.sampling_rules import (
    SampleTimeoutAction,
    may_close_dedicated,
    retry_at,
    sample_timeout_action,
    should_use_pool,
)
from rowanrail.model.members import MemberRecord, is_same_life
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal

__all__ = ["MemberSampler", "SampleListener"]

_SAMPLE_COMMANDS = [Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK)]


class SampleListener(Protocol):
    """Port that receives the results of samples."""

    @property
    def has_waiters(self) -> bool:
        """Whether reads wait for a sample."""

    def request_sample(self) -> None:
        """Request a sample of the primary."""

    def note_begin_answer(self, instance: str, asked_at: float, answer: Answer) -> None:
        """Process the answer to a plain BEGIN that was requested at ``asked_at`` seconds."""

    def note_failure(self, instance: str) -> None:
        """Record that a member does not answer."""

    def note_sample_failed(self, instance: str) -> None:
        """Record that a sample failed; the sampler accepts a retry after a short delay."""


class MemberSampler:
    """Sampling connections to the members of one service.

    Parameters
    ----------
    state : PrimaryState
        Which member is presumed primary and whether it fails; only read.
    listener : SampleListener
        Receives the results of samples.
    driver : MemberDriver
        Opens connections.
    scheduler : Scheduler
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        state: PrimaryState,
        listener: SampleListener,
        driver: MemberDriver,
        scheduler: Scheduler,
    ) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.lease_provider: LeaseProvider | None = None
        self.sample_limit: SampleLimit | None = None
        self._state = state
        self._listener = listener
        self._driver = driver
        self._scheduler = scheduler
        self._connections: dict[str, SamplingConnection] = {}

    def __len__(self) -> int:
        """Return the number of members with a sampling state, including those awaiting a retry."""
        return len(self._connections)

    @property
    def is_at_connection_limit(self) -> bool:
        """Whether the primary refused the last sampling connection for lack of a free one."""
        connection = self._connections.get(self._state.presumed_primary)
        return connection is not None and connection.is_at_connection_limit

    @property
    def needs_reported_samples(self) -> bool:
        """Whether only other gateways may sample the primary."""
        record = self.records.get(self._state.presumed_primary)
        limit = self.sample_limit
        return record is not None and limit is not None and limit.needs_reported_samples(record)

    def set_members(self, records: list[MemberRecord]) -> None:
        """Replace the members of the service; stop sampling those that are gone.

        Samples of an earlier life of a member are answered as lost.
        """
        before, self.records = self.records, {record.instance: record for record in records}
        for instance in list(self._connections):
            known = self.records.get(instance)
            if known is None or not is_same_life(before.get(instance, known), known):
                self._remove(instance)

    def is_sampling(self, instance: str) -> bool:
        """Return whether a sample of a member has been sent and not yet answered."""
        connection = self._connections.get(instance)
        return connection is not None and connection.in_flight and connection.is_open

    def note_connection_available(self, instance: str) -> None:
        """Record that a member had a free connection."""
        connection = self._connections.get(instance)
        if connection is not None:
            connection.is_at_connection_limit = False

    # Sending samples

    def request(self, record: MemberRecord) -> None:
        """Sample a member unless a sample is in flight or its retry delay has not passed.

        A member that warms up is sampled less often.
        """
        if self.sample_limit is not None and not self.sample_limit.may_sample(record):
            return
        now = self._scheduler.time()
        connection = self._connections.get(record.instance)
        if connection is None:
            connection = SamplingConnection(record)
            self._connections[record.instance] = connection
        if connection.in_flight or now < connection.retry_at:
            return
        connection.in_flight = True
        connection.asked_at = now
        if connection.is_open:
            self._send(connection)
        elif not self._lease(connection):
            self._open(connection)

    def _open(self, connection: SamplingConnection) -> None:
        record = connection.record

        def on_open(channel: Channel, answer: Answer) -> None:
            if connection.channel is not channel:
                return
            if answer.refusal is Refusal.TOO_MANY_CONNECTIONS:
                self._note_connection_limit(connection)
                return
            if answer.refusal is not None:
                self._close_and_retry(record.instance)
                return
            connection.is_open = True
            connection.is_at_connection_limit = False
            connection.opened_at = connection.asked_at = self._scheduler.time()
            self._send(connection)

        connection.channel = Channel(record.address, record.instance, on_open)
        connection.channel.on_closed = lambda channel: self._on_closed(record.instance, channel)
        self._driver.open(record.address, record.service, record.instance, connection.channel)

    def _note_connection_limit(self, connection: SamplingConnection) -> None:
        """Schedule a retry: the member is alive but has no free connection."""
        connection.channel = None
        connection.in_flight = False
        connection.is_at_connection_limit = True
        connection.retry_at = retry_at(self._scheduler.time(), is_at_connection_limit=True)

    def _should_use_pool(self, connection: SamplingConnection) -> bool:
        instance = connection.record.instance
        return self.lease_provider is not None and should_use_pool(
            is_presumed_primary=instance == self._state.presumed_primary,
            is_failing=bool(self._state.failing_since),
            is_at_connection_limit=connection.is_at_connection_limit,
            can_lease=self.lease_provider.can_lease(instance),
        )

    def _lease(self, connection: SamplingConnection) -> bool:
        """Request a pooled connection; return False if a dedicated one must be opened."""
        if self.lease_provider is None or not self._should_use_pool(connection):
            return False
        connection.lease = self.lease_provider.lease(connection.record.instance)
        if connection.lease is None:
            return False

        def take(channel: Channel | None, answer: Answer) -> None:
            if channel is None:
                self._note_lease_refused(connection, answer)
                return
            channel.on_closed = lambda channel: None  # a loss is reported by its answers
            connection.channel = channel
            connection.is_open = True
            connection.is_at_connection_limit = False
            connection.asked_at = self._scheduler.time()
            self._send(connection)

        connection.lease.request(take)
        return True

    def _note_lease_refused(self, connection: SamplingConnection, answer: Answer) -> None:
        connection.lease = None
        if answer.refusal is Refusal.LOST:
            self._close_and_retry(connection.record.instance)
        else:
            self._note_connection_limit(connection)

    def _send(self, connection: SamplingConnection) -> None:
        assert connection.channel is not None
        if self.sample_limit is not None and not self.sample_limit.take_sample(connection.record):
            self._cancel(connection)
            return
        asked_at = connection.asked_at
        begin_answer = Answer(refusal=Refusal.LOST)

        def on_begin(answer: Answer) -> None:
            nonlocal begin_answer
            begin_answer = answer

        def on_end(answer: Answer) -> None:
            self._on_answered(connection, asked_at, begin_answer)

        connection.channel.send(_SAMPLE_COMMANDS, [on_begin, on_end])

    def _cancel(self, connection: SamplingConnection) -> None:
        """Give up a sample that may not be sent now; a dedicated connection stays open."""
        connection.release()
        connection.in_flight = False
        connection.retry_at = retry_at(self._scheduler.time(), is_at_connection_limit=True)

    def _on_answered(
        self, connection: SamplingConnection, asked_at: float, begin_answer: Answer
    ) -> None:
        instance = connection.record.instance
        is_closed = connection.channel_closed()
        connection.release()  # first, as a proof lets waiting reads request connections
        self._listener.note_begin_answer(instance, asked_at, begin_answer)
        if self._connections.get(instance) is not connection:
            return
        connection.in_flight = False
        if is_closed and connection.channel is None:
            self._close_and_retry(instance)
        elif self._listener.has_waiters and not is_closed:
            self._listener.request_sample()
        elif self._may_close(connection):
            self._remove(instance)

    # Timeouts and closing

    def expire(self) -> None:
        """Apply the timeouts to all outstanding samples."""
        now = self._scheduler.time()
        for instance, connection in list(self._connections.items()):
            elapsed_seconds = now - connection.asked_at if connection.in_flight else 0.0
            match sample_timeout_action(
                elapsed_seconds, connection.is_waiting_for_lease, connection.is_open
            ):
                case SampleTimeoutAction.OPEN_DEDICATED:
                    self._open_dedicated(connection)
                case SampleTimeoutAction.SUSPECT:
                    self._listener.note_failure(instance)
                case SampleTimeoutAction.GIVE_UP:
                    self._listener.note_failure(instance)
                    self._close_and_retry(instance)

    def _open_dedicated(self, connection: SamplingConnection) -> None:
        """Cancel the request for a pooled connection and open a dedicated one."""
        connection.release()
        connection.is_at_connection_limit = False
        connection.asked_at = self._scheduler.time()
        self._open(connection)

    def _may_close(self, connection: SamplingConnection) -> bool:
        """Return whether a dedicated connection may be closed."""
        primary, is_failing = self._state.presumed_primary, bool(self._state.failing_since)
        return may_close_dedicated(
            is_wanted=self._listener.has_waiters or is_failing or not primary,
            is_presumed_primary=primary == connection.record.instance,
            is_open=connection.is_open,
            open_seconds=self._scheduler.time() - connection.opened_at,
            pool_available=self._should_use_pool(connection),
        )

    def remove_where(self, is_closed: Callable[[MemberRecord], bool]) -> None:
        """Close the connections to members for which ``is_closed`` is true."""
        for instance, connection in list(self._connections.items()):
            if is_closed(connection.record):
                self._remove(instance)

    def close_idle(self, primary: str) -> None:
        """Close the connections to other members that have no sample in flight."""
        for instance, connection in list(self._connections.items()):
            if instance != primary and not connection.in_flight:
                self._remove(instance)

    def _on_closed(self, instance: str, channel: Channel) -> None:
        connection = self._connections.get(instance)
        if connection is not None and connection.channel is channel:
            self._close_and_retry(instance)

    def _close_and_retry(self, instance: str) -> None:
        """Close a member's connection and schedule a retry."""
        self._remove(instance)
        self._listener.note_failure(instance)
        record = self.records.get(instance)
        if record is not None:
            connection = SamplingConnection(record)
            connection.retry_at = retry_at(self._scheduler.time(), is_at_connection_limit=False)
            self._connections[instance] = connection
        self._listener.note_sample_failed(instance)

    def _remove(self, instance: str) -> None:
        connection = self._connections.pop(instance, None)
        if connection is None:
            return
        if connection.channel is not None:
            connection.channel.close()  # answers outstanding commands, which may release it
        connection.release()
        connection.channel = None

    def close(self) -> None:
        """Close all sampling connections."""
        for instance in list(self._connections):
            self._remove(instance)
