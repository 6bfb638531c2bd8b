"""Session tokens, which carry the positions of a session to another connection.

A token is the base64url encoding of a version byte, a MessagePack map of group to position, and a
CRC-32C. It is opaque to callers. The checksum detects damage, not forgery: a forged token can only
make its own session wait or read older data.
"""

import base64
import binascii
import struct

import google_crc32c
import msgspec
from returns.result import Failure, Result, Success

from rowanrail.model.position import Position

TOKEN_VERSION = 1  # version of the encoding; tokens of other versions are refused
MAXIMUM_TOKEN_BYTES = 8192  # longer tokens are refused without decoding
_CHECKSUM = struct.Struct("<I")


def encode_token(positions: dict[str, Position]) -> str:
    """Return the token for the positions of a session."""
    body = bytes([TOKEN_VERSION]) + msgspec.msgpack.encode(dict(sorted(positions.items())))
    sealed = body + _CHECKSUM.pack(google_crc32c.value(body))
    return base64.urlsafe_b64encode(sealed).decode().rstrip("=")


def decode_token(token: str) -> Result[dict[str, Position], str]:
    """Return the positions in a token, or a description of what is wrong with it."""
    if len(token) > MAXIMUM_TOKEN_BYTES:
        return Failure(f"longer than {MAXIMUM_TOKEN_BYTES} bytes")
    try:
        sealed = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return Failure("not base64url")
    body, checksum = sealed[: -_CHECKSUM.size], sealed[-_CHECKSUM.size :]
    if not body or checksum != _CHECKSUM.pack(google_crc32c.value(body)):
        return Failure("the checksum does not match")
    if body[0] != TOKEN_VERSION:
        return Failure(f"version {body[0]} is unknown here")
    try:
        return Success(msgspec.msgpack.decode(body[1:], type=dict[str, Position]))
    except msgspec.MsgspecError:
        return Failure("the contents can't be decoded")
