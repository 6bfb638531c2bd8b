"""Stand-in members of a service whose commits are acknowledged once replicas have received them."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tests.support.line_member import Group, Member, MemberConnection

__all__ = [
    "AcknowledgingConnection",
    "AcknowledgingGroup",
    "AcknowledgingMember",
    "ReplacedPrimary",
]


class ReplacedPrimary(enum.Enum):
    """What a replaced primary does with commits that wait for replicas."""

    SILENT = "never answers them"
    DISCONNECTS = "closes their connections"
    REPORTS_SUCCESS = "reports success, although they are rolled back"


@dataclass
class WaitingCommit:
    """A commit that too few replicas have received."""

    length: int  # of the log with it
    answer: Callable[[], None]
    disconnect: Callable[[], None]


class AcknowledgingGroup(Group):
    """A group that answers a commit once ``sync_replicas`` replicas have received it.

    With 0 it is a :class:`~tests.support.line_member.Group` as any other.
    """

    sync_replicas = 1
    replaced_primary = ReplacedPrimary.SILENT

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self._waiting: list[WaitingCommit] = []
        self.acknowledged: set[str] = set()  # values
        self.promoted: list[str] = []

    @property
    def waiting(self) -> int:
        """Number of commits that wait for replicas."""
        return len(self._waiting)

    def add_waiting(self, commit: WaitingCommit) -> None:
        """Answer a commit once enough replicas have it."""
        self._waiting.append(commit)
        self.acknowledge()

    def acknowledge(self) -> None:
        """Answer the commits that enough replicas have received."""
        waiting, self._waiting = self._waiting, []
        for commit in waiting:
            holding = sum(
                not member.is_primary and len(member.log) >= commit.length
                for member in self.members.values()
            )
            if holding >= self.sync_replicas:
                _, writes = self.primary.log[commit.length - 1]
                self.acknowledged.update(value for _, value in writes)
                commit.answer()
            else:
                self._waiting.append(commit)

    def take_unacknowledged(self) -> list[WaitingCommit]:
        """Return the commits that wait, for :meth:`end_unacknowledged`; they wait no longer."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def end_unacknowledged(self, commits: list[WaitingCommit]) -> None:
        """Treat the commits of a replaced primary as ``replaced_primary`` says."""
        for commit in commits:
            match self.replaced_primary:
                case ReplacedPrimary.REPORTS_SUCCESS:
                    commit.answer()
                case ReplacedPrimary.DISCONNECTS:
                    commit.disconnect()

    def replicate(self) -> None:
        """Send the log of the primary, if one runs, to the members that receive."""
        if not self.sync_replicas:
            return
        primary = next((m for m in self.members.values() if m.is_primary), None)
        if isinstance(primary, AcknowledgingMember) and primary.is_running:
            log = list(primary.log)
            for member in self.members.values():
                member.receive(log, self.term)

    def promote(self, instance: str) -> None:
        member = self.members.get(instance)
        if not isinstance(member, AcknowledgingMember) or not member.is_running:
            return
        self.promoted.append(instance)
        replaced = [] if member.is_primary else self.take_unacknowledged()
        super().promote(instance)
        for other in self.members.values():
            other.replication_paused = False
        self.replicate()
        self.end_unacknowledged(replaced)


class AcknowledgingMember(Member):
    """A member whose replication can be interrupted by a test, and paused by commands."""

    receives = True
    is_running = False

    @property
    def values(self) -> list[str]:
        """The values that its log has, in order."""
        return [value for _, writes in self.log for _, value in writes]

    @property
    def acknowledging_group(self) -> AcknowledgingGroup:
        assert isinstance(self.group, AcknowledgingGroup)
        return self.group

    async def start(self) -> None:
        self.is_running = True
        self.replication_paused = False
        await super().start()
        self.acknowledging_group.replicate()

    def stop(self) -> None:
        self.is_running = False
        super().stop()

    def receive(self, log: list[Any], term: int) -> None:
        if self.receives and (self.is_running or not self.acknowledging_group.sync_replicas):
            super().receive(log, term)
            self.acknowledging_group.acknowledge()

    def demote(self, term: int) -> None:
        group = self.acknowledging_group
        is_replaced = self.is_primary and term > self.term
        replaced = group.take_unacknowledged() if is_replaced else []
        super().demote(term)
        group.end_unacknowledged(replaced)


class AcknowledgingConnection(MemberConnection):
    """Delays the answer to a commit, and can pause replication."""

    has_committed = False  # by the line that is answered next

    def run(self, text: str) -> list[str]:
        length = len(self.member.log)
        lines = super().run(text)
        self.has_committed = len(self.member.log) > length
        return lines

    def ready(self, lines: list[str]) -> None:
        group = self.member.group
        has_committed, self.has_committed = self.has_committed, False
        if not has_committed or not isinstance(group, AcknowledgingGroup):
            super().ready(lines)
            return
        answer = super().ready
        group.add_waiting(
            WaitingCommit(len(self.member.log), lambda: answer(lines), self.transport.abort)
        )

    def run_pause(self, words: list[str]) -> list[str]:
        if not self.member.is_primary and int(words[0]) > self.member.term:
            self.member.replication_paused = True
        return self.run_status([])

    def run_resume(self, words: list[str]) -> list[str]:
        self.member.replication_paused = False
        group = self.member.group
        if isinstance(group, AcknowledgingGroup):
            group.replicate()
        return self.run_status([])


AcknowledgingMember.connection_type = AcknowledgingConnection
