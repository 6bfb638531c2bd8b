"""What the replicated log acts on.

A port: the states of both kinds of control nodes, and of the lab's members, take its place. They
may depend on nothing but the entries, so that all nodes hold the same.
"""

from abc import ABC, abstractmethod

from rowanrail.consensus.messages import Entry

__all__ = ["StateMachine"]


class StateMachine(ABC):
    """What the log's commands act on. Must depend on nothing but the commands."""

    @abstractmethod
    def apply(self, entry: Entry) -> object:
        """Apply a committed entry and return its result."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state."""
