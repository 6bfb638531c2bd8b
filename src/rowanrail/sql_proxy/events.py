"""Log events of the SQL proxy (numbers 200 to 299).

Numbers and field names are stable, because tools of operators rely on them.
"""

from rowanrail.kernel.events import Level, define

PROXY_STARTED = define(
    200,
    Level.INFO,
    "proxy {name} started, listening on {listen}",
    "The proxy accepts connections. No action is needed.",
)
PROXY_STOPPING = define(
    201,
    Level.INFO,
    "proxy {name} is shutting down",
    "New work is refused; running statements and open transactions may finish.",
)
PROXY_STOPPED = define(202, Level.INFO, "proxy {name} stopped", "The shutdown is complete.")
CONFIGURATION_IN_FORCE = define(
    210, Level.INFO, "configuration version {version} is in force", "A newer version was applied."
)
OLDER_CONFIGURATION = define(
    211,
    Level.WARNING,
    "ignored configuration version {offered}, which is older than version {in_force} in force",
    "A control node or peer is behind and should catch up. If it does not, check its log.",
)
UNCONFIRMED_CONFIGURATION = define(
    212,
    Level.WARNING,
    "applied configuration version {version} from {source} without confirmation by the leader",
    "No majority of the control nodes answered at startup. A newer version may exist.",
)
CONTROL_UNREACHABLE = define(
    213,
    Level.WARNING,
    "control node {peer} does not answer: {error}",
    "The proxy keeps the version in force and polls the next control node.",
)
DIRECTORY_UNREACHABLE = define(
    220,
    Level.WARNING,
    "can't read the platform's machine list: {error}",
    "Leaving members are still detected by drains and by their own status reports.",
)
