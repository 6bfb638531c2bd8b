"""Log events of the gateway (numbers 300 to 399).

For whatever logs a decision, and for the page of events that is made from them. Numbers, levels and
fields are an edge: they stay. Relies on the catalogue, in which each number stands once.
"""

from rowanrail.kernel.catalogue import Level, define

ANSWERED = define(
    300,
    Level.INFO,
    "statement {request} succeeded",
    "A read, write or commit was answered. Left out first when the budget is used up.",
)
REFUSED = define(
    301,
    Level.WARNING,
    "statement {request} was answered with {outcome}: {reason}",
    "The fields say what decided it: the primary believed in, the age of its last sample, the "
    "version.",
)
CONFIGURATION_TAKEN = define(
    310, Level.INFO, "version {version} is in force", "The proxy took a newer configuration."
)
MEMBERS_TAKEN = define(
    311,
    Level.INFO,
    "members of revision {revision} are known",
    "Members came, left, changed their role, or the gateways changed.",
)
CONTROL_LOST = define(
    312,
    Level.WARNING,
    "control node {peer} does not answer: {reason}",
    "The proxy asks the next one and goes on with what is in force.",
)
CONTROL_REGAINED = define(
    313, Level.INFO, "control node {peer} answers", "The proxy follows changes again."
)
PRIMARY_LOST = define(
    314,
    Level.WARNING,
    "the primary {instance} of {service} does not prove that it leads",
    "All attempts have failed for a while. The control nodes are told, and may replace it.",
)
PRIMARY_PROVED = define(
    315,
    Level.INFO,
    "{instance} of {service} proved that it leads, at {position}",
    "A primary was found again after it had been lost.",
)
LINK_LOST = define(
    316,
    Level.WARNING,
    "the link to gateway {peer} is lost: {reason}",
    "Statements go to the next gateway of the zone that can hold connections.",
)
LINK_REGAINED = define(
    317, Level.INFO, "gateway {peer} takes statements again", "A lost link stands again."
)
DETOUR_FOUND = define(
    318,
    Level.WARNING,
    "gateway {peer} reaches the primary of {service}, which this one does not",
    "Reads run here with floors from its samples; writes and transactions run on its connections.",
)
PROVISIONAL_TAKEN = define(
    319,
    Level.INFO,
    "version {version} is taken from what a majority of the control nodes holds",
    "They know no leader yet. What is taken is provisional, until a leader is known.",
)
PLAN_TAKEN = define(
    355,
    Level.INFO,
    "plan {number} names holders of {parts} parts",
    "The control nodes planned who holds connections. The field `held` lists what is held here.",
)
# Above the level of answered statements, which use up a busy holder's budget of informative lines.
HOLDING_BEGUN = define(
    356,
    Level.WARNING,
    "{part} is held here from plan {number} on: {cause}",
    "For 2 s half of its share of the connections is opened; see event 445 for the figures.",
)
HOLDING_ENDED = define(
    357,
    Level.WARNING,
    "{part} is held elsewhere from plan {number} on",
    "What is under way is finished here; idle connections are closed.",
)
GATEWAY_STARTED = define(
    320, Level.INFO, "gateway {name} started in zone {zone}", "The process serves."
)
GATEWAY_STOPPING = define(
    321,
    Level.INFO,
    "gateway {name} is stopping with {sessions} sessions",
    "A planned stop began: the process no longer calls itself ready.",
)
GATEWAY_STOPPED = define(322, Level.INFO, "gateway {name} stopped", "A planned stop ended.")
GATEWAY_RELOADED = define(
    323,
    Level.INFO,
    "settings were read again: {reason}",
    "The list of control nodes is taken; other settings need a restart.",
)
KEY_UNKNOWN = define(
    330,
    Level.WARNING,
    "a client of {database} named a key that no tenant holds",
    "It was refused and its connection closed. The key itself is never logged.",
)
KEY_WITHDRAWN = define(
    331,
    Level.INFO,
    "the key of session {session} of tenant {tenant} was withdrawn",
    "Version {version} no longer gives it to the tenant. A statement under way was answered.",
)
ROUTE_MISSING = define(
    333,
    Level.WARNING,
    "version {version} has no route for {database}",
    "The client was refused. If a newer version has the route, look at the control node that "
    "this proxy follows, and how long ago that node said that it holds all that is committed.",
)
OVER_QUOTA = define(
    332,
    Level.WARNING,
    "an operation of tenant {tenant} is beyond its limit",
    "It was rejected at once and has not run. The fields give the limit, what began "
    "and was asked for at all gateways, which part may begin, the age of these sums, and from "
    "which share of the gateways they come; the others are assumed to run as much. Of a tenant's "
    "operations the urgent ones begin first: `urgency` is the priority of its route.",
)
MEMBER_FELL = define(
    350,
    Level.WARNING,
    "{instance} of {service} lost most of its weight: {reason}",
    "Reads go elsewhere while others serve them. It gets its weight back by this gateway's own "
    "probes, more slowly the more often it fell within half a minute.",
)
MEMBER_ROSE = define(
    351,
    Level.INFO,
    "{instance} of {service} has its weight back",
    "It answered probes; reads go there again.",
)
DIRECTORY_DIFFERS = define(
    360,
    Level.WARNING,
    "changes from {peer} since revision {since} lead to another directory than its own",
    "The gateway goes on with the one in force and asks for the whole at once. This is usual while "
    "processes of different versions run beside each other; otherwise it is a fault.",
)
