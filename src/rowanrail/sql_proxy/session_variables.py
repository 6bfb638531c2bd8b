"""What a caller set in its session, and what its last statement left there.

For sessions. Owns the settings that go along to each connection, the request id of the next write
and the values of LAST_INSERT_ID() and ROW_COUNT(); no I/O.
"""

from collections.abc import Callable

from rowanrail.kernel.errors import InvalidRequestError
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.commands import setting_key, substitute_session_functions
from rowanrail.sql_proxy.limits import MAXIMUM_SESSION_SETTINGS
from rowanrail.sql_proxy.requests import check_request_id

__all__ = ["SessionVariables"]


class SessionVariables:
    """Variables of one session."""

    def __init__(self) -> None:
        self.autocommit = True
        self.settings: tuple[str, ...] = ()
        self.request_id = ""
        self.pre_transaction_statements: list[str] = []
        self._last_insert_id = 0
        self._row_count = 0

    def with_setting(self, setting: str) -> tuple[str, ...]:
        """Return the settings with one more, in the place of an earlier one of the same variable.

        :raises InvalidRequestError: if too many are set.
        """
        key = setting_key(setting)
        kept = [known for known in self.settings if setting_key(known) != key]
        if len(kept) >= MAXIMUM_SESSION_SETTINGS:
            raise InvalidRequestError("too many session variables are set", step="set")
        return (*kept, setting)

    def take_request_id(self, wall_clock: Callable[[], float], horizon_seconds: float) -> str:
        """Return the id of the request that begins, an empty string if it has none.

        :param wall_clock: returns the time of day in seconds; read only if there is an id.
        :raises InvalidRequestError: if its form is wrong.
        :raises RequestConflictError: if it is past the horizon.
        """
        request_id, self.request_id = self.request_id, ""
        if request_id:
            check_request_id(request_id, wall_clock(), horizon_seconds)
        return request_id

    def take_pre_transaction_statements(self) -> list[str]:
        """Return the statements to run just before the transaction that begins."""
        before, self.pre_transaction_statements = self.pre_transaction_statements, []
        return before

    def record_result(self, result: StatementResult) -> None:
        """Keep what the session's functions return after a statement."""
        if result.insert_id:
            self._last_insert_id = result.insert_id
        self._row_count = -1 if result.columns else result.affected_rows

    def substitute_functions(self, sql: str) -> str:
        """Put the values of LAST_INSERT_ID() and ROW_COUNT() in their places."""
        return substitute_session_functions(sql, self._last_insert_id, self._row_count)

    def reset(self) -> None:
        """Forget what the caller set."""
        self.settings = ()
        self.pre_transaction_statements = []
        self.request_id = ""
        self.autocommit = True
