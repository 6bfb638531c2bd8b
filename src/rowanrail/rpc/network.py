"""Interface of the network between the system's own processes.

Implementations are plug-ins of kind ``network``: ``tcp`` for daemons, and another one in the
simulator.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import msgspec

Handler = Callable[[msgspec.Struct], Awaitable[msgspec.Struct | None]]


class Listener(ABC):
    """A server that listens on one address."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening."""


class Network(ABC):
    """Requests and one-way messages between processes, addressed by ``host:port``."""

    @abstractmethod
    async def serve(self, address: str, handler: Handler) -> Listener:
        """Listen on ``address``; the handler's return value is sent as the reply to a request."""

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
        """Send a one-way message, without any guarantee of delivery."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
