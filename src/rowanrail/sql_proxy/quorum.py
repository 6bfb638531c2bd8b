"""Status queries to all members of a group: confirmation of writes and the floor of reads.

The guards in :mod:`rowanrail.sql_proxy.policies` evaluate the answers of a majority.
"""

import asyncio
from collections.abc import Callable, Sequence

from rowanrail.kernel.errors import NotRunError
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import MemberStatus
from rowanrail.sql_proxy.monitor import MemberMonitor
from rowanrail.sql_proxy.outcomes import (
    GROUP_RETRY_AFTER_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    MAXIMUM_BACKOFF_SECONDS,
    next_backoff,
)
from rowanrail.sql_proxy.policies import Freshness, TermConfirmation

__all__ = ["QuorumQueries"]


class QuorumQueries:
    """Queries the members of a group concurrently.

    :param name: name of the group, for error messages.
    """

    def __init__(
        self,
        name: str,
        monitors: Sequence[MemberMonitor],
        freshness: Freshness,
        confirmation: TermConfirmation,
    ) -> None:
        self._name = name
        self._monitors = monitors
        self._freshness = freshness
        self._confirmation = confirmation

    async def confirm(self, position: Position, deadline: float) -> bool:
        """Return whether a majority holds ``position`` in the position's own term.

        :returns: False as soon as a majority is in a later term, or at ``deadline``.
        """
        loop = asyncio.get_running_loop()
        pause_seconds = INITIAL_BACKOFF_SECONDS
        while loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    statuses = await self._query_members(
                        lambda answers: self._confirmation_result(position, answers) is not None
                    )
            except TimeoutError:
                return False
            confirmed = self._confirmation_result(position, statuses)
            if confirmed is not None:
                return confirmed
            await asyncio.sleep(pause_seconds)
            pause_seconds = next_backoff(pause_seconds)
        return False

    def _confirmation_result(self, position: Position, statuses: list[MemberStatus]) -> bool | None:
        """Return whether the answers confirm a position or rule it out; None if undecided."""
        members = len(self._monitors)
        if self._confirmation.is_confirmed(position, statuses, members):
            return True
        if self._confirmation.is_superseded(position, statuses, members):
            return False
        return None

    async def acknowledged_floor(self, deadline: float) -> Position:
        """Return a position that covers every write acknowledged before this call.

        :raises NotRunError: if no majority answers in time.
        """
        loop = asyncio.get_running_loop()
        members = len(self._monitors)
        majority = members // 2 + 1
        while True:
            try:
                async with asyncio.timeout_at(deadline):
                    statuses = await self._query_members(lambda answers: len(answers) >= majority)
                    floor = self._freshness.acknowledged_floor(statuses, members)
                    if floor is not None:
                        return floor
                    await asyncio.sleep(MAXIMUM_BACKOFF_SECONDS)
            except TimeoutError:
                pass  # reported below
            if loop.time() >= deadline:
                raise NotRunError(
                    "no majority of the group's members answers",
                    retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
                    step="find position",
                    peer=self._name,
                )

    async def _query_members(
        self, is_enough: Callable[[list[MemberStatus]], bool]
    ) -> list[MemberStatus]:
        """Query all members and return the answers once ``is_enough`` accepts them.

        All answers are sent after this call. Concurrent calls share status queries.
        """
        pending = {asyncio.ensure_future(monitor.refresh()) for monitor in self._monitors}
        statuses: list[MemberStatus] = []
        while pending and not is_enough(statuses):
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            statuses.extend(status for task in done if (status := task.result()) is not None)
        return statuses
