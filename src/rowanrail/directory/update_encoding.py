"""Encoding of the part of the directory that a gateway is sent.

Owns the compression. Relies on :mod:`messages` for the form.
"""

import zlib

import msgspec

from rowanrail.directory.messages import DirectoryUpdate
from rowanrail.kernel.errors import TransportError

__all__ = ["encode_update", "decode_update"]


# Of zlib. A directory of 300 machines (25 KB) becomes 2.9 KB in 0.10 ms, at level 1 3.6 KB in
# 0.05 ms, at level 9 2.7 KB in 0.33 ms; each part is packed once for many gateways.
PACK_LEVEL = 6


def encode_update(part: DirectoryUpdate) -> bytes:
    """Return the bytes of a part as they are sent."""
    return zlib.compress(msgspec.msgpack.encode(part), PACK_LEVEL)


def decode_update(packed: bytes) -> DirectoryUpdate:
    """Return the part that was packed.

    Raises
    ------
    TransportError
        If the bytes are not whole, or hold no part.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(packed), type=DirectoryUpdate)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise TransportError(f"invalid part of a directory: {error}", step="unpack") from error
