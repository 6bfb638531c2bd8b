"""Choice of the gateway that runs a service's statements: the first available one of an order.

The order comes from rendezvous hashing (``placement.hashed``) and from the plan of holders
(``placement.planned``). Owns no link: the caller tells where each gateway is reached. Relies on
:mod:`link` for the links that a result contains.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rowanrail.gateway.relay.link import Link, LinkState

__all__ = [
    "HeldLocally",
    "HeldRemotely",
    "HolderLocation",
    "NoHolder",
    "choose_holder",
    "location_via",
]


@dataclass(frozen=True, slots=True)
class HeldLocally:
    """This gateway holds the connections itself."""


@dataclass(frozen=True, slots=True)
class HeldRemotely:
    """Another gateway holds them, and the link to it is open."""

    link: Link


@dataclass(frozen=True, slots=True)
class NoHolder:
    """No gateway is known to hold them, or the link to it is still being opened."""


HolderLocation = HeldLocally | HeldRemotely | NoHolder


def location_via(link: Link) -> HeldRemotely | NoHolder | None:
    """Return the location of the gateway behind a link, as far as it can take new work.

    Returns
    -------
    HeldRemotely, NoHolder or None
        NoHolder while the link is being opened, so that work waits for it. None if the gateway
        counts as down (leaving, suspected or gone), so that the next one in the order is used.
    """
    if link.is_suspect:
        return None
    match link.state:
        case LinkState.UP:
            return HeldRemotely(link)
        case LinkState.LEAVING:
            return None
    return NoHolder()


def choose_holder(
    order: Iterable[str], reach: Callable[[str], HolderLocation | None], connected: int = 1
) -> HolderLocation:
    """Return the first gateway of an order that can take work.

    Parameters
    ----------
    order : iterable of str
        Names of gateways, the preferred holder first.
    reach : callable
        Returns the location of a gateway, None if it counts as down; opens its link if needed.
    connected : int
        How many gateways that are not down to keep connected, so that the next one can take over
        at once.

    Returns
    -------
    HolderLocation
        NoHolder if all are down, or while the links to the others are being opened.

    Examples
    --------
    >>> state = {"a": None, "b": NoHolder(), "c": HeldLocally(), "d": HeldLocally()}
    >>> choose_holder("abcd", state.get, connected=2), choose_holder("abcd", state.get)
    (HeldLocally(), NoHolder())
    """
    chosen: HolderLocation = NoHolder()
    seen = 0
    for name in order:
        if seen == connected:
            break
        found = reach(name)
        if found is None:
            continue
        seen += 1
        if isinstance(chosen, NoHolder):
            chosen = found
    return chosen
