"""Forgets the logs of members that are gone once nothing depends on them; done by the leader.

A log that no member takes over must not hold back failovers forever: its member may have been
removed without a successor. It is forgotten when every member of its service has received a
position that the primary had after the log's member was gone.
"""

import asyncio
from collections.abc import Callable

from rowanrail.coordination.commands import ForgetLogs
from rowanrail.coordination.events import ORPHANED_LOGS_FORGOTTEN
from rowanrail.coordination.feature_level import ORPHANED_LOGS_LEVEL
from rowanrail.coordination.orphaned_logs import OrphanedLog
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.status_queries import StatusQueries, StatusReply
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Command, CommandKind

__all__ = ["OrphanedLogController"]

CHECK_INTERVAL_SECONDS = 2.0
# A member may serve on for a while after it announced its end, and acknowledge further commits.
MAX_RUNNING_AFTER_END_SECONDS = 20.0
CATCH_UP_SECONDS = 0.5  # from the primary's position to those of its replicas


class OrphanedLogController:
    """Checks the orphaned logs of all services while its node leads.

    Parameters
    ----------
    service : CoordinationService
        Holds the replicated state and appends commands.
    queries : StatusQueries
        Asks members for their statuses.
    members : callable
        Returns the members of a service, None if they must not be asked now.
    acknowledging_replicas : callable
        Returns how many replicas of a service must hold a commit before it is acknowledged.
    decisions : DecisionLog
        Writes the log lines.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        service: CoordinationService,
        queries: StatusQueries,
        members: Callable[[str], list[MemberRecord] | None],
        acknowledging_replicas: Callable[[str], int],
        decisions: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._service = service
        self._queries = queries
        self._members = members
        self._acknowledging_replicas = acknowledging_replicas
        self._decisions = decisions
        self._now = now
        self._known_since: dict[OrphanedLog, float] = {}
        self._checked_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def reset(self) -> None:
        """Forget what was seen, as the node no longer leads."""
        self._known_since.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def tick(self) -> None:
        """Begin a check if it is time for one and there are logs that may be forgotten."""
        now = self._now()
        if now < self._checked_at + CHECK_INTERVAL_SECONDS or self._task is not None:
            return
        self._checked_at = now
        if self._service.state.feature_level < ORPHANED_LOGS_LEVEL:
            return
        logs = self._service.state.orphaned_logs.logs
        self._known_since = {log: self._known_since.get(log, now) for log in logs}
        due = [log for log in logs if self._is_due(log)]
        if due:
            self._task = asyncio.ensure_future(self._check(due))
            self._task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task[None]) -> None:
        if task is self._task:
            self._task = None

    def _is_due(self, log: OrphanedLog) -> bool:
        """Return whether a log may be forgotten if its commits are elsewhere.

        Its member must have ended; one whose address another member took has ended before. A
        service that is not configured may be again, with replicas that acknowledge commits.
        """
        if not self._service.is_configured(log.service):
            return False
        has_ended = self._now() >= self._known_since[log] + MAX_RUNNING_AFTER_END_SECONDS
        return has_ended or not log.is_handed_over

    async def _check(self, due: list[OrphanedLog]) -> None:
        services = sorted({log.service for log in due})
        answers = await asyncio.gather(*(self._is_covered(service) for service in services))
        is_covered = dict(zip(services, answers, strict=True))
        logs = [log for log in due if is_covered[log.service]]
        if not logs:
            return
        try:
            await self._service.propose(ForgetLogs(logs))
        except RowanrailError:
            return  # not committed, as far as known; the next check proposes it again
        names = [f"{log.instance} of {log.service}" for log in logs]
        self._decisions.note(ORPHANED_LOGS_FORGOTTEN, logs=names)

    async def _is_covered(self, service: str) -> bool:
        """Return whether every member has received what the primary has now.

        There must be as many of them as of the logs that an acknowledged commit is in.
        """
        replicas = self._acknowledging_replicas(service)
        if not replicas:
            return True
        before = await self._statuses(service)
        primary = _leader(before)
        if not primary:
            return False
        await asyncio.sleep(CATCH_UP_SECONDS)
        after = await self._statuses(service)
        newest = before[primary]
        return (
            len(after) > replicas
            and _leader(after) == primary
            and after[primary].term == newest.term
            and all(status.received >= newest.received for status in after.values())
        )

    async def _statuses(self, service: str) -> dict[str, StatusReply]:
        """Return the statuses of all members, none if one doesn't answer."""
        members = self._members(service)
        if members is None:
            return {}
        statuses = await self._queries.query(members, Command(CommandKind.STATUS))
        return statuses if len(statuses) == len(members) else {}


def _leader(statuses: dict[str, StatusReply]) -> str:
    """Return the only member that says that it leads, empty if there is none."""
    leaders = [instance for instance, status in statuses.items() if status.leads]
    return leaders[0] if len(leaders) == 1 else ""
