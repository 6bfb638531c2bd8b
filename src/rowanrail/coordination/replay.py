"""The state after a control node's whole log, including uncommitted entries.

Keeps a second state beside the committed one, for gateways that start while no leader is known.
"""

from rowanrail.consensus.log import Log
from rowanrail.coordination.state import CoordinationState

__all__ = ["LogReplay"]


class LogReplay:
    """Replays a log incrementally while its replayed entries stay the same.

    When a system starts, each gateway asks each control node while each member adds entries.

    Parameters
    ----------
    state : CoordinationState
        Provides the guards by which entries are applied; it is not changed.
    """

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._replayed: CoordinationState | None = None
        self._term = 0
        self._index = 0

    def replay(self, log: Log) -> CoordinationState:
        """Return the state after the last entry; valid until the next call, and read-only.

        Logs whose entries at an index have the same term are equal up to that index.
        """
        replayed = self._replayed
        if replayed is None or self._has_diverged(log):
            entries = log.entries_between(log.snapshot_index + 1, log.last_index)
            replayed = self._replayed = self._state.replayed(log.snapshot, entries)
        else:
            for entry in log.entries_between(self._index + 1, log.last_index):
                replayed.apply(entry)
        self._index, self._term = log.last_index, log.last_term
        return replayed

    def _has_diverged(self, log: Log) -> bool:
        is_held = log.snapshot_index <= self._index <= log.last_index
        return not is_held or log.term_at(self._index) != self._term
