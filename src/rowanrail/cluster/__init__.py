"""The shell of a node of the replicated log, whatever the log decides.

Owns a node's data folder at its start, admission and removal of nodes, and the messages for that.
Relies on ``consensus`` for the log itself; both kinds of control nodes use it.
"""
