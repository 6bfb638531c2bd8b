"""Futures of requests that wait for a proposed entry, a read index or an applied index.

:class:`rowanrail.consensus.node.ConsensusNode` resolves them as it processes Raft's effects.
"""

import asyncio

from rowanrail.consensus.errors import SupersededError
from rowanrail.consensus.messages import Entry
from rowanrail.kernel.errors import RowanrailError

__all__ = ["PendingRequests"]


class PendingRequests:
    """Pending requests of a node, by entry index, read token and applied index."""

    def __init__(self) -> None:
        self._proposals: dict[int, tuple[int, asyncio.Future[object]]] = {}
        self._reads: dict[int, asyncio.Future[int]] = {}
        self._last_read_token = 0
        self._applied_waiters: list[tuple[int, asyncio.Future[None]]] = []

    @property
    def has_proposals(self) -> bool:
        """Whether any proposal is pending."""
        return bool(self._proposals)

    def wait_entry(self, entry: Entry) -> "asyncio.Future[object]":
        """Return a future of the state machine's result for ``entry``."""
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._proposals[entry.index] = (entry.term, future)
        return future

    def wait_read(self) -> "tuple[int, asyncio.Future[int]]":
        """Return a new read token and a future of its read index."""
        self._last_read_token += 1
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._reads[self._last_read_token] = future
        return self._last_read_token, future

    def wait_applied(self, index: int) -> "asyncio.Future[None]":
        """Return a future that completes once the entry at ``index`` is applied."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._applied_waiters.append((index, future))
        return future

    def discard_read(self, token: int) -> None:
        """Remove a read whose caller no longer waits."""
        self._reads.pop(token, None)

    def resolve_entry(self, entry: Entry, result: object) -> None:
        """Resolve the proposal at the applied entry's index.

        A proposal of another term gets :class:`SupersededError`: its entry was overwritten.
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
        """Resolve a read with its read index."""
        future = self._reads.get(token)
        if future is not None and not future.done():
            future.set_result(index)

    def fail_read(self, token: int, error: RowanrailError) -> None:
        """Fail a read."""
        future = self._reads.get(token)
        if future is not None and not future.done():
            future.set_exception(error)

    def resolve_applied(self, applied: int) -> None:
        """Resolve the waits for indexes up to ``applied``."""
        waiting = []
        for index, future in self._applied_waiters:
            if applied < index:
                waiting.append((index, future))
            elif not future.done():
                future.set_result(None)
        self._applied_waiters = waiting

    def fail_proposals(self, error: RowanrailError) -> None:
        """Fail all proposals; their entries may still be applied."""
        for _, future in self._proposals.values():
            if not future.done():
                future.set_exception(error)
        self._proposals = {}

    def fail_all(self, error: RowanrailError) -> None:
        """Fail all pending requests."""
        self.fail_proposals(error)
        for read in self._reads.values():
            if not read.done():
                read.set_exception(error)
        for _, waiter in self._applied_waiters:
            if not waiter.done():
                waiter.set_exception(error)
        self._applied_waiters = []
