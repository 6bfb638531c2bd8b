"""Messages of the SQL control plane and the commands in its log.

Their names and fields are part of the wire and storage formats.
"""

import enum

import msgspec

from rowanrail.cluster.messages import ProxyReport
from rowanrail.config.diff import Change
from rowanrail.config.model import Configuration, GroupSpec, SiteSpec, UserSpec
from rowanrail.rpc.codec import message


class ConfigurationDelta(msgspec.Struct, frozen=True):
    """Additions to and removals from a configuration; removals are by name.

    :param drained: members to drain, as ``group/member``.
    :param undrained: members whose drain ends.
    """

    sites: list[SiteSpec] = []
    groups: list[GroupSpec] = []
    users: list[UserSpec] = []
    removed_sites: list[str] = []
    removed_groups: list[str] = []
    removed_users: list[str] = []
    drained: list[str] = []
    undrained: list[str] = []


class ChangeCommand(msgspec.Struct, frozen=True):
    """Log command that changes the configuration.

    :param change_id: id of the change, which a resend repeats.
    :param base_version: version that the delta is based on.
    :param explicit: whether the operator named the base version.
    :param digest: digest of the operator's request, which distinguishes a resend from a reused id.
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
    """Result of a change.

    ``REBASE`` is internal to the service, which makes the change again on the newer version.
    """

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    REBASE = "rebase"
    REUSED_ID = "reused-id"


class Outcome(msgspec.Struct, frozen=True):
    """Verdict on a change and the resulting version; the same for each resend.

    :param winner: on a conflict, author and id of the change that followed the base version.
    """

    verdict: Verdict
    version: int
    winner: str = ""


class Revision(msgspec.Struct, frozen=True):
    """History entry of an accepted change."""

    version: int
    change_id: str
    author: str
    time: str
    changes: list[Change]


@message("ApplyRequest")
class ApplyRequest(msgspec.Struct, frozen=True):
    """Replace the configuration; sent to the leader."""

    change_id: str
    author: str
    expected_version: int | None
    configuration: Configuration


@message("DrainRequest")
class DrainRequest(msgspec.Struct, frozen=True):
    """Begin or end the drain of members, given as ``group/member``."""

    change_id: str
    author: str
    members: list[str]
    drain: bool


@message("RollbackRequest")
class RollbackRequest(msgspec.Struct, frozen=True):
    """Apply the configuration of an earlier version as a new version."""

    change_id: str
    author: str
    version: int


@message("ChangeReply")
class ChangeReply(msgspec.Struct, frozen=True):
    """Answer to :class:`ApplyRequest`, :class:`DrainRequest` and :class:`RollbackRequest`."""

    outcome: Outcome


@message("ReadRequest")
class ReadRequest(msgspec.Struct, frozen=True):
    """Read the configuration and its history from the leader."""


@message("ReadReply")
class ReadReply(msgspec.Struct, frozen=True):
    """Answer to :class:`ReadRequest`."""

    version: int
    configuration: Configuration
    drained: list[str]
    history: list[Revision]


@message("WatchRequest")
class WatchRequest(msgspec.Struct, frozen=True):
    """A proxy's report and long poll for a newer configuration.

    :param known_version: version that the proxy holds, 0 for none.
    :param known_digest: digest of the configuration that the proxy holds.
    :param hold_seconds: maximum wait for a newer version, in seconds.
    """

    report: ProxyReport
    known_version: int
    known_digest: str
    hold_seconds: float


@message("WatchReply")
class WatchReply(msgspec.Struct, frozen=True):
    """Answer to :class:`WatchRequest`: a delta, the whole configuration, or nothing newer.

    :param digest: digest of the zone's configuration at ``version``.
    :param confirmed: whether the node had applied all changes that were committed at the request;
        checked only if the proxy holds no version.
    :param whole: whether ``delta`` is the whole configuration.
    :param delta: changes to apply; None if nothing is newer.
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
    """A control node's request for the proxy counts of another one."""


@message("CensusReply")
class CensusReply(msgspec.Struct, frozen=True):
    """Answer to :class:`CensusRequest`: number of the node's proxies by group."""

    users: dict[str, int]


@message("PeerConfigurationRequest")
class PeerConfigurationRequest(msgspec.Struct, frozen=True):
    """A proxy's request for the configuration that another proxy has in force."""

    zone: str


@message("PeerConfigurationReply")
class PeerConfigurationReply(msgspec.Struct, frozen=True):
    """Answer to :class:`PeerConfigurationRequest`."""

    version: int
    configuration: Configuration
    drained: list[str]
