"""Which gateway runs what needs a service's connections: the first of an order that can take it.

The order is made elsewhere: by rendezvous hashing (``placement.hashed``) and by the plan of holders
(``placement.planned``). Owns no link: who asks says where each gateway is reached. Relies on
:mod:`link` for what a verdict hands out.
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
    """Another gateway holds them, and its link stands."""

    link: Link


@dataclass(frozen=True, slots=True)
class NoHolder:
    """No gateway is known to hold them now, or its link is still being opened."""


HolderLocation = HeldLocally | HeldRemotely | NoHolder


def location_via(link: Link) -> HeldRemotely | NoHolder | None:
    """Return where new work for the gateway behind a link goes.

    Returns
    -------
    HeldRemotely, NoHolder or None
        NoHolder while the link is being opened, so that work waits for it. None if the gateway
        counts as down: it is leaving, suspected or gone, and the next of an order takes its place.
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
        Names of gateways, the one that should hold the connections first.
    reach : callable
        Returns where a gateway is reached, None if it counts as down; opens its link if needed.
    connected : int
        How many gateways that aren't down are kept connected, so that the next one can take over
        at once.

    Returns
    -------
    HolderLocation
        NoHolder if all are down, or while the links of those that are not are being opened.

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
