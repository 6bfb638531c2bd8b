"""The connection that a session keeps for locks, temporary tables and computed variables.

It is leased by the first statement that needs it, until the session ends or the connection is lost.
"""

from rowanrail.kernel.errors import BackendLostError, OutcomeUnknownError
from rowanrail.model.position import Position
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.lease import Lease
from rowanrail.sql_proxy.pool import Priority
from rowanrail.sql_proxy.services import GroupServices

__all__ = ["PinnedConnection"]


class PinnedConnection:
    """An optional connection to the primary that belongs to one session."""

    def __init__(self) -> None:
        self._lease: Lease | None = None

    @property
    def is_held(self) -> bool:
        """Whether the session has a pinned connection."""
        return self._lease is not None

    async def pin(
        self, services: GroupServices, settings: tuple[str, ...], floor: Position, deadline: float
    ) -> None:
        """Lease a connection to the primary and keep it.

        :raises NotRunError: if there is none in time.
        """
        self._lease = await services.writer.lease_primary(
            deadline, Priority.TRANSACTION, settings, floor
        )

    async def execute(self, sql: str, deadline: float) -> StatementResult:
        """Run a statement that changes no data."""
        assert self._lease is not None
        return await self._lease.execute(sql, deadline)

    async def run(
        self, services: GroupServices, sql: str, is_write: bool, deadline: float
    ) -> StatementResult:
        """Run a statement, and confirm it if it writes.

        :raises OutcomeUnknownError: if the connection was lost, along with the locks and temporary
            tables of the session, or if the write can't be confirmed.
        """
        assert self._lease is not None
        lease = self._lease
        try:
            result = await lease.execute(sql, deadline)
        except BackendLostError as error:
            self.drop()
            raise OutcomeUnknownError(
                f"{error}; locks and temporary tables of the session are gone",
                step="execute",
                peer=lease.member.name,
            ) from error
        if is_write:
            await services.writer.confirm(result, deadline, lease.member.name)
        return result

    def drop(self) -> None:
        """Close the connection, if any; its session state must not reach another session."""
        if self._lease is not None:
            self._lease.discard()
            self._lease = None
