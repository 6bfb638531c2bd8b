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
NOT_ADMITTED = define(
    417,
    Level.WARNING,
    "not a member of the control nodes for {seconds} s: {problems}",
    "No control node that this one knows could have it admitted, so that it takes no part in a "
    "majority. Expected for some seconds after a start with an empty data folder. If it persists, "
    "name running control nodes in the settings; they are read again.",
)
PROMOTION_DECIDED = define(
    420,
    Level.WARNING,
    "promoting {instance} of {service} with token {token}: {reason}",
    "The leader replaces a primary. In a failover, the field logs has each member's position.",
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
    "The leader retries shortly. The field logs has each member's position.",
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
ANNOUNCEMENT_REJECTED = define(
    470,
    Level.WARNING,
    "{count} announcements were rejected, the last of {instance}: {problem}",
    "They are invalid or contradict a known member, and changed nothing: another program writes "
    "announcements, or a member has a bug. At most one line a second.",
)
MEMBER_LIMIT_REACHED = define(
    471,
    Level.ERROR,
    "{count} new members were not added, the last {instance}: {problem}",
    "Known members are not affected. Look for a program that announces made-up members.",
)
MEMBER_STARTED_AGAIN = define(
    472,
    Level.WARNING,
    "{instance} of {service} started again at {start_ms}, before that at {earlier_ms}",
    "Gateways forget what they knew of its earlier life. If the later start has the lower time, "
    "the clock was stepped back, and the member was heard for a while before it was used.",
)
REMOVAL_DOUBTED = define(
    473,
    Level.WARNING,
    "{instance} of {service} was removed, but the removal may be that of an earlier life",
    "It is added again once it has announced itself twice.",
)
MEMBER_READMITTED = define(
    474,
    Level.WARNING,
    "{instance} of {service} is a member again: it goes on announcing itself",
    "Its removal was that of an earlier life, or another member at its address is silent.",
)
PROMOTION_REPEATED = define(
    423,
    Level.WARNING,
    "ordering that {instance} leads {service}, with token {token}: {reason}",
    "An earlier order has no known outcome. The newer fencing token makes it void; for a member "
    "that leads the order changes nothing.",
)
ORDERS_OUTSTANDING = define(
    424,
    Level.WARNING,
    "orders for {service} may still be carried out: {orders}; replicas that receive: {receiving}",
    "The platform has not answered these orders, given with their fencing tokens. Until a newer "
    "one is answered, only replicas receive that keep acknowledged commits in the logs of the "
    "members named. If it persists, the platform's promote call does not answer.",
)
ORDERS_SETTLED = define(
    425,
    Level.INFO,
    "no order for {service} up to token {token} can take effect any more; {instance} leads",
    "All replicas may receive again.",
)
ORDERS_NOT_SETTLED = define(
    426,
    Level.WARNING,
    "orders and pauses of {service} are not settled yet: {reason}",
    "The leader tries again shortly.",
)
REPLICAS_RESUMED = define(
    427,
    Level.INFO,
    "replicas {replicas} of {service} receive again",
    "The leader ended a pause that preceded a promotion, or may have.",
)
MOVE_BEGAN = define(
    480,
    Level.INFO,
    "moving the primary of {service} from {former} to {instance} with token {token}: {reason}",
    "The leader demotes a primary that still serves. Writes wait until the new one leads.",
)
MOVE_DEMOTED = define(
    481,
    Level.INFO,
    "{former} of {service} no longer leads; {instance} must receive {position}",
    "The position is the last one that may have been acknowledged.",
)
MOVE_CAUGHT_UP = define(
    482,
    Level.INFO,
    "{instance} of {service} has received {position} of {former}, after {seconds} s",
    "No acknowledged commit is lost: it is promoted now (RR0420).",
)
MOVE_RETURNED = define(
    483,
    Level.WARNING,
    "the primary of {service} returns to {former}",
    "No other member received all commits in time. The leader tries to move it again later.",
)
MOVE_WAITS = define(
    484,
    Level.WARNING,
    "the primary of {service} must move ({cause}), but the move waits: {reason}",
    "The leader retries shortly. Start a member that may succeed if there is none.",
)
ORPHANED_LOGS_FORGOTTEN = define(
    485,
    Level.INFO,
    "failovers no longer wait for the logs of {logs}",
    "These members are gone. Every present member has received what their logs may hold, or no "
    "replica of the service acknowledges commits.",
)
