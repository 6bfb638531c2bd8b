"""Configured tenants and the digests of their API keys.

Immutable values. The keys themselves are neither kept nor logged.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ANONYMOUS", "ClientIdentity", "Tenant", "Tenants", "key_digest"]

ANONYMOUS = "anonymous"  # sent to members for clients without a key
KEY_DIGEST_BYTES = 16  # 128 bits: a few thousand keys collide with a probability below 1e-30
_PURPOSE = b"rowanrail key"  # separates these digests from those of other programs


def key_digest(key: str) -> bytes:
    """Return the digest that represents an API key in memory and between gateways.

    Keys are long and random, so an unsalted hash can't be reversed by guessing.

    Examples
    --------
    >>> key_digest("k1") == key_digest("k1"), key_digest("k1") == key_digest("k2")
    (True, False)
    """
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES, person=_PURPOSE).digest()


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its limit.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    rate : float or None
        Operations per second over all gateways; None for no limit.
    burst : float
        Operations beyond the rate in any window.
    regions : frozenset of str or None
        Regions whose members may run its statements; None for any.
    """

    name: str
    priority: int = 1
    rate: float | None = None
    burst: float = 0.0
    regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """Tenant and key of a session's client.

    Parameters
    ----------
    tenant : str
        Sent to members; empty where a deployment has no tenants.
    key : bytes
        Digest of the client's key; empty for clients without a key.
    """

    tenant: str = ""
    key: bytes = b""


@dataclass(frozen=True, slots=True)
class Tenants:
    """All tenants of one configuration.

    Parameters
    ----------
    by_name : mapping of str to Tenant
    owners : mapping of bytes to str
        Names of tenants by the digests of their keys.
    """

    by_name: Mapping[str, Tenant] = field(default_factory=dict)
    owners: Mapping[bytes, str] = field(default_factory=dict)

    def identify(self, key: bytes, takes_anybody: bool) -> ClientIdentity | None:
        """Return the identity of a key, None if it is unknown and the route requires one.

        Parameters
        ----------
        key : bytes
            Digest of the client's key.
        takes_anybody : bool
            Whether the route accepts clients without a key; known keys are still identified.

        Examples
        --------
        >>> tenants = Tenants({"a": Tenant("a")}, {key_digest("k"): "a"})
        >>> tenants.identify(key_digest("k"), False).tenant
        'a'
        >>> tenants.identify(key_digest("x"), True).tenant
        'anonymous'
        >>> tenants.identify(key_digest("x"), False) is None
        True
        """
        owner = self.owners.get(key)
        if owner is not None:
            return ClientIdentity(owner, key)
        return ClientIdentity(ANONYMOUS) if takes_anybody else None
