"""Which member leads a service, by samples of its position that prove it.

A sample proves that the member still led when it answered: it comes from a plain BEGIN, a write
or a commit that the member accepted, which a replaced primary refuses.

Samples are asked for on connections that are open for statements anyway, as far as one is free:
connections are scarce, most of all when all gateways restart at once. A member that has none left
is alive, so that nobody may take it for lost.
"""

from collections.abc import Callable

from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.members.leadership import LeadershipProof
from rowanrail.members.monitor_interval import MONITOR_SECONDS
from rowanrail.members.probe import Lender, Probe
from rowanrail.members.samples import FloorWaiters, GiveFloor, Sample, SampleHistory
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal

PROBE_TIMEOUT_SECONDS = 0.3  # six times a round trip between regions of 20 ms one way
LINE_SECONDS = 0.1  # of waiting for a connection of the pool
OPEN_TIMEOUT_SECONDS = 0.8  # an opening packet that was lost is sent again only after a second
SEARCH_SECONDS = 0.1  # between looks at all members while no primary is known
FAILING_SEARCH_SECONDS = 0.15  # between looks at all members while the primary fails
LONG_LOST_SECONDS = 2.0  # a successor stands within 1 to 2 s; whoever is cut off waits longer
RETRY_OPEN_SECONDS = 0.3  # before a member that refused a connection is tried again
OWN_SECONDS = 5.0  # for which a connection of its own is kept, though the pool could lend one
RETRY_CROWDED_SECONDS = 0.1  # connections of others end all the time
ALARM_SECONDS = 0.26  # of failing: when the control nodes are told at once

_PROBE = [Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK)]


class PrimaryTracker:
    """Finds the primary of one service and keeps its newest sample."""

    def __init__(
        self, service: str, driver: MemberDriver, clock: Scheduler, proof: LeadershipProof
    ) -> None:
        self.service = service
        self.believed = ""
        self.proved_at = -1.0
        self.failing_since = 0.0
        self.on_primary: Callable[[], None] = lambda: None
        self.on_alarm: Callable[[], None] = lambda: None
        self.on_proof: Callable[[str], None] = lambda instance: None
        self.lender: Lender | None = None
        self.monitor_seconds = MONITOR_SECONDS
        self.on_trouble: Callable[[], None] = lambda: None
        self._alarmed = False
        self._driver = driver
        self._proof = proof
        self._clock = clock
        self._records: dict[str, MemberRecord] = {}
        self._probes: dict[str, Probe] = {}
        self._samples = SampleHistory()
        self._waiting = FloorWaiters()
        self._search_at = 0.0

    @property
    def sample(self) -> Sample | None:
        """The newest proof of the primary's position."""
        return self._samples.newest

    @property
    def history(self) -> SampleHistory:
        """The samples of the newest term."""
        return self._samples

    @property
    def is_busy(self) -> bool:
        """Whether it is asked for samples, or looked for."""
        return bool(self._probes or self.failing_since or len(self._waiting))

    @property
    def is_long_lost(self) -> bool:
        """Whether it has failed for longer than finding or making a successor takes."""
        return bool(self.failing_since) and (
            self._clock.time() - self.failing_since > LONG_LOST_SECONDS
        )

    def can_give(self, asked_since: float) -> bool:
        """Return whether there is a sample that was asked for at ``asked_since`` or later."""
        return self._samples.oldest_since(asked_since) is not None

    def set_members(self, records: list[MemberRecord]) -> None:
        """Know the service's members; the one that calls itself primary is believed first."""
        self._records = {record.instance: record for record in records}
        for instance in list(self._probes):
            if instance not in self._records:
                self._drop_probe(instance)
        if self.believed and self.believed not in self._records:
            self.believed = ""
        claims = [record.instance for record in records if record.primary]
        # A primary that serves is proved; one that fails may have been replaced.
        if claims and self.believed not in claims and (not self.believed or self.failing_since):
            self.believed = claims[0]
            self.on_primary()
            if self.failing_since:
                self._ask()

    # Proofs

    def note_proof(self, instance: str, asked_at: float, position: Position | None) -> None:
        """Note that ``instance`` led when it answered what was asked at ``asked_at``."""
        if position is None:
            return
        if not self._samples.add(asked_at, position, instance):
            return  # it led when it answered, and has been replaced since
        self.proved_at = self._clock.time()
        probe = self._probes.get(instance)
        if probe is not None:
            probe.is_crowded = False  # it had a connection for what proved it
        self.on_proof(instance)
        if self.failing_since:
            self.failing_since = 0.0
            self._drop_idle_probes(instance)
        if self._alarmed:
            self._alarmed = False
            self.on_alarm()
        if self.believed != instance and instance in self._records:
            self.believed = instance
            self.on_primary()
        self._waiting.serve(self.sample)

    def note_told(self, asked_at: float, instance: str, position: Position) -> None:
        """Take a position that another gateway had proved, asked for at ``asked_at`` or later.

        It lets reads go on; that this gateway does not reach the primary stays true.
        """
        if self._samples.add(asked_at, position, instance):
            self._waiting.serve(self.sample)

    def note_not_primary(self, instance: str) -> None:
        """Note that a member refused as one that does not lead."""
        if self.believed == instance:
            self.believed = ""
            self._note_failing()
            self._search()

    def note_failure(self, instance: str) -> None:
        """Note that the member believed to lead does not answer."""
        if self.believed == instance or not self.believed:
            self._note_failing()

    def note_refused_connection(self, answer: Answer) -> None:
        """Note why no connection to the primary could be had; only silence counts against it."""
        if answer.refusal is Refusal.LOST:
            self.note_failure(self.believed)

    def _note_failing(self) -> None:
        if not self.failing_since:
            self.failing_since = self._clock.time()

    # Floors

    def need(self, asked_since: float, give: GiveFloor) -> None:
        """Give a position sampled at ``asked_since`` or later, now or once there is one."""
        sample = self._samples.oldest_since(asked_since)
        if sample is not None:
            give(sample.position)
            return
        self._waiting.add(asked_since, give)
        self._ask()

    def forget(self, give: GiveFloor | None) -> None:
        """Forget somebody who waits."""
        self._waiting.forget(give)

    # Probing

    def tick(self, in_use: bool) -> None:
        """Give up late probes, watch the primary, and search for it if none is known."""
        now = self._clock.time()
        for instance, probe in list(self._probes.items()):
            late_seconds = now - probe.asked_at if probe.in_flight else 0.0
            if probe.waits_for_loan and late_seconds > LINE_SECONDS:
                self._stop_waiting(probe)
                continue
            if late_seconds <= PROBE_TIMEOUT_SECONDS:
                continue
            self.note_failure(instance)
            # A member in demand takes its time to open a connection; another one would only
            # stand further back in its queue.
            if probe.is_open or late_seconds > OPEN_TIMEOUT_SECONDS:
                self._drop_probe(instance)
                self._fail(instance)
        self._raise_alarm(now)
        if in_use and (self.failing_since or self.is_crowded):
            self.on_trouble()
        if self.failing_since and in_use and now >= self._search_at + FAILING_SEARCH_SECONDS:
            self._search()
        if self._waiting or in_use and now - self.proved_at > self.monitor_seconds:
            self._ask()

    def _raise_alarm(self, now: float) -> None:
        is_lost = self.failing_since and now - self.failing_since >= ALARM_SECONDS
        if is_lost and not self._alarmed:
            self._alarmed = True
            self.on_alarm()

    def prefetch(self) -> None:
        """Ask for a new sample before somebody has to wait for it."""
        self._ask()

    def _ask(self) -> None:
        probe = self._probes.get(self.believed)
        if probe is not None and probe.in_flight and probe.is_open:
            return  # the answer to a later question is asked for when this one is answered
        if self.believed:
            self._probe(self._records[self.believed])
        else:
            self._search()

    def _search(self) -> None:
        now = self._clock.time()
        if now < self._search_at:
            return
        self._search_at = now + SEARCH_SECONDS
        for record in self._records.values():
            self._probe(record)

    def _probe(self, record: MemberRecord) -> None:
        now = self._clock.time()
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
                self._drop_probe(record.instance)
                self._fail(record.instance)
                return
            probe.is_open = True
            probe.is_crowded = False
            probe.opened_at = probe.asked_at = self._clock.time()
            self._send(probe)

        probe.channel = Channel(record.address, record.instance, on_open)
        probe.channel.on_closed = lambda channel: self._on_closed(record.instance, channel)
        self._driver.open(record.address, record.service, record.instance, probe.channel)

    def _note_crowded(self, probe: Probe) -> None:
        """Note that the member is alive, but has no connection left."""
        probe.channel = None
        probe.in_flight = False
        probe.is_crowded = True
        probe.retry_at = self._clock.time() + RETRY_CROWDED_SECONDS

    @property
    def is_crowded(self) -> bool:
        """Whether the primary had no connection left for a sample a moment ago."""
        probe = self._probes.get(self.believed)
        return probe is not None and probe.is_crowded

    def _may_borrow(self, probe: Probe) -> bool:
        instance = probe.record.instance
        if self.lender is None or instance != self.believed or self.failing_since:
            return False
        return probe.is_crowded or self.lender.can_lend(instance)

    def _borrow(self, probe: Probe) -> bool:
        """Ask for a connection of the pool; return False if the probe is to open its own."""
        if self.lender is None or not self._may_borrow(probe):
            return False
        probe.loan = self.lender.loan(probe.record.instance)
        if probe.loan is None:
            return False

        def take(channel: Channel | None, answer: Answer) -> None:
            if channel is None:
                self._lend_refused(probe, answer)
                return
            channel.on_closed = lambda channel: None  # its answers tell the loss
            probe.channel = channel
            probe.is_open = True
            probe.is_crowded = False
            probe.asked_at = self._clock.time()
            self._send(probe)

        probe.loan.request(take)
        return True

    def _lend_refused(self, probe: Probe, answer: Answer) -> None:
        probe.loan = None
        if answer.refusal is Refusal.LOST:
            self._drop_probe(probe.record.instance)
            self._fail(probe.record.instance)
        else:
            self._note_crowded(probe)

    def _stop_waiting(self, probe: Probe) -> None:
        """Leave the line for a connection of the pool, and open one.

        That all are in use for so long may be the first sign that the member is silent.
        """
        probe.give_back()
        probe.is_crowded = False
        probe.asked_at = self._clock.time()
        self._open(probe)

    def _send(self, probe: Probe) -> None:
        assert probe.channel is not None
        asked_at = probe.asked_at
        instance = probe.record.instance

        begun = Answer(refusal=Refusal.LOST)

        def on_begin(answer: Answer) -> None:
            nonlocal begun
            begun = answer

        def on_end(answer: Answer) -> None:
            is_lost = probe.channel_closed()
            probe.give_back()  # before the proof, which has reads ask for connections
            if self._proof.is_proof(begun):
                self.note_proof(instance, asked_at, begun.position)
            elif begun.refusal is Refusal.NOT_PRIMARY:
                self.note_not_primary(instance)
            if self._probes.get(instance) is not probe:
                return
            probe.in_flight = False
            if is_lost and probe.channel is None:
                self._drop_probe(instance)
                self._fail(instance)
            elif self._waiting and not is_lost:
                self._ask()
            elif self._is_needless(probe):
                self._drop_probe(instance)

        probe.channel.send(_PROBE, [on_begin, on_end])

    def _is_needless(self, probe: Probe) -> bool:
        """Return whether a probe's own connection may be closed."""
        if self._waiting or self.failing_since or not self.believed:
            return False
        if self.believed != probe.record.instance:
            return True
        age = self._clock.time() - probe.opened_at
        return probe.is_open and age > OWN_SECONDS and self._may_borrow(probe)

    def _on_closed(self, instance: str, channel: Channel) -> None:
        probe = self._probes.get(instance)
        if probe is not None and probe.channel is channel:
            self._drop_probe(instance)
            self._fail(instance)

    def _drop_probe(self, instance: str) -> None:
        probe = self._probes.pop(instance, None)
        if probe is None:
            return
        if probe.channel is not None:
            probe.channel.close()  # its answers, if any are outstanding, give it back
        probe.give_back()
        probe.channel = None

    def _drop_idle_probes(self, primary: str) -> None:
        for instance, probe in list(self._probes.items()):
            if instance != primary and not probe.in_flight:
                self._drop_probe(instance)

    def _fail(self, instance: str) -> None:
        self.note_failure(instance)
        record = self._records.get(instance)
        if record is not None:
            # The next attempt waits a little, so that a dead port is not hammered.
            probe = Probe(record)
            probe.retry_at = self._clock.time() + RETRY_OPEN_SECONDS
            self._probes[instance] = probe
        if instance == self.believed:
            self._search()

    def close(self) -> None:
        """Close the sampling connections."""
        for instance in list(self._probes):
            self._drop_probe(instance)
        self._waiting.close()
