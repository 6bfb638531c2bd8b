"""Limits on the statements that this gateway sends to warming members of one service.

Combines :class:`rowanrail.scheduling.cold_members.ColdMembers` (which members are cold) with
:mod:`rowanrail.scheduling.warm_up_share` (how many statements this gateway may send). Each command
counts, also those of samples, probes and sessions' values.
"""

import math
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from rowanrail.kernel.clock import Clock
from rowanrail.members.channel import Channel
from rowanrail.model.members import MemberRecord
from rowanrail.model.routing import ServiceSpec
from rowanrail.scheduling.cold_members import ColdCause, ColdMembers, MemberStart
from rowanrail.scheduling.warm_up_share import (
    DirectoryLease,
    SenderHistory,
    SendWindow,
    WarmUpPart,
)

__all__ = [
    "SAMPLE_COMMANDS",
    "WarmUpContext",
    "WarmUpLimits",
    "current_unix_ms",
]

SAMPLE_COMMANDS = 2  # BEGIN and ROLLBACK
FIRST_COMMANDS = 3  # of a transaction: BEGIN, a statement and its end
TRANSACTION_COMMANDS = 4  # a second that an open transaction should get
# Interval between samples of a warming primary: a quarter of this gateway's part is used for them.
SAMPLE_INTERVAL_FACTOR = 4 * SAMPLE_COMMANDS
MIN_SAMPLE_INTERVAL_MS = 250.0
# Retry-After where other gateways may send: they don't report when they have a place.
UNKNOWN_DELAY_MS = 1000.0


def current_unix_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000


@dataclass(frozen=True, slots=True)
class WarmUpContext:
    """What the warm-up limits of all services of a gateway share.

    Parameters
    ----------
    name : str
        Name of this gateway.
    lease : DirectoryLease
        Confirmations of its directory.
    unix_ms : callable
        Returns the Unix time in milliseconds.
    """

    name: str = ""
    lease: DirectoryLease = field(default_factory=DirectoryLease)
    unix_ms: Callable[[], float] = current_unix_ms


class WarmUpLimits:
    """Statements that may be sent to warming members; used only if the service has a limit.

    Parameters
    ----------
    spec : ServiceSpec
        Configuration of the service.
    clock : Clock
        Monotonic clock in milliseconds.
    context : WarmUpContext
        Name and directory of the gateway.
    is_own_group : callable
        Returns whether gateways of this one's group may send to a member while it warms up.

    Attributes
    ----------
    on_change : callable
        Called with the record of a member that begins, or ceases, to count as warming, and whether
        it begins.
    on_part : callable
        Called with the number of statements in this gateway's part when that has changed.
    """

    def __init__(
        self,
        spec: ServiceSpec,
        clock: Clock,
        context: WarmUpContext,
        is_own_group: Callable[[MemberRecord], bool],
    ) -> None:
        self.on_change: Callable[[MemberRecord, bool], None] = lambda record, is_warming: None
        self.on_part: Callable[[int], None] = lambda statements: None
        self._spec = spec
        self._clock = clock
        self._context = context
        self._is_own_group = is_own_group
        self._cold = ColdMembers(clock)
        self._history = SenderHistory(context.name, context.lease)
        self._starts: dict[str, MemberStart] = {}
        self._windows: defaultdict[str, SendWindow] = defaultdict(SendWindow)
        self._sampled_at: dict[str, float] = {}
        self._waiting: Counter[tuple[str, bool]] = Counter()  # the latter in open transactions
        self._begun: defaultdict[str, set[Channel]] = defaultdict(set)
        self._noted_part = 0
        self._noted: dict[str, MemberRecord] = {}  # members that were last seen to warm up
        self.sent: Counter[str] = Counter()
        self.turned_away: Counter[str] = Counter()

    @property
    def senders(self) -> tuple[str, ...]:
        """The gateways of the own group that may send."""
        return self._history.senders

    @property
    def part(self) -> WarmUpPart:
        """This gateway's part of the limit, as it may be used now."""
        return self._history.part(self._spec.warm_up_rate, self._clock.now)

    # Changes

    def set_spec(self, spec: ServiceSpec) -> None:
        """Apply a changed configuration of the service."""
        self._spec = spec

    def set_members(self, records: Sequence[MemberRecord]) -> None:
        """Replace the members of the service."""
        self._starts = {
            record.instance: MemberStart(record.instance, record.zone, record.started_ms)
            for record in records
        }
        self._cold.set_members(self._starts.values(), self._context.unix_ms())
        for instance in (self._windows.keys() | self._begun.keys()) - self._starts.keys():
            self._windows.pop(instance, None)
            self._begun.pop(instance, None)

    def set_ended_evacuations(self, ended: Mapping[str, int]) -> None:
        """Replace the zones whose evacuation has ended, with the Unix milliseconds of the end."""
        self._cold.set_ended_evacuations(ended, self._context.unix_ms())

    def set_senders(self, names: Sequence[str]) -> None:
        """Replace the gateways of the own group that may send."""
        self._history.set_senders(names, self._clock.now)

    def note_unreachable(self, instance: str) -> None:
        """Record that a member refused connections, so that it may start again."""
        self._cold.note_unreachable(instance)

    def note_confirmed(self) -> None:
        """Record that the directory was confirmed."""
        self._cold.note_confirmed(self._context.lease.asked_at)

    def tick(self, records: Sequence[MemberRecord]) -> None:
        """Report members that have begun or ceased to warm up, and a changed part."""
        part = self.part.statements
        if part != self._noted_part:
            self._noted_part = part
            self.on_part(part)
        warming = {record.instance: record for record in records if self.is_warming(record)}
        before, self._noted = self._noted, warming
        for instance, record in before.items():
            if instance not in warming:
                self.on_change(record, False)
        for instance, record in warming.items():
            if instance not in before:
                self.on_change(record, True)

    # Members

    def is_warming(self, record: MemberRecord) -> bool:
        """Return whether a member warms up."""
        return self.remaining_ms(record) > 0

    def remaining_ms(self, record: MemberRecord) -> float:
        """Return the milliseconds for which a member still warms up."""
        return self._cold.remaining(self._start(record), self._spec.warm_up_seconds * 1000)

    def cause(self, record: MemberRecord) -> ColdCause:
        """Return why a member warms up."""
        return self._cold.cause(self._start(record))

    def _start(self, record: MemberRecord) -> MemberStart:
        start = self._starts.get(record.instance)
        return start or MemberStart(record.instance, record.zone, record.started_ms)

    # Transactions

    def note_begun(self, record: MemberRecord, channel: Channel) -> None:
        """Record the connection of a transaction that was begun at a member."""
        self._forget_ended(record)
        self._begun[record.instance].add(channel)

    def may_begin(self, record: MemberRecord) -> bool:
        """Return whether a transaction may be begun at a member.

        With too many open ones each gets a few statements and is aborted at the next, so that the
        places are spent for nothing.
        """
        if not self.is_warming(record):
            return True
        has_room = self._count_open(record) < self._most_open(record)
        return has_room and self.has_place(record, self._first_commands(record))

    def commands_to_begin(self, record: MemberRecord) -> int:
        """Return for how many places another transaction waits.

        While too many are open, it is the number that one of them is expected to use until its end.
        """
        statements = self.part_for(record).statements
        has_room = self._count_open(record) < self._most_open(record)
        free = self._windows[record.instance].free(self.part_for(record), self._clock.now)
        first = self._first_commands(record)
        return first if has_room else max(1, min(free + TRANSACTION_COMMANDS, statements))

    def _most_open(self, record: MemberRecord) -> int:
        return max(1, self.part_for(record).statements // TRANSACTION_COMMANDS)

    def _first_commands(self, record: MemberRecord) -> int:
        return max(1, min(FIRST_COMMANDS, self.part_for(record).statements))

    def _count_open(self, record: MemberRecord) -> int:
        self._forget_ended(record)
        return len(self._begun[record.instance])

    def _forget_ended(self, record: MemberRecord) -> None:
        begun = self._begun[record.instance]
        begun -= {channel for channel in begun if channel.closed or not channel.in_transaction}

    # Sending

    def part_for(self, record: MemberRecord) -> WarmUpPart:
        """Return this gateway's part of the limit of a member, as it may be used now."""
        return self.part if self._is_own_group(record) else WarmUpPart(0)

    def is_sender(self, record: MemberRecord) -> bool:
        """Return whether this gateway may send to a member, now or after a handover."""
        return self._is_own_group(record) and self._history.is_sender

    def has_place(self, record: MemberRecord, count: int = 1) -> bool:
        """Return whether commands of new work may be sent to a member now.

        A place is left for each open transaction.
        """
        if not self.is_warming(record):
            return True
        free = self._windows[record.instance].free(self.part_for(record), self._clock.now)
        return free - self._count_open(record) >= count

    def take(self, record: MemberRecord, count: int, continues: bool = False) -> bool:
        """Record commands as sent now, or return False if they must not be sent.

        Parameters
        ----------
        continues : bool
            Whether they belong to an open transaction.
        """
        if not self.is_warming(record):
            return True
        if not continues and not self.has_place(record, count):
            return False
        window = self._windows[record.instance]
        if not window.take(self.part_for(record), self._clock.now, count):
            return False
        self.sent[record.instance] += count
        return True

    def delay_ms(self, record: MemberRecord, count: int = 1, continues: bool = False) -> float:
        """Return the milliseconds after which commands of a statement may be sent.

        Open transactions go first, then statements that wait already. A statement with more
        commands than this gateway's part has to wait until the member is warm.

        Parameters
        ----------
        continues : bool
            Whether the statement belongs to an open transaction.
        """
        now, remaining = self._clock.now, self.remaining_ms(record)
        part = self.part_for(record)
        if 0 < part.statements < count:
            return remaining
        if part.statements:
            ahead = self._waiting[record.instance, True]
            if not continues:
                ahead = max(ahead, self._count_open(record))
                ahead += self._waiting[record.instance, False]
            window = self._windows[record.instance]
            return min(remaining, window.delay(part, now, ahead + count - 1))
        begins = math.inf
        if self._is_own_group(record):
            begins = self._history.waits_until(self._spec.warm_up_rate, now) - now
        return min(remaining, max(0.0, begins) if begins < math.inf else UNKNOWN_DELAY_MS)

    def begin_wait(self, record: MemberRecord, continues: bool) -> None:
        """Record that a statement waits until it may be sent."""
        self._waiting[record.instance, continues] += 1

    def end_wait(self, record: MemberRecord, continues: bool) -> None:
        """Record that a statement no longer waits."""
        self._waiting[record.instance, continues] -= 1

    def note_turned_away(self, record: MemberRecord) -> None:
        """Count a statement that was rejected because of the limit."""
        self.turned_away[record.instance] += 1

    # Samples

    def may_sample(self, record: MemberRecord) -> bool:
        """Return whether a member may be sampled now."""
        if not self.is_warming(record):
            return True
        interval = SAMPLE_INTERVAL_FACTOR * self.part_for(record).interval_ms
        sampled_at = self._sampled_at.get(record.instance, -math.inf)
        is_due = self._clock.now - sampled_at >= max(MIN_SAMPLE_INTERVAL_MS, interval)
        return is_due and self.has_place(record, SAMPLE_COMMANDS)

    def take_sample(self, record: MemberRecord) -> bool:
        """Record a sample as sent now, or return False if it must not be sent."""
        if not self.take(record, SAMPLE_COMMANDS):
            return False
        self._sampled_at[record.instance] = self._clock.now
        return True

    def needs_reported_samples(self, record: MemberRecord) -> bool:
        """Return whether only other gateways may sample a member."""
        return self.is_warming(record) and not self.part_for(record).statements
