"""The replicated state: configuration, members, promotions. Depends on the log only."""

import msgspec

from rowanrail.consensus.messages import Entry, EntryKind, Snapshot
from rowanrail.consensus.node import StateMachine
from rowanrail.control.policies import VersionMonotonic
from rowanrail.coordination.messages import (
    Announce,
    Command,
    GatewayRecord,
    IntendPromotion,
    Promotion,
    PutDocument,
    PutReply,
    PutVerdict,
    Remove,
    SetGateways,
)
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.gateway.model import MemberRecord

REMEMBERED_REMOVED = 2000  # identities; a late word of a removed member is seconds old


class SavedState(msgspec.Struct, frozen=True):
    """The whole state, as it stands in a snapshot."""

    version: int
    document: bytes
    revision: int
    members: dict[str, MemberRecord]
    removed: list[str]
    gateways: dict[str, GatewayRecord]
    promotions: dict[str, Promotion]


EMPTY_STATE = SavedState(0, b"", 0, {}, [], {}, {})


class CoordinationState(StateMachine):
    """Applies the log's commands.

    ``revision`` is the place in the log of the last change of members or gateways. It is the
    same on every node, so that a gateway can compare what different nodes tell it.
    """

    def __init__(
        self, monotonic: VersionMonotonic, incarnation: IncarnationCheck, fence: FencingToken
    ) -> None:
        self._monotonic = monotonic
        self._incarnation = incarnation
        self._fence = fence
        self._restore(EMPTY_STATE)

    def _restore(self, saved: SavedState) -> None:
        self.version = saved.version
        self.document = saved.document
        self.revision = saved.revision
        self.members = dict(saved.members)
        self.removed = dict.fromkeys(saved.removed)
        self.gateways = dict(saved.gateways)
        self.promotions = dict(saved.promotions)

    def replayed(self, snapshot: Snapshot | None, entries: list[Entry]) -> "CoordinationState":
        """Return a state of its own to which a log leads, committed or not."""
        replayed = CoordinationState(self._monotonic, self._incarnation, self._fence)
        if snapshot is not None:
            replayed.restore(snapshot.data)
        for entry in entries:
            replayed.apply(entry)
        return replayed

    def snapshot(self) -> bytes:
        """See :meth:`StateMachine.snapshot`."""
        saved = SavedState(
            self.version,
            self.document,
            self.revision,
            self.members,
            list(self.removed),
            self.gateways,
            self.promotions,
        )
        return msgspec.msgpack.encode(saved)

    def restore(self, data: bytes) -> None:
        """See :meth:`StateMachine.restore`."""
        if data:  # the snapshot that a new system begins with is empty
            self._restore(msgspec.msgpack.decode(data, type=SavedState))
        else:
            self._restore(EMPTY_STATE)

    def apply(self, entry: Entry) -> object:
        """See :meth:`StateMachine.apply`."""
        if entry.kind is not EntryKind.COMMAND:
            return None
        command = msgspec.msgpack.decode(entry.data, type=Command)
        if isinstance(command, PutDocument):
            return self._put(command)
        if isinstance(command, IntendPromotion):
            promotion = Promotion(command.instance, self._fence.token(entry.index))
            self.promotions[command.service] = promotion
            return promotion
        if self._change_directory(command):
            self.revision = entry.index
        return None

    def _put(self, command: PutDocument) -> PutReply:
        if not self._monotonic.accepts(self.version, command.version):
            return PutReply(PutVerdict.HELD, self.version)
        self.version = command.version
        self.document = command.document
        return PutReply(PutVerdict.TAKEN, self.version)

    def _change_directory(self, command: Announce | Remove | SetGateways) -> bool:
        match command:
            case SetGateways():
                return self._set_gateways(command)
            case Remove(instance=instance):
                self._remember_removed(instance)
                return self.members.pop(instance, None) is not None
            case Announce(record=record):
                return self._announce(record)

    def _set_gateways(self, command: SetGateways) -> bool:
        before = dict(self.gateways)
        for name in command.absent:
            self.gateways.pop(name, None)
        for gateway in command.present:
            self.gateways[gateway.name] = gateway
        return self.gateways != before

    @property
    def groups(self) -> int:
        """Number of zones, or regions if those share connections, that have a gateway."""
        return len({gateway.sharing_group for gateway in self.gateways.values()})

    def _announce(self, record: MemberRecord) -> bool:
        if not self.needs_announcement(record):
            return False
        for known in list(self.members.values()):
            if known.address == record.address and known.instance != record.instance:
                # The address is in use again: whoever had it before is gone.
                del self.members[known.instance]
                self._remember_removed(known.instance)
        if record.primary:
            self._demote_others(record)
        self.members[record.instance] = record
        return True

    def _demote_others(self, record: MemberRecord) -> None:
        # A service has one primary: whoever says so last in the log replaced the one before,
        # which may be cut off and unable to say anything.
        for known in self.members.values():
            if known.service == record.service and known.primary:
                demoted = msgspec.structs.replace(known, primary=False)
                self.members[known.instance] = demoted

    def _remember_removed(self, instance: str) -> None:
        self.removed[instance] = None
        if len(self.removed) > REMEMBERED_REMOVED:
            del self.removed[next(iter(self.removed))]

    def needs_announcement(self, record: MemberRecord) -> bool:
        """Return whether a record says something new, and did not come late."""
        known = self.members.get(record.instance)
        return self._incarnation.is_news(record, known, record.instance in self.removed)
