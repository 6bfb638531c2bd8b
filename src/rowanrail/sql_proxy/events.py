"""Log events of the proxy (numbers 200 to 299).

Owns the numbers and fields, which operators' tools know.
"""

from rowanrail.kernel.events import Level, define

PROXY_STARTED = define(
    200, Level.INFO, "proxy {name} started, callers {listen}", "The daemon serves. Nothing to do."
)
PROXY_STOPPING = define(
    201, Level.INFO, "proxy {name} stops as planned", "New work is refused, what runs may end."
)
PROXY_STOPPED = define(202, Level.INFO, "proxy {name} stopped", "A planned stop ended.")
CONFIGURATION_IN_FORCE = define(
    210, Level.INFO, "configuration version {version} is in force", "A newer version was taken."
)
OLDER_CONFIGURATION = define(
    211,
    Level.WARNING,
    "configuration version {offered} was offered, {in_force} stays in force",
    "A control node or peer is behind. It catches up by itself; if not, look at its log.",
)
UNCONFIRMED_CONFIGURATION = define(
    212,
    Level.WARNING,
    "version {version} was taken from {source}; the leader has not confirmed it",
    "No majority of the control nodes answered at the start. A newer version may exist.",
)
CONTROL_UNREACHABLE = define(
    213,
    Level.WARNING,
    "control node {peer} does not answer: {error}",
    "The proxy goes on with the version in force and asks the next node.",
)
DIRECTORY_UNREACHABLE = define(
    220,
    Level.WARNING,
    "the platform's list can't be read: {error}",
    "Leaving members are still noticed by drains and by what they report themselves.",
)
