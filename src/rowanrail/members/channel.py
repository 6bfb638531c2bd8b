"""The back-end port for typed commands, and one connection's state over it.

Drivers register as plug-ins of kind ``member-driver``.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal

AnswerCallback = Callable[[Answer], None]


class ChannelTransport(ABC):
    """A driver's side of one connection."""

    @abstractmethod
    def send(self, commands: list[Command]) -> None:
        """Send commands; their answers come in this order."""

    @abstractmethod
    def close(self) -> None:
        """Close at once."""


class MemberDriver(ABC):
    """Opens connections to members."""

    @abstractmethod
    def open(self, address: str, service: str, instance: str, channel: "Channel") -> None:
        """Open a connection; calls ``channel.opened``, ``channel.refused`` or ``channel.lost``."""


class Channel:
    """One connection: commands under way, and what sessions have set on it.

    A connection on which an answer came without a command is closed, and so is one
    whose answer is late: the next answer read would not be the next command's.
    """

    __slots__ = (
        "_expected",
        "_on_open",
        "address",
        "closed",
        "in_transaction",
        "instance",
        "last_used",
        "leased_at",
        "on_closed",
        "prepared",
        "tenant",
        "session_state_unknown",
        "session_values",
        "wire",
    )

    def __init__(
        self,
        address: str,
        instance: str,
        on_open: Callable[["Channel", Answer], None],
        tenant: str = "",
    ) -> None:
        self.address = address
        self.instance = instance
        self.tenant = tenant
        self.wire: ChannelTransport | None = None
        self.closed = False
        self.session_values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.session_state_unknown = False
        self.in_transaction = False
        self.last_used = 0.0  # steady ms, kept by its pool
        self.leased_at = 0.0  # steady ms, kept by its pool
        self.on_closed: Callable[[Channel], None] = lambda channel: None
        self._on_open = on_open
        self._expected: deque[tuple[AnswerCallback, bool]] = deque()

    @property
    def busy(self) -> bool:
        """Whether answers are outstanding."""
        return bool(self._expected)

    def send(self, commands: list[Command], respond: list[AnswerCallback]) -> None:
        """Send commands, each with the function that takes its answer."""
        if self.closed or self.wire is None:
            lost = Answer(refusal=Refusal.LOST, message="the connection is closed")
            for function in respond:
                function(lost)
            return
        for command, function in zip(commands, respond, strict=True):
            signed = command.kind in (CommandKind.STATEMENT, CommandKind.EXECUTE)
            self._expected.append((function, signed))
        self.wire.send(commands)

    # Events from the driver

    def opened(self, wire: ChannelTransport, position: Position | None) -> None:
        """Note that the member accepted the connection."""
        self.wire = wire
        if self.closed:
            wire.close()
            return
        self._on_open(self, Answer(position=position))

    def refused(self, refusal: Refusal, message: str) -> None:
        """Note that the member refused the connection; nothing was run."""
        if not self.closed:
            self.closed = True
            self._on_open(self, Answer(refusal=refusal, message=message))

    def answered(self, answer: Answer) -> None:
        """Take the next answer."""
        if self.closed:
            return
        if not self._expected:
            self.lost("an answer came that nobody asked for")
            return
        respond, signed = self._expected[0]
        if answer.refusal is None and bool(answer.signature) is not signed:
            self.lost("the answer does not fit the command")
            return
        self._expected.popleft()
        respond(answer)

    def lost(self, reason: str) -> None:
        """Note that the connection is gone; every outstanding command is in doubt."""
        if self.closed:
            return
        opening = self.wire is None
        self.close()
        answer = Answer(refusal=Refusal.LOST, message=reason)
        if opening:
            self._on_open(self, answer)

    def close(self) -> None:
        """Close at once; outstanding commands are answered as lost."""
        if self.closed:
            return
        self.closed = True
        if self.wire is not None:
            self.wire.close()
        self.on_closed(self)
        expected, self._expected = self._expected, deque()
        answer = Answer(refusal=Refusal.LOST, message="the connection was lost")
        for respond, _ in expected:
            respond(answer)
