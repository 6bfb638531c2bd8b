"""Logs of members that ended or were displaced, until a member has taken them over. No I/O.

The log of a member that ends as planned goes to the next member at its address. Until that one
announces itself, the log may hold acknowledged commits that no present member has. The same holds
for the log of a member whose address another one took.
"""

from collections.abc import Iterable

import msgspec

from rowanrail.model.members import MemberRecord

__all__ = ["OrphanedLog", "OrphanedLogs"]

MAX_ORPHANED_LOGS = 2000  # most are taken over within seconds


class OrphanedLog(msgspec.Struct, frozen=True):
    """The log of a member that is gone; the field names are stored.

    Parameters
    ----------
    instance : str
        The member whose log it was.
    service, address : str
        What its last record had.
    start_ms : int
        Start of its last life in Unix milliseconds, 0 if it reported none.
    is_handed_over : bool
        Whether the next member at its address gets the log.
    """

    instance: str
    service: str
    address: str
    start_ms: int
    is_handed_over: bool

    def is_of(self, record: MemberRecord) -> bool:
        """Return whether a record is that of the member which had the log, not started again."""
        starts = {0, self.start_ms, record.started_ms}
        return self.instance == record.instance and len(starts) <= 2

    def goes_to(self, record: MemberRecord) -> bool:
        """Return whether a new member gets the log."""
        place = (self.service, self.address)
        return self.is_handed_over and place == (record.service, record.address)


class OrphanedLogs:
    """The orphaned logs of all services.

    Parameters
    ----------
    logs : iterable of OrphanedLog
        The logs at the beginning.

    Examples
    --------
    >>> old = MemberRecord("m1", "db", "10.0.0.1:1", "a", False, True, 3, 9)
    >>> logs = OrphanedLogs()
    >>> logs.add(old, is_handed_over=True)
    >>> logs.of_service("db")
    ['m1']
    >>> logs.take_over(MemberRecord("m2", "db", "10.0.0.1:1", "a", False, False, 3, 1))
    True
    >>> logs.of_service("db")
    []
    """

    def __init__(self, logs: Iterable[OrphanedLog] = ()) -> None:
        self._logs = {(log.instance, log.start_ms): log for log in logs}

    def __len__(self) -> int:
        """Return the number of logs."""
        return len(self._logs)

    @property
    def logs(self) -> list[OrphanedLog]:
        """All logs, the oldest first."""
        return list(self._logs.values())

    def of_service(self, service: str) -> list[str]:
        """Return the instances whose logs are orphaned, of a service."""
        return [log.instance for log in self._logs.values() if log.service == service]

    def add(self, record: MemberRecord, is_handed_over: bool) -> None:
        """Add the log of a member that is gone."""
        log = OrphanedLog(
            record.instance, record.service, record.address, record.started_ms, is_handed_over
        )
        self._logs[log.instance, log.start_ms] = log
        if len(self._logs) > MAX_ORPHANED_LOGS:
            del self._logs[next(iter(self._logs))]

    def take_over(self, record: MemberRecord) -> bool:
        """Remove the logs that a new member has; return whether one was another member's.

        A member that returns has its own log.
        """
        own = [log for log in self.logs if log.is_of(record)]
        taken = own or [log for log in self.logs if log.goes_to(record)]
        self.forget(taken)
        return bool(taken) and not own

    def forget(self, logs: Iterable[OrphanedLog]) -> None:
        """Remove logs, as far as they are present."""
        for log in logs:
            key = log.instance, log.start_ms
            if self._logs.get(key) == log:
                del self._logs[key]
