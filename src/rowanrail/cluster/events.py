"""Log events of a control node that joins a cluster (numbers 120 and 123).

Shared by both kinds of control nodes. Operators' tools read the numbers and fields.
"""

from rowanrail.kernel.events import Level, define

NODE_JOINING = define(
    120,
    Level.WARNING,
    "the data folder is empty: joining as the new node {node}",
    "Expected on a new or replaced machine. The node has no vote until it is admitted.",
)


JOIN_REFUSED = define(
    123,
    Level.WARNING,
    "joining through {peer} failed: {error}",
    "The node tries the next peer. If it persists, start a majority of the others.",
)
