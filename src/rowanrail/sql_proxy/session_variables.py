"""Variables of a session: settings, the next request id, LAST_INSERT_ID() and ROW_COUNT()."""

from collections.abc import Callable

from rowanrail.kernel.errors import InvalidRequestError
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.commands import setting_key, substitute_session_functions
from rowanrail.sql_proxy.limits import MAXIMUM_SESSION_SETTINGS
from rowanrail.sql_proxy.requests import check_request_id

__all__ = ["SessionVariables"]


class SessionVariables:
    """Variables of one session, which the proxy keeps across back-end connections."""

    def __init__(self) -> None:
        self.autocommit = True
        self.settings: tuple[str, ...] = ()
        self.request_id = ""
        self.pre_transaction_statements: list[str] = []
        self._last_insert_id = 0
        self._row_count = 0

    def with_setting(self, setting: str) -> tuple[str, ...]:
        """Return the settings with ``setting`` added or replacing one of the same variable.

        :raises InvalidRequestError: if there are too many settings.
        """
        key = setting_key(setting)
        kept = [other for other in self.settings if setting_key(other) != key]
        if len(kept) >= MAXIMUM_SESSION_SETTINGS:
            raise InvalidRequestError("too many session variables are set", step="set")
        return (*kept, setting)

    def take_request_id(self, wall_clock: Callable[[], float], horizon_seconds: float) -> str:
        """Return and clear the id of the next request, an empty string if it has none.

        :param wall_clock: returns the wall-clock time in seconds; called only if there is an id.
        :raises InvalidRequestError: if the format of the id is wrong.
        :raises RequestConflictError: if the id is past the horizon.
        """
        request_id, self.request_id = self.request_id, ""
        if request_id:
            check_request_id(request_id, wall_clock(), horizon_seconds)
        return request_id

    def take_pre_transaction_statements(self) -> list[str]:
        """Return and clear the statements to run before the next transaction begins."""
        before, self.pre_transaction_statements = self.pre_transaction_statements, []
        return before

    def record_result(self, result: StatementResult) -> None:
        """Record the values of LAST_INSERT_ID() and ROW_COUNT() after a statement."""
        if result.insert_id:
            self._last_insert_id = result.insert_id
        self._row_count = -1 if result.columns else result.affected_rows

    def substitute_functions(self, sql: str) -> str:
        """Replace calls of LAST_INSERT_ID() and ROW_COUNT() by the session's values."""
        return substitute_session_functions(sql, self._last_insert_id, self._row_count)

    def reset(self) -> None:
        """Reset everything that the caller has set."""
        self.settings = ()
        self.pre_transaction_statements = []
        self.request_id = ""
        self.autocommit = True
