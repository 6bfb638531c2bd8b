"""Reads outside of transactions, at the least loaded member that is fresh enough."""

import asyncio

from rowanrail.kernel.errors import (
    BackendConnectError,
    BackendLostError,
    NotRunError,
)
from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.group import GroupRuntime, Member
from rowanrail.sql_proxy.lease import Lease
from rowanrail.sql_proxy.member_selection import (
    READ_RETRY_SECONDS,
    REPLICA_WAIT_SECONDS,
    ReadAction,
    action_without_replica,
    may_retry_read,
)
from rowanrail.sql_proxy.outcomes import GROUP_RETRY_AFTER_SECONDS
from rowanrail.sql_proxy.policies import OutcomeClassification
from rowanrail.sql_proxy.pool import Priority
from rowanrail.sql_proxy.statistics import GroupStatistics


class ReadRunner:
    """Runs reads of one group."""

    def __init__(
        self, group: GroupRuntime, outcomes: OutcomeClassification, statistics: GroupStatistics
    ) -> None:
        self._group = group
        self._outcomes = outcomes
        self._statistics = statistics

    async def run(
        self,
        sql: str,
        floor: Position,
        allow_replica: bool,
        settings: tuple[str, ...],
        deadline: float,
    ) -> StatementResult:
        """Run a read that must see ``floor``; it is retried if a connection is lost.

        :raises CallerError: if the read fails.
        """
        loop = asyncio.get_running_loop()
        while True:
            lease = await self.lease(floor, allow_replica, settings, deadline)
            try:
                try:
                    result = await lease.execute(sql, deadline)
                finally:
                    lease.release()
            except BackendLostError as error:
                self._group.mark_unreachable(lease.member)
                if not may_retry_read(loop.time(), deadline):
                    raise lease.lost_error(self._outcomes, error, "read") from error
                await asyncio.sleep(READ_RETRY_SECONDS)
                continue
            self._statistics.count_read(lease.member.state.is_primary, allow_replica)
            return result

    async def lease(
        self, floor: Position, allow_replica: bool, settings: tuple[str, ...], deadline: float
    ) -> Lease:
        """Lease a connection to the member selected for a read that must see ``floor``.

        :raises NotRunError: if there is none in time.
        """
        loop = asyncio.get_running_loop()
        while True:
            member = await self._choose(floor, allow_replica, deadline)
            try:
                lease = await Lease.acquire(member, deadline, Priority.READ, settings)
            except (BackendConnectError, BackendLostError) as error:
                self._group.mark_unreachable(member)
                if not may_retry_read(loop.time(), deadline):
                    raise self._unavailable(str(error)) from error
                await asyncio.sleep(READ_RETRY_SECONDS)
                continue
            if floor == ORIGIN or lease.matches_known_incarnation():
                return lease
            # The member was restarted and may have lost transactions that it had committed.
            lease.release()
            await member.monitor.refresh()
            if not lease.matches_known_incarnation():
                member.pool.close_idle()

    async def _choose(self, floor: Position, allow_replica: bool, deadline: float) -> Member:
        loop = asyncio.get_running_loop()
        group = self._group
        while True:
            if allow_replica:
                wait_until = min(deadline, loop.time() + REPLICA_WAIT_SECONDS)
                fresh = await group.wait_for_fresh_replicas(floor, wait_until)
                if fresh:
                    return min(fresh, key=group.cost)
            primary = group.fresh_primary(floor)
            match action_without_replica(primary is not None, loop.time(), deadline):
                case ReadAction.PRIMARY:
                    assert primary is not None
                    return primary
                case ReadAction.REFUSE:
                    raise self._unavailable("no member is fresh enough")
                case ReadAction.WAIT:
                    group.poll_soon()
                    await asyncio.sleep(READ_RETRY_SECONDS)

    def _unavailable(self, message: str) -> NotRunError:
        return NotRunError(
            message,
            retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
            step="choose member",
            peer=self._group.spec.name,
        )
