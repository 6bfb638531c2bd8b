"""Encoding of messages between the system's own processes.

A frame is a MessagePack array of protocol version, frame kind, call id, message tag and body.
Message types are ``msgspec.Struct`` classes registered with :func:`message` under a tag. Peers of
other versions know a type by its tag, so the tag must stay the same when the class is renamed.
"""

import enum
from collections.abc import Callable
from typing import TypeVar

import msgspec

from rowanrail.kernel.errors import TransportError

PROTOCOL_VERSION = 1
MAXIMUM_RPC_FRAME_BYTES = 64 * 1024 * 1024

MessageType = TypeVar("MessageType", bound=type[msgspec.Struct])

_types: dict[str, type[msgspec.Struct]] = {}
_tags: dict[type[msgspec.Struct], str] = {}
_encoder = msgspec.msgpack.Encoder()


class FrameKind(enum.IntEnum):
    """Type of a frame."""

    REQUEST = 1
    REPLY = 2
    NOTICE = 3


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """A message with its header; ``call`` matches a reply to its request on a connection."""

    version: int
    kind: FrameKind
    call: int
    tag: str
    body: msgspec.Raw


_frame_decoder = msgspec.msgpack.Decoder(Frame)


def message(tag: str) -> Callable[[MessageType], MessageType]:
    """Return a class decorator that registers a message type under its tag on the wire.

    Raises
    ------
    ValueError
        If the tag is registered for another class.
    """

    def decorate(message_type: MessageType) -> MessageType:
        if _types.get(tag, message_type) is not message_type:
            raise ValueError(f"message tag {tag!r} is registered twice")
        _types[tag] = message_type
        _tags[message_type] = tag
        return message_type

    return decorate


@message("Failure")
class Failure(msgspec.Struct, frozen=True):
    """Reply to a request that failed at the peer."""

    reason: str


def encode_frame(kind: FrameKind, call: int, body: msgspec.Struct) -> bytes:
    """Return the bytes of a frame, without its length prefix."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Frame(PROTOCOL_VERSION, kind, call, _tags[type(body)], raw))


def decode_frame(data: bytes) -> tuple[FrameKind, int, msgspec.Struct]:
    """Return kind, call id and message of a frame.

    Raises
    ------
    TransportError
        If the bytes are not a valid frame of this protocol version.
    """
    try:
        frame = _frame_decoder.decode(data)
        if frame.version != PROTOCOL_VERSION:
            raise TransportError(
                f"protocol version {frame.version} is not {PROTOCOL_VERSION}", step="decode"
            )
        message_type = _types.get(frame.tag)
        if message_type is None:
            raise TransportError(f"unknown message {frame.tag!r}", step="decode")
        return frame.kind, frame.call, msgspec.msgpack.decode(frame.body, type=message_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise TransportError(f"invalid frame: {error}", step="decode") from error
