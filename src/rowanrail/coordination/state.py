"""The replicated state: configuration, members, gateways, evacuations, promotions, plan of holders.

It depends on the log alone: all nodes that applied the same entries hold the same state. Defines
the snapshot's format; relies on the commands and on the guards of :mod:`policies`.
"""

import msgspec
from msgspec import UNSET, UnsetType

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind, Snapshot
from rowanrail.consensus.state_machine import StateMachine
from rowanrail.coordination.changes import DirectoryChange, GatewayChange, MemberChange
from rowanrail.coordination.commands import (
    Announce,
    Command,
    ForgetLogs,
    IntendPromotion,
    Promotion,
    PutDocument,
    RaiseFeatureLevel,
    Readmit,
    Remove,
    ReplaceLife,
    SetEvacuation,
    SetGateways,
    SetPlan,
    SettleOrders,
)
from rowanrail.coordination.evacuations import changed_evacuations
from rowanrail.coordination.feature_level import ORDERS_LEVEL, ORPHANED_LOGS_LEVEL
from rowanrail.coordination.history import DirectoryHistory
from rowanrail.coordination.holders import RankedHolders
from rowanrail.coordination.lives import LifeOrder, compare_starts, life_order
from rowanrail.coordination.messages import PutOutcome, PutReply
from rowanrail.coordination.orphaned_logs import OrphanedLog, OrphanedLogs
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.promotion_orders import PromotionOrders
from rowanrail.directory.messages import NO_EVACUATIONS, Evacuations, GatewayRecord
from rowanrail.model.members import MemberRecord, is_same_life
from rowanrail.scheduling.plan import NO_PLAN, Plan

MAX_REMOVED = 2000  # instances kept to reject late announcements, which are only seconds old

MAX_EARLIER_STARTS = 2000  # members kept whose earlier life is known

MAX_DISPLACED = 200  # records kept for readmission; a running member announces within seconds


class StateSnapshot(msgspec.Struct, frozen=True):
    """The whole state, as stored in a snapshot.

    Fields of a feature level above 0 are not encoded until they are used, so that a node of the
    version before reads the snapshot.

    Parameters
    ----------
    ended_starts : dict of str to int, or UnsetType
        Start of the life that ended last, for those in ``removed`` that told one.
    earlier_starts : dict of str to int, or UnsetType
        Start of the life before the present one, for members that started again; 0 if not reported.
    orphaned_logs : list of OrphanedLog, or UnsetType
        Logs of members that are gone, which no member has taken over.
    orders : dict of str to dict, or UnsetType
        Members named by promotions that may still be carried out, by service and fencing token.
    """

    version: int
    document: bytes
    revision: int
    members: dict[str, MemberRecord]
    removed: list[str]
    gateways: dict[str, GatewayRecord]
    promotions: dict[str, Promotion]
    displaced: dict[str, MemberRecord] = {}
    plan: Plan = NO_PLAN
    feature_level: int | UnsetType = UNSET
    evacuations: Evacuations | UnsetType = UNSET
    ended_starts: dict[str, int] | UnsetType = UNSET
    earlier_starts: dict[str, int] | UnsetType = UNSET
    orphaned_logs: list[OrphanedLog] | UnsetType = UNSET
    orders: dict[str, dict[int, str]] | UnsetType = UNSET


EMPTY_STATE = StateSnapshot(0, b"", 0, {}, [], {}, {})


class CoordinationState(StateMachine):
    """Applies the log's commands.

    ``revision`` is the log index of the last change of members or gateways. It is the same on all
    nodes, so that gateways can compare the directories of different nodes. ``urgent_revision`` is
    the index of the last change of which gateways are notified at once; it is set to ``revision``
    after a snapshot, which may contain such a change.
    """

    def __init__(
        self, monotonic: VersionMonotonic, incarnation: IncarnationCheck, fence: FencingToken
    ) -> None:
        self._monotonic = monotonic
        self._incarnation = incarnation
        self._fence = fence
        self._restore(EMPTY_STATE)

    def _restore(self, saved: StateSnapshot) -> None:
        self.version = saved.version
        self.document = saved.document
        self.revision = saved.revision
        self.urgent_revision = saved.revision
        self._change = DirectoryChange(saved.revision)
        self.members = dict(saved.members)
        self.leaving = {name: known for name, known in self.members.items() if known.leaving}
        self._at_address = {known.address: known.instance for known in self.members.values()}
        ended = saved.ended_starts or {}
        self.removed = {instance: ended.get(instance, 0) for instance in saved.removed}
        self.earlier_starts = dict(saved.earlier_starts or {})
        self.orphaned_logs = OrphanedLogs(saved.orphaned_logs or ())
        # Not in the snapshot: only a leader asks, for members that joined while it led.
        self._successors: dict[tuple[str, int], None] = {}
        self.gateways = dict(saved.gateways)
        self.promotions = dict(saved.promotions)
        self.orders = PromotionOrders(saved.orders or {})
        self.displaced = dict(saved.displaced)
        self.plan = saved.plan
        self.feature_level = saved.feature_level or 0
        self.evacuations = saved.evacuations or NO_EVACUATIONS
        self.holders = RankedHolders(self.members.values(), self.gateways.values())
        self.history = DirectoryHistory(
            saved.revision, self.members.values(), self.gateways.values(), self.holders.records
        )

    def replayed(self, snapshot: Snapshot | None, entries: list[Entry]) -> "CoordinationState":
        """Return a new state after a snapshot and entries, committed or not."""
        replayed = CoordinationState(self._monotonic, self._incarnation, self._fence)
        if snapshot is not None:
            replayed.restore(snapshot.data)
        for entry in entries:
            replayed.apply(entry)
        return replayed

    def snapshot(self) -> bytes:
        """Return the whole state, encoded as :class:`StateSnapshot`."""
        is_stored = self.feature_level >= ORPHANED_LOGS_LEVEL
        saved = StateSnapshot(
            self.version,
            self.document,
            self.revision,
            self.members,
            list(self.removed),
            self.gateways,
            self.promotions,
            self.displaced,
            self.plan,
            self.feature_level or UNSET,
            self.evacuations if self.evacuations.revision else UNSET,
            {instance: start for instance, start in self.removed.items() if start} or UNSET,
            self.earlier_starts or UNSET,
            self.orphaned_logs.logs if is_stored and self.orphaned_logs else UNSET,
            (self.feature_level >= ORDERS_LEVEL and self.orders.named) or UNSET,
        )
        return msgspec.msgpack.encode(saved)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        if data:  # the first snapshot of a new system is empty
            self._restore(msgspec.msgpack.decode(data, type=StateSnapshot))
        else:
            self._restore(EMPTY_STATE)

    def apply(self, entry: Entry) -> object:
        """Apply a committed entry and return the result of its command, if it has one."""
        if entry.kind is not EntryKind.COMMAND:
            return None
        command = msgspec.msgpack.decode(entry.data, type=Command)
        if isinstance(command, PutDocument):
            return self._put(command)
        if isinstance(command, IntendPromotion):
            token = self._fence.token(entry.index)
            promotion = Promotion(command.instance, token, command.former)
            self.promotions[command.service] = promotion
            self.orders.add(command.service, command.instance, token)
            return promotion
        if isinstance(command, SetPlan):
            return self._set_plan(command, entry.index)
        if isinstance(command, RaiseFeatureLevel):
            self.feature_level = max(self.feature_level, command.level)
            return None
        if isinstance(command, SetEvacuation):
            self.evacuations = changed_evacuations(self.evacuations, command, entry.index)
            return None
        if isinstance(command, ForgetLogs):
            self.orphaned_logs.forget(command.logs)
            return None
        if isinstance(command, SettleOrders):
            self.orders.settle(command.service, command.token)
            return None
        self._change = DirectoryChange(entry.index)
        if self._change_directory(command):
            self.revision = entry.index
            self.history.add(self._change, self.holders.apply(self._change))
            if self._change.is_urgent:
                self.urgent_revision = entry.index
        return None

    def _put(self, command: PutDocument) -> PutReply:
        if not self._monotonic.accepts(self.version, command.version):
            return PutReply(PutOutcome.NOT_NEWER, self.version)
        self.version = command.version
        self.document = command.document
        return PutReply(PutOutcome.ACCEPTED, self.version)

    def _set_plan(self, command: SetPlan, index: int) -> bool:
        """Replace the plan if the new one is based on the plan in force; return whether it was."""
        if command.base != self.plan.number:
            return False
        self.plan = Plan(index, command.groups, command.addresses)
        return True

    def _change_directory(
        self, command: Announce | Remove | Readmit | ReplaceLife | SetGateways
    ) -> bool:
        match command:
            case SetGateways():
                return self._set_gateways(command)
            case Readmit(record=record):
                return self._readmit(record)
            case Remove():
                return self._remove(command.instance, command.start_ms or 0)
            case Announce(record=record):
                return self._announce(record)
            case ReplaceLife(record=record):
                return self._replace_life(record)

    def _set_gateways(self, command: SetGateways) -> bool:
        names = dict.fromkeys([*command.absent, *(gateway.name for gateway in command.present)])
        before = {name: self.gateways.get(name) for name in names}
        for name in command.absent:
            self.gateways.pop(name, None)
        for gateway in command.present:
            self.gateways[gateway.name] = gateway
        steps = [GatewayChange(known, self.gateways.get(name)) for name, known in before.items()]
        self._change.gateways = [step for step in steps if step.before != step.after]
        return bool(self._change.gateways)

    @property
    def groups(self) -> int:
        """Number of zones, or regions if those share connections, that have a gateway."""
        return self.holders.group_count

    def _announce(self, record: MemberRecord) -> bool:
        if not self.needs_announcement(record):
            return False
        self._assign_address(record)
        return True

    def _readmit(self, record: MemberRecord) -> bool:
        if not self.may_readmit(record):
            return False
        self._assign_address(record)
        return True

    def _replace_life(self, record: MemberRecord) -> bool:
        if self.order_of(record) is not LifeOrder.UNPROVEN or self.is_over(record):
            return False  # what is known changed after the command was proposed
        self._assign_address(record)
        return True

    def _remove(self, instance: str, start: int) -> bool:
        """Remove a member, unless the life that ended is known to be an earlier one.

        In doubt which life ended, the known one may be readmitted once it announces itself again.
        """
        known = self.members.get(instance) or self.displaced.get(instance)
        if known is None:
            self._remember_removed(instance, max(start, self.removed.get(instance, 0)))
            return False
        if self.is_earlier_start(instance, start) or self._is_other_ended(known, start):
            return False
        if self._is_end_doubtful(known, start):
            self._remember_displaced(known)
        else:
            self.displaced.pop(instance, None)
        if instance in self.members:
            self.orphaned_logs.add(known, is_handed_over=True)
        self._remember_removed(instance, start or known.started_ms)
        return self._drop_member(instance)

    def _is_other_ended(self, known: MemberRecord, start: int) -> bool:
        is_ended = start > 0 and start == self.removed.get(known.instance)
        return is_ended and start != known.started_ms and known.instance in self.members

    def _is_end_doubtful(self, known: MemberRecord, start: int) -> bool:
        if not known.started_ms or known.leaving:
            return False
        if start:
            return start < known.started_ms
        return known.instance in self.earlier_starts

    def _assign_address(self, record: MemberRecord) -> None:
        """Add or update a member; displace another one at its address."""
        self._note_start(record)
        occupant = self.member_at_address(record)
        if occupant is not None:
            self.orphaned_logs.add(occupant, is_handed_over=occupant.leaving)
            self._drop_member(occupant.instance)
            self._remember_removed(occupant.instance, occupant.started_ms)
            if not occupant.leaving:
                self._remember_displaced(occupant)
        if record.instance not in self.members and self.orphaned_logs.take_over(record):
            self._remember_successor(record)
        if record.primary:
            self.orders.note_primary(record.service, record.instance)
            self._demote_others(record)
        self._set_member(record)

    def _remember_successor(self, record: MemberRecord) -> None:
        self._successors[record.instance, record.started_ms] = None
        if len(self._successors) > MAX_REMOVED:
            del self._successors[next(iter(self._successors))]

    def has_taken_over_log(self, record: MemberRecord) -> bool:
        """Return whether a life of a member began with the log of one that was gone."""
        return (record.instance, record.started_ms) in self._successors

    def _note_start(self, record: MemberRecord) -> None:
        """Remember the start of the life that a record replaces."""
        instance = record.instance
        known = self.members.get(instance) or self.displaced.pop(instance, None)
        ended = self.removed.get(instance)
        if known is not None and not is_same_life(known, record):
            self._remember_earlier(instance, known.started_ms)
            if known.leaving and known.started_ms:
                self._remember_removed(instance, known.started_ms)
        elif known is None and ended is not None:
            self._remember_earlier(instance, ended)
        if self.removed.get(instance) in (0, record.started_ms):
            del self.removed[instance]

    def _remember_earlier(self, instance: str, start: int) -> None:
        self.earlier_starts.pop(instance, None)
        self.earlier_starts[instance] = start
        if len(self.earlier_starts) > MAX_EARLIER_STARTS:
            del self.earlier_starts[next(iter(self.earlier_starts))]

    def _set_member(self, record: MemberRecord) -> None:
        step = MemberChange(self.members.get(record.instance), record)
        if step.before is not None:
            self._leave_address(step.before)
        self.members[record.instance] = record
        if record.leaving:
            self.leaving[record.instance] = record
        else:
            self.leaving.pop(record.instance, None)
        self._at_address[record.address] = record.instance
        self._change.members.append(step)

    def _drop_member(self, instance: str) -> bool:
        record = self.members.pop(instance, None)
        self.leaving.pop(instance, None)
        if record is not None:
            self._leave_address(record)
            self._change.members.append(MemberChange(record, None))
        return record is not None

    def _leave_address(self, record: MemberRecord) -> None:
        if self._at_address.get(record.address) == record.instance:
            del self._at_address[record.address]

    def member_at_address(self, record: MemberRecord) -> MemberRecord | None:
        """Return the other member at a member's address, None if there is none."""
        instance = self._at_address.get(record.address, record.instance)
        return None if instance == record.instance else self.members.get(instance)

    def order_of(self, record: MemberRecord) -> LifeOrder:
        """Return how the life of an announcement relates to the known one of its instance."""
        instance, start = record.instance, record.started_ms
        if self.is_earlier_start(instance, start) or self.is_over(record):
            return LifeOrder.UNPROVEN
        known = self.members.get(instance) or self.displaced.get(instance)
        if known is not None:
            return life_order(record, known)
        return compare_starts(start, self.removed.get(instance, start))

    def is_earlier_start(self, instance: str, start: int) -> bool:
        """Return whether a start is that of the life before the present one."""
        return start > 0 and start == self.earlier_starts.get(instance)

    def is_over(self, record: MemberRecord) -> bool:
        """Return whether an announcement is of a life, known by its start, that was removed.

        A displaced life may be readmitted.
        """
        known = self.displaced.get(record.instance)
        if not record.started_ms or (known and known.started_ms == record.started_ms):
            return False
        return self.removed.get(record.instance) == record.started_ms

    def has_ended(self, instance: str, start: int = 0) -> bool:
        """Return whether a member's life, or any of its lives, was removed permanently.

        A displaced member may be readmitted.
        """
        ended = self.removed.get(instance)
        if ended is None or instance in self.displaced or instance in self.members:
            return False
        return start <= ended

    def may_readmit(self, record: MemberRecord) -> bool:
        """Return whether a record is a later announcement of a displaced member.

        A member that leaves, or announced its end, is not readmitted.
        """
        known = self.displaced.get(record.instance)
        if known is None or record.leaving or life_order(record, known) is not LifeOrder.SAME:
            return False
        return record.sequence > known.sequence

    def _demote_others(self, record: MemberRecord) -> None:
        # A service has one primary. The former one may be cut off and unable to announce that it
        # no longer leads.
        before = self.members.get(record.instance)
        if before is not None and before.primary and before.service == record.service:
            return
        for known in list(self.members.values()):
            if known.instance == record.instance:
                continue
            if known.service == record.service and known.primary:
                self._set_member(msgspec.structs.replace(known, primary=False))

    def _remember_removed(self, instance: str, start: int) -> None:
        self.removed[instance] = start
        if len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]

    def _remember_displaced(self, record: MemberRecord) -> None:
        self.displaced[record.instance] = record
        if len(self.displaced) > MAX_DISPLACED:
            del self.displaced[next(iter(self.displaced))]

    def needs_announcement(self, record: MemberRecord) -> bool:
        """Return whether a record is newer than the known one and differs from it, or is new."""
        instance = record.instance
        if self.is_earlier_start(instance, record.started_ms) or self.is_over(record):
            return False
        if instance in self.displaced:
            return life_order(record, self.displaced[instance]) is LifeOrder.LATER
        return self._incarnation.is_update(
            record, self.members.get(instance), self.removed.get(instance)
        )
