"""The front-end port of the gateway. Front ends register as plug-ins of kind ``frontend``.

For the process, which makes the one of its protocol. A front end owns the clients' connections and
relies on the gateway's sessions.
"""

from abc import ABC, abstractmethod


class Frontend(ABC):
    """Serves clients with the gateway's sessions. Made with the gateway as its argument."""

    @abstractmethod
    async def start(self, address: str) -> None:
        """Listen on ``host:port``.

        :raises RowanrailError: if the address can't be used.
        """

    @abstractmethod
    def drain(self) -> None:
        """Accept no more clients; close each session as soon as it is idle."""

    @abstractmethod
    def busy_sessions(self) -> int:
        """Return how many sessions have a statement or a transaction under way."""

    @abstractmethod
    def close(self) -> None:
        """Close everything at once."""
