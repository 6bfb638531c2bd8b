"""Messages between processes stay compatible with the bytes that an earlier version encoded.

``data/messages.json`` was generated at revision b0400eb: for each type its schema (``form``), and
samples that cover all values of enumerations and None. ``less`` omits all fields with a default
and ``more`` has an unknown field, with the result at that revision; ``more after additions`` has it
after the fields that were added since (see :mod:`tests.forms.additions`). Entries for new messages
may be written by hand; an entry must not change while processes that use the message may be
running.
"""

import asyncio
import struct
import unittest
from unittest import mock

import msgspec

from rowanrail.directory.messages import DirectoryUpdate
from rowanrail.directory.update_encoding import decode_update, encode_update
from rowanrail.gateway.relay import transport
from rowanrail.gateway.relay.messages import FromGateway, FromHolder
from rowanrail.rpc import codec, tcp
from tests.forms.golden import GoldenTestCase, load_golden, make_decoder
from tests.forms.names import import_all_modules

GOLDEN = load_golden("messages.json")
LENGTH = struct.Struct("<I")  # before each frame


class RpcTest(GoldenTestCase):
    @classmethod
    def setUpClass(cls) -> None:
        import_all_modules()  # registers all messages

    def test_each_message_keeps_its_bytes(self):
        for tag, golden in GOLDEN["rpc"].items():
            with self.subTest(tag):
                kind = codec._types[tag]
                first = bytes.fromhex(golden["samples"][0]["bytes"])
                # The frame's header is the same for all samples of a message.
                frame_kind, call, _ = codec.decode_frame(first)
                self.assertEqual(msgspec.msgpack.decode(first)[:4], [1, frame_kind, call, tag])

                def decode(data: bytes, of=(frame_kind, call)) -> msgspec.Struct:
                    *frame, message = codec.decode_frame(data)
                    self.assertEqual(tuple(frame), of)
                    return message

                def encode(message: msgspec.Struct, of=(frame_kind, call)) -> bytes:
                    return codec.encode_frame(*of, message)

                self.check_type(kind, golden, decode, encode)

    def test_each_message_has_golden_bytes(self):
        product = {
            tag for tag, kind in codec._types.items() if kind.__module__.startswith("rowanrail.")
        }
        self.assertEqual(sorted(product), sorted(GOLDEN["rpc"]))

    def test_kinds_of_frames(self):
        kinds = {kind.name: kind.value for kind in codec.FrameKind}
        self.assertEqual(kinds, {"REQUEST": 1, "REPLY": 2, "NOTICE": 3})

    def test_a_frame_follows_its_length(self):
        frame = bytes.fromhex(GOLDEN["rpc"]["VoteReply"]["samples"][0]["bytes"])
        writer = mock.Mock()
        tcp._write_frame(writer, frame)
        writer.write.assert_called_once_with(LENGTH.pack(len(frame)) + frame)

        async def read() -> bytes:
            reader = asyncio.StreamReader()
            reader.feed_data(LENGTH.pack(len(frame)) + frame)
            return await tcp._read_frame(reader)

        self.assertEqual(asyncio.run(read()), frame)


class RelayTest(GoldenTestCase):
    def test_each_message_from_a_gateway_keeps_its_bytes(self):
        self.check_union(FromGateway, GOLDEN["from gateway"])

    def test_each_message_from_a_holder_keeps_its_bytes(self):
        self.check_union(FromHolder, GOLDEN["from holder"])

    def test_the_links_decode_and_encode_the_golden_bytes(self):
        for section, link_decoder in {
            "from gateway": transport._gateway_decoder,
            "from holder": transport._holder_decoder,
        }.items():
            for tag, golden in GOLDEN[section].items():
                with self.subTest(tag):
                    frame = bytes.fromhex(golden["samples"][0]["bytes"])
                    peer = transport._Framed()
                    peer.transport = mock.Mock()
                    peer.transport.is_closing.return_value = False
                    peer.transport.get_write_buffer_size.return_value = 0
                    written = peer.transport.write
                    peer.write(link_decoder.decode(frame))
                    written.assert_called_once()
                    (sent,) = written.call_args.args
                    self.assertEqual(sent[: LENGTH.size], LENGTH.pack(len(sent) - LENGTH.size))
                    self.check_encoded(sent[LENGTH.size :], frame)
                    received: list[bytes] = []
                    with mock.patch.object(peer, "take", received.append):
                        peer.data_received(LENGTH.pack(len(frame)) + frame[:-1])
                        peer.data_received(frame[-1:])
                    self.assertEqual(received, [frame])


class DirectoryUpdateTest(GoldenTestCase):
    def test_directory_update(self):
        golden = GOLDEN["inside others"]["part of a directory"]
        self.check_type(
            DirectoryUpdate, golden, make_decoder(DirectoryUpdate), msgspec.msgpack.encode
        )

    def test_directory_update_round_trip(self):
        for sample in GOLDEN["inside others"]["part of a directory"]["samples"]:
            update = make_decoder(DirectoryUpdate)(bytes.fromhex(sample["bytes"]))
            self.assertEqual(decode_update(encode_update(update)), update)


if __name__ == "__main__":
    unittest.main()
