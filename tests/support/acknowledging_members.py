"""Stand-in members of a service whose commits are acknowledged once a replica has received them."""

from collections.abc import Callable
from typing import Any

from tests.support.line_member import Group, Member, MemberConnection

__all__ = ["AcknowledgingGroup", "AcknowledgingMember"]

COMMITTED = ("DONE sig.write", "DONE sig.commit")


class AcknowledgingGroup(Group):
    """A group that answers a commit once ``sync_replicas`` replicas have received it."""

    sync_replicas = 1

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self._waiting: list[tuple[int, Callable[[], None]]] = []  # length of the log, answer
        self.promoted: list[str] = []

    def when_acknowledged(self, length: int, answer: Callable[[], None]) -> None:
        """Call ``answer`` once enough replicas have a log of this length."""
        self._waiting.append((length, answer))
        self.acknowledge()

    def acknowledge(self) -> None:
        """Answer the commits that enough replicas have received."""
        waiting, self._waiting = self._waiting, []
        for length, answer in waiting:
            holding = sum(
                not member.is_primary and len(member.log) >= length
                for member in self.members.values()
            )
            if holding >= self.sync_replicas:
                answer()
            else:
                self._waiting.append((length, answer))

    def promote(self, instance: str) -> None:
        self.promoted.append(instance)
        self._waiting.clear()
        super().promote(instance)
        for member in self.members.values():
            member.replication_paused = False


class AcknowledgingMember(Member):
    """A member whose replication can be interrupted."""

    receives = True

    @property
    def values(self) -> list[str]:
        """The values that its log has, in order."""
        return [value for _, writes in self.log for _, value in writes]

    def receive(self, log: list[Any], term: int) -> None:
        if self.receives:
            super().receive(log, term)
            assert isinstance(self.group, AcknowledgingGroup)
            self.group.acknowledge()


class AcknowledgingConnection(MemberConnection):
    """Delays the answer to a commit, and can pause replication."""

    def ready(self, lines: list[str]) -> None:
        if self.state != "I" or not lines or lines[0] not in COMMITTED:
            super().ready(lines)
            return
        group = self.member.group
        assert isinstance(group, AcknowledgingGroup)
        answer = super().ready
        group.when_acknowledged(len(self.member.log), lambda: answer(lines))

    def run_pause(self, words: list[str]) -> list[str]:
        if not self.member.is_primary and int(words[0]) > self.member.term:
            self.member.replication_paused = True
        return self.run_status([])

    def run_resume(self, words: list[str]) -> list[str]:
        self.member.replication_paused = False
        return self.run_status([])


AcknowledgingMember.connection_type = AcknowledgingConnection
