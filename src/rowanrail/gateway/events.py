"""Log events of the gateway (numbers 300 to 399).

The page of events is generated from them. Operators' tools and ``rowanrail explain`` read the
numbers, levels and fields, which must not change.
"""

from rowanrail.kernel.catalogue import Level, define

ANSWERED = define(
    300,
    Level.INFO,
    "statement {request} succeeded",
    "A read, write or commit succeeded. Omitted first when the budget of log lines is used up.",
)
REFUSED = define(
    301,
    Level.WARNING,
    "statement {request} was answered with {outcome}: {reason}",
    "The fields give the grounds: the assumed primary, the age of its last sample, the version.",
)
CONFIGURATION_APPLIED = define(
    310,
    Level.INFO,
    "configuration version {version} is in force",
    "A newer configuration was applied.",
)
DIRECTORY_APPLIED = define(
    311,
    Level.INFO,
    "directory revision {revision} is in force",
    "A member or gateway was added, removed or changed.",
)
CONTROL_LOST = define(
    312,
    Level.WARNING,
    "control node {peer} does not answer: {reason}",
    "The gateway polls the next one and keeps its configuration and directory.",
)
CONTROL_RESTORED = define(
    313, Level.INFO, "control node {peer} answers", "The gateway receives changes again."
)
PRIMARY_LOST = define(
    314,
    Level.WARNING,
    "the primary {instance} of {service} is lost: no sample proves its leadership",
    "All attempts have failed for some time. The control nodes are informed and may replace it.",
)
PRIMARY_PROVED = define(
    315,
    Level.INFO,
    "{instance} of {service} proved its leadership at {position}",
    "A primary was found after the loss of a primary.",
)
LINK_LOST = define(
    316,
    Level.WARNING,
    "the link to gateway {peer} is lost: {reason}",
    "Statements are forwarded to the next gateway of the zone that can hold connections.",
)
LINK_RESTORED = define(
    317, Level.INFO, "gateway {peer} accepts statements again", "A lost link is established again."
)
DETOUR_FOUND = define(
    318,
    Level.WARNING,
    "gateway {peer} can reach the primary of {service}, this gateway can't",
    "Reads run here with minimum positions from its samples; writes and transactions run on its "
    "connections.",
)
PROVISIONAL_APPLIED = define(
    319,
    Level.INFO,
    "version {version} is in force, committed by the logs of a majority of the control nodes",
    "The control nodes have no leader yet. A leader's reply replaces the members.",
)
PLAN_TAKEN = define(
    355,
    Level.INFO,
    "plan {number} assigns holders to {parts} parts",
    "The control nodes planned the holders of connections. The field `held` lists the parts that "
    "this gateway holds.",
)
# Warnings, since answered statements use up a busy holder's budget of informative lines.
HOLDING_BEGUN = define(
    356,
    Level.WARNING,
    "this gateway holds {part} from plan {number}: {cause}",
    "For 2 s half of its share of the connections is opened; see event 445 for the figures.",
)
HOLDING_ENDED = define(
    357,
    Level.WARNING,
    "another gateway holds {part} from plan {number}",
    "Running statements and transactions finish here; idle connections are closed.",
)
GATEWAY_STARTED = define(
    320, Level.INFO, "gateway {name} started in zone {zone}", "The process accepts clients."
)
GATEWAY_STOPPING = define(
    321,
    Level.INFO,
    "gateway {name} is stopping with {sessions} sessions",
    "A graceful stop began: the process is no longer ready.",
)
GATEWAY_STOPPED = define(322, Level.INFO, "gateway {name} stopped", "A graceful stop ended.")
GATEWAY_RELOADED = define(
    323,
    Level.INFO,
    "settings were reloaded: {reason}",
    "The list of control nodes is applied; other settings need a restart.",
)
KEY_UNKNOWN = define(
    330,
    Level.WARNING,
    "a client of {database} sent a key of no tenant",
    "The client was refused and its connection closed. The key itself is never logged.",
)
KEY_WITHDRAWN = define(
    331,
    Level.INFO,
    "the key of session {session} of tenant {tenant} was withdrawn",
    "Version {version} no longer assigns it to the tenant. A running statement was answered.",
)
ROUTE_MISSING = define(
    333,
    Level.WARNING,
    "version {version} has no route for {database}",
    "The client was refused. If a newer version has the route, check the control node that this "
    "gateway polls, and how long ago that node was last up to date.",
)
OVER_QUOTA = define(
    332,
    Level.WARNING,
    "an operation of tenant {tenant} exceeds its limit",
    "It was rejected immediately and did not run. The fields give the limit, the operations that "
    "were admitted and requested at all gateways, the fraction that is admitted, the age of these "
    "totals, and the share of the gateways that they cover; the others are assumed to admit as "
    "much. A tenant's urgent operations are admitted first: `urgency` is the priority of the "
    "route.",
)
EVACUATIONS_APPLIED = define(
    340,
    Level.WARNING,
    "evacuated zones are {zones} (revision {revision})",
    "From now on no statement that another member can run is sent to members in these zones. A "
    "primary there is used until RR0341.",
)
ZONE_CLOSED = define(
    341,
    Level.WARNING,
    "zone {zone} is closed",
    "Nothing is sent to members in this zone: transactions that were open there have been aborted, "
    "its primaries are not sampled, and idle connections are closed.",
)
MEMBER_LEAVES = define(
    342,
    Level.WARNING,
    "{instance} of {service} leaves",
    "Reads go to other members from now on. `primary` tells whether it announces itself as "
    "primary, `unknown_for` how many seconds ago it was known not to leave.",
)
LEAVING_MEMBER_USED = define(
    343,
    Level.WARNING,
    "{instance} of {service} has been leaving for {leaving_for} s and is sent a statement",
    "It is presumed to be the primary, which has not been replaced, or this gateway has not "
    "learned of its replacement. `primary` tells whether it announces itself as primary, "
    "`proved_ago` how many seconds ago a primary last proved its leadership to this gateway.",
)
REGIONS_APPLIED = define(
    344,
    Level.INFO,
    "version {version} binds {routes} routes and {tenants} tenants to regions",
    "Their statements run at members in these regions only, and their text is sent to gateways "
    "there only.",
)
REGIONS_UNKNOWN = define(
    345,
    Level.WARNING,
    "version {version} names regions without a zone in the settings: {regions}",
    "A route or tenant that is bound to these alone is refused at once, with cause "
    "`outside-regions`. Check the names in `allowed-regions`, and the regions in the settings.",
)
RECEIVED_OUTSIDE = define(
    346,
    Level.WARNING,
    "a gateway sent a statement of {database} to region {region}, which its regions exclude",
    "The sender has an earlier version of the program or of the configuration. The statement still "
    "runs at members in its regions only.",
)
MEMBER_WARMS_UP = define(
    347,
    Level.WARNING,
    "{instance} of {service} warms up for {seconds} s: {cause}",
    "All gateways together send it at most `rate` statements a second; `part` is how many of them "
    "this gateway may send now, 0 if others do.",
)
WARM_UP_PART = define(
    348,
    Level.WARNING,
    "this gateway may send {part} of the {rate} statements a second to warming members of "
    "{service}",
    "The senders have changed, the time of a handover is over, or the lease on the directory has "
    "ended or begun. `senders` lists the gateways of this group that may send.",
)
MEMBER_WARM = define(
    349,
    Level.WARNING,
    "{instance} of {service} is warm",
    "Its limit no longer applies. `sent` and `turned_away` count the commands that this gateway "
    "sent to it while it warmed up, and the statements that it rejected, since the gateway's "
    "start.",
)
MEMBER_FELL = define(
    350,
    Level.WARNING,
    "the weight of {instance} of {service} is reduced: {reason}",
    "Reads go to other members while these can serve them. Successful probes of this gateway "
    "restore the weight, more slowly the more often it was reduced within half a minute.",
)
MEMBER_ROSE = define(
    351,
    Level.INFO,
    "the weight of {instance} of {service} is restored",
    "It answered probes; reads are sent to it again.",
)
DIRECTORY_MISMATCH = define(
    360,
    Level.WARNING,
    "the update from {peer} since revision {since} does not match its digest",
    "The gateway keeps its directory and requests a full update immediately. This is expected "
    "while processes of different versions run together; otherwise it is a fault.",
)
