"""A digest of a whole directory that costs one hash for each record that changes.

It is the sum of the records' hashes modulo 2**128 (Bellare and Micciancio, 1997): the same for
the same records in any order. It finds faults, not forgers; nodes and gateways trust each other.

Owns the hash of a record. Relies on the records' encoding, which both sides share.
"""

import enum
import hashlib
from collections.abc import Iterable

import msgspec

from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord

__all__ = ["DIRECTORY_DIGEST_BYTES", "Digest", "RecordKind", "combined_digest", "record_hash"]

DIRECTORY_DIGEST_BYTES = 16  # two different directories agree by chance once in 2**128
_MODULUS = 1 << (8 * DIRECTORY_DIGEST_BYTES)

_encoder = msgspec.msgpack.Encoder()


class RecordKind(enum.Enum):
    """What a record is to the gateway that knows it."""

    MEMBER = b"member"
    NEIGHBOUR = b"neighbour"
    REMOTE_HOLDER = b"other"


def record_hash(kind: RecordKind, record: MemberRecord | GatewayRecord) -> int:
    """Return the number by which a record counts in a digest."""
    data = _encoder.encode(record)
    hashed = hashlib.blake2b(data, digest_size=DIRECTORY_DIGEST_BYTES, person=kind.value)
    return int.from_bytes(hashed.digest(), "big")


class Digest:
    """The sum over records that come and go.

    Parameters
    ----------
    kind : RecordKind
        What the records are.
    records : iterable of MemberRecord or GatewayRecord
        Those of the beginning.

    Examples
    --------
    >>> gateways = [GatewayRecord(name, "a", f"{name}:1") for name in ("g1", "g2")]
    >>> digest = Digest(RecordKind.NEIGHBOUR, gateways)
    >>> digest.replace(gateways[0], None)
    >>> digest.value == Digest(RecordKind.NEIGHBOUR, gateways[1:]).value
    True
    """

    __slots__ = ("_kind", "_sum")

    def __init__(
        self, kind: RecordKind, records: Iterable[MemberRecord | GatewayRecord] = ()
    ) -> None:
        self._kind = kind
        self._sum = sum(record_hash(kind, record) for record in records) % _MODULUS

    @property
    def value(self) -> int:
        """The sum; those of different kinds may be added."""
        return self._sum

    def replace(
        self,
        before: MemberRecord | GatewayRecord | None,
        after: MemberRecord | GatewayRecord | None,
    ) -> None:
        """Take away one record and add another; either may be missing."""
        if before is not None:
            self._sum -= record_hash(self._kind, before)
        if after is not None:
            self._sum += record_hash(self._kind, after)
        self._sum %= _MODULUS


def combined_digest(*sums: int) -> bytes:
    """Return the digest of several sums together, as it is sent."""
    return (sum(sums) % _MODULUS).to_bytes(DIRECTORY_DIGEST_BYTES, "big")
