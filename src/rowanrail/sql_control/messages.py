"""Messages of the control plane, and the commands in its log.

For control nodes, proxies and the operators' interface. Owns the messages' names and fields, which
are stored and which processes of other versions know; relies on ``rpc.codec``.
"""

import enum

import msgspec

from rowanrail.cluster.messages import ProxyReport
from rowanrail.config.diff import Change
from rowanrail.config.model import Configuration, GroupSpec, SiteSpec, UserSpec
from rowanrail.rpc.codec import message


class ConfigurationDelta(msgspec.Struct, frozen=True):
    """What to put into and remove from a configuration; removals are by name."""

    sites: list[SiteSpec] = []
    groups: list[GroupSpec] = []
    users: list[UserSpec] = []
    removed_sites: list[str] = []
    removed_groups: list[str] = []
    removed_users: list[str] = []
    drained: list[str] = []
    undrained: list[str] = []


class ChangeCommand(msgspec.Struct, frozen=True):
    """A command in the log: a change of the configuration.

    :param change_id: names the change; a resend carries the same one.
    :param base_version: version that the delta was made against.
    :param explicit: whether the operator demanded that version.
    :param digest: digest of the operator's request, to tell a resend from another change.
    """

    change_id: str
    author: str
    time: str
    base_version: int
    explicit: bool
    digest: str
    delta: ConfigurationDelta
    changes: list[Change] = []


class Verdict(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    REBASE = "rebase"
    REUSED_ID = "reused-id"


class Outcome(msgspec.Struct, frozen=True):
    """Result of a change, the same for each resend.

    :param winner: on a conflict, the author and change id that were first.
    """

    verdict: Verdict
    version: int
    winner: str = ""


class Revision(msgspec.Struct, frozen=True):
    """One accepted version in the history."""

    version: int
    change_id: str
    author: str
    time: str
    changes: list[Change]


@message("ApplyRequest")
class ApplyRequest(msgspec.Struct, frozen=True):
    """An operator's configuration; sent to the leader."""

    change_id: str
    author: str
    expected_version: int | None
    configuration: Configuration


@message("DrainRequest")
class DrainRequest(msgspec.Struct, frozen=True):
    """Drain members (``group/member``), or end their drain."""

    change_id: str
    author: str
    members: list[str]
    drain: bool


@message("RollbackRequest")
class RollbackRequest(msgspec.Struct, frozen=True):
    """Make the contents of an earlier version a new version."""

    change_id: str
    author: str
    version: int


@message("ChangeReply")
class ChangeReply(msgspec.Struct, frozen=True):
    """Answer to the requests above."""

    outcome: Outcome


@message("ReadRequest")
class ReadRequest(msgspec.Struct, frozen=True):
    """Read the configuration and history through the leader."""


@message("ReadReply")
class ReadReply(msgspec.Struct, frozen=True):
    """Answer to :class:`ReadRequest`."""

    version: int
    configuration: Configuration
    drained: list[str]
    history: list[Revision]


@message("WatchRequest")
class WatchRequest(msgspec.Struct, frozen=True):
    """A proxy's heartbeat and its question for a newer configuration.

    :param known_version: version that the proxy holds, 0 for none.
    :param hold_seconds: how long the answer may be held back when nothing is newer.
    """

    report: ProxyReport
    known_version: int
    known_digest: str
    hold_seconds: float


@message("WatchReply")
class WatchReply(msgspec.Struct, frozen=True):
    """Answer to :class:`WatchRequest`: a delta, or the whole configuration, or nothing newer.

    :param confirmed: whether the leader confirmed that nothing newer was accepted.
    :param users: number of proxies that use each of the groups that the proxy uses.
    """

    version: int
    digest: str
    confirmed: bool
    whole: bool
    delta: ConfigurationDelta | None
    users: dict[str, int] = {}


@message("CensusRequest")
class CensusRequest(msgspec.Struct, frozen=True):
    """A control node asks another how many of its proxies use each group."""


@message("CensusReply")
class CensusReply(msgspec.Struct, frozen=True):
    """Answer to :class:`CensusRequest`: number of proxies by group."""

    users: dict[str, int]


@message("PeerConfigurationRequest")
class PeerConfigurationRequest(msgspec.Struct, frozen=True):
    """A proxy asks another proxy for the configuration that it has in force."""

    zone: str


@message("PeerConfigurationReply")
class PeerConfigurationReply(msgspec.Struct, frozen=True):
    """Answer to :class:`PeerConfigurationRequest`."""

    version: int
    configuration: Configuration
    drained: list[str]
