"""Log events of control nodes for gateways (numbers 400 to 499).

Numbers and fields are read by operators' tools and by ``rowanrail explain``: they don't change.
"""

from rowanrail.kernel.catalogue import Level, define

NODE_STARTED = define(
    400, Level.INFO, "control node {node} started", "The process takes part in the log."
)
NODE_STOPPED = define(401, Level.INFO, "control node {node} stopped", "A planned stop ended.")
SETTINGS_NOT_READ = define(
    402,
    Level.INFO,
    "node {node} goes on with the settings of its start",
    "SIGHUP came. Control nodes know each other by the log; other settings need a restart.",
)
LEADER_KNOWN = define(
    410,
    Level.INFO,
    "leader of term {term} is {leader}",
    "An election ended, or this node heard of the leader. Often: a machine or link is unsteady.",
)
LEADER_LOST = define(
    411,
    Level.WARNING,
    "no leader is known in term {term}",
    "Changes wait for an election. If it stays: start a majority of the control nodes.",
)
VERSION_COMMITTED = define(
    412, Level.INFO, "version {version} is committed", "A configuration is durable on a majority."
)
DOCUMENT_REFUSED = define(
    413,
    Level.WARNING,
    "a configuration was refused: {problems}",
    "It is invalid as a whole; nothing of it is in force.",
)
DOCUMENT_UNANSWERED = define(
    414,
    Level.WARNING,
    "version {version} has no clear outcome: {reason}",
    "No majority answered in time. Sending the same configuration again is safe.",
)
DIRECTORY_COMMITTED = define(
    415,
    Level.INFO,
    "members of revision {revision} are committed",
    "A member came, left or changed its role.",
)
MEMBERSHIP_CHANGED = define(
    416,
    Level.INFO,
    "control nodes: voters {voters}, learners {learners}",
    "A control node was admitted, replaced or removed.",
)
PROMOTION_DECIDED = define(
    420,
    Level.WARNING,
    "promoting {instance} of {service} under token {token}: {reason}",
    "The holder of the failover duty replaces a primary.",
)
PROMOTION_ANSWERED = define(
    421,
    Level.WARNING,
    "the order to promote {instance} of {service} was {outcome}",
    "Unknown means that it may still be carried out; statuses tell.",
)
PROMOTION_WAITS = define(
    422,
    Level.WARNING,
    "{service} needs a primary ({cause}), but: {reason}",
    "The duty's holder tries again in a moment.",
)
HOLDERS_CHANGED = define(
    445,
    Level.INFO,
    "{part} in {group} goes from {before} to {after}: {cause}",
    "The leader's plan of holders changed. The fields give the statements a second that are asked "
    "for of the part, and the load of the busiest gateway concerned before and after.",
)
SHARES_CHANGED = define(
    446,
    Level.INFO,
    "connections of {service} are divided anew: {part} in {group} was short by {factor}",
    "Half of a member's connections are divided evenly, half by demand.",
)
PLAN_ENDED = define(
    447,
    Level.INFO,
    "plan {number} has ended",
    "The settings of the control nodes say that holders are hashed.",
)
PLAN_NOT_LOGGED = define(
    448,
    Level.WARNING,
    "a plan of holders was not logged: {reason}",
    "Holders stay as they are. The leader looks again after 5 s.",
)
STORAGE_LOST = define(
    430,
    Level.ERROR,
    "the data folder failed, the node takes no part: {reason}",
    "Do what the reason says; the other nodes go on while a majority is left. The node tries its "
    "folder again twice a second. The fields give the role that it had, and the newest version "
    "and revision that it knows.",
)
STORAGE_REGAINED = define(
    431,
    Level.INFO,
    "the data folder takes writes again, the node takes part in term {term}",
    "It goes on with what is durable, as after a restart.",
)
