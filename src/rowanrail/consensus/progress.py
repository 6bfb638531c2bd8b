"""What a leader knows of the other nodes, and the reads that wait for their answers.

For Raft. Owns the indexes and times of answers by node; no clock of its own.
"""

from collections.abc import Callable, ItemsView, Iterable

import msgspec

from rowanrail.consensus.messages import Membership

# Seconds on the steady clock, before any process started: the time of what has not happened yet.
NEVER_SECONDS = -1e9


class Progress(msgspec.Struct):
    """What a leader knows of another node."""

    next_index: int
    match: int = 0
    in_flight: int = 0
    answered_at: float = 0.0
    sent_at: float = 0.0
    round: int = 0


class ProgressTable:
    """Progress of each other node, by node id."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._progress: dict[str, Progress] = {}

    def clear(self) -> None:
        """Forget everything, at the beginning of a term."""
        self._progress = {}

    def set_members(self, membership: Membership, last_index: int, now: float) -> None:
        """Know exactly the other nodes of a membership."""
        members = membership.addresses()
        for peer in members:
            if peer != self._node and peer not in self._progress:
                self._progress[peer] = Progress(last_index + 1, answered_at=now)
        for peer in list(self._progress):
            if peer not in members:
                del self._progress[peer]

    def get(self, peer: str) -> Progress | None:
        """Return the progress of a node, None if it is unknown."""
        return self._progress.get(peer)

    def items(self) -> ItemsView[str, Progress]:
        """Return all nodes with their progress."""
        return self._progress.items()

    def match_index(self, peer: str) -> int:
        """Return the last index that a node is known to hold."""
        progress = self._progress.get(peer)
        return progress.match if progress else 0

    def last_round(self, peer: str) -> int:
        """Return the last round that a node has answered."""
        progress = self._progress.get(peer)
        return progress.round if progress else 0

    def seconds_since_reply(self, peer: str, now: float) -> float:
        """Return how long ago a node last answered."""
        progress = self._progress.get(peer)
        return now - progress.answered_at if progress else float("inf")

    def quorum_reply_time(self, voters: Iterable[str], now: float) -> float:
        """Return since when a majority of the voters has answered, the node itself included.

        Parameters
        ----------
        voters : iterable of str
            Ids of the nodes that vote.
        now : float
            The steady time in seconds; the node itself answers at any time.

        Returns
        -------
        float
            Moment of the oldest of the newest answers that make up a majority.
        """
        answers = [now if peer == self._node else self._reply_time(peer) for peer in voters]
        answers.sort(reverse=True)
        return answers[len(answers) // 2] if answers else NEVER_SECONDS

    def _reply_time(self, peer: str) -> float:
        progress = self._progress.get(peer)
        return progress.answered_at if progress else NEVER_SECONDS

    def count_replied_since(self, voters: Iterable[str], since: float) -> int:
        """Return how many voters have answered since a moment, the node itself included."""
        answered = sum(
            1 for peer in voters if peer != self._node and self._progress[peer].answered_at >= since
        )
        return answered + (self._node in voters)


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits for a majority to confirm the leader."""

    token: int
    index: int
    round: int


class PendingReads:
    """Reads by the round of messages whose answers confirm them (read index)."""

    def __init__(self) -> None:
        self.round = 0
        self._reads: list[PendingRead] = []

    def add(self, token: int, index: int) -> None:
        """Begin a new round for a read."""
        self.round += 1
        self._reads.append(PendingRead(token, index, self.round))

    def pop_confirmed(self, is_confirmed: Callable[[int], bool]) -> list[tuple[int, int]]:
        """Return and forget the reads whose round is confirmed, with their index."""
        confirmed = [read for read in self._reads if is_confirmed(read.round)]
        self._reads = [read for read in self._reads if read not in confirmed]
        return [(read.token, read.index) for read in confirmed]

    def pop_all(self) -> list[int]:
        """Return and forget all reads."""
        tokens = [read.token for read in self._reads]
        self._reads = []
        return tokens
