"""Reads outside of transactions: at the freshest-enough, least loaded member.

For sessions. Owns nothing between reads; relies on the rules in ``serving`` for who serves and
whether to try again, and on the group for what is known of members.
"""

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
from rowanrail.sql_proxy.outcomes import GROUP_RETRY_AFTER_SECONDS
from rowanrail.sql_proxy.policies import OutcomeClassification
from rowanrail.sql_proxy.pool import Priority
from rowanrail.sql_proxy.serving import (
    READ_RETRY_SECONDS,
    REPLICA_WAIT_SECONDS,
    ReadServer,
    may_retry_read,
    server_without_replica,
)
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
        """Run a read that must see ``floor``. It is tried again when a member is lost.

        :raises CallerError: the caller's error.
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
                self._group.suspect(lease.member)
                if not may_retry_read(loop.time(), deadline):
                    raise lease.lost_error(self._outcomes, error, "read") from error
                await asyncio.sleep(READ_RETRY_SECONDS)
                continue
            self._statistics.count_read(lease.member.known.is_primary, allow_replica)
            return result

    async def lease(
        self, floor: Position, allow_replica: bool, settings: tuple[str, ...], deadline: float
    ) -> Lease:
        """Lease a connection to a member that may serve a read that must see ``floor``.

        :raises NotRunError: if there is none in time.
        """
        loop = asyncio.get_running_loop()
        while True:
            member = await self._choose(floor, allow_replica, deadline)
            try:
                lease = await Lease.acquire(member, deadline, Priority.READ, settings)
            except (BackendConnectError, BackendLostError) as error:
                self._group.suspect(member)
                if not may_retry_read(loop.time(), deadline):
                    raise self._unavailable(str(error)) from error
                await asyncio.sleep(READ_RETRY_SECONDS)
                continue
            if floor == ORIGIN or lease.is_of_known_start():
                return lease
            # The member was restarted: what it had committed before may not hold any more.
            lease.release()
            await member.monitor.refresh()
            if not lease.is_of_known_start():
                member.pool.close_idle()

    async def _choose(self, floor: Position, allow_replica: bool, deadline: float) -> Member:
        loop = asyncio.get_running_loop()
        group = self._group
        while True:
            if allow_replica:
                wait_until = min(deadline, loop.time() + REPLICA_WAIT_SECONDS)
                fresh = await group.wait_fresh(floor, wait_until)
                if fresh:
                    return min(fresh, key=group.cost)
            primary = group.fresh_primary(floor)
            match server_without_replica(primary is not None, loop.time(), deadline):
                case ReadServer.PRIMARY:
                    assert primary is not None
                    return primary
                case ReadServer.REFUSE:
                    raise self._unavailable("no member is fresh enough")
                case ReadServer.WAIT:
                    group.kick()
                    await asyncio.sleep(READ_RETRY_SECONDS)

    def _unavailable(self, message: str) -> NotRunError:
        return NotRunError(
            message,
            retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
            step="choose member",
            peer=self._group.spec.name,
        )
