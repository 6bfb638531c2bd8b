"""Routes, services and the numbered configuration that holds them.

Owns the configuration in the product's own terms. Relies on ``tenants`` for the owners of keys;
a plug-in of kind ``configuration-format`` reads the operator's document.
"""

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

    Parameters
    ----------
    database : str
        What clients name when they open a session.
    service : str
        The group of members that has its data.
    timeout_seconds : float
        Time within which each statement is answered.
    objective_seconds : float
        Latency that an operation should stay within.
    staleness_seconds : float
        How old a sample of the primary's position may be.
    priority : int
        0 is the most urgent.
    takes_anybody : bool
        Whether clients need no key.
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

    Parameters
    ----------
    connections : int
        How many connections a member takes from all gateways together.
    acknowledging_replicas : int
        Replicas that must hold a commit before its acknowledgement.
    """

    name: str
    connections: int
    acknowledging_replicas: int = 0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """A numbered configuration in the product's own terms.

    Parameters
    ----------
    routes : dict of str to Route
        By database.
    services : dict of str to ServiceSpec
        By name.
    idle_transaction_seconds : float
        A transaction that is idle for longer may be ended.
    maximum_statement_bytes : int
        Longer statements are refused.
    tenants : Tenants or None
        Whose keys are taken; None if clients need none.
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
        """Read and check a document as a whole.

        Returns
        -------
        returns.result.Result
            The :class:`RoutingConfiguration`, or the list of all problems.
        """
        raise NotImplementedError
