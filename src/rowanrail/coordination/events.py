"""Log events of control nodes for gateways (numbers 400 to 499).

Operators' tools and ``rowanrail explain`` read the numbers and fields, which must not change.
"""

from rowanrail.kernel.catalogue import Level, define

NODE_STARTED = define(
    400, Level.INFO, "control node {node} started", "The node takes part in the replicated log."
)
NODE_STOPPED = define(
    401, Level.INFO, "control node {node} stopped", "The node was stopped by a signal."
)
SETTINGS_NOT_READ = define(
    402,
    Level.INFO,
    "node {node} does not reload its settings",
    "SIGHUP was received. Control nodes know each other from the log; other settings need a "
    "restart.",
)
LEADER_KNOWN = define(
    410,
    Level.INFO,
    "leader of term {term} is {leader}",
    "An election ended, or this node heard of the leader. If frequent, a machine or a network link "
    "is unstable.",
)
LEADER_LOST = define(
    411,
    Level.WARNING,
    "no leader is known in term {term}",
    "Changes wait for an election. If it persists, start a majority of the control nodes.",
)
VERSION_COMMITTED = define(
    412,
    Level.INFO,
    "configuration version {version} is committed",
    "The configuration is durable on a majority.",
)
DOCUMENT_REFUSED = define(
    413,
    Level.WARNING,
    "a configuration was rejected: {problems}",
    "It is invalid, and no part of it is applied.",
)
DOCUMENT_UNANSWERED = define(
    414,
    Level.WARNING,
    "the outcome of configuration version {version} is unknown: {reason}",
    "No majority answered in time. Sending the same configuration again is safe.",
)
DIRECTORY_COMMITTED = define(
    415,
    Level.INFO,
    "directory revision {revision} is committed",
    "A member or gateway was added, removed or changed.",
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
    "promoting {instance} of {service} with token {token}: {reason}",
    "The leader replaces a primary.",
)
PROMOTION_ANSWERED = define(
    421,
    Level.WARNING,
    "the order to promote {instance} of {service} was {outcome}",
    "Unknown means that it may still be carried out; the members' statuses tell whether it was.",
)
PROMOTION_WAITS = define(
    422,
    Level.WARNING,
    "{service} needs a primary ({cause}), but failover waits: {reason}",
    "The leader retries shortly.",
)
FEATURE_LEVEL_RAISED = define(
    475,
    Level.INFO,
    "feature level {feature_level} is committed",
    "Every control node knows the commands of this level. Control nodes of earlier versions must "
    "not join from now on.",
)
FEATURE_LEVEL_HELD_BACK = define(
    476,
    Level.WARNING,
    "feature level {newest} waits for {nodes}",
    "These control nodes don't answer, or are of an earlier version. Evacuations are refused "
    "meanwhile, and starts of members are not recorded. Upgrade or remove the nodes.",
)
EVACUATIONS_COMMITTED = define(
    477,
    Level.WARNING,
    "evacuated zones are {zones} (revision {revision})",
    "An operator's order is durable on a majority. Gateways send no statements to members in these "
    "zones.",
)
EVACUATION_REFUSED = define(
    478,
    Level.WARNING,
    "an order for zone {zone} was rejected: {reason}",
    "Neither the settings nor a member name this zone.",
)
EVACUATION_UNANSWERED = define(
    479,
    Level.WARNING,
    "the outcome of an order for zone {zone} is unknown: {reason}",
    "No majority answered in time, or a control node is of an earlier version. Sending the same "
    "order again is safe.",
)
HOLDERS_CHANGED = define(
    445,
    Level.INFO,
    "holders of {part} in {group} changed from {before} to {after}: {cause}",
    "The leader's plan of holders changed. The fields give the demand of the part in statements "
    "per second, and the load of the busiest affected gateway before and after.",
)
SHARES_CHANGED = define(
    446,
    Level.INFO,
    "connections of {service} are redistributed: {part} in {group} was short by {factor}",
    "Half of a member's connections are divided evenly, half by demand.",
)
PLAN_ENDED = define(
    447,
    Level.INFO,
    "plan {number} has ended",
    "The control nodes' settings select hashed holders.",
)
PLAN_NOT_LOGGED = define(
    448,
    Level.WARNING,
    "a plan of holders was not committed: {reason}",
    "The holders stay as they are. The leader checks again after 5 s.",
)
STORAGE_LOST = define(
    430,
    Level.ERROR,
    "the data folder failed, the node is inactive: {reason}",
    "Do what the reason says; the other nodes continue while a majority is left. The node retries "
    "its folder twice a second. The fields give its former role, and the newest version and "
    "revision that it knows.",
)
STORAGE_REGAINED = define(
    431,
    Level.INFO,
    "the data folder is writable again, the node is active in term {term}",
    "It continues from what is durable, as after a restart.",
)
