"""Routes, services and the numbered configuration that holds them."""

import enum
from typing import Any

import msgspec

from rowanrail.tenants.model import Tenants


class Consistency(enum.Enum):
    """What a route's reads must see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(msgspec.Struct, frozen=True):
    """How statements of one database run.

    :param timeout_seconds: bound of a statement.
    :param objective_seconds: latency that an operation should stay within.
    :param staleness_seconds: how old a sample of the primary's position may be.
    :param priority: 0 is the most urgent.
    :param takes_anybody: whether clients need no key.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    timeout_seconds: float
    objective_seconds: float
    staleness_seconds: float = 0.0
    priority: int = 1
    takes_anybody: bool = False


class ServiceSpec(msgspec.Struct, frozen=True):
    """A group of members as configured.

    :param connections: how many connections a member takes from all proxies together.
    :param acknowledging_replicas: replicas that must hold a commit before its acknowledgement.
    """

    name: str
    connections: int
    acknowledging_replicas: int = 0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """A numbered configuration in the product's own terms.

    :param idle_transaction_seconds: a transaction resting longer may be ended.
    :param tenants: whose keys are taken; None if clients need none.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServiceSpec]
    idle_transaction_seconds: float = 60.0
    maximum_statement_bytes: int = 1024 * 1024
    tenants: Tenants | None = None


class ConfigurationFormat:
    """Port: how a document of the operator becomes a :class:`RoutingConfiguration`.

    Implementations register as plug-ins of kind ``configuration-format``.
    """

    def parse(self, document: bytes) -> Any:
        """Return a ``returns`` result: the configuration, or the list of all problems."""
        raise NotImplementedError
