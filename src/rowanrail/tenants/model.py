"""Tenants as configured, and the digests by which their API keys are known.

Values without state. Keys themselves are neither kept nor logged.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ANONYMOUS", "ClientIdentity", "Tenant", "Tenants", "key_digest"]

ANONYMOUS = "anonymous"  # named to members for clients of routes that take anybody
KEY_DIGEST_BYTES = 16  # 128 bits: two of a few thousand keys collide with a chance below 1e-30
_PURPOSE = b"rowanrail key"  # so that a digest here is none that another program would make


def key_digest(key: str) -> bytes:
    """Return what stands for an API key in memory and between gateways.

    The operator's keys are long random words, so that a plain hash can't be undone by guessing.

    Examples
    --------
    >>> key_digest("k1") == key_digest("k1"), key_digest("k1") == key_digest("k2")
    (True, False)
    """
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES, person=_PURPOSE).digest()


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    rate : float or None
        Operations a second, summed over all gateways; None for no limit.
    burst : float
        Operations beyond the rate in any window.
    """

    name: str
    priority: int = 1
    rate: float | None = None
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """Whose statements a session sends.

    Parameters
    ----------
    tenant : str
        Named to members; empty where a deployment has no tenants.
    key : bytes
        Digest of the client's key; empty for clients of routes that take anybody.
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
        The tenant's name of each key's digest.
    """

    by_name: Mapping[str, Tenant] = field(default_factory=dict)
    owners: Mapping[bytes, str] = field(default_factory=dict)

    def identify(self, key: bytes, takes_anybody: bool) -> ClientIdentity | None:
        """Return whose key it is, None if it is nobody's and a key is needed.

        Parameters
        ----------
        key : bytes
            Digest of the client's key.
        takes_anybody : bool
            Whether the route needs no key; a known one counts there all the same.

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
