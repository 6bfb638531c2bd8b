"""The state to which a control node's whole log leads, committed or not.

Owns a second state beside the committed one, for gateways that start while no leader is known.
Relies on the rules of :mod:`state`, whose own state it doesn't change.
"""

from rowanrail.consensus.log import Log
from rowanrail.coordination.state import CoordinationState

__all__ = ["Replay"]


class Replay:
    """Replays a log, from where the last replay ended if the log up to there is the same.

    At a first start each gateway asks each control node, while the log grows with each member.

    Parameters
    ----------
    state : CoordinationState
        Gives the rules by which entries are applied; it is not changed.
    """

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._replayed: CoordinationState | None = None
        self._term = 0
        self._index = 0

    def state_of(self, log: Log) -> CoordinationState:
        """Return the state after the last entry; it is to be read at once and not changed.

        Two logs whose entries at one index have the same term are the same up to there.
        """
        replayed = self._replayed
        if replayed is None or self._is_replaced(log):
            entries = log.entries_between(log.snapshot_index + 1, log.last_index)
            replayed = self._replayed = self._state.replayed(log.snapshot, entries)
        else:
            for entry in log.entries_between(self._index + 1, log.last_index):
                replayed.apply(entry)
        self._index, self._term = log.last_index, log.last_term
        return replayed

    def _is_replaced(self, log: Log) -> bool:
        is_held = log.snapshot_index <= self._index <= log.last_index
        return not is_held or log.term_at(self._index) != self._term
