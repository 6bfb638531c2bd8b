"""Leases of pooled back-end connections with the session variables of a session."""

import asyncio

from rowanrail.kernel.errors import BackendLostError, CallerError
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.group import Member
from rowanrail.sql_proxy.outcomes import GROUP_RETRY_AFTER_SECONDS
from rowanrail.sql_proxy.policies import OutcomeClassification
from rowanrail.sql_proxy.pool import PooledConnection, Priority


class Lease:
    """A leased connection and its member; the holder must release or discard it."""

    def __init__(self, member: Member, connection: PooledConnection) -> None:
        self.member = member
        self.connection = connection
        self._acquired_at = asyncio.get_running_loop().time()

    @classmethod
    async def acquire(
        cls, member: Member, deadline: float, priority: Priority, settings: tuple[str, ...]
    ) -> "Lease":
        """Lease a connection to ``member`` and apply the session's settings to it.

        :raises NotRunError: if no connection becomes free in time.
        :raises BackendConnectError: if the member can't be reached.
        :raises BackendLostError: if the connection was lost; only settings were sent.
        """
        connection = await member.pool.acquire(deadline, priority, settings)
        lease = cls(member, connection)
        if connection.settings != settings:
            try:
                for setting in settings:
                    await connection.execute(setting, deadline)
            except BaseException:
                lease.discard()
                raise
            connection.settings = settings
        return lease

    def matches_known_incarnation(self) -> bool:
        """Return whether the known state is of the member incarnation that is connected."""
        return self.member.state.matches_incarnation(self.connection.incarnation)

    def lost_error(
        self, outcomes: OutcomeClassification, error: BackendLostError, step: str
    ) -> CallerError:
        """Return the error to the caller of a statement that was sent but not answered."""
        return outcomes.connection_lost_error(
            str(error),
            sent=True,
            retry_after_seconds=GROUP_RETRY_AFTER_SECONDS,
            step=step,
            peer=self.member.name,
        )

    async def execute(self, sql: str, deadline: float) -> StatementResult:
        """Run a statement on the connection."""
        return await self.connection.execute(sql, deadline)

    def release(self) -> None:
        """Return the connection to its pool."""
        seconds = asyncio.get_running_loop().time() - self._acquired_at
        self.member.pool.release(self.connection, seconds if self.connection.answered else None)

    def discard(self) -> None:
        """Close the connection because its state is uncertain."""
        self.member.pool.discard(self.connection)
