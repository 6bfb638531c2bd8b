"""The level of features whose commands the log may hold.

A node of an earlier version can't decode the commands of a later one. The leader therefore raises
the level in the log once every control node, voter or learner, has said that it knows it; until
then features above the level are refused or have no effect. The level never falls.
"""

from collections.abc import Collection, Mapping

__all__ = [
    "EVACUATION_LEVEL",
    "LIVES_LEVEL",
    "NEWEST_LEVEL",
    "ORDERS_LEVEL",
    "ORPHANED_LOGS_LEVEL",
    "level_known_to_all",
]

LIVES_LEVEL = 1  # members that return under their instance id, with a start time
EVACUATION_LEVEL = 1  # evacuation of zones
ORPHANED_LOGS_LEVEL = 2  # logs of members that are gone are stored, and forgotten
ORDERS_LEVEL = 3  # promotion orders that may still be carried out are stored, and settled
# Known to this version.
NEWEST_LEVEL = max(LIVES_LEVEL, EVACUATION_LEVEL, ORPHANED_LOGS_LEVEL, ORDERS_LEVEL)


def level_known_to_all(nodes: Collection[str], answers: Mapping[str, int]) -> int:
    """Return the highest level that all control nodes know.

    Parameters
    ----------
    nodes : collection of str
        All control nodes, also learners.
    answers : mapping of str to int
        The level that each node answered; a missing node may be of an earlier version.

    Examples
    --------
    >>> level_known_to_all({"n1", "n2"}, {"n1": 1, "n2": 2, "n3": 0})
    1
    >>> level_known_to_all({"n1", "n2"}, {"n1": 1})
    0
    """
    return min((answers.get(node, 0) for node in nodes), default=0)
