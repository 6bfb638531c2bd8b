"""Size of frequent messages, and compatibility with those of the previous release."""

import unittest

import msgspec

from rowanrail.consensus.messages import AppendReply, AppendRequest
from rowanrail.directory.messages import (
    DirectoryReply,
    DirectoryRequest,
    GatewayReport,
    LoggedDirectoryRequest,
)
from rowanrail.model.members import PrimaryHealth
from rowanrail.rpc.codec import FrameKind, decode_frame, encode_frame

NODE = "10.1.0.38:7520@fbf0426a60ad"
HEARTBEAT_BYTES = 70
REPORT_BYTES = 190


class FrameSizeTest(unittest.TestCase):
    def size(self, message):
        frame = encode_frame(FrameKind.NOTICE, 0, message)
        self.assertEqual(decode_frame(frame)[2], message)
        return len(frame)

    def test_size_of_the_leaders_heartbeats(self):
        self.assertLess(self.size(AppendRequest(NODE, 12, 1800, 12, [], 1800, 40)), HEARTBEAT_BYTES)
        self.assertLess(self.size(AppendReply(NODE, 12, True, 1800, 40)), HEARTBEAT_BYTES)

    def test_size_of_a_report_of_three_services(self):
        services = [PrimaryHealth(f"db{n}", f"i-4{n}cba1c7a", 900, 0) for n in range(3)]
        report = GatewayReport("front-chapultepec-1", "chapultepec", services, 1, "10.1.0.1:7520")
        self.assertLess(self.size(report), REPORT_BYTES)


class EarlierVersionTest(unittest.TestCase):
    """The previous release doesn't know the fields that were appended since."""

    def received(self, message, fields):
        """Return a message as received from a sender that knows only its first fields."""
        values = [getattr(message, name) for name in message.__struct_fields__[:fields]]
        encoded = msgspec.msgpack.encode(values)
        return msgspec.msgpack.decode(encoded, type=type(message))

    def test_a_request_of_the_previous_release_asks_for_plain_records(self):
        report = GatewayReport("g1", "a", [])
        request = self.received(DirectoryRequest(report, 7, 9, 1.0, True, True, 5), 4)
        self.assertEqual(request, DirectoryRequest(report, 7, 9, 1.0))
        self.assertFalse(
            request.accepts_updates or request.wants_full or request.known_controls_checksum
        )
        self.assertFalse(self.received(LoggedDirectoryRequest("a", True), 1).accepts_updates)

    def test_a_reply_of_the_previous_release_has_no_update(self):
        reply = DirectoryReply(True, 7, b"", 9, [], 1, 1, [], ["c1:1"], "a", [], update=b"part")
        names = reply.__struct_fields__
        received = self.received(reply, names.index("update"))
        self.assertEqual((received.update, received.members), (b"", []))

    def test_the_previous_release_ignores_unknown_fields(self):
        class EarlierRequest(msgspec.Struct, array_like=True):
            report: GatewayReport
            known_version: int
            known_revision: int
            wait_seconds: float

        request = DirectoryRequest(GatewayReport("g1", "a", []), 7, 9, 1.0, True, True, 5)
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(request), type=EarlierRequest)
        self.assertEqual((decoded.known_revision, decoded.wait_seconds), (9, 1.0))
