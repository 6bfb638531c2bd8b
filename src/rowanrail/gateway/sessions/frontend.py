"""Interface of front ends, which serve a client protocol with the gateway's sessions.

Front ends register as plug-ins of kind ``frontend``.
"""

from abc import ABC, abstractmethod


class Frontend(ABC):
    """Interface: a server for clients of one protocol.

    Its constructor takes the gateway.
    """

    @abstractmethod
    async def start(self, address: str) -> None:
        """Listen on ``host:port``.

        :raises RowanrailError: if the address can't be used.
        """

    @abstractmethod
    def drain(self) -> None:
        """Accept no new clients; close each session as soon as it is idle."""

    @abstractmethod
    def busy_sessions(self) -> int:
        """Return the number of sessions with a running statement or an open transaction."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections at once."""
