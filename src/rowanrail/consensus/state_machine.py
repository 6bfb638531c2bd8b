"""Interface of the replicated state machine."""

from abc import ABC, abstractmethod

from rowanrail.consensus.messages import Entry

__all__ = ["StateMachine"]


class StateMachine(ABC):
    """State to which committed entries are applied in log order.

    Implementations must be deterministic: the state may depend only on the applied entries, so that
    all nodes reach the same state.
    """

    @abstractmethod
    def apply(self, entry: Entry) -> object:
        """Apply a committed entry and return its result."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the serialized state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state by one that :meth:`snapshot` returned."""
