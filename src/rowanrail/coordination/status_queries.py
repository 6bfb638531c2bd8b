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
from rowanrail.model.statements import Answer, Command, Refusal

QUERY_TIMEOUT_SECONDS = 0.3  # six round trips between regions
BUSY_RETRY_SECONDS = 0.02  # until a command that a member refused as busy is sent again
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

    def __init__(
        self, reader: StatusReader, records: list[MemberRecord], retries_busy: bool
    ) -> None:
        self.statuses: dict[str, StatusReply] = {}
        self.done = asyncio.get_running_loop().create_future()
        self._reader = reader
        self._retries_busy = retries_busy
        self._outstanding = {record.instance: record for record in records}
        if not records:
            self.done.set_result(None)

    def channel(self, record: MemberRecord, command: Command) -> Channel:
        """Return the channel that sends the command to one member."""

        def send() -> None:
            channel.send([command], [on_answer])

        def on_answer(answer: Answer) -> None:
            if self._retries_busy and answer.refusal is Refusal.BUSY and not self.done.done():
                asyncio.get_running_loop().call_later(BUSY_RETRY_SECONDS, send)
                return
            status = self._reader.read(answer)
            if status is not None:
                self.statuses[record.instance] = status
            self._finish_one(record)

        def on_open(channel: Channel, answer: Answer) -> None:
            if answer.refusal is not None:
                self._finish_one(record)
            else:
                send()

        channel = Channel(record.address, record.instance, on_open)
        return channel

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

    async def query(
        self, records: list[MemberRecord], command: Command, retries_busy: bool = False
    ) -> dict[str, StatusReply]:
        """Return the statuses of the members that answered the command.

        Parameters
        ----------
        retries_busy : bool
            Whether to send the command again to members that refuse it as busy.
        """
        query_round = _QueryRound(self._reader, records, retries_busy)
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

    def connect(self, record: MemberRecord) -> "MemberLine":
        """Open a connection to one member for several commands."""
        return MemberLine(self._driver, self._reader, record)


class MemberLine:
    """A connection to one member, on which a command costs one round trip."""

    def __init__(self, driver: MemberDriver, reader: StatusReader, record: MemberRecord) -> None:
        self._reader = reader
        self._opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._channel = Channel(record.address, record.instance, self._on_open)
        driver.open(record.address, record.service, record.instance, self._channel)

    def _on_open(self, channel: Channel, answer: Answer) -> None:
        if not self._opened.done():
            self._opened.set_result(answer.refusal is None)

    async def ask(
        self, command: Command, timeout: float = QUERY_TIMEOUT_SECONDS
    ) -> StatusReply | None:
        """Return the member's status after a command, None without an answer in time.

        A command that is refused as busy had no effect and is sent again.
        """
        try:
            async with asyncio.timeout(timeout):
                if not await self._opened:
                    return None
                while (answer := await self._send(command)).refusal is Refusal.BUSY:
                    await asyncio.sleep(BUSY_RETRY_SECONDS)
                return self._reader.read(answer)
        except TimeoutError:
            return None

    async def _send(self, command: Command) -> Answer:
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def on_answer(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        self._channel.send([command], [on_answer])
        return await answered

    def close(self) -> None:
        """Close the connection; a command without an answer may still be carried out."""
        self._channel.close()
