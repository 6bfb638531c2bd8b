"""Log events of the control node (numbers 100 to 199).

Owns the numbers and fields, which operators' tools know.
"""

from rowanrail.kernel.events import Level, define

CONTROL_STARTED = define(
    100,
    Level.INFO,
    "control node {node} started, rpc {rpc}, http {http}",
    "The daemon serves. Nothing to do.",
)
CONTROL_STOPPED = define(101, Level.INFO, "control node {node} stopped", "A planned stop ended.")
LEADER_CHANGED = define(
    110,
    Level.INFO,
    "leader of term {term} is {leader}",
    "An election ended. Often: the leader's machine or its links are unsteady.",
)
VERSION_ACCEPTED = define(
    111, Level.INFO, "version {version} is committed", "A configuration change was accepted."
)
TAIL_TRUNCATED = define(
    121,
    Level.WARNING,
    "{bytes} bytes of an unsynced log tail were cut",
    "Expected after a power loss or kill. Nothing that was promised is lost.",
)
FOLDER_FAILED = define(
    122,
    Level.ERROR,
    "the data folder failed, the node takes no part: {error}",
    "Do what the error says; the other nodes go on while a majority is left. The node tries its "
    "folder again twice a second.",
)
FOLDER_RECOVERED = define(
    124,
    Level.INFO,
    "the data folder takes writes again, the node takes part in term {term}",
    "It goes on with what is durable, as after a restart.",
)
