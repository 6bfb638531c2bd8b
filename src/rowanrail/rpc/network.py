"""The network port between the system's own processes.

Implementations register as plug-ins of kind ``network``: ``tcp`` for daemons; the simulator brings
one of its own. Owns the port only; relies on nothing but the form of messages.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import msgspec

Handler = Callable[[msgspec.Struct], Awaitable[msgspec.Struct | None]]


class Listener(ABC):
    """A served address."""

    @abstractmethod
    async def close(self) -> None:
        """Stop serving."""


class Network(ABC):
    """Calls and notices between processes, addressed by ``host:port``."""

    @abstractmethod
    async def serve(self, address: str, handler: Handler) -> Listener:
        """Serve ``address``; the handler's return value is the reply to a call."""

    @abstractmethod
    async def call(
        self, address: str, request: msgspec.Struct, timeout_seconds: float
    ) -> msgspec.Struct:
        """Send a request and return its reply.

        Raises
        ------
        TransportError
            If there is no reply in time, or the peer reports a failure.
        """

    @abstractmethod
    def notify(self, address: str, notice: msgspec.Struct) -> None:
        """Send a message with no reply; it may be lost."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
