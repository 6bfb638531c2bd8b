"""Incremental digest of a directory: one hash for each record that changes.

The digest is the sum of the records' hashes modulo 2**128 (AdHash; Bellare and Micciancio, 1997),
which doesn't depend on their order. It detects errors, not forgery: nodes and gateways trust each
other. Both sides must encode records in the same way.
"""

import enum
import hashlib
from collections.abc import Iterable

import msgspec

from rowanrail.directory.messages import GatewayRecord
from rowanrail.model.members import MemberRecord

__all__ = ["DIRECTORY_DIGEST_BYTES", "Digest", "RecordKind", "combined_digest", "record_hash"]

DIRECTORY_DIGEST_BYTES = 16  # different directories collide with probability 2**-128
_MODULUS = 1 << (8 * DIRECTORY_DIGEST_BYTES)

_encoder = msgspec.msgpack.Encoder()


class RecordKind(enum.Enum):
    """Kind of a record from the view of the gateway that holds it; the value salts its hash."""

    MEMBER = b"member"
    NEIGHBOUR = b"neighbour"
    REMOTE_HOLDER = b"other"


def record_hash(kind: RecordKind, record: MemberRecord | GatewayRecord) -> int:
    """Return the hash that a record adds to a digest."""
    data = _encoder.encode(record)
    hashed = hashlib.blake2b(data, digest_size=DIRECTORY_DIGEST_BYTES, person=kind.value)
    return int.from_bytes(hashed.digest(), "big")


class Digest:
    """The sum of the hashes of records of one kind.

    Parameters
    ----------
    kind : RecordKind
        Kind of all records.
    records : iterable of MemberRecord or GatewayRecord
        The initial records.

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
        """The sum; sums of different kinds may be added."""
        return self._sum

    def replace(
        self,
        before: MemberRecord | GatewayRecord | None,
        after: MemberRecord | GatewayRecord | None,
    ) -> None:
        """Remove one record and add another; either may be None."""
        if before is not None:
            self._sum -= record_hash(self._kind, before)
        if after is not None:
            self._sum += record_hash(self._kind, after)
        self._sum %= _MODULUS


def combined_digest(*sums: int) -> bytes:
    """Return the digest of several sums, in its encoded form."""
    return (sum(sums) % _MODULUS).to_bytes(DIRECTORY_DIGEST_BYTES, "big")
