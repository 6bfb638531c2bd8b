"""Status queries of the failover controller to members, each on its own connection.

Owns the timeouts. Relies on the driver of ``members`` for connections and on a reader to parse
answers.
"""

import asyncio
from abc import ABC, abstractmethod

import msgspec

from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command

QUERY_TIMEOUT_SECONDS = 0.3  # six round trips between regions
PRIMARY_GRACE_SECONDS = 0.15  # three round trips between regions: connect, start, status


class StatusReply(msgspec.Struct, frozen=True):
    """A member's status: whether it is primary, the newest term it knows, its log's end."""

    leads: bool
    term: int
    received: Position


class StatusReader(ABC):
    """Parses the status answers of members."""

    @abstractmethod
    def read(self, answer: Answer) -> StatusReply | None:
        """Return the status in an answer, None if it has none."""


class _QueryRound:
    """One command sent to several members at once.

    It ends when all have answered. The primary may be dead, so that after the last replica's
    answer it is waited for only ``PRIMARY_GRACE_SECONDS``.
    """

    def __init__(self, reader: StatusReader, records: list[MemberRecord]) -> None:
        self.statuses: dict[str, StatusReply] = {}
        self.done = asyncio.get_running_loop().create_future()
        self._reader = reader
        self._outstanding = {record.instance: record for record in records}
        if not records:
            self.done.set_result(None)

    def channel(self, record: MemberRecord, command: Command) -> Channel:
        """Return the channel that sends the command to one member."""

        def on_answer(answer: Answer) -> None:
            status = self._reader.read(answer)
            if status is not None:
                self.statuses[record.instance] = status
            self._finish_one(record)

        def on_open(channel: Channel, answer: Answer) -> None:
            if answer.refusal is not None:
                self._finish_one(record)
            else:
                channel.send([command], [on_answer])

        return Channel(record.address, record.instance, on_open)

    def _finish_one(self, record: MemberRecord) -> None:
        self._outstanding.pop(record.instance, None)
        if not self._outstanding:
            self._end()
        elif all(silent.primary for silent in self._outstanding.values()):
            asyncio.get_running_loop().call_later(PRIMARY_GRACE_SECONDS, self._end)

    def _end(self) -> None:
        if not self.done.done():
            self.done.set_result(None)


class StatusQueries:
    """Sends commands to members and collects the statuses that arrive in time."""

    def __init__(self, driver: MemberDriver, reader: StatusReader) -> None:
        self._driver = driver
        self._reader = reader

    async def query(self, records: list[MemberRecord], command: Command) -> dict[str, StatusReply]:
        """Return the statuses of the members that answered the command."""
        query_round = _QueryRound(self._reader, records)
        channels = []
        for record in records:
            channel = query_round.channel(record, command)
            channels.append(channel)
            self._driver.open(record.address, record.service, record.instance, channel)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                await query_round.done
        except TimeoutError:
            pass  # members that did not answer are missing in the result
        for channel in channels:
            channel.close()
        return dict(query_round.statuses)
