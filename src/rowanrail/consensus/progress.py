"""A leader's view of the other nodes' replication, and its pending linearizable reads.

Times are seconds of the monotonic clock and are passed in by the caller.
"""

from collections.abc import Callable, ItemsView, Iterable

import msgspec

from rowanrail.consensus.messages import Membership

# Monotonic time in seconds that stands for an event that has not happened.
NEVER_SECONDS = -1e9


class Progress(msgspec.Struct):
    """Replication progress of another node, as the leader sees it.

    :param next_index: index of the next entry to send.
    :param match: last index that the node is known to hold.
    :param in_flight: number of messages with entries, or of snapshots, not yet answered.
    :param answered_at: time of the node's last reply.
    :param sent_at: time at which entries or a snapshot were last sent.
    :param round: last heartbeat round that the node answered.
    """

    next_index: int
    match: int = 0
    in_flight: int = 0
    answered_at: float = 0.0
    sent_at: float = 0.0
    round: int = 0


class ProgressTable:
    """Replication progress of the other nodes by node id."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._progress: dict[str, Progress] = {}

    def clear(self) -> None:
        """Remove all progress, at the start of a term."""
        self._progress = {}

    def set_members(self, membership: Membership, last_index: int, now: float) -> None:
        """Track exactly the other nodes of ``membership``; new ones start after ``last_index``."""
        members = membership.addresses()
        for peer in members:
            if peer != self._node and peer not in self._progress:
                self._progress[peer] = Progress(last_index + 1, answered_at=now)
        for peer in list(self._progress):
            if peer not in members:
                del self._progress[peer]

    def get(self, peer: str) -> Progress | None:
        """Return the progress of a node, or None if it is not tracked."""
        return self._progress.get(peer)

    def items(self) -> ItemsView[str, Progress]:
        """Return the tracked nodes with their progress."""
        return self._progress.items()

    def match_index(self, peer: str) -> int:
        """Return the last index that a node is known to hold; 0 if unknown."""
        progress = self._progress.get(peer)
        return progress.match if progress else 0

    def last_round(self, peer: str) -> int:
        """Return the last heartbeat round that a node answered; 0 if unknown."""
        progress = self._progress.get(peer)
        return progress.round if progress else 0

    def seconds_since_reply(self, peer: str, now: float) -> float:
        """Return the seconds since a node last replied; infinity if it is not tracked."""
        progress = self._progress.get(peer)
        return now - progress.answered_at if progress else float("inf")

    def quorum_reply_time(self, voters: Iterable[str], now: float) -> float:
        """Return the latest time since which a majority of voters has replied, this node included.

        Parameters
        ----------
        voters : iterable of str
            Ids of the voters.
        now : float
            Monotonic time in seconds, which is also this node's own reply time.

        Returns
        -------
        float
            Oldest reply time among the most recent majority, in seconds; ``NEVER_SECONDS``
            without voters.
        """
        answers = [now if peer == self._node else self._reply_time(peer) for peer in voters]
        answers.sort(reverse=True)
        return answers[len(answers) // 2] if answers else NEVER_SECONDS

    def _reply_time(self, peer: str) -> float:
        progress = self._progress.get(peer)
        return progress.answered_at if progress else NEVER_SECONDS

    def count_replied_since(self, voters: Iterable[str], since: float) -> int:
        """Return how many voters replied since ``since``, including this node if it votes."""
        answered = sum(
            1 for peer in voters if peer != self._node and self._progress[peer].answered_at >= since
        )
        return answered + (self._node in voters)


class PendingRead(msgspec.Struct, frozen=True):
    """Read that waits for a majority to confirm the leader.

    :param index: commit index at the time of the request.
    :param round: heartbeat round whose replies confirm the read.
    """

    token: int
    index: int
    round: int


class PendingReads:
    """Pending reads of the ReadIndex protocol, each confirmed by a heartbeat round."""

    def __init__(self) -> None:
        self.round = 0
        self._reads: list[PendingRead] = []

    def add(self, token: int, index: int) -> None:
        """Add a read in a new heartbeat round."""
        self.round += 1
        self._reads.append(PendingRead(token, index, self.round))

    def pop_confirmed(self, is_confirmed: Callable[[int], bool]) -> list[tuple[int, int]]:
        """Remove the confirmed reads and return their tokens and read indexes."""
        confirmed = [read for read in self._reads if is_confirmed(read.round)]
        self._reads = [read for read in self._reads if read not in confirmed]
        return [(read.token, read.index) for read in confirmed]

    def pop_all(self) -> list[int]:
        """Remove all reads and return their tokens."""
        tokens = [read.token for read in self._reads]
        self._reads = []
        return tokens
