"""Status queries of the failover controller to members, each on its own connection.

Owns the timeouts. Relies on the driver of ``members`` for connections and on a reader to parse
answers.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command, Refusal

QUERY_TIMEOUT_SECONDS = 0.3  # six round trips between regions
NO_ROOM = frozenset({Refusal.BUSY, Refusal.TOO_MANY_CONNECTIONS})
BUSY_RETRY_SECONDS = 0.02  # until a member that refused for lack of room is asked again
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
        self,
        driver: MemberDriver,
        reader: StatusReader,
        records: list[MemberRecord],
        command: Command,
        on_refused: Callable[[str], None] | None,
    ) -> None:
        self.statuses: dict[str, StatusReply] = {}
        self.done = asyncio.get_running_loop().create_future()
        self.channels: dict[str, Channel] = {}
        self._driver = driver
        self._reader = reader
        self._command = command
        self._on_refused = on_refused
        self._outstanding = {record.instance: record for record in records}
        if not records:
            self.done.set_result(None)

    def open(self, record: MemberRecord) -> None:
        """Open a connection to a member, and send it the command."""

        def on_answer(answer: Answer) -> None:
            if self._retry(record, answer, send):
                return
            status = self._reader.read(answer)
            if status is not None:
                self.statuses[record.instance] = status
            self._finish_one(record)

        def send() -> None:
            channel.send([self._command], [on_answer])

        def on_open(channel: Channel, answer: Answer) -> None:
            if answer.refusal is None:
                send()
            elif not self._retry(record, answer, lambda: self.open(record)):
                self._finish_one(record)

        channel = Channel(record.address, record.instance, on_open)
        self.channels[record.instance] = channel
        self._driver.open(record.address, record.service, record.instance, channel)

    def _retry(self, record: MemberRecord, answer: Answer, again: Callable[[], None]) -> bool:
        """Try again later if a member refused for lack of room; return whether to."""
        if self._on_refused is None or answer.refusal not in NO_ROOM or self.done.done():
            return False
        self._on_refused(record.instance)

        def unless_done() -> None:
            if not self.done.done():
                again()

        asyncio.get_running_loop().call_later(BUSY_RETRY_SECONDS, unless_done)
        return True

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
        self,
        records: list[MemberRecord],
        command: Command,
        on_refused: Callable[[str], None] | None = None,
    ) -> dict[str, StatusReply]:
        """Return the statuses of the members that answered the command.

        Parameters
        ----------
        on_refused : callable, optional
            Called with each member that refuses the connection or the command for lack of room. It
            is then asked again until the round ends.
        """
        query_round = _QueryRound(self._driver, self._reader, records, command, on_refused)
        for record in records:
            query_round.open(record)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                await query_round.done
        except TimeoutError:
            pass  # members that did not answer are missing in the result
        for channel in query_round.channels.values():
            channel.close()
        return dict(query_round.statuses)

    def connect(self, record: MemberRecord) -> "MemberLine":
        """Open a connection to one member for several commands."""
        return MemberLine(self._driver, self._reader, record)


class MemberLine:
    """A connection to one member, on which a command costs one round trip.

    What a member refuses for lack of room is asked again: it had no effect.
    """

    def __init__(self, driver: MemberDriver, reader: StatusReader, record: MemberRecord) -> None:
        self._driver = driver
        self._reader = reader
        self._record = record
        self._is_closed = False
        self._opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._open()

    def _open(self) -> None:
        record = self._record
        if not self._is_closed:
            self._channel = Channel(record.address, record.instance, self._on_open)
            self._driver.open(record.address, record.service, record.instance, self._channel)

    def _on_open(self, channel: Channel, answer: Answer) -> None:
        if answer.refusal in NO_ROOM:
            asyncio.get_running_loop().call_later(BUSY_RETRY_SECONDS, self._open)
        elif not self._opened.done():
            self._opened.set_result(answer.refusal is None)

    async def opens(self) -> bool:
        """Wait for the connection; return whether it was opened in time."""
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                return await asyncio.shield(self._opened)
        except TimeoutError:
            return False

    async def ask(
        self, command: Command, timeout: float = QUERY_TIMEOUT_SECONDS
    ) -> StatusReply | None:
        """Return the member's status after a command, None without an answer in time."""
        try:
            async with asyncio.timeout(timeout):
                if not await asyncio.shield(self._opened):
                    return None
                while (answer := await self._send(command)).refusal in NO_ROOM:
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
        self._is_closed = True
        self._channel.close()
