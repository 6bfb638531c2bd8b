"""Requests to a node of the replicated log that wait: for an entry, a read, or an index.

For :class:`rowanrail.consensus.node.ConsensusNode`, which settles them as effects are carried out.
Owns the futures; relies on the event loop. No I/O and no knowledge of Raft.
"""

import asyncio

from rowanrail.consensus.errors import SupersededError
from rowanrail.consensus.messages import Entry
from rowanrail.kernel.errors import RowanrailError

__all__ = ["PendingRequests"]


class PendingRequests:
    """Futures of a node's callers."""

    def __init__(self) -> None:
        self._proposals: dict[int, tuple[int, asyncio.Future[object]]] = {}
        self._reads: dict[int, asyncio.Future[int]] = {}
        self._last_read_token = 0
        self._applied_waiters: list[tuple[int, asyncio.Future[None]]] = []

    @property
    def has_proposals(self) -> bool:
        """Whether anybody waits for an entry."""
        return bool(self._proposals)

    def wait_entry(self, entry: Entry) -> "asyncio.Future[object]":
        """Return a future of what the state machine returns for an entry."""
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._proposals[entry.index] = (entry.term, future)
        return future

    def wait_read(self) -> "tuple[int, asyncio.Future[int]]":
        """Return a token for a read, and a future of the index that it must see."""
        self._last_read_token += 1
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._reads[self._last_read_token] = future
        return self._last_read_token, future

    def wait_applied(self, index: int) -> "asyncio.Future[None]":
        """Return a future that is done once the entry at ``index`` has been applied."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._applied_waiters.append((index, future))
        return future

    def discard_read(self, token: int) -> None:
        """Forget a read that nobody waits for any more."""
        self._reads.pop(token, None)

    def resolve_entry(self, entry: Entry, result: object) -> None:
        """Answer whoever proposed the entry that was applied at its index.

        Who proposed another entry there learns that it was lost for good.
        """
        pending = self._proposals.pop(entry.index, None)
        if pending is None or pending[1].done():
            return
        term, future = pending
        if term == entry.term:
            future.set_result(result)
        else:
            future.set_exception(SupersededError("another leader's entry won", step="propose"))

    def resolve_read(self, token: int, index: int) -> None:
        """Answer a read with the index that it must see."""
        future = self._reads.get(token)
        if future is not None and not future.done():
            future.set_result(index)

    def fail_read(self, token: int, error: RowanrailError) -> None:
        """Answer a read with an error."""
        future = self._reads.get(token)
        if future is not None and not future.done():
            future.set_exception(error)

    def resolve_applied(self, applied: int) -> None:
        """Answer those who wait for an index up to ``applied``."""
        waiting = []
        for index, future in self._applied_waiters:
            if applied < index:
                waiting.append((index, future))
            elif not future.done():
                future.set_result(None)
        self._applied_waiters = waiting

    def fail_proposals(self, error: RowanrailError) -> None:
        """Answer all proposals with an error: their outcome is unknown."""
        for _, future in self._proposals.values():
            if not future.done():
                future.set_exception(error)
        self._proposals = {}

    def fail_all(self, error: RowanrailError) -> None:
        """Answer everything with an error."""
        self.fail_proposals(error)
        for read in self._reads.values():
            if not read.done():
                read.set_exception(error)
        for _, waiter in self._applied_waiters:
            if not waiter.done():
                waiter.set_exception(error)
        self._applied_waiters = []
