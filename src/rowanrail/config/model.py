"""The declarative configuration that operators apply as a whole.

The reference page is generated from :data:`FIELD_HELP`.
"""

import enum

import msgspec


class GroupConsistency(enum.Enum):
    """Which reads may go to a replica."""

    SESSION = "session"
    STRICT = "strict"
    BOUNDED = "bounded"


class RuleKind(enum.Enum):
    """Statement kinds that routing rules can match."""

    SELECT = "select"
    SHOW = "show"
    READ_ONLY_TRANSACTION = "read-only-transaction"


class MemberSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One member of a database group."""

    name: str
    zone: str
    address: str


class LimitsSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a group."""

    connections_per_member: int = 40
    slots_per_member: int = 5
    queue_length: int = 200
    statement_deadline_seconds: float = 5.0
    transaction_idle_seconds: float = 30.0
    transaction_seconds: float = 120.0
    open_transactions: int = 20
    request_horizon_seconds: float = 86400.0
    failover_wait_seconds: float = 4.0


class RuleSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A routing rule; empty lists match everything, and the first matching rule applies."""

    replica: bool
    kinds: list[RuleKind] = []
    schemas: list[str] = []
    tables: list[str] = []
    users: list[str] = []


class BackendSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Credentials of the proxy at the members."""

    user: str = "rowanrail"
    password: str = ""


class GroupSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A database group: a primary and its replicas."""

    name: str
    databases: list[str]
    members: list[MemberSpec]
    sites: list[str] = []
    consistency: GroupConsistency = GroupConsistency.SESSION
    maximum_staleness_seconds: float = 1.0
    limits: LimitsSpec = LimitsSpec()
    rules: list[RuleSpec] = []
    backend: BackendSpec = BackendSpec()


class SiteSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A site, which consists of zones of one region."""

    name: str
    region: str
    zones: list[str]


class UserSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A user who may log in at the proxy. ``password_hash`` is MySQL's double SHA-1, in hex."""

    name: str
    password_hash: str
    databases: list[str] = []


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete configuration: sites, groups and users."""

    sites: list[SiteSpec] = []
    groups: list[GroupSpec] = []
    users: list[UserSpec] = []

    def zones(self) -> set[str]:
        """Return the zones of all sites."""
        return {zone for site in self.sites for zone in site.zones}


class VersionedConfiguration(msgspec.Struct, frozen=True):
    """A configuration with its version.

    :param drained: members that are drained, as ``group/member``.
    """

    version: int = 0
    configuration: Configuration = Configuration()
    drained: list[str] = []

    def digest(self) -> str:
        """Return a digest that is equal for equal contents."""
        import hashlib

        return hashlib.sha256(msgspec.msgpack.encode(self)).hexdigest()[:16]


FIELD_HELP: dict[str, str] = {
    "Configuration.sites": "Sites and their zones. The zones of all members must be listed here.",
    "Configuration.groups": "Database groups.",
    "Configuration.users": "Users who may log in at the proxies.",
    "SiteSpec.name": "Name of the site.",
    "SiteSpec.region": "Region of the site.",
    "SiteSpec.zones": "Zones of the site; a zone belongs to one site.",
    "GroupSpec.name": "Name of the group.",
    "GroupSpec.databases": "Databases that the group serves; a database belongs to one group.",
    "GroupSpec.members": "Members of the group; an odd number of at least three.",
    "GroupSpec.sites": "Sites whose proxies serve the group; empty means all.",
    "GroupSpec.consistency": "`session`: a session sees its own changes and all changes that were "
    "acknowledged before it was opened. `strict`: a read sees all changes that were acknowledged "
    "before it. `bounded`: reads may be stale by up to `maximum_staleness_seconds`, but a session "
    "sees its own changes.",
    "GroupSpec.maximum_staleness_seconds": "Maximum staleness of reads with `bounded`.",
    "GroupSpec.limits": "Limits of the group.",
    "GroupSpec.rules": "Routing rules for reads; the first matching rule applies. Without a match "
    "a read may go to a replica.",
    "GroupSpec.backend": "Credentials at the members.",
    "MemberSpec.name": "Name of the member, unique in the group.",
    "MemberSpec.zone": "Zone of the member.",
    "MemberSpec.address": "`host:port` of the member; the host is an IP number.",
    "LimitsSpec.connections_per_member": "Maximum number of connections of all proxies together to "
    "a member. Each proxy gets an equal share.",
    "LimitsSpec.slots_per_member": "Maximum number of concurrent statements at a member.",
    "LimitsSpec.queue_length": "Maximum number of statements that wait at a proxy for the group.",
    "LimitsSpec.statement_deadline_seconds": "Maximum duration of a statement, including waiting.",
    "LimitsSpec.transaction_idle_seconds": "Maximum idle time of an open transaction.",
    "LimitsSpec.transaction_seconds": "Maximum duration of a transaction.",
    "LimitsSpec.open_transactions": "Maximum number of open transactions at a proxy for the group.",
    "LimitsSpec.request_horizon_seconds": "Time for which request ids are remembered.",
    "LimitsSpec.failover_wait_seconds": "Time a write waits for a new primary before it is "
    "refused as not run.",
    "RuleSpec.replica": "Whether matching reads may go to a replica.",
    "RuleSpec.kinds": "Statement kinds that the rule matches.",
    "RuleSpec.schemas": "Databases that the rule matches.",
    "RuleSpec.tables": "Tables that the rule matches; all tables of a statement must be listed.",
    "RuleSpec.users": "Users that the rule matches.",
    "BackendSpec.user": "User at the members.",
    "BackendSpec.password": "Password at the members; never shown.",
    "UserSpec.name": "Name of the user.",
    "UserSpec.password_hash": "Hex of SHA1(SHA1(password)); `rowanrail hash-password` prints it.",
    "UserSpec.databases": "Databases that the user may use; empty means all.",
}
