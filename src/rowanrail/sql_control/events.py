"""Log events of the SQL control node (numbers 100 to 199).

Operators' tools rely on the numbers and fields.
"""

from rowanrail.kernel.events import Level, define

CONTROL_STARTED = define(
    100,
    Level.INFO,
    "control node {node} started, rpc {rpc}, http {http}",
    "The node accepts connections. No action is needed.",
)
CONTROL_STOPPED = define(
    101, Level.INFO, "control node {node} stopped", "The shutdown is complete."
)
LEADER_CHANGED = define(
    110,
    Level.INFO,
    "leader of term {term} is {leader}",
    "An election ended. Frequent elections mean that a node's machine or network is unreliable.",
)
VERSION_ACCEPTED = define(
    111, Level.INFO, "version {version} is committed", "A configuration change was committed."
)
TAIL_TRUNCATED = define(
    121,
    Level.WARNING,
    "{bytes} bytes of an unsynced log tail were truncated",
    "Expected after a power loss or kill. No durable entry is lost.",
)
FOLDER_FAILED = define(
    122,
    Level.ERROR,
    "the data folder failed, the node does not participate: {error}",
    "Follow the advice in the error; the other nodes continue while they are a majority. The node "
    "tries to reopen its folder twice a second.",
)
FOLDER_RECOVERED = define(
    124,
    Level.INFO,
    "the data folder is writable again, the node participates in term {term}",
    "The node resumed with its durable data, as after a restart.",
)
