"""Routes, services and the versioned routing configuration.

A plug-in of kind ``configuration-format`` parses it from the operator's document. Depends on
``tenants`` for the owners of keys.
"""

import enum
from typing import Any

import msgspec

from rowanrail.tenants.model import Tenants


class Consistency(enum.Enum):
    """Consistency of a route's reads."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(msgspec.Struct, frozen=True):
    """Service and requirements of one database's statements.

    Parameters
    ----------
    database : str
        Name that clients give when they open a session.
    service : str
        Group of members that has the data.
    timeout_seconds : float
        Time limit for the answer to a statement.
    objective_seconds : float
        Target for the latency of an operation.
    staleness_seconds : float
        Maximum age of a sample of the primary's position.
    priority : int
        0 is the most urgent.
    takes_anybody : bool
        Whether clients without a key are accepted.
    regions : frozenset of str or None
        Regions whose members may run its statements; None for any.
    regions_version : int
        Version of the configuration that restricts it to these regions; 0 without a restriction.
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
    regions: frozenset[str] | None = None
    regions_version: int = 0


class ServiceSpec(msgspec.Struct, frozen=True):
    """Configuration of a group of members.

    Parameters
    ----------
    connections : int
        Maximum number of connections to a member from all gateways together.
    acknowledging_replicas : int
        Number of replicas that must have a commit before it is acknowledged.
    warm_up_seconds : float
        Time after a member's start, or its zone's return, in which it is warming up.
    warm_up_rate : float
        Maximum number of statements per second to a warming member, from all gateways together; 0
        for no limit.
    """

    name: str
    connections: int
    acknowledging_replicas: int = 0
    warm_up_seconds: float = 0.0
    warm_up_rate: float = 0.0

    @property
    def limits_warm_up(self) -> bool:
        """Whether the statements to a warming member are limited."""
        return self.warm_up_seconds > 0 and self.warm_up_rate > 0

    @property
    def confirms_commits(self) -> bool:
        """Whether a commit is acknowledged only once its member has confirmed that it still leads.

        Without acknowledging replicas, an answered commit may be rolled back in any case.
        """
        return self.acknowledging_replicas > 0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """A version of the configuration.

    Parameters
    ----------
    routes : dict of str to Route
        By database.
    services : dict of str to ServiceSpec
        By name.
    idle_transaction_seconds : float
        Time after which an idle transaction may be aborted.
    maximum_statement_bytes : int
        Maximum length of a statement; longer ones are refused.
    tenants : Tenants or None
        Tenants with their keys; None if clients need no key.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServiceSpec]
    idle_transaction_seconds: float = 60.0
    maximum_statement_bytes: int = 1024 * 1024
    tenants: Tenants | None = None


class ConfigurationFormat:
    """Port: parses the operator's document into a :class:`RoutingConfiguration`.

    Implementations register as plug-ins of kind ``configuration-format``.
    """

    def parse(self, document: bytes) -> Any:
        """Parse and validate a document.

        Returns
        -------
        returns.result.Result
            The :class:`RoutingConfiguration`, or the list of all problems.
        """
        raise NotImplementedError
