"""Which gateways hold a service's connections, by the demand that was measured."""

from dataclasses import dataclass

__all__ = ["Holding", "Plan"]


@dataclass(frozen=True, slots=True)
class Holding:
    """What one gateway holds of a service.

    Parameters
    ----------
    gateway : str
        Name of the gateway.
    share : float
        Share of each member's connections that it may open, 0 to 1.
    """

    gateway: str
    share: float


@dataclass(frozen=True, slots=True)
class Plan:
    """Holders in one group of gateways, by the key of what they hold.

    Parameters
    ----------
    number : int
        Rises with each plan; the highest that was heard is in force.
    holders : dict of str to list of Holding
        By the key of a part; a part that is missing falls back to rendezvous hashing.
    """

    number: int
    holders: dict[str, list[Holding]]
