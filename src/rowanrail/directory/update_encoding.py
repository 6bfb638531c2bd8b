"""Encoding and compression of directory updates."""

import zlib

import msgspec

from rowanrail.directory.messages import DirectoryUpdate
from rowanrail.kernel.errors import TransportError

__all__ = ["decode_update", "encode_update"]


COMPRESSION_LEVEL = 6  # of zlib; each update is encoded once for many gateways


def encode_update(update: DirectoryUpdate) -> bytes:
    """Return the encoded and compressed update."""
    return zlib.compress(msgspec.msgpack.encode(update), COMPRESSION_LEVEL)


def decode_update(packed: bytes) -> DirectoryUpdate:
    """Return the update that was encoded.

    Raises
    ------
    TransportError
        If the bytes are incomplete, or are not an update.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(packed), type=DirectoryUpdate)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise TransportError(f"invalid part of a directory: {error}", step="unpack") from error
