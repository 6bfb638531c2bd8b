"""The declarative configuration that operators apply as a whole.

The field documentation in :data:`FIELD_HELP` feeds the generated reference page.
"""

import enum

import msgspec


class GroupConsistency(enum.Enum):
    """Which reads may go to a replica."""

    SESSION = "session"
    STRICT = "strict"
    BOUNDED = "bounded"


class RuleKind(enum.Enum):
    """Statement kinds that rules can name."""

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
    """One routing rule; empty lists match everything, the first match decides."""

    replica: bool
    kinds: list[RuleKind] = []
    schemas: list[str] = []
    tables: list[str] = []
    users: list[str] = []


class BackendSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the proxy logs in at the members."""

    user: str = "rowanrail"
    password: str = ""


class GroupSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A database group: members that hold the same data under one primary."""

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
    """A site: zones of one region."""

    name: str
    region: str
    zones: list[str]


class UserSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller of the proxy. ``password_hash`` is the double SHA-1 of MySQL, in hex."""

    name: str
    password_hash: str
    databases: list[str] = []


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that operators declare."""

    sites: list[SiteSpec] = []
    groups: list[GroupSpec] = []
    users: list[UserSpec] = []

    def zones(self) -> set[str]:
        """Return the zones of all sites."""
        return {zone for site in self.sites for zone in site.zones}


class VersionedConfiguration(msgspec.Struct, frozen=True):
    """A configuration with the version at which it was accepted.

    :param drained: members that operators have drained, as ``group/member``.
    """

    version: int = 0
    configuration: Configuration = Configuration()
    drained: list[str] = []

    def digest(self) -> str:
        """Return a digest of the contents, equal for equal contents."""
        import hashlib

        return hashlib.sha256(msgspec.msgpack.encode(self)).hexdigest()[:16]


FIELD_HELP: dict[str, str] = {
    "Configuration.sites": "Sites and their zones. Every zone that a member names must be here.",
    "Configuration.groups": "Database groups.",
    "Configuration.users": "Callers that may log in at the proxies.",
    "SiteSpec.name": "Name of the site.",
    "SiteSpec.region": "Region of the site.",
    "SiteSpec.zones": "Zones of the site; a zone belongs to one site.",
    "GroupSpec.name": "Name of the group.",
    "GroupSpec.databases": "Databases that the group serves; a database belongs to one group.",
    "GroupSpec.members": "Members of the group; an odd number of at least three.",
    "GroupSpec.sites": "Sites whose proxies serve the group; empty means all.",
    "GroupSpec.consistency": "`session`: a session sees its own changes, and a new session all "
    "that was acknowledged before it opened. `strict`: each read sees all that was acknowledged "
    "before it. `bounded`: reads may be late by `maximum_staleness_seconds`, but a session sees "
    "its own changes.",
    "GroupSpec.maximum_staleness_seconds": "Bound for `bounded`.",
    "GroupSpec.limits": "Limits of the group.",
    "GroupSpec.rules": "Routing rules for reads; the first that matches decides. Without a match "
    "a read may go to a replica.",
    "GroupSpec.backend": "Login at the members.",
    "MemberSpec.name": "Name of the member, unique in the group.",
    "MemberSpec.zone": "Zone of the member.",
    "MemberSpec.address": "`host:port` of the member; the host is an IP number.",
    "LimitsSpec.connections_per_member": "Connections that all proxies together may hold to a "
    "member. Each proxy gets an equal share of it.",
    "LimitsSpec.slots_per_member": "Statements that a member runs at a time.",
    "LimitsSpec.queue_length": "Statements that may wait at a proxy for the group.",
    "LimitsSpec.statement_deadline_seconds": "Time a statement may take, waiting included.",
    "LimitsSpec.transaction_idle_seconds": "Time an open transaction may be idle.",
    "LimitsSpec.transaction_seconds": "Time a transaction may take.",
    "LimitsSpec.open_transactions": "Transactions that may be open at a proxy for the group.",
    "LimitsSpec.request_horizon_seconds": "Time for which request ids are remembered.",
    "LimitsSpec.failover_wait_seconds": "Time a write waits for a new primary before it is "
    "refused as not run.",
    "RuleSpec.replica": "Whether matching reads may go to a replica.",
    "RuleSpec.kinds": "Statement kinds that the rule is for.",
    "RuleSpec.schemas": "Databases that the rule is for.",
    "RuleSpec.tables": "Tables that the rule is for; all tables of the statement must be listed.",
    "RuleSpec.users": "Users that the rule is for.",
    "BackendSpec.user": "User at the members.",
    "BackendSpec.password": "Password at the members; never shown.",
    "UserSpec.name": "Name of the user.",
    "UserSpec.password_hash": "Hex of SHA1(SHA1(password)); `rowanrail hash-password` prints it.",
    "UserSpec.databases": "Databases that the user may use; empty means all.",
}
