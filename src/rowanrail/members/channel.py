"""Connections to members: the driver interface, and the state of one connection.

Drivers register as plug-ins of kind ``member-driver``.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal

AnswerCallback = Callable[[Answer], None]


class ChannelTransport(ABC):
    """Driver side of one connection."""

    @abstractmethod
    def send(self, commands: list[Command]) -> None:
        """Send commands; their answers arrive in the same order."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection immediately."""


class MemberDriver(ABC):
    """Opens connections to members."""

    @abstractmethod
    def open(self, address: str, service: str, instance: str, channel: "Channel") -> None:
        """Open a connection; report to ``channel.opened``, ``refused`` or ``lost``."""


class Channel:
    """One connection to a member, with its outstanding commands and its session state.

    Answers are matched to commands by order. A connection is therefore closed when an unexpected
    answer arrives; a caller closes it when an answer is late.

    Parameters
    ----------
    address : str
        Address of the member.
    instance : str
        Instance name of the member.
    on_open : callable
        Called with the channel and how the opening ended, unless it was closed before.
    tenant : str
        Tenant to which the connection belongs; empty for none.
    """

    __slots__ = (
        "_pending",
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
        "transport",
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
        self.transport: ChannelTransport | None = None
        self.closed = False
        self.session_values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.session_state_unknown = False
        self.in_transaction = False
        self.last_used = 0.0  # monotonic ms, set by the pool
        self.leased_at = 0.0  # monotonic ms, set by the pool
        self.on_closed: Callable[[Channel], None] = lambda channel: None
        self._on_open = on_open
        self._pending: deque[tuple[AnswerCallback, bool]] = deque()

    @property
    def busy(self) -> bool:
        """Whether answers are outstanding."""
        return bool(self._pending)

    def send(self, commands: list[Command], respond: list[AnswerCallback]) -> None:
        """Send commands; ``respond`` holds one callback for the answer to each."""
        if self.closed or self.transport is None:
            lost = Answer(refusal=Refusal.LOST, message="the connection is closed")
            for callback in respond:
                callback(lost)
            return
        for command, callback in zip(commands, respond, strict=True):
            expects_signature = command.kind in (CommandKind.STATEMENT, CommandKind.EXECUTE)
            self._pending.append((callback, expects_signature))
        self.transport.send(commands)

    # Events from the driver

    def opened(self, transport: ChannelTransport, position: Position | None) -> None:
        """Handle that the member accepted the connection."""
        self.transport = transport
        if self.closed:
            transport.close()
            return
        self._on_open(self, Answer(position=position))

    def refused(self, refusal: Refusal, message: str) -> None:
        """Handle that the member refused the connection; nothing was run."""
        if not self.closed:
            self.closed = True
            self._on_open(self, Answer(refusal=refusal, message=message))

    def answered(self, answer: Answer) -> None:
        """Pass the next answer to the callback of its command."""
        if self.closed:
            return
        if not self._pending:
            self.lost("an answer came that nobody asked for")
            return
        respond, expects_signature = self._pending[0]
        if answer.refusal is None and bool(answer.signature) is not expects_signature:
            self.lost("the answer does not fit the command")
            return
        self._pending.popleft()
        respond(answer)

    def lost(self, reason: str) -> None:
        """Handle a lost connection; the outcome of every outstanding command is unknown."""
        if self.closed:
            return
        opening = self.transport is None
        self.close()
        answer = Answer(refusal=Refusal.LOST, message=reason)
        if opening:
            self._on_open(self, answer)

    def close(self) -> None:
        """Close the connection; outstanding commands are answered as lost."""
        if self.closed:
            return
        self.closed = True
        if self.transport is not None:
            self.transport.close()
        self.on_closed(self)
        pending, self._pending = self._pending, deque()
        answer = Answer(refusal=Refusal.LOST, message="the connection was lost")
        for respond, _ in pending:
            respond(answer)
