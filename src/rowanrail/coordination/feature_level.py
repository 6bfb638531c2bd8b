"""The level of features whose commands the log may hold.

A node of an earlier version can't decode the commands of a later one. The leader therefore raises
the level in the log once every control node, voter or learner, has said that it knows it; until
then features above the level are refused or have no effect. The level never falls.
"""

__all__ = ["EVACUATION_LEVEL", "LIVES_LEVEL", "NEWEST_LEVEL"]

LIVES_LEVEL = 1  # members that return under their instance id, with a start time
EVACUATION_LEVEL = 1  # evacuation of zones
NEWEST_LEVEL = max(LIVES_LEVEL, EVACUATION_LEVEL)  # known to this version
